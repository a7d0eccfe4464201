// Package lease shares the budget for cold encoders among senders: what all of them together may give
// an encoder that has just started. It does no I/O and reads no clock.
//
// A keeper ([Book], one in each daemon) has a fixed part of the budget and leases it out in pieces of
// one job, by leases that expire (Gray and Cheriton, SOSP 1989). A sender ([Holder]) counts a lease
// from when it asked, the keeper from when it granted, which is later; so no clocks need agree, only run
// at about one speed. The sum over keepers holds by arithmetic, whoever lives and whatever each
// believes.
package lease

import (
	"math"
	"time"
)

// Plan is the part of the multiple that an encoder stands which is planned with at all: the work of a
// job, and the size of an encoder, are estimates.
const Plan = 0.5

// TurnsShare is the part of the planned budget that senders' fixed turns have, lease or not; the keepers
// share the rest evenly.
const TurnsShare = 0.25

// Drift is how much slower a sender's clock may run than a keeper's.
const Drift = 0.05

// Terms are the figures that keepers and senders go by.
type Terms struct {
	Life     time.Duration // of a lease, by the keeper's clock
	Window   time.Duration // of the rule: over this long
	Multiple float64       // of its present capacity is what an encoder stands
	ColdFrom float64       // share of its capacity that it starts with
	Cold     time.Duration // and after which it is warm
	Keepers  int           // that the budget is divided among
}

// Member is an encoder as a keeper knows it.
type Member struct {
	ID      string
	Started time.Duration // by the keeper's clock; it may lie before the clock's start
	Process int64         // tells it from the one before it: its start as the list has it
	Slots   float64       // when warm
	Any     bool          // senders may name any process: people have put it back, and each counts from when it heard
}

// Want asks for a lease.
type Want struct {
	Seq      uint64
	Instance string
	Process  int64
	Work     float64 // seconds of a slot that the job presses with in one window
}

// Grant answers a Want. ID 0: nothing now.
type Grant struct {
	Seq   uint64
	ID    uint64
	Valid time.Duration // from when it was asked for, by the sender's clock
	Again time.Duration // nothing: when to ask again
}

// Book is a keeper. It is not safe for more than one goroutine.
type Book struct {
	terms   Terms
	now     time.Duration
	grantsFrom   time.Duration // nothing is granted before: what a keeper before it granted may be in use
	encoders map[string]*account
	leases  map[uint64]*issuedLease
	lastID    uint64
	Stats   Stats
}

// Stats counts what a keeper did.
type Stats struct{ Asked, Granted, Denied, Spent, Returned, Expired, Stale uint64 }

type account struct {
	Member
	counted float64 // work of leases that count
	queue    []*issuedLease
}

// issuedLease is a lease that counts against the budget, until a moment.
type issuedLease struct {
	id      uint64
	sender  string
	account *account
	work    float64
	expires time.Duration
	countsUntil   time.Duration // expiry and a window; sooner once it is known what became of it
	released    bool
}

// maxLeases bounds what is kept of one encoder: beyond it nothing is granted.
const maxLeases = 4096

// NewBook returns a keeper that grants nothing for a lease's life and a window from now on.
func NewBook(t Terms, now time.Duration) *Book {
	return &Book{
		terms: t, now: now, grantsFrom: now + t.Life + t.Window, encoders: map[string]*account{}, leases: map[uint64]*issuedLease{},
	}
}

// Retune has the keeper go by other terms. What is granted keeps its life. A larger part than before counts
// only once leases of the other keepers, which may have had it, have ended.
func (b *Book) Retune(now time.Duration, t Terms) {
	b.advance(now)
	if t.Keepers < b.terms.Keepers || t.Multiple != b.terms.Multiple {
		b.grantsFrom = max(b.grantsFrom, b.now+max(t.Life, b.terms.Life)+max(t.Window, b.terms.Window))
	}
	b.terms = t
}

// Suspend has the keeper grant nothing for as long as after its start: another may have granted meanwhile.
func (b *Book) Suspend(now time.Duration) {
	b.advance(now)
	b.grantsFrom = max(b.grantsFrom, b.now+b.terms.Life+b.terms.Window)
}

// advance takes the keeper's time on; it never goes back.
func (b *Book) advance(now time.Duration) { b.now = max(b.now, now) }

// Listed takes the encoders that there are. One whose process is another begins anew.
func (b *Book) Listed(now time.Duration, members []Member) {
	b.advance(now)
	next := make(map[string]*account, len(members))
	for _, m := range members {
		a := b.encoders[m.ID]
		if a == nil || a.Process != m.Process {
			if a != nil {
				b.dropLeases(a)
			}
			a = &account{}
		}
		a.Member = m
		next[m.ID] = a
	}
	for id, a := range b.encoders {
		if next[id] == nil {
			b.dropLeases(a)
		}
	}
	b.encoders = next
}

// dropLeases drops the leases of a process that is no more: nobody can use them.
func (b *Book) dropLeases(a *account) {
	for _, g := range a.queue {
		if !g.released {
			g.released = true
			delete(b.leases, g.id)
		}
	}
}

// Warmth is the share of its capacity that an encoder has at least at such an age.
func (t Terms) Warmth(age time.Duration) float64 {
	if age >= t.Cold {
		return 1
	}
	return t.ColdFrom + (1-t.ColdFrom)*max(0, age.Seconds())/t.Cold.Seconds()
}

// Budget is the work, in seconds of a slot, that this keeper may have counting for an encoder now.
func (b *Book) Budget(m Member) float64 {
	t := b.terms
	part := (1 - TurnsShare) / float64(max(1, t.Keepers))
	return part * Plan * t.Multiple * m.Slots * t.Warmth(b.now-m.Started) * t.Window.Seconds()
}

// Counting is the work that counts against an encoder's budget now.
func (b *Book) Counting(id string) float64 {
	if a := b.encoders[id]; a != nil {
		b.dropExpired(a)
		return a.counted
	}
	return 0
}

// Ask answers a sender. What is granted is never more, with all that counts, than the budget.
func (b *Book) Ask(now time.Duration, sender string, w Want) Grant {
	b.advance(now)
	b.Stats.Asked++
	a := b.encoders[w.Instance]
	deny := func(again time.Duration) Grant {
		b.Stats.Denied++
		return Grant{Seq: w.Seq, Again: max(again, 10*time.Millisecond)}
	}
	switch {
	case a == nil || a.Process != w.Process && !a.Any || !(w.Work >= 0) || math.IsInf(w.Work, 1):
		b.Stats.Stale++
		return deny(b.terms.Life)
	case b.now < b.grantsFrom:
		return deny(b.grantsFrom - b.now)
	}
	b.dropExpired(a)
	if over := a.counted + w.Work - b.Budget(a.Member); over > 0 || len(a.queue) >= maxLeases {
		return deny(a.timeUntilFree(b.now, over))
	}
	b.lastID++
	g := &issuedLease{id: b.lastID, sender: sender, account: a, work: w.Work, expires: b.now + b.terms.Life, countsUntil: b.now + b.terms.Life + b.terms.Window}
	a.queue = append(a.queue, g)
	a.counted += w.Work
	b.leases[g.id] = g
	b.Stats.Granted++
	return Grant{Seq: w.Seq, ID: g.id, Valid: time.Duration(float64(b.terms.Life) * (1 - Drift))}
}

// timeUntilFree is how long until so much work has stopped counting, if nothing else happens.
func (a *account) timeUntilFree(now time.Duration, work float64) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, g := range a.queue {
		if work -= g.work; !g.released {
			soonest = min(soonest, g.countsUntil-now)
		}
	}
	if soonest == math.MaxInt64 {
		return 100 * time.Millisecond // it fits once the encoder is warmer, if at all
	}
	return soonest
}

// Done takes what became of a lease: spent just now, or given back unused.
func (b *Book) Done(now time.Duration, sender string, id uint64, spent bool) {
	b.advance(now)
	g := b.leases[id]
	if g == nil || g.sender != sender || g.released {
		return
	}
	if spent {
		b.Stats.Spent++
		g.countsUntil = min(g.countsUntil, b.now+b.terms.Window)
	} else {
		b.Stats.Returned++
		g.countsUntil = b.now
	}
	delete(b.leases, id) // said once
	b.dropExpired(g.account)
}

// Held is how many leases have neither expired nor been given back or spent.
func (b *Book) Held(now time.Duration, sender string) (n int) {
	b.advance(now)
	for _, g := range b.leases {
		if g.sender == sender && g.expires > b.now {
			n++
		}
	}
	return n
}

// Orphans is how many leases count that no living sender holds.
func (b *Book) Orphans(now time.Duration, living func(sender string) bool) (n int) {
	b.advance(now)
	for _, g := range b.leases {
		if g.countsUntil > b.now && !living(g.sender) {
			n++
		}
	}
	return n
}

// dropExpired drops what counts no more.
func (b *Book) dropExpired(a *account) {
	n := 0
	a.counted = 0
	for _, g := range a.queue {
		if g.released || g.countsUntil <= b.now {
			if !g.released && b.leases[g.id] != nil {
				b.Stats.Expired++
				delete(b.leases, g.id)
			}
			g.released = true
			continue
		}
		a.queue[n] = g
		a.counted += g.work
		n++
	}
	clear(a.queue[n:])
	a.queue = a.queue[:n]
}
