// Package orders checks the commitment of gangs in all orders of its commands, to a stated depth. What a group does is the
// program itself; who coordinates is any number of processes that come, go and act at once.
package orders

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/gang"
)

// model is two gangs that each want two encoders whole at one time. Gang a's home and encoder s-0's account are group
// 0, b's and s-1's group 1. Each command that a home's state ever allowed may come at any later time, in any order, never,
// or again and again.
type model struct {
	groups [2]*gang.Machine
	mail   []letter // sorted: all that was ever sent, or could have been
}

type letter struct {
	to   uint32
	c    gang.Command
	text string
}

const (
	unix  = 1_700_000_000 * time.Second
	start = unix + 10*time.Second
	slots = 4
)

var gangs = [2]string{"a", "b"}

func account(group uint32) string { return gang.Encoder{ID: fmt.Sprint("s-", group)}.Account() }

func first() *model {
	m := &model{groups: [2]*gang.Machine{gang.New(), gang.New()}}
	for g := range uint32(2) {
		m.groups[g].Do(unix, gang.Command{Op: "set", Resource: &gang.Resource{ID: account(g), Slots: slots, Gen: 1}})
		one := gang.Member{Slots: 3, Work: time.Second, Class: "live"}
		m.groups[g].Do(unix+time.Duration(g), gang.Command{Op: "submit", Spec: &gang.Spec{ID: gangs[g], Members: []gang.Member{one, one}, LatestStart: start}})
	}
	return m
}

func (m *model) key() string {
	var s strings.Builder
	for _, g := range m.groups {
		text, _ := g.Snapshot()
		s.Write(text)
	}
	for _, l := range m.mail {
		s.WriteString(l.text)
	}
	return s.String()
}

func (m *model) clone() *model {
	n := &model{groups: [2]*gang.Machine{gang.New(), gang.New()}, mail: m.mail}
	for i, g := range m.groups {
		c := n.groups[i]
		c.At, c.Resources, c.Standing = g.At, g.Resources, slices.Clone(g.Standing)
		maps.Copy(c.Over, g.Over)
		for id, e := range g.Gangs {
			o := *e
			o.Votes, o.Due, o.Fates = slices.Clone(e.Votes), slices.Clone(e.Due), slices.Clone(e.Fates)
			c.Gangs[id] = &o
		}
	}
	return n
}

func (m *model) send(to uint32, c gang.Command) {
	l := letter{to, c, fmt.Sprint(to, string(c.Encode()))}
	i, have := slices.BinarySearchFunc(m.mail, l, func(a, b letter) int { return strings.Compare(a.text, b.text) })
	if !have {
		m.mail = slices.Insert(slices.Clone(m.mail), i, l)
	}
}

func plan(round uint64) *gang.Plan {
	p := &gang.Plan{Round: round, Start: start, Encoders: []string{"s-0", "s-1"}, Starters: []string{"n0", "n1"}}
	for g := range uint32(2) {
		p.Holds = append(p.Holds, gang.Hold{Resource: account(g), Group: g, Gen: 1, Slots: 3, From: start, Until: start + 2*time.Second})
	}
	return p
}

// Mutant is a fault of the program, for the check to find.
type Mutant string

// The mutants.
const (
	Sound       Mutant = ""
	Expires     Mutant = "a hold expires alone"
	CommitByOne Mutant = "commit by one"
	NotSummed   Mutant = "the cap is not summed"
	Uncompared  Mutant = "the generation is not compared"
	Unmoved     Mutant = "a group that is moved forgets what it holds"
)

// Mutants are all that must be found.
var Mutants = []Mutant{Expires, CommitByOne, NotSummed, Uncompared, Unmoved}

// sends has all coordinators send what they may.
func (m *model) sends() *model {
	for g := range uint32(2) {
		id, e := gangs[g], m.groups[g].Gangs[gangs[g]]
		if e.State == gang.Waiting && e.Round < 2 {
			m.send(g, gang.Command{Op: "plan", Gang: id, Plan: plan(e.Round + 1)})
		}
		if e.State == gang.Preparing {
			for to := range uint32(2) {
				m.send(to, gang.Command{Op: "prepare", Standing: &gang.Standing{Gang: id, Round: e.Plan.Round, Home: g, Age: e.Age, Holds: e.Plan.Of(to)}})
			}
			m.send(g, gang.Command{Op: "abort", Gang: id, Round: e.Plan.Round}) // a wound does the same
		}
		if e.State == gang.Held {
			m.send(g, gang.Command{Op: "drop", Gang: id, Round: e.Plan.Round})
			m.send(g, gang.Command{Op: "go", Gang: id, Round: e.Plan.Round, Armed: e.Plan.Starters})
		}
		for _, d := range e.Due {
			m.send(d.Group, gang.Command{Op: d.Op, Gang: id, Round: d.Round, Group: g})
		}
	}
	return m
}

// next is all states that may follow.
func (m *model) next(bug Mutant) (all []*model) {
	for _, l := range m.mail {
		n := m.clone()
		n.deliver(l, bug)
		all = append(all, n.sends())
	}
	for g := range m.groups {
		for i, s := range m.groups[g].Standing {
			if bug == Expires && !s.Committed {
				n := m.clone()
				n.groups[g].Standing = slices.Delete(n.groups[g].Standing, i, i+1)
				all = append(all, n)
			}
		}
	}
	return all
}

// deliver has a group take a letter. What it answers sends the next one.
func (m *model) deliver(l letter, bug Mutant) {
	g := m.groups[l.to]
	hidden := []gang.Standing(nil)
	if l.c.Op == "prepare" {
		switch bug {
		case NotSummed:
			hidden, g.Standing = g.Standing, nil
		case Uncompared:
			clear(g.Over)
		}
	}
	r := g.Do(unix+1, l.c)
	if hidden != nil {
		g.Standing = append(hidden, g.Standing...)
		slices.SortFunc(g.Standing, func(a, b gang.Standing) int { return strings.Compare(a.Gang, b.Gang) })
	}
	switch l.c.Op {
	case "prepare":
		if s := l.c.Standing; r.OK {
			m.send(s.Home, gang.Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: l.to})
			if bug == CommitByOne {
				m.send(s.Home, gang.Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: 1 - l.to})
			}
		}
	case "commit", "undo", "end":
		m.send(l.c.Group, gang.Command{Op: "told", Gang: l.c.Gang, Told: &gang.Due{Group: l.to, Round: l.c.Round, Op: l.c.Op}})
	}
}

// wrong is what must never be.
func (m *model) wrong() string {
	for n, k := range m.groups {
		g := uint32(n)
		if n := k.Used(account(g), start); n > slots {
			return fmt.Sprintf("s-%d: %d of %d slots are held", g, n, slots)
		}
		for _, s := range k.Standing {
			e := m.groups[s.Home].Gangs[s.Gang]
			inForce := e.Plan != nil && e.Plan.Round == s.Round && e.State != gang.Waiting
			told := !slices.ContainsFunc(e.Due, func(d gang.Due) bool { return d.Group == g })
			switch firm := e.State == gang.Held || e.State == gang.Going; {
			case s.Committed && !(inForce && firm) && told:
				return fmt.Sprintf("%s round %d is committed at %d, and at its home it is %s", s.Gang, s.Round, g, e.State)
			case !s.Committed && !inForce && told:
				return fmt.Sprintf("%s round %d is held at %d, its home is done with it, and nobody will say so", s.Gang, s.Round, g)
			}
		}
	}
	for g, k := range m.groups {
		e := k.Gangs[gangs[g]]
		if e.State != gang.Held && e.State != gang.Going {
			continue
		}
		for to, k := range m.groups {
			if !slices.ContainsFunc(k.Standing, func(s gang.Standing) bool { return s.Gang == gangs[g] && s.Round == e.Plan.Round }) {
				return fmt.Sprintf("%s round %d is to start, and nothing is held at %d", gangs[g], e.Plan.Round, to)
			}
		}
	}
	return ""
}

// move is a group's copy on another machine: made from a snapshot, it must be the same to the letter.
func (m *model) move(bug Mutant) string {
	for g, k := range m.groups {
		text, err := k.Snapshot()
		if err != nil {
			return err.Error()
		}
		moved := gang.New()
		if err := moved.Restore(text); err != nil {
			return err.Error()
		}
		if bug == Unmoved {
			moved.Standing = nil
		}
		if again, _ := moved.Snapshot(); string(again) != string(text) {
			return fmt.Sprintf("group %d is another once it was moved", g)
		}
	}
	return ""
}

// Seen is what a check has gone through.
type Seen struct {
	Fault         string // the first; empty: none
	States, Going int    // all, and those in which a gang is about to start
}

// Explore visits all states within a depth of commands, until the first fault.
func Explore(bug Mutant, depth int) (s Seen) {
	seen := map[[32]byte]bool{}
	level := []*model{first().sends()}
	for range depth {
		var next []*model
		for _, m := range level {
			for _, n := range m.next(bug) {
				key := sha256.Sum256([]byte(n.key()))
				if seen[key] {
					continue
				}
				seen[key] = true
				s.States = len(seen)
				if s.Fault = n.wrong(); s.Fault == "" {
					s.Fault = n.move(bug)
				}
				if s.Fault != "" {
					return s
				}
				if n.groups[0].Gangs["a"].State == gang.Going || n.groups[1].Gangs["b"].State == gang.Going {
					s.Going++
				}
				next = append(next, n)
			}
		}
		level = next
	}
	return s
}
