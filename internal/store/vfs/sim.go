package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// SimFS is an in-memory file system that simulates the worst behavior of a disk. In a crash, data that has not been synced
// may be lost, or survive in part up to a sector boundary, and so may changes of names that SyncDir has not synced. Its
// exported fields inject faults; set them while no operation is running.
type SimFS struct {
	mu           sync.Mutex
	files        map[string]*simFileData // current content by name
	durableFiles map[string]*simFileData // names as of the last SyncDir
	locked       bool
	OpCount      int                             // number of modifying operations so far
	FailOp       func(op int, what string) error // called before each modifying operation, which fails with the returned error
	CrashAtOp    int                             // number of the operation from which on everything fails; 0 means no crash
	Capacity     int64                           // total size of the files in bytes; 0 means unlimited
	FailRead     func(name string) error         // called before each read, which fails with the returned error
	OpenFiles    int                             // number of files that are open
	crashed      bool
}

// simFileData is the content of a file as the process sees it and as of its last sync.
type simFileData struct {
	data   []byte
	synced []byte
}

// ErrCrashed is returned by all operations after the simulated crash.
var ErrCrashed = errors.New("simulated machine has crashed")

// ErrFull is returned when Capacity is exceeded.
var ErrFull = errors.New("no space left on device")

// sectorSize is the unit, in bytes, in which unsynced data survives a crash.
const sectorSize = 512

// NewSimFS returns an empty file system.
func NewSimFS() *SimFS {
	return &SimFS{files: map[string]*simFileData{}, durableFiles: map[string]*simFileData{}}
}

// countOp counts a modifying operation and returns the error that is due for it. The caller holds mu.
func (s *SimFS) countOp(what string) error {
	if s.crashed {
		return ErrCrashed
	}
	s.OpCount++
	if s.CrashAtOp > 0 && s.OpCount >= s.CrashAtOp {
		s.crashed = true
		return ErrCrashed
	}
	if s.FailOp != nil {
		return s.FailOp(s.OpCount, what)
	}
	return nil
}

// Restart returns the disk as a process finds it after a crash. For each file, rng decides how much of its unsynced data has
// survived. Changes of names since the last SyncDir have either all survived or all been lost.
func (s *SimFS) Restart(rng *rand.Rand) *SimFS {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted := NewSimFS()
	restarted.Capacity = s.Capacity
	survivors := map[string]*simFileData{}
	for name, file := range s.durableFiles {
		survivors[name] = file
	}
	if rng.IntN(2) == 0 { // the unsynced changes of the directory have survived
		survivors = map[string]*simFileData{}
		for name, file := range s.files {
			survivors[name] = file
		}
	}
	names := make([]string, 0, len(survivors))
	for name := range survivors {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		file := survivors[name]
		data := slices.Clone(file.synced)
		if len(file.data) >= len(file.synced) && slices.Equal(file.data[:len(file.synced)], file.synced) {
			unsynced := file.data[len(file.synced):]
			switch rng.IntN(4) {
			case 0: // the unsynced data is lost
			case 1: // all of it survives
				data = append(data, unsynced...)
			case 2: // it survives up to a sector boundary
				end := (len(file.synced)/sectorSize + rng.IntN(len(unsynced)/sectorSize+2)) * sectorSize
				data = append(data, unsynced[:max(0, min(end-len(file.synced), len(unsynced)))]...)
			case 3: // the file has its full length, but some sectors are lost and read as zeros
				data = append(data, unsynced...)
				for at := len(file.synced); at < len(data); at = (at/sectorSize + 1) * sectorSize {
					if rng.IntN(2) == 0 {
						clear(data[at:min(len(data), (at/sectorSize+1)*sectorSize)])
					}
				}
			}
		} else if rng.IntN(2) == 0 {
			data = slices.Clone(file.data)
		}
		f := &simFileData{data: data, synced: slices.Clone(data)}
		restarted.files[name], restarted.durableFiles[name] = f, f
	}
	return restarted
}

// Modify replaces the synced and unsynced content of a file with f of it, to simulate damage.
func (s *SimFS) Modify(name string, f func([]byte) []byte) {
	d := s.files[name]
	d.data = f(slices.Clone(d.data))
	d.synced = slices.Clone(d.data)
}

// Clone returns an independent file system with the same content, all of it synced.
func (s *SimFS) Clone() *SimFS {
	clone := NewSimFS()
	for name, file := range s.files {
		f := &simFileData{data: slices.Clone(file.data), synced: slices.Clone(file.data)}
		clone.files[name], clone.durableFiles[name] = f, f
	}
	return clone
}

// FileSize returns the size of a file in bytes.
func (s *SimFS) FileSize(name string) int { return len(s.files[name].data) }

// simFile is an open file of a SimFS.
type simFile struct {
	fs   *SimFS
	data *simFileData
	name string
}

// Create implements [FS].
func (s *SimFS) Create(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countOp("create " + name); err != nil {
		return nil, err
	}
	if s.files[name] != nil {
		return nil, fmt.Errorf("create %s: %w", name, fs.ErrExist)
	}
	d := &simFileData{}
	s.files[name] = d
	s.OpenFiles++
	return &simFile{s, d, name}, nil
}

// Open implements [FS].
func (s *SimFS) Open(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, ErrCrashed
	}
	d := s.files[name]
	if d == nil {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrNotExist)
	}
	s.OpenFiles++
	return &simFile{s, d, name}, nil
}

// Rename implements [FS].
func (s *SimFS) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countOp("rename " + from); err != nil {
		return err
	}
	d := s.files[from]
	if d == nil {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	delete(s.files, from)
	s.files[to] = d
	return nil
}

// Remove implements [FS].
func (s *SimFS) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countOp("remove " + name); err != nil {
		return err
	}
	if s.files[name] == nil {
		return fmt.Errorf("remove %s: %w", name, fs.ErrNotExist)
	}
	delete(s.files, name)
	return nil
}

// List implements [FS].
func (s *SimFS) List() ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, ErrCrashed
	}
	var names []string
	for name := range s.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir implements [FS].
func (s *SimFS) SyncDir() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countOp("syncdir"); err != nil {
		return err
	}
	s.durableFiles = map[string]*simFileData{}
	for name, d := range s.files {
		s.durableFiles[name] = d
	}
	return nil
}

// Lock implements [FS].
func (s *SimFS) Lock(string) (func() error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, ErrCrashed
	}
	if s.locked {
		return nil, ErrLocked
	}
	s.locked = true
	return func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.locked = false
		return nil
	}, nil
}

// Write implements [File]. On a full disk it writes the part that fits and returns ErrFull.
func (f *simFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOp("write"); err != nil {
		return 0, err
	}
	if f.fs.Capacity > 0 {
		var used int64
		for _, d := range f.fs.files {
			used += int64(len(d.data))
		}
		if available := f.fs.Capacity - used; int64(len(b)) > available {
			f.data.data = append(f.data.data, b[:max(0, available)]...)
			return int(max(0, available)), ErrFull
		}
	}
	f.data.data = append(f.data.data, b...)
	return len(b), nil
}

// ReadAt implements [File].
func (f *simFile) ReadAt(b []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.crashed {
		return 0, ErrCrashed
	}
	if f.fs.FailRead != nil {
		if err := f.fs.FailRead(f.name); err != nil {
			return 0, err
		}
	}
	if offset >= int64(len(f.data.data)) {
		return 0, fmt.Errorf("read at %d: %w", offset, io.EOF)
	}
	n := copy(b, f.data.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements [File].
func (f *simFile) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.crashed {
		return 0, ErrCrashed
	}
	return int64(len(f.data.data)), nil
}

// Truncate implements [File].
func (f *simFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOp("truncate"); err != nil {
		return err
	}
	f.data.data = f.data.data[:size]
	return nil
}

// Sync implements [File].
func (f *simFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOp("sync"); err != nil {
		return err
	}
	f.data.synced = slices.Clone(f.data.data)
	return nil
}

// Close implements [File].
func (f *simFile) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.OpenFiles--
	return nil
}
