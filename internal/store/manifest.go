package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"larkrouter/internal/store/vfs"
)

// manifest describes the expected content of the folder, so that missing files and lost ends are detected. Where it differs
// from the log, the log is authoritative.
type manifest struct {
	Format   int      `json:"format"`   // format version
	Segments []uint64 `json:"segments"` // IDs of the segments
	NextID   uint64   `json:"next_id"`  // ID of the next segment
	NextSeq  uint64   `json:"next_seq"` // sequence number after the last change that was synced
	Feed     uint64   `json:"feed"`     // oldest sequence number that Changes can report
	Now      int64    `json:"now"`      // Unix milliseconds, so that time does not go back over a restart
}

// manifestName is the name of the manifest file.
const manifestName = "MANIFEST"

// writeManifest writes the manifest file, preceded by its checksum.
func (s *Store) writeManifest() error {
	s.indexMu.RLock()
	m := manifest{Format: formatVersion, NextID: s.nextID, NextSeq: s.nextDurableSeq, Feed: s.feedStart, Now: s.now()}
	for _, seg := range s.segments {
		m.Segments = append(m.Segments, seg.id)
	}
	s.indexMu.RUnlock()
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return s.replaceFile(manifestName, fmt.Appendf(nil, "%08x %s\n", crc32.Checksum(body, castagnoli), body))
}

// replaceFile atomically replaces the content of a small file.
func (s *Store) replaceFile(name string, content []byte) error {
	tmp := name + ".new"
	_ = s.fs.Remove(tmp)
	file, err := s.fs.Create(tmp)
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.fs.Rename(tmp, name)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}

// readManifest reads and validates the manifest file.
func readManifest(fs vfs.FS) (saved manifest, err error) {
	content, err := readAll(fs, manifestName)
	if err != nil {
		return saved, err
	}
	crc, body, ok := strings.Cut(strings.TrimSuffix(string(content), "\n"), " ")
	sum, err := strconv.ParseUint(crc, 16, 32)
	if !ok || err != nil || uint32(sum) != crc32.Checksum([]byte(body), castagnoli) {
		return saved, errors.New("MANIFEST has an invalid checksum")
	}
	err = json.Unmarshal([]byte(body), &saved)
	if err == nil && saved.Format > formatVersion {
		err = fmt.Errorf("%w: format version %d, this program reads up to %d", errNewerFormat, saved.Format, formatVersion)
	}
	return saved, err
}

// errNewerFormat is returned for a manifest whose format this program does not support yet.
var errNewerFormat = errors.New("store was written by a newer version of the program")

// readAll returns the content of a file.
func readAll(fs vfs.FS, name string) ([]byte, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, size)
	if size > 0 {
		if _, err := file.ReadAt(content, 0); err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
	}
	return content, nil
}
