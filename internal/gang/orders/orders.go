// Package orders model-checks the commit protocol of gangs: it tries all orders of commands up to a given depth. The
// groups are the real state machines; any number of coordinators may come, go and act at once.
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

// model has two gangs that each need more than half of two encoders at the same time, so that only one of them fits.
// Group 0 is the home of gang a and keeps the account of encoder s-0, group 1 that of gang b and s-1. Each command
// that some state of a home has allowed can be delivered at any later time, in any order, never, or repeatedly.
type model struct {
	groups   [2]*gang.Machine
	messages []message // sorted by text: all that were ever sent or could have been
}

type message struct {
	to   uint32
	c    gang.Command
	text string
}

const (
	epoch = 1_700_000_000 * time.Second
	start = epoch + 10*time.Second
	slots = 4
)

var gangs = [2]string{"a", "b"}

func account(group uint32) string { return gang.Encoder{ID: fmt.Sprint("s-", group)}.Account() }

func initialModel() *model {
	m := &model{groups: [2]*gang.Machine{gang.New(), gang.New()}}
	for g := range uint32(2) {
		m.groups[g].ApplyCommand(epoch, gang.Command{Op: "set", Resource: &gang.Resource{ID: account(g), Slots: slots, Gen: 1}})
		one := gang.Member{Slots: 3, Work: time.Second, Class: "live"}
		m.groups[g].ApplyCommand(epoch+time.Duration(g), gang.Command{Op: "submit", Spec: &gang.Spec{ID: gangs[g], Members: []gang.Member{one, one}, LatestStart: start}})
	}
	return m
}

func (m *model) key() string {
	var s strings.Builder
	for _, g := range m.groups {
		text, _ := g.Snapshot()
		s.Write(text)
	}
	for _, msg := range m.messages {
		s.WriteString(msg.text)
	}
	return s.String()
}

func (m *model) clone() *model {
	n := &model{groups: [2]*gang.Machine{gang.New(), gang.New()}, messages: m.messages}
	for i, g := range m.groups {
		c := n.groups[i]
		c.At, c.Resources, c.RoundHolds = g.At, g.Resources, slices.Clone(g.RoundHolds)
		maps.Copy(c.EndedRounds, g.EndedRounds)
		for id, e := range g.Gangs {
			o := *e
			o.Votes, o.Unconfirmed, o.MemberStatuses = slices.Clone(e.Votes), slices.Clone(e.Unconfirmed), slices.Clone(e.MemberStatuses)
			c.Gangs[id] = &o
		}
	}
	return n
}

func (m *model) send(to uint32, c gang.Command) {
	msg := message{to, c, fmt.Sprint(to, string(c.Encode()))}
	i, found := slices.BinarySearchFunc(m.messages, msg, func(a, b message) int { return strings.Compare(a.text, b.text) })
	if !found {
		m.messages = slices.Insert(slices.Clone(m.messages), i, msg)
	}
}

func plan(round uint64) *gang.Plan {
	p := &gang.Plan{Round: round, Start: start, Encoders: []string{"s-0", "s-1"}, Dispatchers: []string{"n0", "n1"}}
	for g := range uint32(2) {
		p.Holds = append(p.Holds, gang.Hold{Resource: account(g), Group: g, Gen: 1, Slots: 3, From: start, Until: start + 2*time.Second})
	}
	return p
}

// Mutant is a fault to be injected, which the check must find.
type Mutant string

// The mutants.
const (
	NoFault              Mutant = ""
	HoldExpires          Mutant = "an uncommitted hold expires"
	CommitOnOneVote      Mutant = "one vote commits"
	SlotsNotSummed       Mutant = "slots are not summed over gangs"
	EndedRoundsForgotten Mutant = "ended rounds are forgotten"
	RestoreLosesHolds    Mutant = "a restored group has lost its holds"
)

// Mutants are the faults that the check must find.
var Mutants = []Mutant{HoldExpires, CommitOnOneVote, SlotsNotSummed, EndedRoundsForgotten, RestoreLosesHolds}

// sendAllowed adds all messages that a coordinator may send in this state.
func (m *model) sendAllowed() *model {
	for g := range uint32(2) {
		id, e := gangs[g], m.groups[g].Gangs[gangs[g]]
		if e.State == gang.Waiting && e.Round < 2 {
			m.send(g, gang.Command{Op: "plan", Gang: id, Plan: plan(e.Round + 1)})
		}
		if e.State == gang.Preparing {
			for to := range uint32(2) {
				m.send(to, gang.Command{Op: "prepare", RoundHolds: &gang.RoundHolds{Gang: id, Round: e.Plan.Round, Home: g, SubmittedAt: e.SubmittedAt, Holds: e.Plan.HoldsIn(to)}})
			}
			m.send(g, gang.Command{Op: "abort", Gang: id, Round: e.Plan.Round}) // a wound has the same effect
		}
		if e.State == gang.Held {
			m.send(g, gang.Command{Op: "drop", Gang: id, Round: e.Plan.Round})
			m.send(g, gang.Command{Op: "go", Gang: id, Round: e.Plan.Round, Armed: e.Plan.Dispatchers})
		}
		for _, d := range e.Unconfirmed {
			m.send(d.Group, gang.Command{Op: d.Op, Gang: id, Round: d.Round, Group: g})
		}
	}
	return m
}

// next returns all successor states.
func (m *model) next(mutant Mutant) (all []*model) {
	for _, msg := range m.messages {
		n := m.clone()
		n.deliver(msg, mutant)
		all = append(all, n.sendAllowed())
	}
	for g := range m.groups {
		for i, s := range m.groups[g].RoundHolds {
			if mutant == HoldExpires && !s.Committed {
				n := m.clone()
				n.groups[g].RoundHolds = slices.Delete(n.groups[g].RoundHolds, i, i+1)
				all = append(all, n)
			}
		}
	}
	return all
}

// deliver applies a message's command to a group and sends the messages that follow from the result.
func (m *model) deliver(msg message, mutant Mutant) {
	g := m.groups[msg.to]
	hidden := []gang.RoundHolds(nil)
	if msg.c.Op == "prepare" {
		switch mutant {
		case SlotsNotSummed:
			hidden, g.RoundHolds = g.RoundHolds, nil
		case EndedRoundsForgotten:
			clear(g.EndedRounds)
		}
	}
	r := g.ApplyCommand(epoch+1, msg.c)
	if hidden != nil {
		g.RoundHolds = append(hidden, g.RoundHolds...)
		slices.SortFunc(g.RoundHolds, func(a, b gang.RoundHolds) int { return strings.Compare(a.Gang, b.Gang) })
	}
	switch msg.c.Op {
	case "prepare":
		if s := msg.c.RoundHolds; r.OK {
			m.send(s.Home, gang.Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: msg.to})
			if mutant == CommitOnOneVote {
				m.send(s.Home, gang.Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: 1 - msg.to})
			}
		}
	case "commit", "undo", "end":
		m.send(msg.c.Group, gang.Command{Op: "told", Gang: msg.c.Gang, Confirmed: &gang.Notice{Group: msg.to, Round: msg.c.Round, Op: msg.c.Op}})
	}
}

// violation returns which invariant the state violates, or "".
func (m *model) violation() string {
	for n, k := range m.groups {
		g := uint32(n)
		if n := k.UsedSlots(account(g), start); n > slots {
			return fmt.Sprintf("s-%d: %d of %d slots are held", g, n, slots)
		}
		for _, s := range k.RoundHolds {
			e := m.groups[s.Home].Gangs[s.Gang]
			inForce := e.Plan != nil && e.Plan.Round == s.Round && e.State != gang.Waiting
			notified := !slices.ContainsFunc(e.Unconfirmed, func(d gang.Notice) bool { return d.Group == g })
			switch committed := e.State == gang.Held || e.State == gang.Starting; {
			case s.Committed && !(inForce && committed) && notified:
				return fmt.Sprintf("%s round %d is committed in group %d, but %s at its home", s.Gang, s.Round, g, e.State)
			case !s.Committed && !inForce && notified:
				return fmt.Sprintf("%s round %d is held in group %d, its home has released it, and no notice of that is pending", s.Gang, s.Round, g)
			}
		}
	}
	for g, k := range m.groups {
		e := k.Gangs[gangs[g]]
		if e.State != gang.Held && e.State != gang.Starting {
			continue
		}
		for to, k := range m.groups {
			if !slices.ContainsFunc(k.RoundHolds, func(s gang.RoundHolds) bool { return s.Gang == gangs[g] && s.Round == e.Plan.Round }) {
				return fmt.Sprintf("%s round %d is to start, but holds nothing in group %d", gangs[g], e.Plan.Round, to)
			}
		}
	}
	return ""
}

// checkRestore moves each group to another machine by a snapshot, which must reproduce it byte for byte.
func (m *model) checkRestore(mutant Mutant) string {
	for g, k := range m.groups {
		text, err := k.Snapshot()
		if err != nil {
			return err.Error()
		}
		restored := gang.New()
		if err := restored.Restore(text); err != nil {
			return err.Error()
		}
		if mutant == RestoreLosesHolds {
			restored.RoundHolds = nil
		}
		if second, _ := restored.Snapshot(); string(second) != string(text) {
			return fmt.Sprintf("group %d differs after it was restored", g)
		}
	}
	return ""
}

// Exploration is the result of a check.
type Exploration struct {
	Violation        string // the first violation; empty: none
	States, Starting int    // all states, and those with a gang whose start is committed
}

// Explore visits all states within a depth of commands and stops at the first violation.
func Explore(mutant Mutant, depth int) (s Exploration) {
	seen := map[[32]byte]bool{}
	level := []*model{initialModel().sendAllowed()}
	for range depth {
		var next []*model
		for _, m := range level {
			for _, n := range m.next(mutant) {
				key := sha256.Sum256([]byte(n.key()))
				if seen[key] {
					continue
				}
				seen[key] = true
				s.States = len(seen)
				if s.Violation = n.violation(); s.Violation == "" {
					s.Violation = n.checkRestore(mutant)
				}
				if s.Violation != "" {
					return s
				}
				if n.groups[0].Gangs["a"].State == gang.Starting || n.groups[1].Gangs["b"].State == gang.Starting {
					s.Starting++
				}
				next = append(next, n)
			}
		}
		level = next
	}
	return s
}
