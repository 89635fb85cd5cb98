// Package wire reads and writes the binary frames between the simulator and the adapter.
// It translates between records and the types of package larkrouter and decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"larkrouter"
)

const (
	batchHeader = 16      // bytes before the first record of a batch
	replyHeader = 8       // bytes before the first record of a reply
	recordHead  = 5       // code and length of a record
	rowBytes    = 21      // bytes of a line of the server list
	maxFrame    = 1 << 28 // a longer frame can only be a broken one
)

// Codes of the events.
const (
	evLedger    = 1
	evStreaming = 2
	evStart     = 3
	evPeer      = 4
	evFired     = 5
	evFinished  = 6
	evAccept    = 7
	evInstance  = 8
	evProbed    = 9
	evExpired   = 10
	evTargets   = 11
	evCrash     = 12
)

// Codes of the actions.
const (
	acSubscribe = 1
	acBy        = 2
	acFetch     = 3
	acWake      = 4
	acBug       = 5
	acCancel    = 6
	acTell      = 7
	acProbe     = 8
	acAttempt   = 10
	acAbandon   = 11
	acLog       = 12
	acRefuse    = 13
)

// Kind tells what a Record is.
type Kind uint8

// The kinds of Record.
const (
	Event Kind = iota // Event is set
	Start             // an instance begins: Seed and Info are set
	Crash             // an instance dies
)

// Record is one thing that an instance is told.
type Record struct {
	Offset   int // of the record in its frame
	Instance uint32
	Kind     Kind
	Event    larkrouter.Event
	Seed     uint64
	Info     []byte
}

// Batch is a decoded frame.
type Batch struct {
	Now     time.Duration
	Records []Record
}

// Decoder reads batches; it keeps the server lists that later records name.
type Decoder struct {
	r      io.Reader
	lists  [16][]larkrouter.ServerInfo
	listed [16]bool
}

// NewDecoder reads batches from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads a batch. It returns io.EOF when the input ends between frames.
func (d *Decoder) Next() (*Batch, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header at offset 0: input ends after %d of %d bytes: %w", n, batchHeader, err)
	}
	count := binary.LittleEndian.Uint32(head[0:])
	size := binary.LittleEndian.Uint32(head[4:])
	now := binary.LittleEndian.Uint64(head[8:])
	if size < batchHeader || size > maxFrame {
		return nil, fmt.Errorf("frame header at offset 4: impossible length %d", size)
	}
	if uint64(count)*recordHead > uint64(size)-batchHeader {
		return nil, fmt.Errorf("frame header at offset 0: impossible count %d in %d bytes", count, size)
	}
	if now > math.MaxInt64/1000 {
		return nil, fmt.Errorf("frame header at offset 8: impossible clock %d", now)
	}
	body := make([]byte, size-batchHeader)
	if n, err := io.ReadFull(d.r, body); err != nil {
		return nil, fmt.Errorf("frame of %d bytes: input ends at offset %d: %w", size, batchHeader+n, io.ErrUnexpectedEOF)
	}
	b := &Batch{Now: micros(now)}
	pos := 0
	instance, named := uint32(0), false
	for i := uint32(0); i < count; i++ {
		at := batchHeader + pos
		if len(body)-pos < recordHead {
			return nil, fmt.Errorf("record %d at offset %d: frame ends within its head", i, at)
		}
		code := body[pos]
		n := binary.LittleEndian.Uint32(body[pos+1:])
		if uint64(n) > uint64(len(body)-pos-recordHead) {
			return nil, fmt.Errorf("record %d (code %d) at offset %d: impossible length %d", i, code, at, n)
		}
		f := &fields{buf: body[pos+recordHead : pos+recordHead+int(n)]}
		pos += recordHead + int(n)
		rec := Record{Offset: at, Instance: instance}
		emit := true
		switch code {
		case evInstance:
			instance, named = f.u32(), true
			emit = false
		case evLedger:
			emit = false
			d.readList(f)
		case evStart:
			rec.Kind, rec.Seed = Start, f.u64()
			rec.Info = f.bytes(int(f.u32()))
		case evCrash:
			rec.Kind = Crash
		default:
			rec.Event = d.event(code, f)
			if rec.Event == nil && f.err == nil {
				return nil, fmt.Errorf("record %d at offset %d: unknown code %d", i, at, code)
			}
		}
		if f.err == nil && len(f.buf) > 0 {
			f.err = fmt.Errorf("%d bytes too many", len(f.buf))
		}
		if f.err == nil && emit && !named {
			f.err = errors.New("no instance named before it")
		}
		if f.err != nil {
			return nil, fmt.Errorf("record %d (code %d) at offset %d: %w", i, code, at, f.err)
		}
		if emit {
			b.Records = append(b.Records, rec)
		}
	}
	if pos != len(body) {
		return nil, fmt.Errorf("frame: %d bytes left over at offset %d after %d records", len(body)-pos, batchHeader+pos, count)
	}
	return b, nil
}

func (d *Decoder) readList(f *fields) {
	sheet := f.u8()
	n := f.u32()
	if f.err == nil && int(sheet) >= len(d.lists) {
		f.err = fmt.Errorf("list number %d is not within 0 and 15", sheet)
	}
	if f.err == nil && uint64(n)*rowBytes != uint64(len(f.buf)) {
		f.err = fmt.Errorf("impossible count of %d list entries in %d bytes", n, len(f.buf))
	}
	if f.err != nil {
		return
	}
	rows := make([]larkrouter.ServerInfo, n)
	for i := range rows {
		rows[i] = larkrouter.ServerInfo{ID: f.u32(), Zone: int(f.u8()), Kind: int(f.u8()), Number: int(f.u16()),
			Phase: larkrouter.Phase(f.u8()), Weight: f.f32()}
		rows[i].Started = micros(f.u64())
		switch rows[i].Phase {
		case larkrouter.Draining, larkrouter.Ready, larkrouter.Gone:
		default:
			f.err = fmt.Errorf("list entry %d: unknown phase %d", i, rows[i].Phase)
			return
		}
	}
	d.lists[sheet], d.listed[sheet] = rows, true
}

var outcomes = map[uint16]larkrouter.Outcome{200: larkrouter.Completed, 500: larkrouter.Failed, 503: larkrouter.TurnedAway,
	504: larkrouter.TimedOut, 502: larkrouter.NoConnection, 598: larkrouter.Reset, 499: larkrouter.Cancelled,
	410: larkrouter.NotSent}

func (d *Decoder) event(code byte, f *fields) larkrouter.Event {
	switch code {
	case evTargets:
		form, version, sheet := f.u8(), f.u64(), f.u8()
		ev := larkrouter.ServerList{Version: version}
		if f.err != nil {
			return nil
		}
		switch form {
		case 0:
			ev.Kind = larkrouter.ListFailed
			return ev
		case 1:
			ev.Kind = larkrouter.ListFull
		case 2:
			ev.Kind = larkrouter.ListCached
		case 3:
			ev.Kind = larkrouter.ListDelta
		default:
			f.err = fmt.Errorf("unknown form %d of a list", form)
			return nil
		}
		if int(sheet) >= len(d.lists) || !d.listed[sheet] {
			f.err = fmt.Errorf("list number %d has not been sent", sheet)
			return nil
		}
		ev.Servers = d.lists[sheet]
		return ev
	case evAccept:
		ev := larkrouter.Call{ID: f.u64(), Class: int(f.u16()), Tenant: int(f.u32()), Key: f.u64(), Left: micros(uint64(f.u32()))}
		f.u32()
		ev.Destination, ev.Circuits, ev.Via = number(f.f32()), f.f32(), number(f.f32())
		flags := f.u8()
		ev.DialedAgain, ev.InTransit, ev.Returning = flags&2 != 0, flags&8 != 0, flags&16 != 0
		return ev
	case evStreaming:
		ev := larkrouter.Standing{Call: f.u64(), Server: f.u32(), Elapsed: micros(uint64(f.u32()))}
		ev.Attempt = int(f.u16())
		return ev
	case evFinished:
		ev := larkrouter.AttemptOver{Call: f.u64(), Attempt: int(f.u16())}
		cause, verdict := f.u32(), f.u16()
		ev.Elapsed, ev.Server, ev.Ended, ev.Report = micros(uint64(f.u32())), f.u32(), f.u8() != 0, f.report()
		o, ok := outcomes[verdict]
		if !ok && f.err == nil {
			f.err = fmt.Errorf("unknown outcome %d", verdict)
		}
		ev.Outcome = o
		ev.Full = cause&15 == 3
		if ev.Full {
			ev.Wait = time.Duration(cause>>4) * time.Millisecond
		}
		return ev
	case evExpired:
		return larkrouter.CallGone{Call: f.u64()}
	case evFired:
		return larkrouter.Timer{Cookie: f.u64()}
	case evProbed:
		ev := larkrouter.Probed{OK: f.u16() == 200, Elapsed: micros(uint64(f.u32())), Server: f.u32()}
		ev.Report = f.report()
		return ev
	case evPeer:
		ev := larkrouter.PeerMessage{From: int(f.u16())}
		ev.Data = f.bytes(int(f.u16()))
		return ev
	}
	return nil
}

func micros(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/1000)) * time.Microsecond
}

// number reads a server's number that travels as a float; what is none becomes -1.
func number(v float64) int {
	if !(v >= 0 && v < 1<<16) {
		return -1
	}
	return int(v)
}

// fields takes the fields of a record one after another and remembers the first error.
type fields struct {
	buf []byte
	err error
}

func (f *fields) bytes(n int) []byte {
	if f.err == nil && (n < 0 || n > len(f.buf)) {
		f.err = fmt.Errorf("impossible length: %d bytes wanted, %d left", n, len(f.buf))
	}
	if f.err != nil {
		return nil
	}
	out := f.buf[:n]
	f.buf = f.buf[n:]
	return out
}

func (f *fields) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *fields) f32() float64 { return float64(math.Float32frombits(f.u32())) }

func (f *fields) report() []float64 {
	n := int(f.u8())
	if f.err != nil || n == 0 {
		return nil
	}
	if n*4 > len(f.buf) {
		f.err = fmt.Errorf("impossible count: %d report values in %d bytes", n, len(f.buf))
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = f.f32()
	}
	return out
}

// Reply collects the actions that answer a batch.
type Reply struct {
	buf   []byte
	count uint32
	by    uint32
	named bool
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	r.count, r.named = 0, false
}

// Add appends an instance's action.
func (r *Reply) Add(instance uint32, a larkrouter.Action) error {
	le := binary.LittleEndian
	switch a := a.(type) {
	case larkrouter.Attempt:
		f := le.AppendUint64(r.open(instance, acAttempt, 16), a.Call)
		r.buf = le.AppendUint32(le.AppendUint32(f, toMicros(a.Timeout)), a.Server)
	case larkrouter.Cancel:
		r.buf = le.AppendUint16(le.AppendUint64(r.open(instance, acCancel, 10), a.Call), uint16(a.Attempt))
	case larkrouter.Refuse:
		r.buf = le.AppendUint32(le.AppendUint64(r.open(instance, acRefuse, 12), a.Call), toMicros(a.RetryAfter))
	case larkrouter.Abandon:
		r.buf = le.AppendUint64(r.open(instance, acAbandon, 8), a.Call)
	case larkrouter.Wake:
		r.buf = le.AppendUint32(le.AppendUint64(r.open(instance, acWake, 12), a.Cookie), toMicros(a.After))
	case larkrouter.Subscribe:
		on := byte(0)
		if a.On {
			on = 1
		}
		r.buf = append(r.open(instance, acSubscribe, 1), on)
	case larkrouter.FetchList:
		r.buf = r.open(instance, acFetch, 0)
	case larkrouter.Probe:
		r.buf = le.AppendUint32(r.open(instance, acProbe, 4), a.Server)
	case larkrouter.Tell:
		to := uint16(math.MaxUint16)
		if a.To >= 0 {
			to = uint16(a.To)
		}
		r.buf = append(le.AppendUint16(le.AppendUint16(r.open(instance, acTell, 4+len(a.Data)), to), uint16(len(a.Data))), a.Data...)
	case larkrouter.Log:
		r.text(instance, acLog, a.Text)
	default:
		return fmt.Errorf("action of unknown type %T", a)
	}
	return nil
}

// Bug reports that an instance can't go on.
func (r *Reply) Bug(instance uint32, text string) { r.text(instance, acBug, text) }

func (r *Reply) text(instance uint32, code byte, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.buf = append(binary.LittleEndian.AppendUint16(r.open(instance, code, 2+len(text)), uint16(len(text))), text...)
}

// open starts a record, naming the instance first where it changes.
func (r *Reply) open(instance uint32, code byte, size int) []byte {
	if !r.named || r.by != instance {
		r.buf = append(r.buf, acBy, 4, 0, 0, 0)
		r.buf = binary.LittleEndian.AppendUint32(r.buf, instance)
		r.by, r.named = instance, true
		r.count++
	}
	r.count++
	return binary.LittleEndian.AppendUint32(append(r.buf, code), uint32(size))
}

// Bytes returns the finished frame, which holds until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[0:], r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)))
	return r.buf
}

func toMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}
