// Package pool keeps the list of call servers as a node knows it: entries, versions, and which server a number names.
//
// It is told documents (a list server's NOTIFY bodies, a file, the configuration) with the time, and tells news in the
// form of the module's list events. It has no I/O: whoever reads files or sockets hands the bytes over. News are told
// as they come, late or not; a gap in versions is told as such, and nothing is made up to fill it.
package pool
