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

// Resource is an account: an encoder's slots, or what a partner lends.
type Resource struct {
	ID    string  `json:"id"`
	Slots int     `json:"slots"`           // at once
	MaxSlots  int     `json:"most,omitempty"`  // of a partner, as it said; Slots is what follows from that and Share. 0: no bound
	Share float64 `json:"share,omitempty"` // of its encoders' slots; 0: no bound
	SlotHours float64 `json:"hours,omitempty"` // slot-hours in a day of UTC; 0: no bound
	Gen   uint64  `json:"gen"`             // a hold for another is refused; it only grows
}

const unbounded = 1 << 20 // slots

// ForEncoderSlots is what a partner lends whose encoders have so many slots.
func (r Resource) ForEncoderSlots(slots int) Resource {
	if r.Slots = cmp.Or(r.MaxSlots, unbounded); r.Share > 0 {
		r.Slots = min(r.Slots, int(r.Share*float64(slots)))
	}
	return r
}

// RoundHolds is what a gang has of this group's accounts in one round of planning.
type RoundHolds struct {
	Gang      string        `json:"gang"`
	Round     uint64        `json:"round"`
	Home      uint32        `json:"home"`
	SubmittedAt       time.Duration `json:"age"`             // when the gang was submitted
	Clock     string        `json:"clock,omitempty"` // by which its holds go
	Holds     []Hold        `json:"holds"`
	Committed bool          `json:"committed,omitempty"`
	// UntilExpiry: its gang is done with it, and a member may run on that nobody hears of: it stays until its time is over.
	UntilExpiry bool `json:"lapses,omitempty"`
}

// accounts is the accounts of a group. A hold stays until the gang's home says otherwise, or its time is past: nothing
// here lets go of one that may be committed.
type accounts struct {
	Resources map[string]Resource `json:"resources"`
	RoundHolds  []RoundHolds          `json:"standing"` // by gang and round
	EndedRounds      map[string]endedRound     `json:"over"`     // rounds that are over, lest one of their messages come late
}

type endedRound struct {
	Round uint64        `json:"round"`
	At    time.Duration `json:"at"`
}

func (k *accounts) find(gang string, round uint64) (int, bool) {
	return slices.BinarySearchFunc(k.RoundHolds, RoundHolds{Gang: gang, Round: round}, func(a, b RoundHolds) int {
		return cmp.Or(cmp.Compare(a.Gang, b.Gang), cmp.Compare(a.Round, b.Round))
	})
}

// expire drops holds that were never committed and whose time is over, and forgets old rounds. What was committed stays
// until its gang has ended, lest a job that is late run beside others that were given its slots.
func (k *accounts) expire(at time.Duration) {
	k.RoundHolds = slices.DeleteFunc(k.RoundHolds, func(s RoundHolds) bool {
		grace := time.Duration(0)
		if !s.Committed {
			grace = maxClockDifference
		}
		return (!s.Committed || s.UntilExpiry) && !slices.ContainsFunc(s.Holds, func(h Hold) bool { return h.Until > at-grace })
	})
	for i, s := range k.RoundHolds {
		if !s.Committed || s.UntilExpiry || !slices.ContainsFunc(s.Holds, func(h Hold) bool { return h.Until <= at }) {
			continue
		}
		holds := slices.Clone(s.Holds) // others may read the old ones
		for j := range holds {
			holds[j].Until = max(holds[j].Until, at+holdExtension)
		}
		k.RoundHolds[i].Holds = holds
	}
	if len(k.EndedRounds) > maxHolds {
		maps.DeleteFunc(k.EndedRounds, func(_ string, o endedRound) bool { return o.At < at-endedRetention })
	}
}

// maxClockDifference is by how much dispatchers' clocks may differ before a hold that its home may yet decide on is dropped.
const maxClockDifference = time.Minute

// holdExtension is for how long a hold goes on at a time that should be over.
const holdExtension = Lead

// set opens or changes an account. What is held stays, also beyond a lower bound: a partner that lends less recalls
// nothing by itself, the gangs' homes do.
func (k *accounts) set(r Resource) Result {
	before, known := k.Resources[r.ID]
	switch {
	case r.ID == "" || len(r.ID) > 2*maxNameLen || r.Slots < 0 || r.Slots > unbounded || !(r.SlotHours >= 0):
		return Result{Err: "not a resource"}
	case known && r.Gen < before.Gen:
		return Result{Err: "an older one", Gen: before.Gen}
	case !known && len(k.Resources) >= maxHolds:
		return Result{Err: "too many resources"}
	}
	k.Resources[r.ID] = r
	return Result{OK: true}
}

// prepare takes holds, all or none. Those of the gang's other rounds count once with them, whichever is larger.
func (k *accounts) prepare(at time.Duration, s RoundHolds) Result {
	i, have := k.find(s.Gang, s.Round)
	switch {
	case have:
		return Result{OK: true}
	case k.EndedRounds[s.Gang].Round >= s.Round:
		return Result{Err: "the round is over"}
	case len(s.Holds) == 0 || len(s.Holds) > 2*MaxMembers:
		return Result{Err: "no holds, or too many"}
	case len(k.RoundHolds) >= maxHolds:
		return Result{Full: true, Err: "too many holds"}
	}
	for _, h := range s.Holds {
		r, known := k.Resources[h.Resource]
		switch {
		case !known || r.Gen != h.Gen:
			return Result{Stale: true, Err: fmt.Sprintf("%s is not what it was", h.Resource), Gen: r.Gen}
		case h.Until <= h.From || h.Until <= at || h.Slots < 1 || h.Until-h.From > 2*maxWork:
			return Result{Err: "not a hold"}
		}
	}
	s.Committed = false
	with := slices.Insert(slices.Clone(k.RoundHolds), i, s)
	if h, fits := k.fits(with, s.Holds); !fits {
		res := Result{Full: true, Err: h.Resource + " is full"}
		firm := slices.DeleteFunc(slices.Clone(with), func(o RoundHolds) bool { return !o.Committed && o.Gang != s.Gang })
		if _, fits := k.fits(firm, s.Holds); fits { // only such are in the way that may yet give way
			for _, o := range with {
				if !o.Committed && o.Gang != s.Gang && overlap(o.Holds, s.Holds) {
					res.Rivals = append(res.Rivals, Rival{o.Gang, o.Round, o.Home, o.SubmittedAt})
				}
			}
		}
		return res
	}
	k.RoundHolds = with
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

// fits tells whether no account that the holds touch is passed at any time of theirs, and if one is, for which hold.
func (k *accounts) fits(all []RoundHolds, holds []Hold) (Hold, bool) {
	for _, h := range holds {
		r := k.Resources[h.Resource]
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

// sumUsed sums up what gangs have of a resource; of a gang with several rounds only one will count, the larger is taken.
func sumUsed(all []RoundHolds, resource string, of func(Hold) float64) (sum float64) {
	for i := 0; i < len(all); {
		most := 0.0
		for gang := all[i].Gang; i < len(all) && all[i].Gang == gang; i++ {
			n := 0.0
			for _, h := range all[i].Holds {
				if h.Resource == resource {
					n += of(h)
				}
			}
			if all[i].UntilExpiry { // beside what the gang has got since
				sum += n
				continue
			}
			most = max(most, n)
		}
		sum += most
	}
	return sum
}

// commit makes a round's holds firm; those of the gang's earlier rounds are over with it.
func (k *accounts) commit(at time.Duration, gang string, round uint64) Result {
	i, have := k.find(gang, round)
	if !have {
		if k.EndedRounds[gang].Round >= round {
			return Result{OK: true} // and released since
		}
		return Result{Err: "there is no such hold"} // its time is past
	}
	k.RoundHolds[i].Committed = true
	k.end(at, gang, round-1)
	return Result{OK: true}
}

// ready tells whether a round that is about to start finds its room free. Accounts go by what was planned; what began
// before and has not ended counts here until it has, whatever it said, and so does what its home has yet to decide on.
func (k *accounts) ready(gang string, round uint64) Result {
	i, have := k.find(gang, round)
	if !have {
		return Result{Err: "there is no such hold"}
	}
	mine := k.RoundHolds[i]
	// Where a partner lends less than was held, younger ones that start with this one give way.
	all := slices.DeleteFunc(slices.Clone(k.RoundHolds), func(s RoundHolds) bool {
		return s.Gang != gang && older(mine.SubmittedAt, gang, s.SubmittedAt, s.Gang) && s.Holds[0].From >= mine.Holds[0].From
	})
	for _, h := range mine.Holds {
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
		if n > float64(k.Resources[h.Resource].Slots) {
			return Result{Full: true, Err: "what " + h.Resource + " has before it has not ended"}
		}
	}
	return Result{OK: true}
}

// abort drops a round's holds that were not committed.
func (k *accounts) abort(at time.Duration, gang string, round uint64) Result {
	i, have := k.find(gang, round)
	switch {
	case have && k.RoundHolds[i].Committed:
		return Result{Err: "it is committed"}
	case have:
		k.RoundHolds = slices.Delete(k.RoundHolds, i, i+1)
	}
	// An earlier round may be in force, in a move: it stays. But nothing of this one, which may come late, is taken.
	if k.EndedRounds[gang].Round < round {
		k.EndedRounds[gang] = endedRound{round, at}
	}
	return Result{OK: true}
}

// end drops all of a gang's holds up to a round: its home has so decided after it committed them.
func (k *accounts) end(at time.Duration, gang string, round uint64) Result {
	k.RoundHolds = slices.DeleteFunc(k.RoundHolds, func(s RoundHolds) bool { return s.Gang == gang && s.Round <= round && !s.UntilExpiry })
	if k.EndedRounds[gang].Round < round {
		k.EndedRounds[gang] = endedRound{round, at}
	}
	return Result{OK: true}
}

// keepUntilExpiry is end, but for holds of a round that members may go on to use, though nobody hears of them.
func (k *accounts) keepUntilExpiry(at time.Duration, gang string, round uint64) Result {
	if i, have := k.find(gang, round); have && k.RoundHolds[i].Committed {
		k.RoundHolds[i].UntilExpiry = true
	}
	return k.end(at, gang, round)
}
