package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"larkrouter/internal/store"
	"larkrouter/internal/store/vfs"
)

// storeCmd groups the commands that work on a store.
type storeCmd struct {
	Info    storeInfoCmd    `cmd:"" help:"Print the size of a store and the number of records in each collection. Safe while a node uses it."`
	Verify  storeVerifyCmd  `cmd:"" help:"Read every file completely. Safe while a node uses it, but its newest entries may then look torn."`
	Dump    storeDumpCmd    `cmd:"" help:"Print the records of a collection. Safe while a node uses it."`
	Compact storeCompactCmd `cmd:"" help:"Rewrite the store with its newest records only. No node may use it."`
	Backup  storeBackupCmd  `cmd:"" help:"Write a consistent snapshot of all records to an empty folder. Safe while a node uses it."`
	Restore storeRestoreCmd `cmd:"" help:"Create a store from a backup in an empty folder."`
}

// storeDir is the store that a command works on.
type storeDir struct {
	Dir string `arg:"" type:"existingdir" help:"The store's folder."`
}

// open opens the store and prints the damage that was found.
func (d storeDir) open(readOnly bool) (*store.Store, error) {
	fs, err := vfs.OpenDir(d.Dir)
	if err != nil {
		return nil, err
	}
	opened, recovery, err := store.Open(fs, store.Options{ReadOnly: readOnly, ManualCompaction: true})
	if errors.Is(err, vfs.ErrLocked) {
		return nil, fmt.Errorf("%w: stop the node first, or use backup, which works while the node runs", err)
	}
	if err != nil {
		return nil, err
	}
	for _, damage := range recovery.Damage {
		fmt.Fprintln(os.Stderr, "damaged:", damage)
	}
	return opened, nil
}

// storeInfoCmd prints the size of a store and the number of records in each collection.
type storeInfoCmd struct{ storeDir }

func (c *storeInfoCmd) Run() error {
	opened, err := c.open(true)
	if err != nil {
		return err
	}
	defer opened.Close()
	info := opened.Info()
	fmt.Printf("%d segments, %d bytes, %d of them live; next change %d, feed from %d\n", info.Segments, info.TotalBytes, info.LiveBytes,
		info.NextSeq, info.OldestChangeSeq)
	names := make([]string, 0, len(info.RecordCounts))
	for name := range info.RecordCounts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%-20s %d records\n", name, info.RecordCounts[name])
	}
	return nil
}

// storeVerifyCmd reads every file of a store and prints the damage found.
type storeVerifyCmd struct{ storeDir }

func (c *storeVerifyCmd) Run() error {
	fs, err := vfs.OpenDir(c.Dir)
	if err != nil {
		return err
	}
	recovery, err := store.Verify(fs, func(name string, bytes int64) { fmt.Printf("%s: %d bytes\n", name, bytes) })
	if err != nil {
		return err
	}
	for _, damage := range recovery.Damage {
		fmt.Println("damaged:", damage)
	}
	if len(recovery.Damage) > 0 {
		return errReported
	}
	fmt.Println("no damage found")
	return nil
}

// storeDumpCmd prints the records of a collection.
type storeDumpCmd struct {
	storeDir
	Collection string `arg:"" help:"Name of the collection."`
	Prefix     string `help:"Print only keys with this prefix."`
}

func (c *storeDumpCmd) Run() error {
	opened, err := c.open(true)
	if err != nil {
		return err
	}
	defer opened.Close()
	snapshot, err := opened.Snapshot()
	if err != nil {
		return err
	}
	defer snapshot.Close()
	return snapshot.RangePrefix(context.Background(), c.Collection, c.Prefix, func(key string, value []byte) error {
		_, err := fmt.Printf("%q %q\n", key, value)
		return err
	})
}

// storeCompactCmd rewrites a store with its newest records only.
type storeCompactCmd struct{ storeDir }

func (c *storeCompactCmd) Run() error {
	opened, err := c.open(false)
	if err != nil {
		return err
	}
	defer opened.Close()
	sizeBefore, start := opened.Size(), time.Now()
	if err := opened.Compact(context.Background()); err != nil {
		return err
	}
	fmt.Printf("%d bytes before, %d after, in %v\n", sizeBefore, opened.Size(), time.Since(start).Round(time.Millisecond))
	return opened.Close()
}

// storeBackupCmd writes a snapshot of all records to an empty folder.
type storeBackupCmd struct {
	storeDir
	To string `arg:"" type:"path" help:"An empty folder, created if it does not exist."`
}

func (c *storeBackupCmd) Run() error { return copyStore(c.storeDir, c.To) }

// storeRestoreCmd creates a store from a backup.
type storeRestoreCmd struct {
	storeDir
	To string `arg:"" type:"path" help:"Folder of the new store, empty or not existing."`
}

func (c *storeRestoreCmd) Run() error { return copyStore(c.storeDir, c.To) }

// copyStore writes all records of a store to an empty folder, with a progress line on standard error every second.
func copyStore(from storeDir, to string) error {
	source, err := from.open(true)
	if err != nil {
		return err
	}
	defer source.Close()
	target, err := vfs.OpenDir(to)
	if err != nil {
		return err
	}
	lastReport := time.Now()
	copied := 0
	err = source.Backup(context.Background(), target, func(records int) {
		if copied = records; time.Since(lastReport) > time.Second {
			lastReport = time.Now()
			fmt.Fprintf(os.Stderr, "%d records\n", records)
		}
	})
	if err == nil {
		fmt.Printf("%d records written to %s\n", copied, to)
	}
	return err
}
