// Package ber reads and writes the subset of BER that SNMP uses (RFC 3417, section 8), and its PDUs (RFC 3416).
// Definite lengths only, in the short or any long form; what is read past the limits is an error, never a crash.
package ber

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Tags of values and PDUs.
const (
	Integer     = 0x02
	OctetString = 0x04
	Null        = 0x05
	ObjectID    = 0x06
	Sequence    = 0x30
	IPAddress   = 0x40
	Counter32   = 0x41
	Gauge32     = 0x42
	TimeTicks   = 0x43
	Opaque      = 0x44
	Counter64   = 0x46
	NoObject    = 0x80 // noSuchObject
	NoInstance  = 0x81 // noSuchInstance
	EndOfView   = 0x82 // endOfMibView

	Get      = 0xa0
	GetNext  = 0xa1
	Response = 0xa2
	Set      = 0xa3
	GetBulk  = 0xa5
	Inform   = 0xa6
	Trap     = 0xa7
	Report   = 0xa8
)

// OID is an object identifier.
type OID []uint32

// ParseOID reads dotted form, with or without a leading dot.
func ParseOID(s string) (OID, error) {
	var o OID
	for _, p := range strings.Split(strings.TrimPrefix(s, "."), ".") {
		n, err := strconv.ParseUint(p, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("object identifier %q: numbers up to 4294967295 with dots between are right", s)
		}
		o = append(o, uint32(n))
	}
	if len(o) < 2 || len(o) > 128 || o[0] > 2 || o[0] < 2 && o[1] > 39 {
		return nil, fmt.Errorf("object identifier %q: 2 to 128 numbers, the first two at most 2 and 39, are right", s)
	}
	return o, nil
}

// MustOID is ParseOID for constants.
func MustOID(s string) OID {
	o, err := ParseOID(s)
	if err != nil {
		panic(err)
	}
	return o
}

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

// Compare orders as a walk does.
func (o OID) Compare(p OID) int { return slices.Compare(o, p) }

// Under says whether o is p or below it.
func (o OID) Under(p OID) bool { return len(o) >= len(p) && slices.Equal(o[:len(p)], p) }

// With appends to a copy.
func (o OID) With(more ...uint32) OID { return append(slices.Clone(o), more...) }

// Value is one value: Int of Integer, Uint of the unsigned kinds, Bytes of strings and addresses, OID of identifiers.
type Value struct {
	Tag   byte
	Int   int64
	Uint  uint64
	Bytes []byte
	OID   OID
}

// Var is a variable binding.
type Var struct {
	Name  OID
	Value Value
}

// PDU is a protocol data unit. In a GetBulk Status and Index are non-repeaters and max-repetitions.
type PDU struct {
	Type          byte
	ID            int32
	Status, Index int32
	Vars          []Var
}

// Errors of a PDU (RFC 3416, section 3).
const (
	NoError     = 0
	TooBig      = 1
	GenErr      = 5
	NoAccess    = 6
	NotWritable = 17
)

// ErrBER is wrapped by every error of reading.
var ErrBER = errors.New("not BER as SNMP has it")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrBER, fmt.Sprintf(format, args...))
}

// Read takes one element off b.
func Read(b []byte) (tag byte, content, rest []byte, err error) {
	if len(b) < 2 {
		return 0, nil, nil, bad("%d bytes for an element", len(b))
	}
	tag = b[0]
	n, at := int(b[1]), 2
	if n >= 0x80 {
		k := n & 0x7f
		if k == 0 || k > 4 || len(b) < 2+k {
			return 0, nil, nil, bad("length in %d bytes", k)
		}
		n = 0
		for _, c := range b[2 : 2+k] {
			n = n<<8 | int(c)
		}
		at += k
	}
	if n < 0 || n > len(b)-at {
		return 0, nil, nil, bad("length %d, %d bytes are there", n, len(b)-at)
	}
	return tag, b[at : at+n], b[at+n:], nil
}

// Want reads an element of one tag.
func Want(tag byte, b []byte) (content, rest []byte, err error) {
	got, content, rest, err := Read(b)
	if err == nil && got != tag {
		err = bad("tag %#x, %#x is right here", got, tag)
	}
	return content, rest, err
}

// Int reads the content of an Integer.
func Int(c []byte) (int64, error) {
	if len(c) == 0 || len(c) > 8 {
		return 0, bad("integer of %d bytes", len(c))
	}
	n := int64(int8(c[0]))
	for _, x := range c[1:] {
		n = n<<8 | int64(x)
	}
	return n, nil
}

// WantInt reads an Integer within 32 bits.
func WantInt(b []byte) (int32, []byte, error) {
	c, rest, err := Want(Integer, b)
	if err != nil {
		return 0, nil, err
	}
	n, err := Int(c)
	if err == nil && int64(int32(n)) != n {
		err = bad("integer %d is over 32 bits", n)
	}
	return int32(n), rest, err
}

func readOID(c []byte) (OID, error) {
	if len(c) == 0 {
		return nil, bad("empty object identifier")
	}
	o := make(OID, 0, len(c)+1)
	var n uint64
	first := true
	for i, x := range c {
		n = n<<7 | uint64(x&0x7f)
		if n > 1<<32+79 {
			return nil, bad("sub-identifier over 32 bits")
		}
		if x&0x80 != 0 {
			if i == len(c)-1 {
				return nil, bad("object identifier cut short")
			}
			continue
		}
		if first {
			a := min(n/40, 2)
			o = append(o, uint32(a), uint32(n-40*a))
			first = false
		} else {
			if n > 1<<32-1 {
				return nil, bad("sub-identifier over 32 bits")
			}
			o = append(o, uint32(n))
		}
		n = 0
	}
	if len(o) > 128 {
		return nil, bad("object identifier of %d numbers", len(o))
	}
	return o, nil
}

func readValue(tag byte, c []byte) (Value, error) {
	v := Value{Tag: tag}
	var err error
	switch tag {
	case Integer:
		v.Int, err = Int(c)
	case OctetString, IPAddress, Opaque:
		v.Bytes = slices.Clone(c)
	case ObjectID:
		v.OID, err = readOID(c)
	case Null, NoObject, NoInstance, EndOfView:
		if len(c) != 0 {
			err = bad("null with content")
		}
	case Counter32, Gauge32, TimeTicks, Counter64:
		if len(c) == 0 || len(c) > 9 || len(c) == 9 && c[0] != 0 {
			return v, bad("unsigned number of %d bytes", len(c))
		}
		for _, x := range c {
			v.Uint = v.Uint<<8 | uint64(x)
		}
		if tag != Counter64 && v.Uint > 1<<32-1 {
			err = bad("number over 32 bits")
		}
	default:
		err = bad("value of tag %#x", tag)
	}
	return v, err
}

// maxVars bounds what one request may ask for.
const maxVars = 2048

// ReadPDU reads a PDU that fills b.
func ReadPDU(b []byte) (PDU, error) {
	var p PDU
	tag, c, rest, err := Read(b)
	if err != nil {
		return p, err
	}
	if len(rest) > 0 || tag&0xe0 != 0xa0 {
		return p, bad("PDU of tag %#x with %d bytes behind it", tag, len(rest))
	}
	p.Type = tag
	if p.ID, c, err = WantInt(c); err != nil {
		return p, err
	}
	if p.Status, c, err = WantInt(c); err != nil {
		return p, err
	}
	if p.Index, c, err = WantInt(c); err != nil {
		return p, err
	}
	list, rest, err := Want(Sequence, c)
	if err != nil || len(rest) > 0 {
		return p, cmp.Or(err, bad("%d bytes behind the bindings", len(rest)))
	}
	for len(list) > 0 {
		var one, name []byte
		if one, list, err = Want(Sequence, list); err != nil {
			return p, err
		}
		if name, one, err = Want(ObjectID, one); err != nil {
			return p, err
		}
		oid, err := readOID(name)
		if err != nil {
			return p, err
		}
		tag, c, rest, err := Read(one)
		if err != nil || len(rest) > 0 {
			return p, cmp.Or(err, bad("%d bytes behind a value", len(rest)))
		}
		v, err := readValue(tag, c)
		if err != nil {
			return p, err
		}
		if len(p.Vars) == maxVars {
			return p, bad("more than %d bindings", maxVars)
		}
		p.Vars = append(p.Vars, Var{oid, v})
	}
	return p, nil
}

// Append writes an element.
func Append(b []byte, tag byte, content []byte) []byte {
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

// AppendInt writes an Integer in the fewest bytes.
func AppendInt(b []byte, n int64) []byte {
	k := 1
	for v := n; v > 127 || v < -128; v >>= 8 {
		k++
	}
	b = append(b, Integer, byte(k))
	for i := k - 1; i >= 0; i-- {
		b = append(b, byte(n>>(8*i)))
	}
	return b
}

func appendUint(b []byte, tag byte, n uint64) []byte {
	k := 1
	for v := n; v > 127; v >>= 8 {
		k++
	}
	b = append(b, tag, byte(k))
	for i := k - 1; i >= 0; i-- {
		if i == 8 {
			b = append(b, 0)
			continue
		}
		b = append(b, byte(n>>(8*i)))
	}
	return b
}

func appendOID(b []byte, o OID) []byte {
	var c []byte
	sub := func(n uint64) {
		var t [6]byte
		i := len(t) - 1
		t[i] = byte(n & 0x7f)
		for n >>= 7; n > 0; n >>= 7 {
			i--
			t[i] = byte(n&0x7f) | 0x80
		}
		c = append(c, t[i:]...)
	}
	if len(o) < 2 {
		o = OID{0, 0}
	}
	sub(uint64(o[0])*40 + uint64(o[1]))
	for _, n := range o[2:] {
		sub(uint64(n))
	}
	return Append(b, ObjectID, c)
}

// AppendVar writes a binding.
func AppendVar(b []byte, v Var) []byte {
	c := appendOID(nil, v.Name)
	switch v.Value.Tag {
	case Integer:
		c = AppendInt(c, v.Value.Int)
	case ObjectID:
		c = appendOID(c, v.Value.OID)
	case Counter32, Gauge32, TimeTicks, Counter64:
		c = appendUint(c, v.Value.Tag, v.Value.Uint)
	default:
		c = Append(c, v.Value.Tag, v.Value.Bytes)
	}
	return Append(b, Sequence, c)
}

// AppendPDU writes a PDU.
func AppendPDU(b []byte, p PDU) []byte {
	var vars []byte
	for _, v := range p.Vars {
		vars = AppendVar(vars, v)
	}
	c := AppendInt(nil, int64(p.ID))
	c = AppendInt(c, int64(p.Status))
	c = AppendInt(c, int64(p.Index))
	return Append(b, p.Type, Append(c, Sequence, vars))
}
