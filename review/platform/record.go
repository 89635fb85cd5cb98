// Package platform has the stand-ins that the review's cases share: the command channel, call servers, callers, and
// the access node as a process. They speak the users' protocol over loopback TCP and write what they see to a record.
package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt of a case: one line for each message and action, with the time since the start.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Add writes one line.
func (r *Record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.4f  %-10s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
