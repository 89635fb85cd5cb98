// Package wire encodes and decodes the binary frames between the simulator and the adapter. It converts between records
// and the types of package larkrouter and makes no decisions.
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
	batchHeaderSize  = 16      // bytes before the first record of a batch
	replyHeaderSize  = 8       // bytes before the first record of a reply
	recordHeaderSize = 5       // code and length of a record
	listEntrySize    = 21      // bytes per entry of a server list
	maxFrameSize     = 1 << 28 // a longer frame is invalid
)

// Codes of the records of a batch.
const (
	evServerList    = 1 // the content of a server list, stored under a number
	evStanding      = 2
	evStart         = 3
	evPeerMessage   = 4
	evTimer         = 5
	evAttemptResult = 6
	evCall          = 7
	evInstance      = 8 // names the instance of the records that follow
	evProbeResult   = 9
	evCallCancelled = 10
	evListUpdate    = 11 // delivers a stored server list to an instance
	evCrash         = 12
)

// Codes of the records of a reply.
const (
	acSubscribe      = 1
	acInstance       = 2 // names the instance of the records that follow
	acFetchList      = 3
	acWake           = 4
	acInstanceFailed = 5
	acCancel         = 6
	acSendToPeer     = 7
	acProbe          = 8
	acAttempt        = 10
	acAbandon        = 11
	acLog            = 12
	acRefuse         = 13
)

// Kind is the kind of a Record.
type Kind uint8

// Values of Kind.
const (
	Event Kind = iota // an event: Event is set
	Start             // an instance starts: Seed and Settings are set
	Crash             // an instance ends without notice
)

// Record is an input of an instance.
type Record struct {
	Offset   int // position of the record in its frame, in bytes
	Instance uint32
	Kind     Kind
	Event    larkrouter.Event
	Seed     uint64
	Settings []byte
}

// Batch is a decoded frame: records of one time.
type Batch struct {
	Now     time.Duration
	Records []Record
}

// Decoder decodes batches from a reader. It keeps the server lists that later records refer to by number.
type Decoder struct {
	r         io.Reader
	lists     [16][]larkrouter.ServerInfo
	listKnown [16]bool
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next decodes the next batch. It returns io.EOF if the input ends between frames.
func (d *Decoder) Next() (*Batch, error) {
	var head [batchHeaderSize]byte
	if n, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header at offset 0: input ends after %d of %d bytes: %w", n, batchHeaderSize, err)
	}
	count := binary.LittleEndian.Uint32(head[0:])
	size := binary.LittleEndian.Uint32(head[4:])
	now := binary.LittleEndian.Uint64(head[8:])
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, fmt.Errorf("frame header at offset 4: invalid length %d, must be between 16 and 2^28", size)
	}
	if uint64(count)*recordHeaderSize > uint64(size)-batchHeaderSize {
		return nil, fmt.Errorf("frame header at offset 0: invalid count %d in %d bytes, each record must have at least 5", count, size)
	}
	if now > math.MaxInt64/1000 {
		return nil, fmt.Errorf("frame header at offset 8: invalid clock %d, must be microseconds that fit in a Duration", now)
	}
	body := make([]byte, size-batchHeaderSize)
	if n, err := io.ReadFull(d.r, body); err != nil {
		return nil, fmt.Errorf("frame of %d bytes: input ends at offset %d: %w", size, batchHeaderSize+n, io.ErrUnexpectedEOF)
	}
	batch := &Batch{Now: micros(now)}
	pos := 0
	instance, hasInstance := uint32(0), false
	for i := uint32(0); i < count; i++ {
		offset := batchHeaderSize + pos
		if len(body)-pos < recordHeaderSize {
			return nil, fmt.Errorf("record %d at offset %d: frame ends within the record header", i, offset)
		}
		code := body[pos]
		n := binary.LittleEndian.Uint32(body[pos+1:])
		if uint64(n) > uint64(len(body)-pos-recordHeaderSize) {
			return nil, fmt.Errorf("record %d (code %d) at offset %d: invalid length %d, must end within the frame", i, code, offset, n)
		}
		reader := &fieldReader{buf: body[pos+recordHeaderSize : pos+recordHeaderSize+int(n)]}
		pos += recordHeaderSize + int(n)
		record := Record{Offset: offset, Instance: instance}
		isInput := true
		switch code {
		case evInstance:
			instance, hasInstance = reader.u32(), true
			isInput = false
		case evServerList:
			isInput = false
			d.readServerList(reader)
		case evStart:
			record.Kind, record.Seed = Start, reader.u64()
			record.Settings = reader.bytes(int(reader.u32()))
		case evCrash:
			record.Kind = Crash
		default:
			record.Event = d.decodeEvent(code, reader)
			if record.Event == nil && reader.err == nil {
				return nil, fmt.Errorf("record %d at offset %d: unknown code %d", i, offset, code)
			}
		}
		if reader.err == nil && len(reader.buf) > 0 {
			reader.err = fmt.Errorf("%d bytes left over in the record", len(reader.buf))
		}
		if reader.err == nil && isInput && !hasInstance {
			reader.err = errors.New("no instance named before the record")
		}
		if reader.err != nil {
			return nil, fmt.Errorf("record %d (code %d) at offset %d: %w", i, code, offset, reader.err)
		}
		if isInput {
			batch.Records = append(batch.Records, record)
		}
	}
	if pos != len(body) {
		return nil, fmt.Errorf("frame: %d bytes left over at offset %d after %d records", len(body)-pos, batchHeaderSize+pos, count)
	}
	return batch, nil
}

// readServerList reads a server list and stores it under its number.
func (d *Decoder) readServerList(f *fieldReader) {
	number := f.u8()
	count := f.u32()
	if f.err == nil && int(number) >= len(d.lists) {
		f.err = fmt.Errorf("list number must be between 0 and 15, got %d", number)
	}
	if f.err == nil && uint64(count)*listEntrySize != uint64(len(f.buf)) {
		f.err = fmt.Errorf("invalid count: %d list entries in %d bytes", count, len(f.buf))
	}
	if f.err != nil {
		return
	}
	entries := make([]larkrouter.ServerInfo, count)
	for i := range entries {
		entries[i] = larkrouter.ServerInfo{ID: f.u32(), Zone: int(f.u8()), Kind: int(f.u8()), Number: int(f.u16()),
			Phase: larkrouter.Phase(f.u8()), Weight: f.f32()}
		entries[i].Started = micros(f.u64())
		switch entries[i].Phase {
		case larkrouter.Draining, larkrouter.Ready, larkrouter.Gone:
		default:
			f.err = fmt.Errorf("list entry %d: unknown phase %d, must be 0, 2 or 3", i, entries[i].Phase)
			return
		}
	}
	d.lists[number], d.listKnown[number] = entries, true
}

// outcomes maps the status of a finished attempt to its outcome.
var outcomes = map[uint16]larkrouter.Outcome{200: larkrouter.Completed, 500: larkrouter.Failed, 503: larkrouter.Rejected,
	504: larkrouter.TimedOut, 502: larkrouter.NoConnection, 598: larkrouter.Reset, 499: larkrouter.Cancelled,
	410: larkrouter.NotSent}

// decodeEvent returns the event of a record, or nil if its code is unknown or f has an error.
func (d *Decoder) decodeEvent(code byte, f *fieldReader) larkrouter.Event {
	switch code {
	case evListUpdate:
		kind, version, listNumber := f.u8(), f.u64(), f.u8()
		ev := larkrouter.ServerList{Version: version}
		if f.err != nil {
			return nil
		}
		switch kind {
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
			f.err = fmt.Errorf("unknown kind %d of a server list, must be between 0 and 3", kind)
			return nil
		}
		if int(listNumber) >= len(d.lists) || !d.listKnown[listNumber] {
			f.err = fmt.Errorf("list number %d has not been sent before", listNumber)
			return nil
		}
		ev.Servers = d.lists[listNumber]
		return ev
	case evCall:
		ev := larkrouter.Call{ID: f.u64(), Class: int(f.u16()), Tenant: int(f.u32()), CalledNumber: f.u64(), TimeLeft: micros(uint64(f.u32()))}
		f.u32()
		ev.Destination, ev.Circuits, ev.RouteHint = serverNumber(f.f32()), f.f32(), serverNumber(f.f32())
		flags := f.u8()
		ev.IsRedial, ev.InTransit, ev.WasCutOff = flags&2 != 0, flags&8 != 0, flags&16 != 0
		return ev
	case evStanding:
		ev := larkrouter.Standing{Call: f.u64(), Server: f.u32(), Elapsed: micros(uint64(f.u32()))}
		ev.Attempt = int(f.u16())
		return ev
	case evAttemptResult:
		ev := larkrouter.AttemptResult{Call: f.u64(), Attempt: int(f.u16())}
		cause, status := f.u32(), f.u16()
		ev.Elapsed, ev.Server, ev.CallEnded, ev.Report = micros(uint64(f.u32())), f.u32(), f.u8() != 0, f.report()
		outcome, ok := outcomes[status]
		if !ok && f.err == nil {
			f.err = fmt.Errorf("unknown outcome %d, must be one of 200, 410, 499, 500, 502, 503, 504, 598", status)
		}
		ev.Outcome = outcome
		ev.ServerFull = cause&15 == 3
		if ev.ServerFull {
			ev.ServerWait = time.Duration(cause>>4) * time.Millisecond
		}
		return ev
	case evCallCancelled:
		return larkrouter.CallCancelled{Call: f.u64()}
	case evTimer:
		return larkrouter.Timer{Cookie: f.u64()}
	case evProbeResult:
		ev := larkrouter.ProbeResult{OK: f.u16() == 200, Elapsed: micros(uint64(f.u32())), Server: f.u32()}
		ev.Report = f.report()
		return ev
	case evPeerMessage:
		ev := larkrouter.PeerMessage{From: int(f.u16())}
		ev.Data = f.bytes(int(f.u16()))
		return ev
	}
	return nil
}

// micros converts microseconds to a Duration, limited to the range of one.
func micros(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/1000)) * time.Microsecond
}

// serverNumber converts a server's number, which is transmitted as a float; -1 if v is not a valid number.
func serverNumber(v float64) int {
	if !(v >= 0 && v < 1<<16) {
		return -1
	}
	return int(v)
}

// fieldReader reads the fields of a record in sequence and keeps the first error.
type fieldReader struct {
	buf []byte
	err error
}

// bytes returns the next n bytes, or nil after an error.
func (f *fieldReader) bytes(n int) []byte {
	if f.err == nil && (n < 0 || n > len(f.buf)) {
		f.err = fmt.Errorf("invalid length: need %d bytes, %d left", n, len(f.buf))
	}
	if f.err != nil {
		return nil
	}
	out := f.buf[:n]
	f.buf = f.buf[n:]
	return out
}

func (f *fieldReader) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *fieldReader) f32() float64 { return float64(math.Float32frombits(f.u32())) }

// report reads a list of report values, preceded by their number in a byte.
func (f *fieldReader) report() []float64 {
	n := int(f.u8())
	if f.err != nil || n == 0 {
		return nil
	}
	if n*4 > len(f.buf) {
		f.err = fmt.Errorf("invalid count: %d report values in %d bytes", n, len(f.buf))
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = f.f32()
	}
	return out
}

// Reply encodes the actions that answer a batch.
type Reply struct {
	buf         []byte
	count       uint32
	instance    uint32
	hasInstance bool
}

// Reset clears the reply for the next batch.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	r.count, r.hasInstance = 0, false
}

// Add appends an action of an instance.
func (r *Reply) Add(instance uint32, action larkrouter.Action) error {
	byteOrder := binary.LittleEndian
	switch action := action.(type) {
	case larkrouter.Attempt:
		buf := byteOrder.AppendUint64(r.beginRecord(instance, acAttempt, 16), action.Call)
		r.buf = byteOrder.AppendUint32(byteOrder.AppendUint32(buf, toMicros(action.Timeout)), action.Server)
	case larkrouter.Cancel:
		r.buf = byteOrder.AppendUint16(byteOrder.AppendUint64(r.beginRecord(instance, acCancel, 10), action.Call), uint16(action.Attempt))
	case larkrouter.Refuse:
		r.buf = byteOrder.AppendUint32(byteOrder.AppendUint64(r.beginRecord(instance, acRefuse, 12), action.Call), toMicros(action.RetryAfter))
	case larkrouter.Abandon:
		r.buf = byteOrder.AppendUint64(r.beginRecord(instance, acAbandon, 8), action.Call)
	case larkrouter.Wake:
		r.buf = byteOrder.AppendUint32(byteOrder.AppendUint64(r.beginRecord(instance, acWake, 12), action.Cookie), toMicros(action.After))
	case larkrouter.Subscribe:
		on := byte(0)
		if action.On {
			on = 1
		}
		r.buf = append(r.beginRecord(instance, acSubscribe, 1), on)
	case larkrouter.FetchList:
		r.buf = r.beginRecord(instance, acFetchList, 0)
	case larkrouter.Probe:
		r.buf = byteOrder.AppendUint32(r.beginRecord(instance, acProbe, 4), action.Server)
	case larkrouter.SendToPeer:
		to := uint16(math.MaxUint16)
		if action.To >= 0 {
			to = uint16(action.To)
		}
		r.buf = append(byteOrder.AppendUint16(byteOrder.AppendUint16(r.beginRecord(instance, acSendToPeer, 4+len(action.Data)), to),
			uint16(len(action.Data))), action.Data...)
	case larkrouter.Log:
		r.addText(instance, acLog, action.Text)
	default:
		return fmt.Errorf("unknown type of action %T", action)
	}
	return nil
}

// AddFailure reports that an instance cannot run.
func (r *Reply) AddFailure(instance uint32, text string) { r.addText(instance, acInstanceFailed, text) }

// addText appends a record that holds a text, truncated to what its length field can express.
func (r *Reply) addText(instance uint32, code byte, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.buf = append(binary.LittleEndian.AppendUint16(r.beginRecord(instance, code, 2+len(text)), uint16(len(text))), text...)
}

// beginRecord appends the header of a record. A record that names the instance precedes it if the instance differs from
// the one before.
func (r *Reply) beginRecord(instance uint32, code byte, size int) []byte {
	if !r.hasInstance || r.instance != instance {
		r.buf = append(r.buf, acInstance, 4, 0, 0, 0)
		r.buf = binary.LittleEndian.AppendUint32(r.buf, instance)
		r.instance, r.hasInstance = instance, true
		r.count++
	}
	r.count++
	return binary.LittleEndian.AppendUint32(append(r.buf, code), uint32(size))
}

// Bytes returns the encoded frame, which is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[0:], r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)))
	return r.buf
}

// toMicros converts a Duration to microseconds, limited to the range of the result.
func toMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}
