package store

import (
	"encoding/binary"
	"time"
)

// WriteBatch is a list of changes that are applied atomically. The zero value is an empty batch.
type WriteBatch struct {
	ops  []op
	size int
}

// Put adds a change that sets a record. The key must not be empty: an empty one marks a change as made by Append.
func (b *WriteBatch) Put(coll, key string, value []byte) {
	b.add(op{kind: opPut, coll: coll, key: key, value: value})
}

// PutTTL adds a change that sets a record which expires after ttl. Until Write makes it absolute, the expiry time of the
// change is the negated time to live in milliseconds.
func (b *WriteBatch) PutTTL(coll, key string, value []byte, ttl time.Duration) {
	b.add(op{kind: opPut, coll: coll, key: key, value: value, expires: int64(max(ttl, time.Millisecond)) / 1e6 * -1})
}

// Delete adds a change that deletes a record, whether or not it exists.
func (b *WriteBatch) Delete(coll, key string) { b.add(op{kind: opDelete, coll: coll, key: key}) }

// Append adds a change that sets a record whose key is SeqKey of the sequence number of the change, so that the records of
// a collection are ordered by the time they were appended.
func (b *WriteBatch) Append(coll string, value []byte) {
	b.add(op{kind: opPut, coll: coll, value: value})
}

// add appends a change to the batch and adds its size, with 32 bytes for its overhead.
func (b *WriteBatch) add(o op) {
	b.ops = append(b.ops, o)
	b.size += len(o.coll) + len(o.key) + len(o.value) + 32
}

// Len returns the number of changes in the batch.
func (b *WriteBatch) Len() int { return len(b.ops) }

// SeqKey returns the key that Append uses for a sequence number: 8 bytes, big-endian.
func SeqKey(seq uint64) string { return string(binary.BigEndian.AppendUint64(nil, seq)) }
