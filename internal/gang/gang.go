// Package gang decides about jobs whose members run at several encoders and start together, or not at all. It has no
// I/O and no clock: it is driven by events, each with its time, and returns what is to be done.
//
// A [Machine] is the part of a replicated group: the slots of its encoders, what partners lend, and the gangs whose home
// it is. Holds over several groups are a two-phase commitment whose decision is a command in the log of the gang's home,
// so that it outlives whoever coordinated it. A [Coordinator] acts for the gangs of a home, a [Starter] for the members
// that one dispatcher sends. docs/gangs-design.md weighs the choices.
package gang

import (
	"cmp"
	"fmt"
	"time"
)

// Bounds of what is asked for.
const (
	MaxMembers  = 16
	MinMembers = 2
	MaxPayload  = 64 << 10 // bytes of all members' payloads
	maxNameLen     = 128      // bytes of an id, site, kind, class or key
	maxSlots    = 1 << 10
	maxWork     = 24 * time.Hour
	maxWindow   = 7 * 24 * time.Hour
	maxGangs    = 4096 // of one home, those that are over included
	maxHolds    = 4096 // of one group
	endedRetention     = 10 * time.Minute
	defaultSkew    = 250 * time.Millisecond
)

// Times of a start. All are after or before the start that was committed, by the clock of whoever goes by them, whose
// error is stated and part of the skew.
const (
	Lead     = 700 * time.Millisecond // from a plan to its start at least: holds, arming and the word to go must fit
	GoMargin     = 150 * time.Millisecond // before the start: without the word of all by then, nothing starts
	StartTimeout   = 350 * time.Millisecond // after the start: by then all have started, or all are called off
	ConfirmTimeout    = 450 * time.Millisecond // after the start: a member that has not heard by then that all run is given up
	SettleDelay = time.Second            // after the start: what is not known by then may have run
	ArmLead = 600 * time.Millisecond // before the start: dispatchers are told of their members
	voteMargin   = 400 * time.Millisecond // before the start: holds that are not complete by then are given up
)

// DeathPolicy is what follows when a member dies once all have started.
type DeathPolicy string

// The ways.
const (
	ContinueOthers    DeathPolicy = "go_on"    // the others run on
	StopAll DeathPolicy = "stop_all" // the others are called off
)

// Member is one job of a gang.
type Member struct {
	Site    string        `json:"site,omitempty"` // where its footage lies; empty: anywhere
	Kind    string        `json:"kind,omitempty"` // empty: any
	Slots   int           `json:"slots"`
	Work    time.Duration `json:"work"` // for which its slots are held
	Key     uint64        `json:"key,omitempty"`
	Class   string        `json:"class"`
	Once    bool          `json:"once,omitempty"`   // it must not run twice
	Target  string        `json:"target,omitempty"` // of its HTTP request
	Payload []byte        `json:"payload,omitempty"`
}

// Spec is a gang as it is asked for. Times are Unix time.
type Spec struct {
	ID          string        `json:"id"`
	Members     []Member      `json:"members"`
	NotBefore   time.Duration `json:"not_before"`
	LatestStart time.Duration `json:"latest_start"`
	Skew        time.Duration `json:"skew"` // between the first member's start and the last one's
	OnDeath       DeathPolicy         `json:"after"`
}

// Validate returns the gang with what is not said set, or what is wrong with it.
func (s Spec) Validate(now time.Duration) (Spec, error) {
	s.Skew, s.OnDeath = cmp.Or(s.Skew, defaultSkew), cmp.Or(s.OnDeath, ContinueOthers)
	size := 0
	for i, m := range s.Members {
		size += len(m.Payload)
		switch {
		case m.Slots < 1 || m.Slots > maxSlots:
			return s, fmt.Errorf("member %d: %d slots: from 1 to %d", i, m.Slots, maxSlots)
		case m.Work <= 0 || m.Work > maxWork:
			return s, fmt.Errorf("member %d: work of %v: above 0, to %v", i, m.Work, maxWork)
		case m.Class == "":
			return s, fmt.Errorf("member %d: no class", i)
		case max(len(m.Site), len(m.Kind), len(m.Class)) > maxNameLen:
			return s, fmt.Errorf("member %d: a name of over %d bytes", i, maxNameLen)
		}
	}
	switch {
	case s.ID == "" || len(s.ID) > maxNameLen:
		return s, fmt.Errorf("id %q: from 1 to %d bytes", s.ID, maxNameLen)
	case len(s.Members) < MinMembers || len(s.Members) > MaxMembers:
		return s, fmt.Errorf("%d members: from %d to %d", len(s.Members), MinMembers, MaxMembers)
	case size > MaxPayload:
		return s, fmt.Errorf("payloads of %d bytes: at most %d in all", size, MaxPayload)
	case s.Skew < 10*time.Millisecond || s.Skew > StartTimeout:
		return s, fmt.Errorf("skew of %v: from 10ms to %v", s.Skew, StartTimeout)
	case s.OnDeath != ContinueOthers && s.OnDeath != StopAll:
		return s, fmt.Errorf("after %q: go_on or stop_all", s.OnDeath)
	case s.LatestStart < s.NotBefore || s.LatestStart > now+maxWindow:
		return s, fmt.Errorf("latest start: not before the earliest, and within %v", maxWindow)
	case s.LatestStart < now+Lead:
		return s, fmt.Errorf("latest start: at least %v ahead", Lead)
	}
	return s, nil
}

// Hold is room that a gang has, or wants, of an encoder or of what a partner lends.
type Hold struct {
	Resource string        `json:"resource"`
	Group    uint32        `json:"group"` // that keeps the account
	Gen      uint64        `json:"gen"`   // of the resource as the planner saw it
	Slots    int           `json:"slots"`
	From     time.Duration `json:"from"`
	Until    time.Duration `json:"until"`
}

// holdDuration is for how long a member's slots are held at first: its work, and until its end is known to the accounts, before
// the word to go of whoever is next. What is late keeps them.
func holdDuration(m Member) time.Duration { return m.Work + m.Work/50 + GoMargin + 150*time.Millisecond }

// Plan is where and when a gang is to run.
type Plan struct {
	Round    uint64        `json:"round"`
	Start    time.Duration `json:"start"`
	Clock    string        `json:"clock,omitempty"` // by which the start and the holds go: the planner's
	Encoders []string      `json:"encoders"`        // by member
	Starters []string      `json:"starters"`        // by member: the dispatcher that sends it
	Holds    []Hold        `json:"holds"`
}

// coversMembers tells whether each member has its slots. Those that are alike at one encoder have one hold.
func (p *Plan) coversMembers(members []Member) bool {
	missing := map[string]int{}
	for i, m := range members {
		missing[Encoder{ID: p.Encoders[i]}.Account()] += m.Slots
	}
	for _, h := range p.Holds {
		missing[h.Resource] -= h.Slots
	}
	for _, n := range missing {
		if n > 0 {
			return false
		}
	}
	return true
}

// groups are those that keep an account for the plan, in their order.
func (p *Plan) groups() (all []uint32) {
	if p != nil {
		for _, h := range p.Holds {
			if i, found := search(all, h.Group); !found {
				all = insert(all, i, h.Group)
			}
		}
	}
	return all
}

// HoldsIn is the plan's part in a group.
func (p *Plan) HoldsIn(group uint32) (holds []Hold) {
	for _, h := range p.Holds {
		if h.Group == group {
			holds = append(holds, h)
		}
	}
	return holds
}
