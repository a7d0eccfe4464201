package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

func search(a []uint32, x uint32) (int, bool) { return slices.BinarySearch(a, x) }

func insert(a []uint32, i int, x uint32) []uint32 { return slices.Insert(a, i, x) }

// Resource is an account of an encoder's slots or of the slots that a partner lends.
type Resource struct {
	ID        string  `json:"id"`
	Slots     int     `json:"slots"`           // at one time
	MaxSlots  int     `json:"most,omitempty"`  // the limit that the partner set; Slots is the result of this and Share. 0: unlimited
	Share     float64 `json:"share,omitempty"` // of the slots of the partner's encoders; 0: unlimited
	SlotHours float64 `json:"hours,omitempty"` // slot-hours per UTC day; 0: unlimited
	Gen       uint64  `json:"gen"`             // generation: only grows, and holds for another one are refused
}

const unbounded = 1 << 20 // slots

// ForEncoderSlots returns the resource with Slots set for a partner whose encoders have that many slots.
func (r Resource) ForEncoderSlots(slots int) Resource {
	if r.Slots = cmp.Or(r.MaxSlots, unbounded); r.Share > 0 {
		r.Slots = min(r.Slots, int(r.Share*float64(slots)))
	}
	return r
}

// RoundHolds is a gang's holds in this group's accounts in one planning round.
type RoundHolds struct {
	Gang        string        `json:"gang"`
	Round       uint64        `json:"round"`
	Home        uint32        `json:"home"`
	SubmittedAt time.Duration `json:"age"`             // of the gang
	Clock       string        `json:"clock,omitempty"` // the clock by which the holds are meant
	Holds       []Hold        `json:"holds"`
	Committed   bool          `json:"committed,omitempty"`
	// UntilExpiry is set if the gang has released the holds while a member may still run unobserved: they stay until
	// their time is up.
	UntilExpiry bool `json:"lapses,omitempty"`
}

// accounts is the part of the state machine with the group's accounts. A hold stays until the gang's home releases it
// or its time is up; no hold that may be committed is dropped here.
type accounts struct {
	Resources   map[string]Resource   `json:"resources"`
	RoundHolds  []RoundHolds          `json:"standing"` // sorted by gang and round
	EndedRounds map[string]endedRound `json:"over"`     // by gang, to refuse late messages of ended rounds
}

type endedRound struct {
	Round uint64        `json:"round"`
	At    time.Duration `json:"at"`
}

func (a *accounts) find(gang string, round uint64) (int, bool) {
	return slices.BinarySearchFunc(a.RoundHolds, RoundHolds{Gang: gang, Round: round}, func(a, b RoundHolds) int {
		return cmp.Or(cmp.Compare(a.Gang, b.Gang), cmp.Compare(a.Round, b.Round))
	})
}

// expire drops uncommitted holds whose time is up, and old ended rounds. Committed holds are extended until the gang
// ends: otherwise a late job would share its slots with the next one.
func (a *accounts) expire(at time.Duration) {
	a.RoundHolds = slices.DeleteFunc(a.RoundHolds, func(s RoundHolds) bool {
		grace := time.Duration(0)
		if !s.Committed {
			grace = maxClockDifference
		}
		return (!s.Committed || s.UntilExpiry) && !slices.ContainsFunc(s.Holds, func(h Hold) bool { return h.Until > at-grace })
	})
	for i, s := range a.RoundHolds {
		if !s.Committed || s.UntilExpiry || !slices.ContainsFunc(s.Holds, func(h Hold) bool { return h.Until <= at }) {
			continue
		}
		holds := slices.Clone(s.Holds) // others may read the old slice
		for j := range holds {
			holds[j].Until = max(holds[j].Until, at+holdExtension)
		}
		a.RoundHolds[i].Holds = holds
	}
	if len(a.EndedRounds) > maxHolds {
		maps.DeleteFunc(a.EndedRounds, func(_ string, o endedRound) bool { return o.At < at-endedRetention })
	}
}

// maxClockDifference is the assumed maximum difference of dispatchers' clocks: uncommitted holds are dropped this long
// after their time, as their home may still decide on them.
const maxClockDifference = time.Minute

// holdExtension is how far the hold of a late member is extended at a time.
const holdExtension = MinLead

// set opens or changes an account. Holds stay even beyond a lowered limit: it is the gangs' homes that release them
// when a partner lends less.
func (a *accounts) set(r Resource) Result {
	before, known := a.Resources[r.ID]
	switch {
	case r.ID == "" || len(r.ID) > 2*maxNameLen || r.Slots < 0 || r.Slots > unbounded || !(r.SlotHours >= 0):
		return Result{Err: "not a resource"}
	case known && r.Gen < before.Gen:
		return Result{Err: "an older one", Gen: before.Gen}
	case !known && len(a.Resources) >= maxHolds:
		return Result{Err: "too many resources"}
	}
	a.Resources[r.ID] = r
	return Result{OK: true}
}

// prepare makes all holds of a round or none. The gang's holds of other rounds are not added to them; the larger ones
// count.
func (a *accounts) prepare(at time.Duration, s RoundHolds) Result {
	i, found := a.find(s.Gang, s.Round)
	switch {
	case found:
		return Result{OK: true}
	case a.EndedRounds[s.Gang].Round >= s.Round:
		return Result{Err: "the round is over"}
	case len(s.Holds) == 0 || len(s.Holds) > 2*MaxMembers:
		return Result{Err: "no holds, or too many"}
	case len(a.RoundHolds) >= maxHolds:
		return Result{Full: true, Err: "too many holds"}
	}
	for _, h := range s.Holds {
		r, known := a.Resources[h.Resource]
		switch {
		case !known || r.Gen != h.Gen:
			return Result{Stale: true, Err: fmt.Sprintf("%s is not what it was", h.Resource), Gen: r.Gen}
		case h.Until <= h.From || h.Until <= at || h.Slots < 1 || h.Until-h.From > 2*maxWork:
			return Result{Err: "not a hold"}
		}
	}
	s.Committed = false
	combined := slices.Insert(slices.Clone(a.RoundHolds), i, s)
	if h, fits := a.fits(combined, s.Holds); !fits {
		res := Result{Full: true, Err: h.Resource + " is full"}
		committed := slices.DeleteFunc(slices.Clone(combined), func(o RoundHolds) bool { return !o.Committed && o.Gang != s.Gang })
		if _, fits := a.fits(committed, s.Holds); fits { // only gangs that can still give way are in the way
			for _, o := range combined {
				if !o.Committed && o.Gang != s.Gang && overlap(o.Holds, s.Holds) {
					res.Rivals = append(res.Rivals, Rival{o.Gang, o.Round, o.Home, o.SubmittedAt})
				}
			}
		}
		return res
	}
	a.RoundHolds = combined
	return Result{OK: true}
}

func overlap(a, b []Hold) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Resource == y.Resource && x.From < y.Until && y.From < x.Until {
				return true
			}
		}
	}
	return false
}

// fits reports whether no account of the holds is overdrawn at any time during them; otherwise it returns the hold
// that fails.
func (a *accounts) fits(all []RoundHolds, holds []Hold) (Hold, bool) {
	for _, h := range holds {
		r := a.Resources[h.Resource]
		at := []time.Duration{h.From}
		for _, s := range all {
			for _, o := range s.Holds {
				if o.Resource == h.Resource && o.From > h.From && o.From < h.Until {
					at = append(at, o.From)
				}
			}
		}
		for _, t := range at {
			if sumUsed(all, h.Resource, func(o Hold) float64 {
				if o.From <= t && t < o.Until {
					return float64(o.Slots)
				}
				return 0
			}) > float64(r.Slots) {
				return h, false
			}
		}
		if r.SlotHours == 0 {
			continue
		}
		for d := startOfDay(h.From); d < h.Until; d += 24 * time.Hour {
			if sumUsed(all, h.Resource, func(o Hold) float64 {
				return float64(o.Slots) * max(0, min(o.Until, d+24*time.Hour)-max(o.From, d)).Hours()
			}) > r.SlotHours {
				return h, false
			}
		}
	}
	return Hold{}, true
}

func startOfDay(t time.Duration) time.Duration { return t - t%(24*time.Hour) }

// sumUsed sums up a resource's use by all gangs. Only one of a gang's rounds will take effect, so its largest counts.
func sumUsed(all []RoundHolds, resource string, amount func(Hold) float64) (sum float64) {
	for i := 0; i < len(all); {
		largest := 0.0
		for gang := all[i].Gang; i < len(all) && all[i].Gang == gang; i++ {
			n := 0.0
			for _, h := range all[i].Holds {
				if h.Resource == resource {
					n += amount(h)
				}
			}
			if all[i].UntilExpiry { // in addition to the gang's newer holds
				sum += n
				continue
			}
			largest = max(largest, n)
		}
		sum += largest
	}
	return sum
}

// commit commits a round's holds and ends the gang's earlier rounds.
func (a *accounts) commit(at time.Duration, gang string, round uint64) Result {
	i, found := a.find(gang, round)
	if !found {
		if a.EndedRounds[gang].Round >= round {
			return Result{OK: true} // already released again
		}
		return Result{Err: "there is no such hold"} // expired
	}
	a.RoundHolds[i].Committed = true
	a.end(at, gang, round-1)
	return Result{OK: true}
}

// ready reports whether the slots of a round that is about to start are really free. Accounts go by planned times;
// here earlier holds that have not ended, or whose home has not decided yet, count even if their planned time is over.
func (a *accounts) ready(gang string, round uint64) Result {
	i, found := a.find(gang, round)
	if !found {
		return Result{Err: "there is no such hold"}
	}
	own := a.RoundHolds[i]
	// If a partner now lends less than was held, younger gangs that start at the same time or later give way.
	all := slices.DeleteFunc(slices.Clone(a.RoundHolds), func(s RoundHolds) bool {
		return s.Gang != gang && older(own.SubmittedAt, gang, s.SubmittedAt, s.Gang) && s.Holds[0].From >= own.Holds[0].From
	})
	for _, h := range own.Holds {
		n := sumUsed(all, h.Resource, func(o Hold) float64 {
			if o.From <= h.From && o.Until > h.From {
				return float64(o.Slots)
			}
			return 0
		})
		for _, s := range all {
			if s.Gang == gang || s.UntilExpiry {
				continue
			}
			for _, o := range s.Holds {
				if o.Resource == h.Resource && o.From < h.From && o.Until <= h.From {
					n += float64(o.Slots)
				}
			}
		}
		if n > float64(a.Resources[h.Resource].Slots) {
			return Result{Full: true, Err: "what " + h.Resource + " has before it has not ended"}
		}
	}
	return Result{OK: true}
}

// abort drops a round's uncommitted holds.
func (a *accounts) abort(at time.Duration, gang string, round uint64) Result {
	i, found := a.find(gang, round)
	switch {
	case found && a.RoundHolds[i].Committed:
		return Result{Err: "it is committed"}
	case found:
		a.RoundHolds = slices.Delete(a.RoundHolds, i, i+1)
	}
	// During a move, the earlier round is still in force and stays. Late messages of this round must be refused.
	if a.EndedRounds[gang].Round < round {
		a.EndedRounds[gang] = endedRound{round, at}
	}
	return Result{OK: true}
}

// end drops a gang's holds up to a round, as decided by its home after their commit.
func (a *accounts) end(at time.Duration, gang string, round uint64) Result {
	a.RoundHolds = slices.DeleteFunc(a.RoundHolds, func(s RoundHolds) bool { return s.Gang == gang && s.Round <= round && !s.UntilExpiry })
	if a.EndedRounds[gang].Round < round {
		a.EndedRounds[gang] = endedRound{round, at}
	}
	return Result{OK: true}
}

// keepUntilExpiry is like end, but a round's committed holds stay until they expire, since members may still run
// unobserved.
func (a *accounts) keepUntilExpiry(at time.Duration, gang string, round uint64) Result {
	if i, found := a.find(gang, round); found && a.RoundHolds[i].Committed {
		a.RoundHolds[i].UntilExpiry = true
	}
	return a.end(at, gang, round)
}
