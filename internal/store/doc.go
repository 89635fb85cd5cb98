// Package store is an embedded store: keyed records in named collections on a segmented, append-only log.
//
// The store is independent of the rest of the program. It owns one folder, which it accesses through internal/store/vfs.
// Open recovers the content and reports any data that was lost. A batch is applied completely or not at all.
//
// Each write selects its durability: a SyncWrite is on disk when Write returns; a BufferedWrite has been passed to the
// operating system when Write returns and is synced within Options.SyncEvery; an AsyncWrite is only queued in memory when
// Write returns, is written within Options.FlushEvery and then synced like a BufferedWrite.
//
// After a failed write or fsync the store accepts no writes until it is opened again, because the content of the page
// cache cannot be trusted after such an error.
//
// docs/store.md specifies the file format byte by byte.
package store
