// Package store is an embedded store: keyed records in named collections on a segmented, append-only log.
//
// It knows nothing of calls. It owns one folder through internal/store/vfs and tells what it lost, if anything, when it
// is opened. Batches are all or nothing. How long a write lasts is chosen with it: Sync is on the disk when Write
// returns, Batch is with the operating system and on the disk within FlushEvery, Lazy is in memory and follows the same
// way. After a write or fsync that failed the store takes nothing more until it is opened again: what the page cache
// holds then is not to be trusted. docs/store.md has the format to the byte.
package store
