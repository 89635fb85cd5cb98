// Command adapter hosts larkrouter controllers on the simulator's wire: batches on standard input,
// replies on standard output. It translates and decides nothing; instances share no state.
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
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	nodes := map[uint32]*larkrouter.Controller{}
	var reply wire.Reply
	for n := 0; ; n++ {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) && batch == nil && err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		reply.Reset()
		for i, rec := range batch.Records {
			switch rec.Kind {
			case wire.Start:
				delete(nodes, rec.Instance)
				s, err := wire.Settings(rec.Info)
				if err == nil {
					nodes[rec.Instance], err = larkrouter.New(s, rec.Seed)
				}
				if err != nil {
					delete(nodes, rec.Instance)
					reply.Bug(rec.Instance, err.Error())
				}
			case wire.Crash:
				delete(nodes, rec.Instance)
			default:
				node := nodes[rec.Instance]
				if node == nil {
					return fmt.Errorf("batch %d: event %d (%T) at offset %d is for unknown instance %d",
						n, i, rec.Event, rec.Offset, rec.Instance)
				}
				for _, a := range node.Handle(batch.Now, rec.Event) {
					if err := reply.Add(rec.Instance, a); err != nil {
						return fmt.Errorf("batch %d: instance %d: %w", n, rec.Instance, err)
					}
				}
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
	}
}
