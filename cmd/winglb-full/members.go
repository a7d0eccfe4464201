package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"caperrelay/internal/members"
)

// asked holds the arguments that the members and lists commands share.
type asked struct {
	At   []string `arg:"" name:"address" help:"Operators' addresses (node.admin) of dispatchers."`
	JSON bool     `name:"json" help:"Print one JSON object for each dispatcher that answers."`
}

const (
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 32
	maxAnswerBytes       = 4 << 20
)

// queryMembers queries one dispatcher.
func queryMembers(address string) (v members.View, err error) {
	c, err := net.DialTimeout("tcp", address, queryTimeout)
	if err != nil {
		return v, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(queryTimeout))
	if _, err := fmt.Fprintln(c, "members"); err != nil {
		return v, err
	}
	text, err := io.ReadAll(io.LimitReader(c, maxAnswerBytes))
	if err != nil {
		return v, err
	}
	if reason, ok := strings.CutPrefix(string(text), "ERR "); ok {
		return v, fmt.Errorf("%s: the dispatcher does not share its instance list: [members] is missing in its file, or it does not serve", strings.TrimSpace(reason))
	}
	return v, json.Unmarshal([]byte(strings.TrimSuffix(string(text), "END\n")), &v)
}

// queryAll queries all dispatchers and prints the answers with f, in the order of the addresses.
func (a *asked) queryAll(heading string, f func(io.Writer, members.View)) error {
	all, errs := make([]members.View, len(a.At)), make([]error, len(a.At))
	var wg sync.WaitGroup
	for from := 0; from < len(a.At); from += maxConcurrentQueries {
		for i := from; i < min(from+maxConcurrentQueries, len(a.At)); i++ {
			wg.Go(func() { all[i], errs[i] = queryMembers(a.At[i]) })
		}
		wg.Wait()
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !a.JSON {
		fmt.Fprintln(out, heading)
	}
	failed := 0
	for i, v := range all {
		switch {
		case errs[i] != nil:
			failed++
			fmt.Fprintf(os.Stderr, "%s: %v\n", a.At[i], errs[i])
		case a.JSON:
			text, err := json.Marshal(v)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, string(text))
		default:
			f(out, v)
		}
	}
	out.Flush()
	if failed > 0 {
		return fmt.Errorf("%d of %d dispatchers did not tell", failed, len(a.At))
	}
	return nil
}

type membersCommand struct{ asked }

func (a *membersCommand) Run() error {
	return a.queryAll("DISPATCHER\tSEES\tZONE\tLIST SERVICE\tSETTINGS", func(out io.Writer, v members.View) {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t\n", v.Name, v.Name, v.Zone, v.Watch)
		for _, p := range v.Peers {
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n", v.Name, p.Name, p.Zone, p.Watch, p.Settings)
		}
	})
}

type listsCommand struct{ asked }

func (a *listsCommand) Run() error {
	return a.queryAll("DISPATCHER\tZONE\tLIST SERVICE\tREVISION\tOF\tAGE\tENCODERS\tTELLS\tNOT LISTENED TO", func(out io.Writer, v members.View) {
		age := "no list"
		if v.Age >= 0 {
			age = v.Age.Round(time.Millisecond).String()
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%d.%d\t%s\t%s\t%d\t%s\t%s\n", v.Name, v.Zone, v.Watch, v.Term, v.Revision, v.Source, age, v.EncoderCount, strings.Join(v.SendsTo, " "), strings.Join(v.Distrusted, " "))
	})
}
