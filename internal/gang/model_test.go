package gang

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model is two gangs that each want two encoders whole at one time. Gang a's home and encoder s-0's account are group
// 0, b's and s-1's group 1. Coordinators are any that there may be: each command that a home's state ever allowed may come
// at any later time, in any order, never, or again and again. What a group does is the code itself.
type model struct {
	groups [2]*Machine
	mail   []letter // sorted: all that was ever sent, or could have been
}

type letter struct {
	to   uint32
	c    Command
	text string
}

const modelStart = unix + 10*time.Second

var modelDepth = flag.Int("gang.depth", 9, "commands that the model check goes")

var gangs = [2]string{"a", "b"}

func newModel() *model {
	m := &model{groups: [2]*Machine{New(), New()}}
	for g := range uint32(2) {
		m.groups[g].apply(unix, Command{Op: "set", Resource: &Resource{ID: fmt.Sprint("e/s-", g), Slots: 4, Gen: 1}})
		member := Member{Slots: 3, Work: time.Second, Class: "live"}
		m.groups[g].apply(unix+time.Duration(g), Command{Op: "submit", Spec: &Spec{ID: gangs[g], Members: []Member{member, member}, LatestStart: modelStart}})
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
	n := &model{groups: [2]*Machine{New(), New()}, mail: m.mail}
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

func (m *model) send(to uint32, c Command) {
	l := letter{to, c, fmt.Sprint(to, string(c.Encode()))}
	i, have := slices.BinarySearchFunc(m.mail, l, func(a, b letter) int { return strings.Compare(a.text, b.text) })
	if !have {
		m.mail = slices.Insert(slices.Clone(m.mail), i, l)
	}
}

func plan(round uint64) *Plan {
	p := &Plan{Round: round, Start: modelStart, Encoders: []string{"s-0", "s-1"}, Starters: []string{"n0", "n1"}}
	for g := range uint32(2) {
		p.Holds = append(p.Holds, Hold{fmt.Sprint("e/s-", g), g, 1, 3, modelStart, modelStart + 2*time.Second})
	}
	return p
}

// mutant is a fault of the program, for the check to find.
type mutant string

const (
	sound       mutant = ""
	expires     mutant = "a hold expires alone"
	commitByOne mutant = "commit by one"
	notSummed   mutant = "the cap is not summed"
	uncompared  mutant = "the generation is not compared"
)

// sends has all coordinators send what they may.
func (m *model) sends() *model {
	for g := range uint32(2) {
		id, e := gangs[g], m.groups[g].Gangs[gangs[g]]
		if e.State == Waiting && e.Round < 2 {
			m.send(g, Command{Op: "plan", Gang: id, Plan: plan(e.Round + 1)})
		}
		if e.State == Preparing {
			for to := range uint32(2) {
				m.send(to, Command{Op: "prepare", Standing: &Standing{Gang: id, Round: e.Plan.Round, Home: g, Age: e.Age, Holds: e.Plan.of(to)}})
			}
			m.send(g, Command{Op: "abort", Gang: id, Round: e.Plan.Round}) // a wound does the same
		}
		if e.State == Held {
			m.send(g, Command{Op: "drop", Gang: id, Round: e.Plan.Round})
			m.send(g, Command{Op: "go", Gang: id, Round: e.Plan.Round, Armed: e.Plan.Starters})
		}
		for _, d := range e.Due {
			m.send(d.Group, Command{Op: d.Op, Gang: id, Round: d.Round, Group: g})
		}
	}
	return m
}

// next is all states that may follow.
func (m *model) next(bug mutant) (all []*model) {
	for _, l := range m.mail {
		n := m.clone()
		n.deliver(l, bug)
		all = append(all, n.sends())
	}
	for g := range m.groups {
		for i, s := range m.groups[g].Standing {
			if bug == expires && !s.Committed {
				n := m.clone()
				n.groups[g].Standing = slices.Delete(n.groups[g].Standing, i, i+1)
				all = append(all, n)
			}
		}
	}
	return all
}

// deliver has a group take a letter. What it answers sends the next one.
func (m *model) deliver(l letter, bug mutant) {
	g := m.groups[l.to]
	hidden := []Standing(nil)
	if l.c.Op == "prepare" {
		switch bug {
		case notSummed:
			hidden, g.Standing = g.Standing, nil
		case uncompared:
			g.Over = map[string]over{}
		}
	}
	r := g.apply(unix+1, l.c)
	if hidden != nil {
		g.Standing = append(hidden, g.Standing...)
		slices.SortFunc(g.Standing, func(a, b Standing) int { return strings.Compare(a.Gang, b.Gang) })
	}
	switch l.c.Op {
	case "prepare":
		if s := l.c.Standing; r.OK {
			m.send(s.Home, Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: l.to})
			if bug == commitByOne {
				m.send(s.Home, Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: 1 - l.to})
			}
		}
	case "commit", "undo", "end":
		m.send(l.c.Group, Command{Op: "told", Gang: l.c.Gang, Told: &Due{l.to, l.c.Round, l.c.Op}})
	}
}

// wrong is what must never be.
func (m *model) wrong() string {
	for g, k := range m.groups {
		if n := slotsAt(k, fmt.Sprint("e/s-", g), modelStart); n > 4 {
			return fmt.Sprintf("s-%d: %d of 4 slots are held", g, n)
		}
		for _, s := range k.Standing {
			e := m.groups[s.Home].Gangs[s.Gang]
			inForce := e.Plan != nil && e.Plan.Round == s.Round && e.State != Waiting
			told := !slices.ContainsFunc(e.Due, func(d Due) bool { return d.Group == uint32(g) })
			switch firm := e.State == Held || e.State == Going; {
			case s.Committed && !(inForce && firm) && told:
				return fmt.Sprintf("%s round %d is committed at %d, and at its home it is %s", s.Gang, s.Round, g, e.State)
			case !s.Committed && !inForce && told:
				return fmt.Sprintf("%s round %d is held at %d, its home is done with it, and nobody will say so", s.Gang, s.Round, g)
			}
		}
	}
	for g, k := range m.groups {
		e := k.Gangs[gangs[g]]
		if e.State != Held && e.State != Going {
			continue
		}
		for to, k := range m.groups {
			if _, have := k.find(gangs[g], e.Plan.Round); !have {
				return fmt.Sprintf("%s round %d is to start, and nothing is held at %d", gangs[g], e.Plan.Round, to)
			}
		}
	}
	return ""
}

// explore visits all states within a depth, and returns the first fault with the number of states.
func explore(bug mutant, depth int) (fault string, states, started int) {
	first := newModel().sends()
	seen := map[[32]byte]bool{}
	level := []*model{first}
	for range depth {
		var next []*model
		for _, m := range level {
			for _, n := range m.next(bug) {
				key := sha256.Sum256([]byte(n.key()))
				if seen[key] {
					continue
				}
				seen[key] = true
				if fault := n.wrong(); fault != "" {
					return fault, len(seen), started
				}
				if n.groups[0].Gangs["a"].State == Going || n.groups[1].Gangs["b"].State == Going {
					started++
				}
				next = append(next, n)
			}
		}
		level = next
	}
	return "", len(seen), started
}

// Each state within a depth, with messages in any order, late, twice and lost, and whoever coordinates: no account is
// passed, what is to start is held everywhere, and no group commits or keeps what its gang's home has not. Faults put in
// are found, each by its name.
func TestCommitmentInEveryOrder(t *testing.T) {
	fault, states, started := explore(sound, *modelDepth)
	t.Logf("depth %d: %d states, in %d a gang is about to start", *modelDepth, states, started)
	require.Empty(t, fault)
	require.NotZero(t, started)
	for _, bug := range []mutant{expires, commitByOne, notSummed, uncompared} {
		fault, states, _ := explore(bug, *modelDepth)
		t.Logf("%s: %s, after %d states", bug, fault, states)
		require.NotEmpty(t, fault, bug)
	}
}
