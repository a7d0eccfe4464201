// Command wirehost runs many dispatchers on the simulator's wire: batches on
// standard input, one reply for each on standard output.
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

// instanceEvents is one instance's part of a batch.
type instanceEvents struct {
	instance int
	events   []decide.Event
}

// handle gives each instance its events of the batch, in the order in which the
// instances first appear. What came before a stop is void.
func handle(instances map[int]*decide.Dispatcher, b *wire.Batch) ([]wire.Reply, error) {
	var turns []instanceEvents
	at := map[int]int{}
	for _, it := range b.Items {
		i, seen := at[it.Instance]
		if !seen {
			i = len(turns)
			at[it.Instance] = i
			turns = append(turns, instanceEvents{instance: it.Instance})
		}
		switch what := it.What.(type) {
		case wire.Stop:
			delete(instances, it.Instance)
			turns[i].events = nil
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
			turns[i].events = append(turns[i].events, what)
		}
	}
	var replies []wire.Reply
	for _, t := range turns {
		if d := instances[t.instance]; d != nil {
			replies = append(replies, wire.Reply{Instance: t.instance, Actions: d.Handle(b.Now, t.events)})
		}
	}
	return replies, nil
}
