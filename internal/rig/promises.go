package rig

import (
	"fmt"
	"os"
	"strings"

	"caperrelay/internal/standin/link"
)

// recordGroups is how many groups a rig's record has.
const recordGroups = 6

// Record is the folder in which the daemon keeps its part of the record.
func (d *Daemon) Record() string { return d.file + ".promises" }

// Forget has the daemon's disk lost; it must be down.
func (d *Daemon) Forget() error { return os.RemoveAll(d.Record()) }

// record is what a daemon's file says of the record. It holds copies on machines of their own.
func (r *Rig) record(d *Daemon) (string, error) {
	if !r.Promises {
		return "", nil
	}
	var peers, through []string
	for n, o := range r.daemons {
		if n == d.n {
			continue
		}
		peers = append(peers, fmt.Sprintf("n%d = %q", n, o.Control))
		if r.Net != nil {
			at, err := r.Net.TCP(link.Way{From: fmt.Sprintf("n%d", d.n), To: fmt.Sprintf("n%d", n)}, o.Control)
			if err != nil {
				return "", err
			}
			through = append(through, fmt.Sprintf("n%d = %q", n, at))
		}
	}
	return fmt.Sprintf("[promises]\ndir = %q\nmachine = \"m%d\"\ngroups = %d\ngone = \"5s\"\n[promises.peers]\n%s\n[promises.through]\n%s\n",
		d.Record(), d.n, recordGroups, strings.Join(peers, "\n"), strings.Join(through, "\n")), nil
}
