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
	Warm           time.Duration // from when on it is
	Out            bool          // draining, gone, or left out by hand
}

// Account is the resource of an encoder.
func (e Encoder) Account() string { return "e/" + e.ID }

// Lender is the resource of what a partner lends.
func Lender(partner string) string { return "p/" + partner }

// View is what a plan is made of.
type View struct {
	Now      time.Duration
	Encoders []Encoder
	Lenders  map[string]LenderAt // by partner; one that is not here lends without a bound
	Accounts map[string]Resource // as their groups told
	Standing []Standing          // of all groups, likewise
	Starters []Dispatcher
	Self     string // who plans: it sends members only where no other does, so that one death is not both
}

// LenderAt is where a partner's account is kept.
type LenderAt struct{ Group uint32 }

// Dispatcher can send members.
type Dispatcher struct{ Name, Site string }

const (
	mostStarts = 128  // tried for one plan
	mostSteps  = 4000 // of a search for one start
)

// Find makes a plan: the soonest start at which all members have room, each at a warm encoder of its site and kind.
// keep is a plan whose start and encoders stand, but for those that cannot be used any more; nil: none.
func Find(v View, e *Entry, keep *Plan) (*Plan, string) {
	s := e.Spec
	if len(v.Starters) == 0 {
		return nil, "no dispatcher is there"
	}
	f := finder{View: v, spec: s}
	for i := range s.Members {
		if len(f.fit(i)) == 0 {
			return nil, fmt.Sprintf("member %d: no encoder of site %q and kind %q", i, s.Members[i].Site, s.Members[i].Kind)
		}
		f.order = append(f.order, i)
	}
	// Who has the least choice is placed first.
	slices.SortStableFunc(f.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(f.fit(a)), len(f.fit(b))), cmp.Compare(s.Members[b].Slots, s.Members[a].Slots))
	})
	f.k = keeper{Resources: v.Accounts}
	for _, o := range v.Standing {
		if o.Gang != s.ID { // what the gang has itself is its own to use again
			f.k.Standing = append(f.k.Standing, o)
		}
	}
	slices.SortFunc(f.k.Standing, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Gang, b.Gang), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Home, b.Home))
	})
	starts := []time.Duration{max(v.Now+Lead, s.NotBefore)}
	if keep != nil {
		starts = []time.Duration{keep.Start}
		f.keep = keep
	} else {
		for _, o := range f.k.Standing {
			for _, h := range o.Holds {
				if h.Until > starts[0] {
					starts = append(starts, h.Until)
				}
			}
		}
		for _, x := range v.Encoders {
			if x.Warm > starts[0] {
				starts = append(starts, x.Warm)
			}
		}
	}
	slices.Sort(starts)
	starts = slices.Compact(starts)
	for _, t := range starts[:min(len(starts), mostStarts)] {
		if t > s.LatestStart {
			break
		}
		if p := f.at(t); p != nil {
			p.Round = e.Round + 1
			return p, ""
		}
	}
	return nil, "no room in its window"
}

// finder is one search.
type finder struct {
	View
	spec  Spec
	k     keeper
	keep  *Plan
	order []int
	steps int
	holds []Hold
	plan  Plan
}

// fit is the encoders at which a member may run at all.
func (f *finder) fit(i int) (all []Encoder) {
	m := f.spec.Members[i]
	for _, x := range f.Encoders {
		if !x.Out && (m.Site == "" || m.Site == x.Site) && (m.Kind == "" || m.Kind == x.Kind) && x.Slots >= m.Slots {
			all = append(all, x)
		}
	}
	return all
}

func (f *finder) at(start time.Duration) *Plan {
	n := len(f.spec.Members)
	f.steps, f.holds = 0, nil
	f.plan = Plan{Start: start, Encoders: make([]string, n), Starters: make([]string, n)}
	if !f.place(0) {
		return nil
	}
	f.plan.Holds = merged(f.holds)
	return &f.plan
}

// place finds room for the members from one on in their order, going back where it must.
func (f *finder) place(n int) bool {
	if n == len(f.order) {
		return true
	}
	if f.steps++; f.steps > mostSteps {
		return false
	}
	i := f.order[n]
	m := f.spec.Members[i]
	all := f.fit(i)
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
		if x.Warm > f.plan.Start {
			continue
		}
		had := len(f.holds)
		h := Hold{Resource: x.Account(), Group: x.Group, Gen: x.Gen, Slots: m.Slots, From: f.plan.Start, Until: f.plan.Start + length(m)}
		f.holds = append(f.holds, h)
		if at, lends := f.Lenders[x.Partner]; lends && x.Partner != "" {
			h.Resource, h.Group, h.Gen = Lender(x.Partner), at.Group, f.Accounts[Lender(x.Partner)].Gen
			f.holds = append(f.holds, h)
		}
		mine := Standing{Gang: f.spec.ID, Holds: f.holds}
		j, _ := f.k.find(f.spec.ID, 0)
		f.k.Standing = slices.Insert(f.k.Standing, j, mine)
		_, fits := f.k.fits(f.k.Standing, f.holds[had:])
		f.k.Standing = slices.Delete(f.k.Standing, j, j+1)
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
func (f *finder) starter(i int, x Encoder) string {
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

// merged has one hold for what is held alike, so that a gang has no more than it must.
func merged(holds []Hold) (all []Hold) {
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
