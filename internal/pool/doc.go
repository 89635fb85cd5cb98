// Package pool maintains a node's copy of the list of call servers: its entries, its version, and the mapping of
// called numbers to servers.
//
// A List applies documents (NOTIFY bodies of a list server, a file, the configuration) and returns each change as an
// event for the decision module. It performs no I/O: the caller reads files and sockets. Updates are applied as they
// arrive, late or not. A gap in the versions is reported as an error and never filled by a guess.
package pool
