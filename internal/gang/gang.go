// Package gang plans and runs gangs: jobs whose members run at several encoders and either all start together or not
// at all. It does no I/O and reads no clock: callers pass in events with their times, and carry out the actions that
// it returns.
//
// A [Machine] is one group's replicated state machine: the slot accounts of the group's encoders and partners, and the
// gangs whose home the group is. Holds that span several groups are made by a two-phase commit. Its decision is a
// command in the log of the gang's home, so that it survives the coordinator. A [Coordinator] drives the gangs of a
// home; a [Starter] starts the members that one dispatcher sends. docs/gangs-design.md discusses the choices.
package gang

import (
	"cmp"
	"fmt"
	"time"
)

// Limits of gangs and accounts.
const (
	MaxMembers     = 16
	MinMembers     = 2
	MaxPayload     = 64 << 10 // bytes, all members' payloads together
	maxNameLen     = 128      // bytes of an ID, site, kind, class or key
	maxSlots       = 1 << 10
	maxWork        = 24 * time.Hour
	maxWindow      = 7 * 24 * time.Hour
	maxGangs       = 4096 // per home, including ended ones
	maxHolds       = 4096 // per group
	endedRetention = 10 * time.Minute
	defaultSkew    = 250 * time.Millisecond
)

// Times relative to the committed start, by the clock of the process that checks them. The error of that clock is
// known and counts as part of the skew.
const (
	MinLead        = 700 * time.Millisecond // minimum time from plan to start: leaves room for holds, arming and the go message
	GoMargin       = 150 * time.Millisecond // before the start: latest commit of the start; otherwise the gang does not start
	StartTimeout   = 350 * time.Millisecond // after the start: unless all members have started by then, all are called off
	ConfirmTimeout = 450 * time.Millisecond // after the start: a member whose dispatcher has not learned by then that all run is cancelled
	SettleDelay    = time.Second            // after the start: members whose status is unknown by then count as may-have-run
	ArmLead        = 600 * time.Millisecond // before the start: dispatchers receive their members
	voteMargin     = 400 * time.Millisecond // before the start: a round without all votes by then is aborted
)

// DeathPolicy is what happens to the other members when one dies after all have started.
type DeathPolicy string

// The death policies.
const (
	ContinueOthers DeathPolicy = "go_on"    // the others continue
	StopAll        DeathPolicy = "stop_all" // the others are cancelled
)

// Member is one job of a gang.
type Member struct {
	Site    string        `json:"site,omitempty"` // where its input is stored; empty: any site
	Kind    string        `json:"kind,omitempty"` // of encoder; empty: any
	Slots   int           `json:"slots"`
	Work    time.Duration `json:"work"` // how long its slots are held
	Key     uint64        `json:"key,omitempty"`
	Class   string        `json:"class"`
	Once    bool          `json:"once,omitempty"`   // must not run twice
	Target  string        `json:"target,omitempty"` // of its HTTP request
	Payload []byte        `json:"payload,omitempty"`
}

// Spec is a gang as the client requests it. Times are Unix time.
type Spec struct {
	ID          string        `json:"id"`
	Members     []Member      `json:"members"`
	NotBefore   time.Duration `json:"not_before"`
	LatestStart time.Duration `json:"latest_start"`
	Skew        time.Duration `json:"skew"` // maximum between the starts of the first and the last member
	OnDeath     DeathPolicy   `json:"after"`
}

// Validate returns the spec with defaults filled in, or an error.
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
	case s.LatestStart < now+MinLead:
		return s, fmt.Errorf("latest start: at least %v ahead", MinLead)
	}
	return s, nil
}

// Hold reserves slots of an encoder or of a partner's share for a gang.
type Hold struct {
	Resource string        `json:"resource"`
	Group    uint32        `json:"group"` // that keeps the account
	Gen      uint64        `json:"gen"`   // generation of the resource that the planner saw
	Slots    int           `json:"slots"`
	From     time.Duration `json:"from"`
	Until    time.Duration `json:"until"`
}

// holdDuration returns how long a member's slots are held at first: its work plus the time until the accounts know of
// its end, which must come before the next gang's go deadline. Holds of late members are extended.
func holdDuration(m Member) time.Duration {
	return m.Work + m.Work/50 + GoMargin + 150*time.Millisecond
}

// Plan says where and when a gang is to run.
type Plan struct {
	Round       uint64        `json:"round"`
	Start       time.Duration `json:"start"`
	Clock       string        `json:"clock,omitempty"` // the planner's clock, by which the start and the holds are meant
	Encoders    []string      `json:"encoders"`        // by member
	Dispatchers []string      `json:"starters"`        // by member: the dispatcher that sends it
	Holds       []Hold        `json:"holds"`
}

// coversMembers reports whether the holds cover each member's slots. Equal holds at one encoder are merged into one.
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

// groups returns the sorted numbers of the groups that keep an account for the plan.
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

// HoldsIn returns the plan's holds in a group.
func (p *Plan) HoldsIn(group uint32) (holds []Hold) {
	for _, h := range p.Holds {
		if h.Group == group {
			holds = append(holds, h)
		}
	}
	return holds
}
