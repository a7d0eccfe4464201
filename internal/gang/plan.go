package gang

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Encoder is an encoder as the planner sees it.
type Encoder struct {
	ID, Site, Kind string
	Partner        string // that lends it; empty: the deployment's own
	Slots          int
	Gen            uint64
	Group          uint32        // that keeps its account
	WarmAt         time.Duration // when it has warmed up
	Excluded       bool          // draining, gone or cordoned
}

// Account returns the name of the encoder's resource.
func (e Encoder) Account() string { return "e/" + e.ID }

// PartnerAccount returns the name of a partner's resource.
func PartnerAccount(partner string) string { return "p/" + partner }

// View is the input of a plan.
type View struct {
	Now             time.Duration
	Encoders        []Encoder
	PartnerAccounts map[string]AccountLocation // by partner; one that is missing lends without limit
	Accounts        map[string]Resource        // as reported by their groups
	RoundHolds      []RoundHolds               // of all groups, as reported by them
	Dispatchers     []Dispatcher
	Self            string // the planning dispatcher: it sends members only if no other can, so that one crash does not take both roles
}

// AccountLocation is the group that keeps a partner's account.
type AccountLocation struct{ Group uint32 }

// Dispatcher is a dispatcher that can send members.
type Dispatcher struct{ Name, Site string }

const (
	maxStarts      = 128  // tried per plan
	maxSearchSteps = 4000 // per start
)

// FindPlan returns a plan with the earliest start at which all members have room, each at a warm encoder of its site
// and kind; or nil and the reason why there is none. If keep is not nil, the plan has keep's start and, where they can
// still be used, its encoders.
func FindPlan(v View, e *Entry, keep *Plan) (*Plan, string) {
	s := e.Spec
	if len(v.Dispatchers) == 0 {
		return nil, "no dispatcher is there"
	}
	f := planSearch{View: v, spec: s}
	for i := range s.Members {
		if len(f.eligible(i)) == 0 {
			return nil, fmt.Sprintf("member %d: no encoder of site %q and kind %q", i, s.Members[i].Site, s.Members[i].Kind)
		}
		f.order = append(f.order, i)
	}
	// The members with the fewest eligible encoders are placed first.
	slices.SortStableFunc(f.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(f.eligible(a)), len(f.eligible(b))), cmp.Compare(s.Members[b].Slots, s.Members[a].Slots))
	})
	f.accounts = accounts{Resources: v.Accounts}
	for _, o := range v.RoundHolds {
		if o.Gang != s.ID { // the gang can use its own holds again
			f.accounts.RoundHolds = append(f.accounts.RoundHolds, o)
		}
	}
	slices.SortFunc(f.accounts.RoundHolds, func(a, b RoundHolds) int {
		return cmp.Or(cmp.Compare(a.Gang, b.Gang), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Home, b.Home))
	})
	starts := []time.Duration{max(v.Now+MinLead, s.NotBefore)}
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

// planSearch is the state of one search for a plan.
type planSearch struct {
	View
	spec     Spec
	accounts accounts
	keep     *Plan
	order    []int
	steps    int
	holds    []Hold
	plan     Plan
}

// eligible returns the encoders that can run a member, regardless of time and load.
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
	f.plan = Plan{Start: start, Encoders: make([]string, n), Dispatchers: make([]string, n)}
	if !f.place(0) {
		return nil
	}
	f.plan.Holds = mergeHolds(f.holds)
	return &f.plan
}

// place finds room for the members from the n-th in the search order on, with backtracking.
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
	keepRank := func(x Encoder) int {
		if f.keep != nil && f.keep.Encoders[i] == x.ID {
			return 0
		}
		return 1
	}
	// First the encoder of the plan to keep, then best fit: this leaves whole encoders to large members.
	slices.SortStableFunc(all, func(a, b Encoder) int {
		return cmp.Or(cmp.Compare(keepRank(a), keepRank(b)), cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.ID, b.ID))
	})
	for _, x := range all {
		if x.WarmAt > f.plan.Start {
			continue
		}
		numHolds := len(f.holds)
		h := Hold{Resource: x.Account(), Group: x.Group, Gen: x.Gen, Slots: m.Slots, From: f.plan.Start, Until: f.plan.Start + holdDuration(m)}
		f.holds = append(f.holds, h)
		if at, lends := f.PartnerAccounts[x.Partner]; lends && x.Partner != "" {
			h.Resource, h.Group, h.Gen = PartnerAccount(x.Partner), at.Group, f.Accounts[PartnerAccount(x.Partner)].Gen
			f.holds = append(f.holds, h)
		}
		own := RoundHolds{Gang: f.spec.ID, Holds: f.holds}
		j, _ := f.accounts.find(f.spec.ID, 0)
		f.accounts.RoundHolds = slices.Insert(f.accounts.RoundHolds, j, own)
		_, fits := f.accounts.fits(f.accounts.RoundHolds, f.holds[numHolds:])
		f.accounts.RoundHolds = slices.Delete(f.accounts.RoundHolds, j, j+1)
		if fits {
			f.plan.Encoders[i], f.plan.Dispatchers[i] = x.ID, f.starter(i, x)
			if f.place(n + 1) {
				return true
			}
		}
		f.holds = f.holds[:numHolds]
	}
	return false
}

// starter returns the dispatcher that is to send a member, preferably one at the encoder's site, in rotation.
func (f *planSearch) starter(i int, x Encoder) string {
	var best []Dispatcher
	nearest := 4
	for _, d := range f.Dispatchers {
		distance := 0
		if d.Site != x.Site {
			distance = 1
		}
		if d.Name == f.Self {
			distance += 2
		}
		if distance < nearest {
			best, nearest = nil, distance
		}
		if distance == nearest {
			best = append(best, d)
		}
	}
	return best[i%len(best)].Name
}

// mergeHolds merges holds that differ in their slots only, to keep the number of holds small.
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
