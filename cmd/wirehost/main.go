// Command wirehost runs dispatchers for the simulator: it reads batches of
// events from standard input and writes a reply to each to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<20))
	instances := map[int]*decide.Dispatcher{}
	var buf []byte
	for {
		b, err := dec.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		replies, err := handle(instances, b)
		if err != nil {
			return err
		}
		buf = wire.AppendReply(buf[:0], b.Number, replies)
		if _, err := out.Write(buf); err != nil {
			return err
		}
	}
}

// instanceEvents holds the events of a batch for one instance.
type instanceEvents struct {
	instance int
	events   []decide.Event
}

// handle passes each instance its events of the batch, in the order in which
// the instances first appear. Events before a stop are discarded.
func handle(instances map[int]*decide.Dispatcher, b *wire.Batch) ([]wire.Reply, error) {
	var groups []instanceEvents
	at := map[int]int{}
	for _, it := range b.Items {
		i, seen := at[it.Instance]
		if !seen {
			i = len(groups)
			at[it.Instance] = i
			groups = append(groups, instanceEvents{instance: it.Instance})
		}
		switch what := it.Message.(type) {
		case wire.Stop:
			delete(instances, it.Instance)
			groups[i].events = nil
		case wire.Hello:
			d, err := decide.New(what.Settings)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", it.Instance, err)
			}
			instances[it.Instance] = d
		case decide.Event:
			if instances[it.Instance] == nil {
				return nil, fmt.Errorf("instance %d has an event before its hello", it.Instance)
			}
			groups[i].events = append(groups[i].events, what)
		}
	}
	var replies []wire.Reply
	for _, t := range groups {
		if d := instances[t.instance]; d != nil {
			replies = append(replies, wire.Reply{Instance: t.instance, Actions: d.Handle(b.Now, t.events)})
		}
	}
	return replies, nil
}
