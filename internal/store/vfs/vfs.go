// Package vfs is the file system that the store sees: the real one, or for tests one that forgets, tears and fails.
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

// File is an open file. It is written at its end only.
type File interface {
	io.Writer
	io.ReaderAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FS is one folder. Names have no slashes.
type FS interface {
	Create(name string) (File, error) // must not exist
	Open(name string) (File, error)   // for reading and appending
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
	// Lock takes the folder for this process; it ends with unlock or the process.
	Lock(name string) (unlock func() error, err error)
}

// ErrLocked says that another process has the folder.
var ErrLocked = errors.New("another process has the store open")

// OS is a folder on disk, made if it is not there.
func OS(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store folder: %w", err)
	}
	return osFS(dir), nil
}

type osFS string

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

func (d osFS) path(name string) string { return filepath.Join(string(d), name) }

func (d osFS) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o600)
	return osFile{f}, err
}

func (d osFS) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND, 0)
	if errors.Is(err, fs.ErrPermission) {
		f, err = os.Open(d.path(name))
	}
	return osFile{f}, err
}

func (d osFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d osFS) Remove(name string) error     { return os.Remove(d.path(name)) }

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

func (d osFS) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

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
