package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Sizes and marks of the format; docs/store.md is written after them.
const (
	formatVersion = 1
	headerSize    = 40
	frameHead     = 8
	footerSize    = 44
	footerMark    = 0xffffffff
	maxFrame      = 64 << 20
)

var magic = [8]byte{'L', 'A', 'R', 'K', 'S', 'E', 'G', formatVersion}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sum covers the place too: bytes that look like an entry, as a value may hold them, are none anywhere else.
func sum(seg uint64, off int64, b []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], seg)
	binary.LittleEndian.PutUint64(place[8:], uint64(off))
	return crc32.Update(crc32.Update(0, castagnoli, place[:]), castagnoli, b)
}

type opKind uint8

const (
	opPut opKind = iota + 1
	opDelete
)

// op is one change within a frame.
type op struct {
	kind    opKind
	seq     uint64
	coll    string
	key     string
	expires int64 // Unix milliseconds; 0: never
	value   []byte
}

func appendHeader(b []byte, id, base uint64, now int64) []byte {
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint64(b, id)
	b = binary.LittleEndian.AppendUint64(b, base)
	b = binary.LittleEndian.AppendUint64(b, uint64(now))
	b = binary.LittleEndian.AppendUint32(b, sum(id, 0, b[at:at+32]))
	return binary.LittleEndian.AppendUint32(b, 0)
}

var errHeader = errors.New("header does not check")

func readHeader(b []byte, id uint64) (base uint64, err error) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b[32:]) != sum(id, 0, b[:32]) || binary.LittleEndian.Uint32(b[36:]) != 0 {
		return 0, errHeader
	}
	if b[7] != formatVersion || string(b[:7]) != string(magic[:7]) {
		return 0, fmt.Errorf("format version %d, this program reads %d", b[7], formatVersion)
	}
	if binary.LittleEndian.Uint64(b[8:]) != id {
		return 0, errHeader
	}
	return binary.LittleEndian.Uint64(b[16:]), nil
}

// footer ends a sealed segment.
type footer struct {
	count, last uint64 // frames, highest sequence number
	base        uint64
	now         int64
	content     uint32 // over the heads of all entries: two files with one footer hold the same
}

func appendFooter(b []byte, id uint64, off int64, f footer) []byte {
	var body [footerSize - frameHead]byte
	binary.LittleEndian.PutUint64(body[0:], f.count)
	binary.LittleEndian.PutUint64(body[8:], f.last)
	binary.LittleEndian.PutUint64(body[16:], f.base)
	binary.LittleEndian.PutUint64(body[24:], uint64(f.now))
	binary.LittleEndian.PutUint32(body[32:], f.content)
	b = binary.LittleEndian.AppendUint32(b, footerMark)
	b = binary.LittleEndian.AppendUint32(b, sum(id, off, body[:]))
	return append(b, body[:]...)
}

func readFooter(b []byte, id uint64, off int64) (f footer, ok bool) {
	if len(b) != footerSize || binary.LittleEndian.Uint32(b) != footerMark || binary.LittleEndian.Uint32(b[4:]) != sum(id, off, b[8:]) {
		return f, false
	}
	return footer{count: binary.LittleEndian.Uint64(b[8:]), last: binary.LittleEndian.Uint64(b[16:]), base: binary.LittleEndian.Uint64(b[24:]),
		now: int64(binary.LittleEndian.Uint64(b[32:])), content: binary.LittleEndian.Uint32(b[40:])}, true
}

// headSum adds an entry's head, which holds the sum of its content, to the sum over a segment's.
func headSum(content uint32, frame []byte) uint32 {
	return crc32.Update(content, castagnoli, frame[:frameHead])
}

// appendFrame writes ops with consecutive sequence numbers from first on.
func appendFrame(b []byte, seg uint64, off int64, first uint64, ops []op) []byte {
	at := len(b)
	b = append(b, make([]byte, frameHead)...)
	b = binary.AppendUvarint(b, first)
	b = binary.AppendUvarint(b, uint64(len(ops)))
	for i := range ops {
		o := &ops[i]
		b = append(b, byte(o.kind))
		b = binary.AppendUvarint(b, uint64(len(o.coll)))
		b = append(b, o.coll...)
		b = binary.AppendUvarint(b, uint64(len(o.key)))
		b = append(b, o.key...)
		b = binary.AppendVarint(b, o.expires)
		b = binary.AppendUvarint(b, uint64(len(o.value)))
		b = append(b, o.value...)
	}
	payload := b[at+frameHead:]
	binary.LittleEndian.PutUint32(b[at:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[at+4:], sum(seg, off, payload))
	return b
}

// frameAt checks the frame at an offset of a segment's bytes and gives its payload.
func frameAt(b []byte, seg uint64, off int64) (payload []byte, ok bool) {
	if off < 0 || int64(len(b)) < off+frameHead {
		return nil, false
	}
	n := int64(binary.LittleEndian.Uint32(b[off:]))
	if n == 0 || n > maxFrame || off+frameHead+n > int64(len(b)) {
		return nil, false
	}
	payload = b[off+frameHead : off+frameHead+n]
	return payload, binary.LittleEndian.Uint32(b[off+4:]) == sum(seg, off, payload)
}

var errPayload = errors.New("an entry that checks can't be read: written by another version?")

// readOps takes a payload apart; values and names point into it.
func readOps(p []byte, each func(o op)) error {
	num := func() (uint64, bool) {
		n, k := binary.Uvarint(p)
		if k <= 0 {
			return 0, false
		}
		p = p[k:]
		return n, true
	}
	str := func() ([]byte, bool) {
		n, ok := num()
		if !ok || n > uint64(len(p)) {
			return nil, false
		}
		s := p[:n]
		p = p[n:]
		return s, true
	}
	first, ok := num()
	count, ok2 := num()
	if !ok || !ok2 {
		return errPayload
	}
	for i := uint64(0); i < count; i++ {
		if len(p) == 0 {
			return errPayload
		}
		o := op{kind: opKind(p[0]), seq: first + i}
		p = p[1:]
		coll, ok := str()
		key, ok2 := str()
		if !ok || !ok2 {
			return errPayload
		}
		var k int
		if o.expires, k = binary.Varint(p); k <= 0 {
			return errPayload
		}
		p = p[k:]
		if o.value, ok = str(); !ok || o.kind != opPut && o.kind != opDelete {
			return errPayload
		}
		o.coll, o.key = string(coll), string(key)
		each(o)
	}
	return nil
}
