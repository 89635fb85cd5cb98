// Package ber encodes and decodes the subset of BER that SNMP uses (RFC 3417, section 8), and SNMP PDUs (RFC 3416). It
// supports definite lengths only, in the short form or in the long form with up to four bytes. Malformed input of any kind
// leads to an error that wraps ErrMalformed.
package ber

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Tags of values, exceptions and PDUs.
const (
	Integer          = 0x02
	OctetString      = 0x04
	Null             = 0x05
	ObjectIdentifier = 0x06
	Sequence         = 0x30
	IPAddress        = 0x40
	Counter32        = 0x41
	Gauge32          = 0x42
	TimeTicks        = 0x43
	Opaque           = 0x44
	Counter64        = 0x46
	NoSuchObject     = 0x80 // exception noSuchObject
	NoSuchInstance   = 0x81 // exception noSuchInstance
	EndOfMIBView     = 0x82 // exception endOfMibView

	GetRequest     = 0xa0
	GetNextRequest = 0xa1
	Response       = 0xa2
	SetRequest     = 0xa3
	GetBulkRequest = 0xa5
	InformRequest  = 0xa6
	SNMPv2Trap     = 0xa7
	Report         = 0xa8
)

// OID is an object identifier, a list of sub-identifiers.
type OID []uint32

// ParseOID parses an object identifier in dotted form, with or without a leading dot.
func ParseOID(s string) (OID, error) {
	var oid OID
	for _, part := range strings.Split(strings.TrimPrefix(s, "."), ".") {
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("object identifier %q: must consist of numbers up to 4294967295 separated by dots", s)
		}
		oid = append(oid, uint32(n))
	}
	if len(oid) < 2 || len(oid) > 128 || oid[0] > 2 || oid[0] < 2 && oid[1] > 39 {
		return nil, fmt.Errorf("object identifier %q: must have 2 to 128 numbers, the first at most 2, and the second at most 39 after 0 or 1", s)
	}
	return oid, nil
}

// MustParseOID is like ParseOID but panics on an error. It is meant for constants and validated input.
func MustParseOID(s string) OID {
	o, err := ParseOID(s)
	if err != nil {
		panic(err)
	}
	return o
}

// String returns the object identifier in dotted form.
func (o OID) String() string {
	var b strings.Builder
	for i, n := range o {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(strconv.FormatUint(uint64(n), 10))
	}
	return b.String()
}

// Compare returns -1, 0 or 1 if o is before, equal to or after other. The order is lexicographical, as in a walk of the tree.
func (o OID) Compare(other OID) int { return slices.Compare(o, other) }

// HasPrefix reports whether o is equal to prefix or below it in the tree.
func (o OID) HasPrefix(prefix OID) bool {
	return len(o) >= len(prefix) && slices.Equal(o[:len(prefix)], prefix)
}

// Append returns a copy of o with subIDs appended.
func (o OID) Append(subIDs ...uint32) OID { return append(slices.Clone(o), subIDs...) }

// Value is the value of a variable. The tag selects the field that holds it: Int for Integer, Uint for the unsigned types,
// Bytes for strings and addresses, OID for object identifiers.
type Value struct {
	Tag   byte
	Int   int64
	Uint  uint64
	Bytes []byte
	OID   OID
}

// VarBind is a variable binding, the OID of a variable and its value.
type VarBind struct {
	Name  OID
	Value Value
}

// PDU is a protocol data unit. In a GetBulkRequest, ErrorStatus is non-repeaters and ErrorIndex is max-repetitions.
type PDU struct {
	Type                    byte
	RequestID               int32
	ErrorStatus, ErrorIndex int32
	VarBinds                []VarBind
}

// Values of error-status in a PDU (RFC 3416, section 3).
const (
	NoError     = 0
	TooBig      = 1
	GenErr      = 5
	NoAccess    = 6
	NotWritable = 17
)

// ErrMalformed is wrapped by all decoding errors of this package.
var ErrMalformed = errors.New("malformed SNMP message")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ReadElement decodes the first element of b. It returns the content of the element and the bytes after it.
func ReadElement(b []byte) (tag byte, content, rest []byte, err error) {
	if len(b) < 2 {
		return 0, nil, nil, malformed("truncated element of %d bytes", len(b))
	}
	tag = b[0]
	length, start := int(b[1]), 2
	if length >= 0x80 {
		lengthBytes := length & 0x7f
		if lengthBytes == 0 || lengthBytes > 4 || len(b) < 2+lengthBytes {
			return 0, nil, nil, malformed("invalid length field of %d bytes", lengthBytes)
		}
		length = 0
		for _, c := range b[2 : 2+lengthBytes] {
			length = length<<8 | int(c)
		}
		start += lengthBytes
	}
	if length < 0 || length > len(b)-start {
		return 0, nil, nil, malformed("element of length %d, only %d bytes available", length, len(b)-start)
	}
	return tag, b[start : start+length], b[start+length:], nil
}

// ReadTagged is like ReadElement but fails if the element does not have the given tag.
func ReadTagged(tag byte, b []byte) (content, rest []byte, err error) {
	got, content, rest, err := ReadElement(b)
	if err == nil && got != tag {
		err = malformed("got tag %#x, want %#x", got, tag)
	}
	return content, rest, err
}

// DecodeInteger decodes the content of an Integer element.
func DecodeInteger(content []byte) (int64, error) {
	if len(content) == 0 || len(content) > 8 {
		return 0, malformed("integer of %d bytes", len(content))
	}
	n := int64(int8(content[0]))
	for _, x := range content[1:] {
		n = n<<8 | int64(x)
	}
	return n, nil
}

// ReadInt32 decodes an Integer element that must fit into 32 bits. It returns the bytes after it, too.
func ReadInt32(b []byte) (int32, []byte, error) {
	content, rest, err := ReadTagged(Integer, b)
	if err != nil {
		return 0, nil, err
	}
	n, err := DecodeInteger(content)
	if err == nil && int64(int32(n)) != n {
		err = malformed("integer %d exceeds 32 bits", n)
	}
	return int32(n), rest, err
}

// decodeOID decodes the content of an ObjectIdentifier element.
func decodeOID(content []byte) (OID, error) {
	if len(content) == 0 {
		return nil, malformed("empty object identifier")
	}
	oid := make(OID, 0, len(content)+1)
	var subID uint64
	first := true
	for i, octet := range content {
		subID = subID<<7 | uint64(octet&0x7f)
		if subID > 1<<32+79 { // max first sub-identifier, which encodes two numbers: 2*40 + 4294967295
			return nil, malformed("sub-identifier over 32 bits")
		}
		if octet&0x80 != 0 {
			if i == len(content)-1 {
				return nil, malformed("truncated object identifier")
			}
			continue
		}
		if first {
			arc := min(subID/40, 2)
			oid = append(oid, uint32(arc), uint32(subID-40*arc))
			first = false
		} else {
			if subID > 1<<32-1 {
				return nil, malformed("sub-identifier over 32 bits")
			}
			oid = append(oid, uint32(subID))
		}
		subID = 0
	}
	if len(oid) > 128 {
		return nil, malformed("object identifier with %d sub-identifiers, at most 128 are allowed", len(oid))
	}
	return oid, nil
}

// decodeValue decodes the content of an element with the given tag as a value.
func decodeValue(tag byte, content []byte) (Value, error) {
	value := Value{Tag: tag}
	var err error
	switch tag {
	case Integer:
		value.Int, err = DecodeInteger(content)
	case OctetString, IPAddress, Opaque:
		value.Bytes = slices.Clone(content)
	case ObjectIdentifier:
		value.OID, err = decodeOID(content)
	case Null, NoSuchObject, NoSuchInstance, EndOfMIBView:
		if len(content) != 0 {
			err = malformed("null value with content")
		}
	case Counter32, Gauge32, TimeTicks, Counter64:
		if len(content) == 0 || len(content) > 9 || len(content) == 9 && content[0] != 0 {
			return value, malformed("unsigned integer of %d bytes", len(content))
		}
		for _, x := range content {
			value.Uint = value.Uint<<8 | uint64(x)
		}
		if tag != Counter64 && value.Uint > 1<<32-1 {
			err = malformed("unsigned integer exceeds 32 bits")
		}
	default:
		err = malformed("unknown value tag %#x", tag)
	}
	return value, err
}

// maxVarBinds limits the number of variable bindings in a PDU, and thus the memory for a request.
const maxVarBinds = 2048

// ReadPDU decodes a PDU, which must take up all of b.
func ReadPDU(b []byte) (PDU, error) {
	var pdu PDU
	tag, content, rest, err := ReadElement(b)
	if err != nil {
		return pdu, err
	}
	if len(rest) > 0 || tag&0xe0 != 0xa0 {
		return pdu, malformed("PDU with tag %#x, followed by %d bytes", tag, len(rest))
	}
	pdu.Type = tag
	if pdu.RequestID, content, err = ReadInt32(content); err != nil {
		return pdu, err
	}
	if pdu.ErrorStatus, content, err = ReadInt32(content); err != nil {
		return pdu, err
	}
	if pdu.ErrorIndex, content, err = ReadInt32(content); err != nil {
		return pdu, err
	}
	list, rest, err := ReadTagged(Sequence, content)
	if err != nil || len(rest) > 0 {
		return pdu, cmp.Or(err, malformed("%d bytes after the variable bindings", len(rest)))
	}
	for len(list) > 0 {
		var varBind, name []byte
		if varBind, list, err = ReadTagged(Sequence, list); err != nil {
			return pdu, err
		}
		if name, varBind, err = ReadTagged(ObjectIdentifier, varBind); err != nil {
			return pdu, err
		}
		oid, err := decodeOID(name)
		if err != nil {
			return pdu, err
		}
		tag, content, rest, err := ReadElement(varBind)
		if err != nil || len(rest) > 0 {
			return pdu, cmp.Or(err, malformed("%d bytes after a value", len(rest)))
		}
		value, err := decodeValue(tag, content)
		if err != nil {
			return pdu, err
		}
		if len(pdu.VarBinds) == maxVarBinds {
			return pdu, malformed("more than %d variable bindings", maxVarBinds)
		}
		pdu.VarBinds = append(pdu.VarBinds, VarBind{oid, value})
	}
	return pdu, nil
}

// AppendElement appends an element with the shortest length field. content must have less than 16 MiB.
func AppendElement(b []byte, tag byte, content []byte) []byte {
	b = append(b, tag)
	switch n := len(content); {
	case n < 0x80:
		b = append(b, byte(n))
	case n < 0x100:
		b = append(b, 0x81, byte(n))
	case n < 0x10000:
		b = append(b, 0x82, byte(n>>8), byte(n))
	default:
		b = append(b, 0x83, byte(n>>16), byte(n>>8), byte(n))
	}
	return append(b, content...)
}

// AppendInteger appends an Integer element in the shortest encoding.
func AppendInteger(b []byte, n int64) []byte {
	size := 1
	for v := n; v > 127 || v < -128; v >>= 8 {
		size++
	}
	b = append(b, Integer, byte(size))
	for i := size - 1; i >= 0; i-- {
		b = append(b, byte(n>>(8*i)))
	}
	return b
}

// appendUint appends an unsigned value in the shortest encoding.
func appendUint(b []byte, tag byte, n uint64) []byte {
	size := 1
	for v := n; v > 127; v >>= 8 {
		size++
	}
	b = append(b, tag, byte(size))
	for i := size - 1; i >= 0; i-- {
		if i == 8 {
			b = append(b, 0)
			continue
		}
		b = append(b, byte(n>>(8*i)))
	}
	return b
}

// appendOID appends an ObjectIdentifier element. An OID with less than two sub-identifiers is encoded as 0.0.
func appendOID(b []byte, oid OID) []byte {
	var content []byte
	appendSubID := func(n uint64) {
		var buf [6]byte
		i := len(buf) - 1
		buf[i] = byte(n & 0x7f)
		for n >>= 7; n > 0; n >>= 7 {
			i--
			buf[i] = byte(n&0x7f) | 0x80
		}
		content = append(content, buf[i:]...)
	}
	if len(oid) < 2 {
		oid = OID{0, 0}
	}
	appendSubID(uint64(oid[0])*40 + uint64(oid[1]))
	for _, n := range oid[2:] {
		appendSubID(uint64(n))
	}
	return AppendElement(b, ObjectIdentifier, content)
}

// AppendVarBind appends a variable binding.
func AppendVarBind(b []byte, v VarBind) []byte {
	content := appendOID(nil, v.Name)
	switch v.Value.Tag {
	case Integer:
		content = AppendInteger(content, v.Value.Int)
	case ObjectIdentifier:
		content = appendOID(content, v.Value.OID)
	case Counter32, Gauge32, TimeTicks, Counter64:
		content = appendUint(content, v.Value.Tag, v.Value.Uint)
	default:
		content = AppendElement(content, v.Value.Tag, v.Value.Bytes)
	}
	return AppendElement(b, Sequence, content)
}

// AppendPDU appends a PDU.
func AppendPDU(b []byte, pdu PDU) []byte {
	var vars []byte
	for _, v := range pdu.VarBinds {
		vars = AppendVarBind(vars, v)
	}
	content := AppendInteger(nil, int64(pdu.RequestID))
	content = AppendInteger(content, int64(pdu.ErrorStatus))
	content = AppendInteger(content, int64(pdu.ErrorIndex))
	return AppendElement(b, pdu.Type, AppendElement(content, Sequence, vars))
}
