package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"
)

var hintMagic = [8]byte{'L', 'A', 'R', 'K', 'H', 'N', 'T', formatVersion}

// writeHint puts the index of a sealed segment into a file beside it, so that a start need not read the segment. It is
// only ever a help: what goes wrong leaves a file that does not check, and the segment is read.
func (s *Store) writeHint(g *segment, ops []loadedOp, foot []byte) {
	b := append([]byte{}, hintMagic[:]...)
	b = binary.LittleEndian.AppendUint64(b, g.id)
	b = binary.LittleEndian.AppendUint64(b, uint64(g.size))
	b = append(b, foot...)
	b = binary.AppendUvarint(b, g.first)
	b = binary.AppendUvarint(b, uint64(len(ops)))
	for i := range ops {
		o := &ops[i]
		b = append(b, byte(o.kind))
		b = binary.AppendUvarint(b, uint64(len(o.coll)))
		b = append(b, o.coll...)
		b = binary.AppendUvarint(b, uint64(len(o.key)))
		b = append(b, o.key...)
		b = binary.AppendUvarint(b, o.loc.seq)
		b = binary.AppendUvarint(b, uint64(o.off))
		b = binary.AppendUvarint(b, uint64(o.frame))
		b = binary.AppendUvarint(b, uint64(o.loc.op))
		b = binary.AppendVarint(b, o.loc.expires)
		b = binary.AppendUvarint(b, uint64(o.size))
	}
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	name := hintName(g.id)
	_ = s.fs.Remove(name)
	f, err := s.fs.Create(name)
	if err != nil {
		return
	}
	_, _ = f.Write(b)
	f.Close()
}

// byHint loads a segment's index from its hints, if they check and belong to just this file.
func (s *Store) byHint(l *loaded, size int64) bool {
	g := l.seg
	if s.opt.whole || size < headerSize+footerSize {
		return false
	}
	b, err := readAll(s.fs, hintName(g.id))
	if err != nil || len(b) < 8+16+footerSize+4 {
		return false
	}
	body := b[:len(b)-4]
	if binary.LittleEndian.Uint32(b[len(b)-4:]) != crc32.Checksum(body, castagnoli) || !bytes.Equal(body[:8], hintMagic[:]) ||
		binary.LittleEndian.Uint64(body[8:]) != g.id || binary.LittleEndian.Uint64(body[16:]) != uint64(size) {
		return false
	}
	foot := make([]byte, footerSize)
	if _, err := g.file.ReadAt(foot, size-footerSize); err != nil || !bytes.Equal(foot, body[24:24+footerSize]) {
		return false
	}
	ft, ok := readFooter(foot, g.id, size-footerSize)
	if !ok {
		return false
	}
	head := make([]byte, headerSize)
	if _, err := g.file.ReadAt(head, 0); err != nil {
		return false
	}
	if base, err := readHeader(head, g.id); err != nil || base != ft.base {
		return false
	}
	p := body[24+footerSize:]
	bad := false
	num := func() uint64 {
		n, k := binary.Uvarint(p)
		if k <= 0 {
			bad = true
			return 0
		}
		p = p[k:]
		return n
	}
	str := func() string {
		n := num()
		if n > uint64(len(p)) {
			bad = true
			return ""
		}
		v := string(p[:n])
		p = p[n:]
		return v
	}
	g.first = num()
	count := num()
	coll := ""
	for range count {
		if len(p) == 0 || bad {
			bad = true
			break
		}
		var o loadedOp
		o.kind = opKind(p[0])
		p = p[1:]
		if c := str(); c != coll {
			coll = c
		}
		o.coll, o.key = coll, str()
		o.loc.seq, o.off = num(), int64(num())
		frame, place := num(), num()
		if frame > math.MaxUint32 || place > math.MaxUint32 || bad {
			bad = true
			break
		}
		o.frame, o.loc.op = uint32(frame), uint32(place)
		var k int
		if o.loc.expires, k = binary.Varint(p); k <= 0 {
			bad = true
			break
		}
		p = p[k:]
		o.size = uint32(num())
		o.seg = g
		l.ops = append(l.ops, o)
	}
	if bad {
		l.ops, g.first = nil, 0
		return false
	}
	g.content = ft.content
	g.frames, g.last, g.base, g.sealed = ft.count, ft.last, ft.base, true
	l.sealed, l.base, l.now = true, ft.base, ft.now
	return true
}
