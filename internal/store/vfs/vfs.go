// Package vfs abstracts the file system that the store uses. OpenDir opens a folder on disk; SimFS is an in-memory file
// system for tests that simulates crashes, lost and torn writes and I/O errors.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// File is an open file. Write appends to its end.
type File interface {
	io.Writer
	io.ReaderAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FS is a single folder without subfolders. File names contain no slashes.
type FS interface {
	Create(name string) (File, error) // fails if the file exists
	Open(name string) (File, error)   // opens an existing file for reading and appending
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error // syncs the folder itself, so that created, renamed and removed names survive a crash
	// Lock locks the folder for this process until unlock is called or the process ends. It fails with ErrLocked if another
	// process holds the lock.
	Lock(name string) (unlock func() error, err error)
}

// ErrLocked is returned by FS.Lock if another process has locked the folder.
var ErrLocked = errors.New("another process has the store open")

// OpenDir returns a folder on disk as an FS. It creates the folder if it does not exist.
func OpenDir(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the store folder: %w", err)
	}
	return osFS(dir), nil
}

// osFS is an FS on a folder of the operating system; the value is its path.
type osFS string

// osFile is an open file of an osFS.
type osFile struct{ *os.File }

// Size implements [File].
func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

// path returns the path of a file in the folder.
func (d osFS) path(name string) string { return filepath.Join(string(d), name) }

// Create implements [FS].
func (d osFS) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o600)
	return osFile{f}, err
}

// Open implements [FS]. It opens a file without write permission for reading only.
func (d osFS) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND, 0)
	if errors.Is(err, fs.ErrPermission) {
		f, err = os.Open(d.path(name))
	}
	return osFile{f}, err
}

// Rename implements [FS].
func (d osFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements [FS].
func (d osFS) Remove(name string) error { return os.Remove(d.path(name)) }

// List implements [FS].
func (d osFS) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// SyncDir implements [FS].
func (d osFS) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements [FS].
func (d osFS) Lock(name string) (func() error, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", string(d), ErrLocked)
		}
		return nil, err
	}
	return f.Close, nil
}
