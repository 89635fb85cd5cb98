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

// Sim is a file system in memory that behaves like a disk at its worst. What has not been synced may be lost, or be
// there in part up to a sector's bound, when it crashes; names that SyncDir has not kept may be lost too.
type Sim struct {
	mu         sync.Mutex
	names      map[string]*simData // as the process sees them
	kept       map[string]*simData // as SyncDir left them
	locked     bool
	Ops        int                             // operations so far that change something
	Fail       func(op int, what string) error // asked before each; an error is given in its place
	Crash      int                             // at this operation and from it on nothing works any more; 0: never
	Full       int64                           // bytes that fit; 0: any number
	Unreadable func(name string) error         // asked before each read; an error is given in its place
	dead       bool
}

type simData struct {
	data   []byte
	synced []byte
}

// ErrCrashed is what everything gives after the crash.
var ErrCrashed = errors.New("the machine is down")

// ErrFull is a full disk.
var ErrFull = errors.New("no space left on device")

const sector = 512

// NewSim makes an empty one.
func NewSim() *Sim { return &Sim{names: map[string]*simData{}, kept: map[string]*simData{}} }

// step counts an operation; with mu held.
func (s *Sim) step(what string) error {
	if s.dead {
		return ErrCrashed
	}
	s.Ops++
	if s.Crash > 0 && s.Ops >= s.Crash {
		s.dead = true
		return ErrCrashed
	}
	if s.Fail != nil {
		return s.Fail(s.Ops, what)
	}
	return nil
}

// Restart is the disk after a crash: what of the unsynced is there is drawn from rng, for each file on its own. Names
// that were not kept are there or not.
func (s *Sim) Restart(rng *rand.Rand) *Sim {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := NewSim()
	n.Full = s.Full
	all := map[string]*simData{}
	for name, d := range s.kept {
		all[name] = d
	}
	if rng.IntN(2) == 0 { // the directory's blocks made it, or not
		all = map[string]*simData{}
		for name, d := range s.names {
			all[name] = d
		}
	}
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d := all[name]
		data := slices.Clone(d.synced)
		if len(d.data) >= len(d.synced) && slices.Equal(d.data[:len(d.synced)], d.synced) {
			more := d.data[len(d.synced):]
			switch rng.IntN(4) {
			case 0: // nothing of it
			case 1: // all
				data = append(data, more...)
			case 2: // up to a sector's bound
				end := (len(d.synced)/sector + rng.IntN(len(more)/sector+2)) * sector
				data = append(data, more[:max(0, min(end-len(d.synced), len(more)))]...)
			case 3: // the length is there, some sectors are not: they read as zero
				data = append(data, more...)
				for at := len(d.synced); at < len(data); at = (at/sector + 1) * sector {
					if rng.IntN(2) == 0 {
						clear(data[at:min(len(data), (at/sector+1)*sector)])
					}
				}
			}
		} else if rng.IntN(2) == 0 {
			data = slices.Clone(d.data)
		}
		f := &simData{data: data, synced: slices.Clone(data)}
		n.names[name], n.kept[name] = f, f
	}
	return n
}

// Change alters a file's bytes, as damage does.
func (s *Sim) Change(name string, f func([]byte) []byte) {
	d := s.names[name]
	d.data = f(slices.Clone(d.data))
	d.synced = slices.Clone(d.data)
}

// Copy is a disk with the same content.
func (s *Sim) Copy() *Sim {
	n := NewSim()
	for name, d := range s.names {
		f := &simData{data: slices.Clone(d.data), synced: slices.Clone(d.data)}
		n.names[name], n.kept[name] = f, f
	}
	return n
}

// Len is a file's length.
func (s *Sim) Len(name string) int { return len(s.names[name].data) }

type simFile struct {
	s    *Sim
	d    *simData
	name string
}

// Create implements FS.
func (s *Sim) Create(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.step("create " + name); err != nil {
		return nil, err
	}
	if s.names[name] != nil {
		return nil, fmt.Errorf("create %s: %w", name, fs.ErrExist)
	}
	d := &simData{}
	s.names[name] = d
	return &simFile{s, d, name}, nil
}

// Open implements FS.
func (s *Sim) Open(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return nil, ErrCrashed
	}
	d := s.names[name]
	if d == nil {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrNotExist)
	}
	return &simFile{s, d, name}, nil
}

// Rename implements FS.
func (s *Sim) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.step("rename " + from); err != nil {
		return err
	}
	d := s.names[from]
	if d == nil {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	delete(s.names, from)
	s.names[to] = d
	return nil
}

// Remove implements FS.
func (s *Sim) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.step("remove " + name); err != nil {
		return err
	}
	if s.names[name] == nil {
		return fmt.Errorf("remove %s: %w", name, fs.ErrNotExist)
	}
	delete(s.names, name)
	return nil
}

// List implements FS.
func (s *Sim) List() ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return nil, ErrCrashed
	}
	var names []string
	for name := range s.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir implements FS.
func (s *Sim) SyncDir() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.step("syncdir"); err != nil {
		return err
	}
	s.kept = map[string]*simData{}
	for name, d := range s.names {
		s.kept[name] = d
	}
	return nil
}

// Lock implements FS.
func (s *Sim) Lock(string) (func() error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
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

func (f *simFile) Write(b []byte) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if err := f.s.step("write"); err != nil {
		return 0, err
	}
	if f.s.Full > 0 {
		var used int64
		for _, d := range f.s.names {
			used += int64(len(d.data))
		}
		if room := f.s.Full - used; int64(len(b)) > room {
			f.d.data = append(f.d.data, b[:max(0, room)]...)
			return int(max(0, room)), ErrFull
		}
	}
	f.d.data = append(f.d.data, b...)
	return len(b), nil
}

func (f *simFile) ReadAt(b []byte, at int64) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.s.dead {
		return 0, ErrCrashed
	}
	if f.s.Unreadable != nil {
		if err := f.s.Unreadable(f.name); err != nil {
			return 0, err
		}
	}
	if at >= int64(len(f.d.data)) {
		return 0, fmt.Errorf("read at %d: %w", at, io.EOF)
	}
	n := copy(b, f.d.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *simFile) Size() (int64, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.s.dead {
		return 0, ErrCrashed
	}
	return int64(len(f.d.data)), nil
}

func (f *simFile) Truncate(size int64) error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if err := f.s.step("truncate"); err != nil {
		return err
	}
	f.d.data = f.d.data[:size]
	return nil
}

func (f *simFile) Sync() error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if err := f.s.step("sync"); err != nil {
		return err
	}
	f.d.synced = slices.Clone(f.d.data)
	return nil
}

func (f *simFile) Close() error { return nil }
