package access

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"
)

// defaultMaxAdoptedCalls is the limit on adopted calls if the configuration sets none.
const defaultMaxAdoptedCalls = 16384

// adoptedCalls are the standing calls that the node knows only because a caller has named them. No call server has
// mentioned them, so they may not exist, and then nothing ever ends them. Their number is therefore limited. At the
// limit the connection that has named the most calls loses its newest one, so that no connection with less than an
// equal share of the limit loses a call. All connections that have closed count as one, as otherwise a client would
// gain a share with every new connection; among them the one that has named the most calls loses one.
type adoptedCalls struct {
	limit       int
	count       int
	byConn      map[ConnID]*adoptedGroup
	open        *btree.BTreeG[*adoptedGroup] // of open connections, largest first
	closed      *btree.BTreeG[*adoptedGroup] // of closed connections, largest first
	closedCount int                          // calls of closed connections
}

// adoptedGroup is the nonempty set of the adopted calls of one connection.
type adoptedGroup struct {
	conn     ConnID
	isClosed bool         // the connection
	calls    []*callState // oldest first
}

var treeOptions = btree.Options{NoLocks: true} // a single goroutine uses the trees

func newAdoptedCalls(limit int) *adoptedCalls {
	return &adoptedCalls{limit: cmp.Or(max(limit, 0), defaultMaxAdoptedCalls), byConn: map[ConnID]*adoptedGroup{},
		open: btree.NewBTreeGOptions(isLargerGroup, treeOptions), closed: btree.NewBTreeGOptions(isLargerGroup, treeOptions)}
}

func isLargerGroup(a, b *adoptedGroup) bool {
	if len(a.calls) != len(b.calls) {
		return len(a.calls) > len(b.calls)
	}
	return a.conn < b.conn
}

// find returns the position of a call in the group, or where it belongs.
func (g *adoptedGroup) find(call *callState) (position int, isMember bool) {
	return slices.BinarySearchFunc(g.calls, call, func(a, b *callState) int { return cmp.Compare(a.number, b.number) })
}

// unlink takes a group out of its order before it changes.
func (a *adoptedCalls) unlink(group *adoptedGroup) {
	if group.isClosed {
		a.closed.Delete(group)
		a.closedCount -= len(group.calls)
		return
	}
	a.open.Delete(group)
}

// link puts a group into its order, unless it is empty.
func (a *adoptedCalls) link(group *adoptedGroup) {
	switch {
	case len(group.calls) == 0:
		delete(a.byConn, group.conn)
	case group.isClosed:
		a.closed.Set(group)
		a.closedCount += len(group.calls)
	default:
		a.open.Set(group)
	}
}

// add adds a call that was named on the given connection, which is open.
func (a *adoptedCalls) add(call *callState, conn ConnID) {
	group := a.byConn[conn]
	if group == nil {
		group = &adoptedGroup{conn: conn}
		a.byConn[conn] = group
	}
	a.unlink(group)
	position, _ := group.find(call)
	group.calls = slices.Insert(group.calls, position, call)
	a.link(group)
	call.adoptedIn = group
	a.count++
}

// remove removes a call. It has no effect on a call that was not adopted.
func (a *adoptedCalls) remove(call *callState) {
	group := call.adoptedIn
	if group == nil {
		return
	}
	a.unlink(group)
	position, _ := group.find(call)
	group.calls = slices.Delete(group.calls, position, position+1)
	if len(group.calls) < cap(group.calls)/2 {
		group.calls = slices.Clone(group.calls) // many groups that were large once must not keep their memory
	}
	a.link(group)
	call.adoptedIn = nil
	a.count--
}

// moveTo moves a call to the connection that has named it last. It has no effect on a call that was not adopted.
func (a *adoptedCalls) moveTo(conn ConnID, call *callState) {
	if call.adoptedIn == nil || call.adoptedIn.conn == conn {
		return
	}
	a.remove(call)
	a.add(call, conn)
}

// connClosed counts the calls of a connection among those of closed ones.
func (a *adoptedCalls) connClosed(conn ConnID) {
	if group := a.byConn[conn]; group != nil {
		a.unlink(group)
		group.isClosed = true
		a.link(group)
	}
}

// excessCall returns the call to give up, or nil if the calls are within the limit.
func (a *adoptedCalls) excessCall() *callState {
	if a.count <= a.limit {
		return nil
	}
	largest, isOpen := a.open.Min()
	if !isOpen || a.closedCount >= len(largest.calls) {
		largest, _ = a.closed.Min()
	}
	return largest.calls[len(largest.calls)-1]
}
