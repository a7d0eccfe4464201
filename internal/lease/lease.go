// Package lease divides the budget for cold encoders among senders: the work that all of them together may send
// to an encoder that has just started. It does no I/O and reads no clock.
//
// A granter ([Granter], one in each daemon) has a fixed part of the budget and grants it in pieces of one job, as
// leases that expire (Gray and Cheriton, SOSP 1989). A sender ([Holder]) counts a lease's life from its request,
// the granter from its grant, which is later, so clocks need not agree but only run at about the same speed. The
// sum over all granters stays within the budget by construction, whichever of them are alive and whatever each
// assumes about the others.
package lease

import (
	"math"
	"time"
)

// PlannedShare is the share of the load limit Terms.Multiple that is planned with: the work of a job and the size of an
// encoder are estimates.
const PlannedShare = 0.5

// TurnsShare is the part of the planned budget reserved for the senders' fixed turns, which need no lease. The
// granters share the rest evenly.
const TurnsShare = 0.25

// Drift is the share by which a sender's clock may run slower than a granter's.
const Drift = 0.05

// Terms are the parameters of granters and senders.
type Terms struct {
	Life     time.Duration // of a lease, by the granter's clock
	Window   time.Duration // over which the load limit applies
	Multiple float64       // load limit of an encoder, as a multiple of its present capacity
	ColdFrom float64       // share of its capacity that an encoder starts with
	Cold     time.Duration // time until an encoder is warm
	Granters int           // that the budget is divided among
}

// Encoder is an encoder as a granter knows it.
type Encoder struct {
	ID         string
	Started    time.Duration // by the granter's clock; may be before the clock's start
	Process    int64         // distinguishes it from its predecessor: its start time in the instance list
	Slots      float64       // when warm
	AnyProcess bool          // senders may name any process: an operator has uncordoned the encoder, and each sender counts from when it was notified
}

// Request is a request for a lease.
type Request struct {
	Seq      uint64
	Instance string
	Process  int64
	Work     float64 // slot seconds that the job needs within one window
}

// Grant answers a Request. ID 0: not granted.
type Grant struct {
	Seq        uint64
	ID         uint64
	Valid      time.Duration // from the request, by the sender's clock
	RetryAfter time.Duration // if not granted: when to ask again
}

// Granter grants leases within one part of the budget. It is not safe for concurrent use.
type Granter struct {
	terms      Terms
	now        time.Duration
	grantsFrom time.Duration // nothing is granted earlier, since leases of a preceding granter may be in use
	encoders   map[string]*account
	leases     map[uint64]*issuedLease
	lastID     uint64
	Stats      Stats
}

// Stats counts a granter's operations. Invalid counts requests for an unknown encoder, an unknown process of one, or an
// invalid amount of work.
type Stats struct{ Asked, Granted, Denied, Spent, Returned, Expired, Invalid uint64 }

type account struct {
	Encoder
	counted float64 // work of the leases that count
	queue   []*issuedLease
}

// issuedLease is a lease that counts against the budget until countsUntil.
type issuedLease struct {
	id          uint64
	sender      string
	account     *account
	work        float64
	expires     time.Duration
	countsUntil time.Duration // expiry plus one window; earlier once the lease's outcome is known
	released    bool
}

// maxLeases bounds the leases that a granter keeps per encoder, beyond which none is granted, and the instances for
// which a Holder keeps the time of the next request to a granter.
const maxLeases = 4096

// NewGranter returns a granter that grants nothing for a lease's life and a window from now on.
func NewGranter(t Terms, now time.Duration) *Granter {
	return &Granter{
		terms: t, now: now, grantsFrom: now + t.Life + t.Window, encoders: map[string]*account{}, leases: map[uint64]*issuedLease{},
	}
}

// SetTerms applies other terms. Leases already granted keep their life. After a change that may enlarge this granter's
// part of the budget (fewer granters, or any other multiple), nothing is granted until the leases of the other
// granters, which may have had that part, have ended.
func (b *Granter) SetTerms(now time.Duration, t Terms) {
	b.advance(now)
	if t.Granters < b.terms.Granters || t.Multiple != b.terms.Multiple {
		b.grantsFrom = max(b.grantsFrom, b.now+max(t.Life, b.terms.Life)+max(t.Window, b.terms.Window))
	}
	b.terms = t
}

// Suspend stops granting for as long as after a start, since another granter may have granted meanwhile.
func (b *Granter) Suspend(now time.Duration) {
	b.advance(now)
	b.grantsFrom = max(b.grantsFrom, b.now+b.terms.Life+b.terms.Window)
}

// advance moves the granter's time forward; it never goes back.
func (b *Granter) advance(now time.Duration) { b.now = max(b.now, now) }

// SetEncoders sets the list of encoders. One with a new process starts with an empty account.
func (b *Granter) SetEncoders(now time.Duration, members []Encoder) {
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
		a.Encoder = m
		next[m.ID] = a
	}
	for id, a := range b.encoders {
		if next[id] == nil {
			b.dropLeases(a)
		}
	}
	b.encoders = next
}

// dropLeases removes the leases of a process that no longer exists: nobody can use them.
func (b *Granter) dropLeases(a *account) {
	for _, g := range a.queue {
		if !g.released {
			g.released = true
			delete(b.leases, g.id)
		}
	}
}

// Warmth returns the least share of its capacity that an encoder of this age has.
func (t Terms) Warmth(age time.Duration) float64 {
	if age >= t.Cold {
		return 1
	}
	return t.ColdFrom + (1-t.ColdFrom)*max(0, age.Seconds())/t.Cold.Seconds()
}

// Budget returns the work, in slot seconds, that this granter may have counting against an encoder now.
func (b *Granter) Budget(m Encoder) float64 {
	t := b.terms
	share := (1 - TurnsShare) / float64(max(1, t.Granters))
	return share * PlannedShare * t.Multiple * m.Slots * t.Warmth(b.now-m.Started) * t.Window.Seconds()
}

// Counted returns the work that counts against an encoder's budget now.
func (b *Granter) Counted(id string) float64 {
	if a := b.encoders[id]; a != nil {
		b.dropExpired(a)
		return a.counted
	}
	return 0
}

// Ask processes a sender's request. A lease is granted only if, with all that count, it stays within the budget.
func (b *Granter) Ask(now time.Duration, sender string, w Request) Grant {
	b.advance(now)
	b.Stats.Asked++
	a := b.encoders[w.Instance]
	deny := func(retryAfter time.Duration) Grant {
		b.Stats.Denied++
		return Grant{Seq: w.Seq, RetryAfter: max(retryAfter, 10*time.Millisecond)}
	}
	switch {
	case a == nil || a.Process != w.Process && !a.AnyProcess || !(w.Work >= 0) || math.IsInf(w.Work, 1):
		b.Stats.Invalid++
		return deny(b.terms.Life)
	case b.now < b.grantsFrom:
		return deny(b.grantsFrom - b.now)
	}
	b.dropExpired(a)
	if excess := a.counted + w.Work - b.Budget(a.Encoder); excess > 0 || len(a.queue) >= maxLeases {
		return deny(a.timeUntilFree(b.now, excess))
	}
	b.lastID++
	g := &issuedLease{id: b.lastID, sender: sender, account: a, work: w.Work, expires: b.now + b.terms.Life, countsUntil: b.now + b.terms.Life + b.terms.Window}
	a.queue = append(a.queue, g)
	a.counted += w.Work
	b.leases[g.id] = g
	b.Stats.Granted++
	return Grant{Seq: w.Seq, ID: g.id, Valid: time.Duration(float64(b.terms.Life) * (1 - Drift))}
}

// timeUntilFree returns the time until counted work next decreases, if nothing else happens.
// It does not depend on work.
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

// Settle records that a lease was spent just now, or returned unused.
func (b *Granter) Settle(now time.Duration, sender string, id uint64, spent bool) {
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
	delete(b.leases, id) // its outcome is reported once
	b.dropExpired(g.account)
}

// HeldBy returns the number of a sender's leases that are neither expired, returned nor spent.
func (b *Granter) HeldBy(now time.Duration, sender string) (n int) {
	b.advance(now)
	for _, g := range b.leases {
		if g.sender == sender && g.expires > b.now {
			n++
		}
	}
	return n
}

// Orphans returns the number of counting leases that no living sender holds.
func (b *Granter) Orphans(now time.Duration, alive func(sender string) bool) (n int) {
	b.advance(now)
	for _, g := range b.leases {
		if g.countsUntil > b.now && !alive(g.sender) {
			n++
		}
	}
	return n
}

// dropExpired removes the leases that no longer count.
func (b *Granter) dropExpired(a *account) {
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
