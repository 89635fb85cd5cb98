package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Constants of the file format, which docs/store.md specifies. Sizes are in bytes.
const (
	formatVersion   = 1
	headerSize      = 40
	frameHeaderSize = 8
	footerSize      = 44
	footerMarker    = 0xffffffff
	maxFramePayload = 64 << 20
)

// segmentMagic is at the start of every segment; its last byte is the format version.
var segmentMagic = [8]byte{'L', 'A', 'R', 'K', 'S', 'E', 'G', formatVersion}

// castagnoli is the CRC-32C table of all checksums in the store.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum of b as stored in segment seg at the given offset. It covers the position as well, so that a
// copy of a frame elsewhere, for example inside a value, is not mistaken for a frame.
func checksum(seg uint64, offset int64, b []byte) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], seg)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Update(0, castagnoli, position[:]), castagnoli, b)
}

// opKind is the kind of a change. Its values are part of the file format.
type opKind uint8

// The kinds of changes.
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
	expires int64 // Unix milliseconds; 0 if the record does not expire; while negative, see PutTTL
	value   []byte
}

// appendHeader appends the header of segment id to buf. replacesUpTo is the highest ID of the segments that a compaction replaced
// with this one, or 0. now is in Unix milliseconds.
func appendHeader(buf []byte, id, replacesUpTo uint64, now int64) []byte {
	start := len(buf)
	buf = append(buf, segmentMagic[:]...)
	buf = binary.LittleEndian.AppendUint64(buf, id)
	buf = binary.LittleEndian.AppendUint64(buf, replacesUpTo)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(now))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(id, 0, buf[start:start+32]))
	return binary.LittleEndian.AppendUint32(buf, 0)
}

// errBadHeader is returned for a header that is truncated or has a wrong checksum or segment ID.
var errBadHeader = errors.New("invalid segment header")

// readHeader validates the header of segment id and returns its replacesUpTo.
func readHeader(b []byte, id uint64) (replacesUpTo uint64, err error) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b[32:]) != checksum(id, 0, b[:32]) || binary.LittleEndian.Uint32(b[36:]) != 0 {
		return 0, errBadHeader
	}
	if b[7] != formatVersion || string(b[:7]) != string(segmentMagic[:7]) {
		return 0, fmt.Errorf("unsupported segment format version %d, this program reads version %d", b[7], formatVersion)
	}
	if binary.LittleEndian.Uint64(b[8:]) != id {
		return 0, errBadHeader
	}
	return binary.LittleEndian.Uint64(b[16:]), nil
}

// footer is the last part of a sealed segment.
type footer struct {
	frameCount, lastSeq uint64 // number of frames, highest sequence number
	replacesUpTo        uint64 // as in segment
	sealedAt            int64  // Unix milliseconds
	contentSum          uint32 // checksum over the headers of all frames; identifies the content of the segment
}

// appendFooter appends the footer of segment id, which is stored at the given offset.
func appendFooter(buf []byte, id uint64, offset int64, foot footer) []byte {
	var body [footerSize - frameHeaderSize]byte
	binary.LittleEndian.PutUint64(body[0:], foot.frameCount)
	binary.LittleEndian.PutUint64(body[8:], foot.lastSeq)
	binary.LittleEndian.PutUint64(body[16:], foot.replacesUpTo)
	binary.LittleEndian.PutUint64(body[24:], uint64(foot.sealedAt))
	binary.LittleEndian.PutUint32(body[32:], foot.contentSum)
	buf = binary.LittleEndian.AppendUint32(buf, footerMarker)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(id, offset, body[:]))
	return append(buf, body[:]...)
}

// readFooter decodes the footer of segment id at the given offset; ok is false if it is not a valid footer.
func readFooter(b []byte, id uint64, offset int64) (foot footer, ok bool) {
	if len(b) != footerSize || binary.LittleEndian.Uint32(b) != footerMarker ||
		binary.LittleEndian.Uint32(b[4:]) != checksum(id, offset, b[8:]) {
		return foot, false
	}
	return footer{frameCount: binary.LittleEndian.Uint64(b[8:]), lastSeq: binary.LittleEndian.Uint64(b[16:]),
		replacesUpTo: binary.LittleEndian.Uint64(b[24:]),
		sealedAt:     int64(binary.LittleEndian.Uint64(b[32:])), contentSum: binary.LittleEndian.Uint32(b[40:])}, true
}

// addToContentSum adds the header of a frame, which contains the frame's checksum, to the content checksum of a segment.
func addToContentSum(content uint32, frame []byte) uint32 {
	return crc32.Update(content, castagnoli, frame[:frameHeaderSize])
}

// appendFrame appends a frame with ops, whose sequence numbers are consecutive from firstSeq on.
func appendFrame(buf []byte, seg uint64, offset int64, firstSeq uint64, ops []op) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderSize)...)
	buf = binary.AppendUvarint(buf, firstSeq)
	buf = binary.AppendUvarint(buf, uint64(len(ops)))
	for i := range ops {
		change := &ops[i]
		buf = append(buf, byte(change.kind))
		buf = binary.AppendUvarint(buf, uint64(len(change.coll)))
		buf = append(buf, change.coll...)
		buf = binary.AppendUvarint(buf, uint64(len(change.key)))
		buf = append(buf, change.key...)
		buf = binary.AppendVarint(buf, change.expires)
		buf = binary.AppendUvarint(buf, uint64(len(change.value)))
		buf = append(buf, change.value...)
	}
	payload := buf[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+4:], checksum(seg, offset, payload))
	return buf
}

// frameAt returns the payload of the frame at an offset of the content of segment seg; ok is false if there is no valid frame.
func frameAt(content []byte, seg uint64, offset int64) (payload []byte, ok bool) {
	if offset < 0 || int64(len(content)) < offset+frameHeaderSize {
		return nil, false
	}
	payloadSize := int64(binary.LittleEndian.Uint32(content[offset:]))
	if payloadSize == 0 || payloadSize > maxFramePayload || offset+frameHeaderSize+payloadSize > int64(len(content)) {
		return nil, false
	}
	payload = content[offset+frameHeaderSize : offset+frameHeaderSize+payloadSize]
	return payload, binary.LittleEndian.Uint32(content[offset+4:]) == checksum(seg, offset, payload)
}

// errBadPayload is returned for a frame whose checksum is valid but whose payload cannot be decoded.
var errBadPayload = errors.New("cannot decode a frame with a valid checksum; possibly written by another version of the program")

// readOps decodes the changes in a frame payload and calls visit for each. The values alias the payload.
func readOps(payload []byte, visit func(change op)) error {
	readUvarint := func() (uint64, bool) {
		n, size := binary.Uvarint(payload)
		if size <= 0 {
			return 0, false
		}
		payload = payload[size:]
		return n, true
	}
	readBytes := func() ([]byte, bool) {
		n, ok := readUvarint()
		if !ok || n > uint64(len(payload)) {
			return nil, false
		}
		content := payload[:n]
		payload = payload[n:]
		return content, true
	}
	firstSeq, ok := readUvarint()
	count, ok2 := readUvarint()
	if !ok || !ok2 {
		return errBadPayload
	}
	for i := uint64(0); i < count; i++ {
		if len(payload) == 0 {
			return errBadPayload
		}
		change := op{kind: opKind(payload[0]), seq: firstSeq + i}
		payload = payload[1:]
		coll, ok := readBytes()
		key, ok2 := readBytes()
		if !ok || !ok2 {
			return errBadPayload
		}
		var size int
		if change.expires, size = binary.Varint(payload); size <= 0 {
			return errBadPayload
		}
		payload = payload[size:]
		if change.value, ok = readBytes(); !ok || change.kind != opPut && change.kind != opDelete {
			return errBadPayload
		}
		change.coll, change.key = string(coll), string(key)
		visit(change)
	}
	return nil
}
