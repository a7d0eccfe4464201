package gang

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Encoder is one as the planner sees it.
type Encoder struct {
	ID, Site, Kind string
	Partner        string // that lends it; empty: the deployment's own
	Slots          int
	Gen            uint64
	Group          uint32        // that keeps its account
	WarmAt           time.Duration // from when on it is
	Excluded            bool          // draining, gone, or left out by hand
}

// Account is the resource of an encoder.
func (e Encoder) Account() string { return "e/" + e.ID }

// PartnerAccount is the resource of what a partner lends.
func PartnerAccount(partner string) string { return "p/" + partner }

// View is what a plan is made of.
type View struct {
	Now      time.Duration
	Encoders []Encoder
	PartnerAccounts  map[string]AccountLocation // by partner; one that is not here lends without a bound
	Accounts map[string]Resource // as their groups told
	RoundHolds []RoundHolds          // of all groups, likewise
	Starters []Dispatcher
	Self     string // who plans: it sends members only where no other does, so that one death is not both
}

// AccountLocation is where a partner's account is kept.
type AccountLocation struct{ Group uint32 }

// Dispatcher can send members.
type Dispatcher struct{ Name, Site string }

const (
	maxStarts = 128  // tried for one plan
	maxSearchSteps  = 4000 // of a search for one start
)

// FindPlan makes a plan: the soonest start at which all members have room, each at a warm encoder of its site and kind.
// keep is a plan whose start and encoders stand, but for those that cannot be used any more; nil: none.
func FindPlan(v View, e *Entry, keep *Plan) (*Plan, string) {
	s := e.Spec
	if len(v.Starters) == 0 {
		return nil, "no dispatcher is there"
	}
	f := planSearch{View: v, spec: s}
	for i := range s.Members {
		if len(f.eligible(i)) == 0 {
			return nil, fmt.Sprintf("member %d: no encoder of site %q and kind %q", i, s.Members[i].Site, s.Members[i].Kind)
		}
		f.order = append(f.order, i)
	}
	// Who has the least choice is placed first.
	slices.SortStableFunc(f.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(f.eligible(a)), len(f.eligible(b))), cmp.Compare(s.Members[b].Slots, s.Members[a].Slots))
	})
	f.accounts = accounts{Resources: v.Accounts}
	for _, o := range v.RoundHolds {
		if o.Gang != s.ID { // what the gang has itself is its own to use again
			f.accounts.RoundHolds = append(f.accounts.RoundHolds, o)
		}
	}
	slices.SortFunc(f.accounts.RoundHolds, func(a, b RoundHolds) int {
		return cmp.Or(cmp.Compare(a.Gang, b.Gang), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Home, b.Home))
	})
	starts := []time.Duration{max(v.Now+Lead, s.NotBefore)}
	if keep != nil {
		starts = []time.Duration{keep.Start}
		f.keep = keep
	} else {
		for _, o := range f.accounts.RoundHolds {
			for _, h := range o.Holds {
				if h.Until > starts[0] {
					starts = append(starts, h.Until)
				}
			}
		}
		for _, x := range v.Encoders {
			if x.WarmAt > starts[0] {
				starts = append(starts, x.WarmAt)
			}
		}
	}
	slices.Sort(starts)
	starts = slices.Compact(starts)
	for _, t := range starts[:min(len(starts), maxStarts)] {
		if t > s.LatestStart {
			break
		}
		if p := f.planAt(t); p != nil {
			p.Round = e.Round + 1
			return p, ""
		}
	}
	return nil, "no room in its window"
}

// planSearch is one search.
type planSearch struct {
	View
	spec  Spec
	accounts     accounts
	keep  *Plan
	order []int
	steps int
	holds []Hold
	plan  Plan
}

// eligible is the encoders at which a member may run at all.
func (f *planSearch) eligible(i int) (all []Encoder) {
	m := f.spec.Members[i]
	for _, x := range f.Encoders {
		if !x.Excluded && (m.Site == "" || m.Site == x.Site) && (m.Kind == "" || m.Kind == x.Kind) && x.Slots >= m.Slots {
			all = append(all, x)
		}
	}
	return all
}

func (f *planSearch) planAt(start time.Duration) *Plan {
	n := len(f.spec.Members)
	f.steps, f.holds = 0, nil
	f.plan = Plan{Start: start, Encoders: make([]string, n), Starters: make([]string, n)}
	if !f.place(0) {
		return nil
	}
	f.plan.Holds = mergeHolds(f.holds)
	return &f.plan
}

// place finds room for the members from one on in their order, going back where it must.
func (f *planSearch) place(n int) bool {
	if n == len(f.order) {
		return true
	}
	if f.steps++; f.steps > maxSearchSteps {
		return false
	}
	i := f.order[n]
	m := f.spec.Members[i]
	all := f.eligible(i)
	kept := func(x Encoder) int {
		if f.keep != nil && f.keep.Encoders[i] == x.ID {
			return 0
		}
		return 1
	}
	// Where it was, then where least is left over: large members find whole encoders.
	slices.SortStableFunc(all, func(a, b Encoder) int {
		return cmp.Or(cmp.Compare(kept(a), kept(b)), cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.ID, b.ID))
	})
	for _, x := range all {
		if x.WarmAt > f.plan.Start {
			continue
		}
		had := len(f.holds)
		h := Hold{Resource: x.Account(), Group: x.Group, Gen: x.Gen, Slots: m.Slots, From: f.plan.Start, Until: f.plan.Start + holdDuration(m)}
		f.holds = append(f.holds, h)
		if at, lends := f.PartnerAccounts[x.Partner]; lends && x.Partner != "" {
			h.Resource, h.Group, h.Gen = PartnerAccount(x.Partner), at.Group, f.Accounts[PartnerAccount(x.Partner)].Gen
			f.holds = append(f.holds, h)
		}
		mine := RoundHolds{Gang: f.spec.ID, Holds: f.holds}
		j, _ := f.accounts.find(f.spec.ID, 0)
		f.accounts.RoundHolds = slices.Insert(f.accounts.RoundHolds, j, mine)
		_, fits := f.accounts.fits(f.accounts.RoundHolds, f.holds[had:])
		f.accounts.RoundHolds = slices.Delete(f.accounts.RoundHolds, j, j+1)
		if fits {
			f.plan.Encoders[i], f.plan.Starters[i] = x.ID, f.starter(i, x)
			if f.place(n + 1) {
				return true
			}
		}
		f.holds = f.holds[:had]
	}
	return false
}

// starter is the dispatcher that is to send a member: one of the encoder's site, each in its turn.
func (f *planSearch) starter(i int, x Encoder) string {
	var best []Dispatcher
	least := 4
	for _, d := range f.Starters {
		far := 0
		if d.Site != x.Site {
			far = 1
		}
		if d.Name == f.Self {
			far += 2
		}
		if far < least {
			best, least = nil, far
		}
		if far == least {
			best = append(best, d)
		}
	}
	return best[i%len(best)].Name
}

// mergeHolds has one hold for what is held alike, so that a gang has no more than it must.
func mergeHolds(holds []Hold) (all []Hold) {
	for _, h := range holds {
		if i := slices.IndexFunc(all, func(o Hold) bool {
			o.Slots = h.Slots
			return o == h
		}); i >= 0 {
			all[i].Slots += h.Slots
			continue
		}
		all = append(all, h)
	}
	return all
}
