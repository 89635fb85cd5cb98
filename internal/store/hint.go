package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"
)

// hintMagic is at the start of every hint file.
var hintMagic = [8]byte{'L', 'A', 'R', 'K', 'H', 'N', 'T', formatVersion}

// writeHint writes the index of a sealed segment to a hint file beside it, so that Open need not read the whole segment.
// Errors are ignored: Open reads the segment itself if the hint file is missing or invalid.
func (s *Store) writeHint(seg *segment, ops []loadedOp, footerBytes []byte) {
	buf := append([]byte{}, hintMagic[:]...)
	buf = binary.LittleEndian.AppendUint64(buf, seg.id)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(seg.size))
	buf = append(buf, footerBytes...)
	buf = binary.AppendUvarint(buf, seg.firstSeq)
	buf = binary.AppendUvarint(buf, uint64(len(ops)))
	for i := range ops {
		loaded := &ops[i]
		buf = append(buf, byte(loaded.kind))
		buf = binary.AppendUvarint(buf, uint64(len(loaded.coll)))
		buf = append(buf, loaded.coll...)
		buf = binary.AppendUvarint(buf, uint64(len(loaded.key)))
		buf = append(buf, loaded.key...)
		buf = binary.AppendUvarint(buf, loaded.location.seq)
		buf = binary.AppendUvarint(buf, uint64(loaded.offset))
		buf = binary.AppendUvarint(buf, uint64(loaded.frameSize))
		buf = binary.AppendUvarint(buf, uint64(loaded.location.opIndex))
		buf = binary.AppendVarint(buf, loaded.location.expires)
		buf = binary.AppendUvarint(buf, uint64(loaded.size))
	}
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
	name := hintName(seg.id)
	_ = s.fs.Remove(name)
	file, err := s.fs.Create(name)
	if err != nil {
		return
	}
	_, _ = file.Write(buf)
	file.Close()
}

// loadHint loads the index of a segment from its hint file. It reports false if the hint file is missing or invalid, or
// does not belong to exactly this segment.
func (s *Store) loadHint(loading *loadedSegment, size int64) bool {
	seg := loading.seg
	if s.options.ignoreHints || size < headerSize+footerSize {
		return false
	}
	file, err := readAll(s.fs, hintName(seg.id))
	if err != nil || len(file) < 8+16+footerSize+4 {
		return false
	}
	content := file[:len(file)-4]
	if binary.LittleEndian.Uint32(file[len(file)-4:]) != crc32.Checksum(content, castagnoli) || !bytes.Equal(content[:8], hintMagic[:]) ||
		binary.LittleEndian.Uint64(content[8:]) != seg.id || binary.LittleEndian.Uint64(content[16:]) != uint64(size) {
		return false
	}
	footerBytes := make([]byte, footerSize)
	if _, err := seg.file.ReadAt(footerBytes, size-footerSize); err != nil || !bytes.Equal(footerBytes, content[24:24+footerSize]) {
		return false
	}
	foot, ok := readFooter(footerBytes, seg.id, size-footerSize)
	if !ok {
		return false
	}
	header := make([]byte, headerSize)
	if _, err := seg.file.ReadAt(header, 0); err != nil {
		return false
	}
	if replacesUpTo, err := readHeader(header, seg.id); err != nil || replacesUpTo != foot.replacesUpTo {
		return false
	}
	rest := content[24+footerSize:]
	malformed := false
	readUvarint := func() uint64 {
		n, size := binary.Uvarint(rest)
		if size <= 0 {
			malformed = true
			return 0
		}
		rest = rest[size:]
		return n
	}
	readString := func() string {
		n := readUvarint()
		if n > uint64(len(rest)) {
			malformed = true
			return ""
		}
		value := string(rest[:n])
		rest = rest[n:]
		return value
	}
	seg.firstSeq = readUvarint()
	count := readUvarint()
	coll := ""
	for range count {
		if len(rest) == 0 || malformed {
			malformed = true
			break
		}
		var loaded loadedOp
		loaded.kind = opKind(rest[0])
		rest = rest[1:]
		if c := readString(); c != coll {
			coll = c
		}
		loaded.coll, loaded.key = coll, readString()
		loaded.location.seq, loaded.offset = readUvarint(), int64(readUvarint())
		frameSize, opIndex := readUvarint(), readUvarint()
		if frameSize > math.MaxUint32 || opIndex > math.MaxUint32 || malformed {
			malformed = true
			break
		}
		loaded.frameSize, loaded.location.opIndex = uint32(frameSize), uint32(opIndex)
		var size int
		if loaded.location.expires, size = binary.Varint(rest); size <= 0 {
			malformed = true
			break
		}
		rest = rest[size:]
		loaded.size = uint32(readUvarint())
		loaded.seg = seg
		loading.ops = append(loading.ops, loaded)
	}
	if malformed {
		loading.ops, seg.firstSeq = nil, 0
		return false
	}
	seg.contentSum = foot.contentSum
	seg.frameCount, seg.lastSeq, seg.replacesUpTo, seg.sealed = foot.frameCount, foot.lastSeq, foot.replacesUpTo, true
	loading.sealed, loading.replacesUpTo, loading.sealedAt = true, foot.replacesUpTo, foot.sealedAt
	return true
}
