package larkrouter

import (
	"math"
	"time"
)

// A server's gate consists of a token bucket, which admits calls now, and a ring of buckets, one for each
// slot to come, from which a blocked call borrows a token. The call is held until the slot that it borrowed
// from. Together they form the Abacus Filter. "The paper" below is the Abacus Filter paper: T0 is the length
// of a slot, W the depth of a bucket, N the chain length, S the number of slots in the ring, A and B are the
// state of a slot (slotRing). Times are fractions of the shortest aim, because a held call earns its full
// worth only within its aim.
const (
	// firstOffset is the offset, in slots, of the first slot to borrow from, as in the paper. Each further
	// step of a chain is twice the one before.
	firstOffset = 3

	// chainLength is N: offsets 3, 9 (3+6) and 21 (3+6+12). The third is past the shortest aim, but before
	// the deadline of a try.
	chainLength = 3

	// ringSlots is S: one more than the last offset of the longest chain.
	ringSlots = 22

	// bucketDepthInAims gives W: the tokens that the rate provides in this many aims.
	bucketDepthInAims = 0.3

	// minBucketDepth is the lower bound of W: one token for the next call and half a token in reserve.
	minBucketDepth = 1.5
)

// A gate also limits the number of unanswered set-ups, whatever its tokens.
const (
	// minWindow is the number of unanswered set-ups that a node may have at any server. If all nodes together
	// would then have more than fleetMinWindow there, it is the node's share of those, but at least 1.
	minWindow      = 2.0
	fleetMinWindow = 14

	// windowInAims allows as many unanswered set-ups as a warm server answers in this many aims, if that is
	// more.
	windowInAims = 0.35
)

// Calls that are worth more get scarce tokens first.
const (
	// A call worth at least overdraftWorth times the mean may overdraw the bucket by maxOverdraft tokens, but
	// by no more than the rate repays in repayTime.
	overdraftWorth = 1.5
	maxOverdraft   = 2.0
	repayTime      = 3 * time.Second

	// A call worth less than reserveWorth times the mean, usually a late redial, leaves reservedTokens to
	// others.
	reserveWorth   = 0.6
	reservedTokens = 0.5
)

// tokenBucket holds a server's tokens and its rate in tokens per second; an infinite rate admits every call.
type tokenBucket struct {
	tokens, rate float64
}

// refill adds the tokens of the elapsed time, up to the depth of the bucket.
func (b *tokenBucket) refill(elapsed time.Duration) {
	if math.IsInf(b.rate, 1) {
		b.tokens = minBucketDepth
		return
	}
	// The debt is limited to what is repaid in repayTime, so that a deep reduction of the rate cannot block
	// the gate.
	depth := max(minBucketDepth, b.rate*bucketDepthInAims)
	b.tokens = min(depth, max(b.tokens, -b.rate*repayTime.Seconds())+b.rate*elapsed.Seconds())
}

// slotRing holds the state of the current and the future slots. slotTokens are the tokens left in a slot (A
// of the paper). chainBorrowed counts the calls that skipped the slot on their chain and borrowed further on
// (B of the paper): when the slot is the current one, as many blocked calls continue to the next offset of
// their chain without taking a token.
type slotRing struct {
	slotTokens    [ringSlots]float64
	chainBorrowed [ringSlots]int
	head          int // index of the current slot
}

// index is the position of the slot that is offset slots from now.
func (r *slotRing) index(offset int) int { return (r.head + offset) % ringSlots }

// advance drops the current slot and appends one with the given tokens.
func (r *slotRing) advance(tokens float64) {
	r.slotTokens[r.head], r.chainBorrowed[r.head] = tokens, 0
	r.head = (r.head + 1) % ringSlots
}

// capTokens lowers every bucket to the limit after the rate that filled it was reduced.
func (r *slotRing) capTokens(limit float64) {
	for i := range r.slotTokens {
		r.slotTokens[i] = min(r.slotTokens[i], limit)
	}
}

// borrow takes a token from a future slot for a call that is blocked now. It returns the slot's offset and
// the call's position in the chain.
//
// A slot is shorter than the paper's and holds a fraction of a token, so the bucket at an offset includes
// those since the offset before it. Where hundreds of nodes share a server, each node holds only fractions:
// with a random threshold, a fraction counts as a token with a probability equal to its size, so that the
// expected number of tokens borrowed by all nodes equals the number of tokens there are.
func (r *slotRing) borrow(maxOffset int, threshold float64) (offset, position int, ok bool) {
	previous := 0
	var skipped []int
	for offset, position := firstOffset, 1; position <= chainLength && offset <= maxOffset; offset, position =
		offset+firstOffset<<position, position+1 {
		available := 0.0
		for i := previous + 1; i <= offset; i++ {
			available += r.slotTokens[r.index(i)]
		}
		if available > threshold {
			for i := previous + 1; i <= offset; i++ {
				r.slotTokens[r.index(i)] -= 1 / float64(offset-previous)
			}
			for _, skippedOffset := range skipped {
				r.chainBorrowed[r.index(skippedOffset)]++
			}
			return offset, position, true
		}
		skipped, previous = append(skipped, offset), offset
	}
	return 0, 0, false
}

// admits reports whether the gate lets the call pass. A call worth much more than the mean may overdraw the
// bucket and one worth much less leaves a part of it, so that scarce tokens go to the calls worth more.
func (c *Controller) admits(s *server, call *openCall) bool {
	// Answers reveal a queue only after it has built up, which is too late to limit a burst. So the number of
	// unanswered set-ups is limited to what a warm server answers in a fraction of the aim, at least one, and
	// to one at a cold server.
	_, unanswered := c.oldestUnanswered(s)
	window := max(1, min(minWindow, fleetMinWindow/c.fleetSize),
		c.referenceRate*c.relativeSize(s)*c.shortestAim.Seconds()*windowInAims)
	if unanswered >= window || unanswered > 0 && s.warmUpStart >= 0 {
		return false
	}
	if math.IsInf(s.rate, 1) {
		return true
	}
	needed := 1.0
	if worth := c.worthAt(call, c.now+fromSeconds(c.expectedDelay(s))); worth >= overdraftWorth*c.meanWorth &&
		s.warmUpStart < 0 {
		needed -= min(maxOverdraft, s.rate*repayTime.Seconds())
	} else if worth < reserveWorth*c.meanWorth {
		needed += reservedTokens
	}
	return s.tokens >= needed
}
