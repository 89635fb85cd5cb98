// Command adapter runs larkrouter controllers for the simulator: it reads batches of events from standard input and
// writes replies with their actions to standard output. It only converts between the two; instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"larkrouter"
	"larkrouter/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	nodes := map[uint32]*larkrouter.Controller{}
	var reply wire.Reply
	for batchNumber := 0; ; batchNumber++ {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) && batch == nil && err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", batchNumber, err)
		}
		reply.Reset()
		for i, record := range batch.Records {
			switch record.Kind {
			case wire.Start:
				delete(nodes, record.Instance)
				settings, err := wire.ParseSettings(record.Settings)
				if err == nil {
					nodes[record.Instance], err = larkrouter.New(settings, record.Seed)
				}
				if err != nil {
					delete(nodes, record.Instance)
					reply.AddFailure(record.Instance, err.Error())
				}
			case wire.Crash:
				delete(nodes, record.Instance)
			default:
				node := nodes[record.Instance]
				if node == nil {
					return fmt.Errorf("batch %d: event %d (%T) at offset %d is for unknown instance %d",
						batchNumber, i, record.Event, record.Offset, record.Instance)
				}
				for _, action := range node.Handle(batch.Now, record.Event) {
					if err := reply.Add(record.Instance, action); err != nil {
						return fmt.Errorf("batch %d: instance %d: %w", batchNumber, record.Instance, err)
					}
				}
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", batchNumber, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", batchNumber, err)
		}
	}
}
