package lease

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testTerms = Terms{Life: 400 * ms, Window: time.Second, Multiple: 3, ColdFrom: 0.14, Cold: 24 * time.Second, Granters: 2}

// clock is the clock of one party, with its own start and a small rate error.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// world simulates two granters, some senders that request all they can get, and the network in between.
type world struct {
	*rand.Rand
	now      time.Duration
	loss     float64
	delay    time.Duration // maximum
	net      []message
	granters [2]*simGranter
	senders  []*sender

	slots    float64
	started  time.Duration
	process  int64
	sent     []sentJob
	maxShare float64 // highest observed share of the limit
}

type message struct {
	due time.Duration
	do  func()
}

type sentJob struct {
	at   time.Duration
	work float64
}

type simGranter struct {
	clock
	*Granter
	epoch  uint64
	paused time.Duration
	queue  []func()
}

type sender struct {
	clock
	*Holder
	name       string
	held       []HeldLease
	paused     time.Duration // inactive until then
	work       float64       // of its jobs
	lastMoment bool          // uses a lease at its last moment, otherwise at once
	reportRate float64       // probability of reporting a spent lease
}

func (w *world) clock() clock {
	return clock{time.Duration(w.Int64N(int64(time.Hour))), 0.99 + 0.02*w.Float64()}
}

func (w *world) send(do func()) {
	if w.Float64() >= w.loss {
		delay := w.Float64()
		if w.IntN(2) == 0 { // no delay or the maximum: delays in between test less
			delay = math.Round(delay)
		}
		w.net = append(w.net, message{w.now + time.Duration(delay*float64(w.delay)), do})
	}
}

// boot starts a granter's process; the senders are notified at once.
func (w *world) boot(k int) {
	epoch := uint64(1)
	if old := w.granters[k]; old != nil {
		epoch = old.epoch + 1
	}
	c := w.clock()
	w.granters[k] = &simGranter{clock: c, Granter: NewGranter(testTerms, c.at(w.now)), epoch: epoch}
	w.list(k)
	for _, s := range w.senders {
		s.Up(k, epoch)
	}
}

func (w *world) list(k int) {
	b := w.granters[k]
	at := b.at(w.now)
	b.SetEncoders(at, []Encoder{{ID: "s", Started: at - (w.now - w.started), Process: w.process, Slots: w.slots}})
}

// take has a granter process a message, or queues it while it is paused.
func (b *simGranter) take(now time.Duration, do func()) {
	if b.paused > now {
		b.queue = append(b.queue, do)
		return
	}
	do()
}

func (w *world) ask(s *sender) {
	k, want, ok := s.Ask(s.at(w.now), "s", w.process, s.work)
	if !ok {
		return
	}
	b := w.granters[k]
	w.send(func() {
		b.take(w.now, func() {
			g := b.Ask(b.at(w.now), s.name, want)
			w.send(func() {
				if s.paused > w.now {
					return
				}
				if h, ok := s.Granted(s.at(w.now), k, b.epoch, g); ok {
					s.held = append(s.held, h)
				}
			})
		})
	})
}

// use sends what a sender's leases allow.
func (w *world) use(s *sender, tick time.Duration) {
	at := s.at(w.now)
	var left []HeldLease
	for _, h := range s.held {
		switch {
		case h.Until <= at: // returned: it can no longer be used
			b := w.granters[h.Granter]
			w.send(func() {
				b.take(w.now, func() { b.Settle(b.at(w.now), s.name, h.ID, false) })
			})
		case h.Process != w.process:
		case s.lastMoment && h.Until > at+tick:
			left = append(left, h)
		default:
			w.sent = append(w.sent, sentJob{w.now, h.Work})
			if b := w.granters[h.Granter]; w.Float64() < s.reportRate {
				w.send(func() {
					b.take(w.now, func() { b.Settle(b.at(w.now), s.name, h.ID, true) })
				})
			}
		}
	}
	s.held = left
}

// check compares the window that ends now with the limit.
func (w *world) check() bool {
	sum := 0.0
	for _, x := range w.sent {
		if x.at > w.now-testTerms.Window {
			sum += x.work
		}
	}
	// A granter's clock may run up to 1% fast, which makes the encoder look older by that much.
	age := time.Duration(float64(w.now-w.started) * 1.011)
	limit := (1 - TurnsShare) * PlannedShare * testTerms.Multiple * w.slots * testTerms.Warmth(age) * testTerms.Window.Seconds()
	w.maxShare = max(w.maxShare, sum/limit)
	return sum <= limit*1.0001
}

// TestMain fixes the random seed unless one is given, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261201")
	}
	os.Exit(m.Run())
}

// The work sent in any window stays within what the granters may lease together, whatever messages are lost or
// late and whichever parties die, pause or restart.
func TestBudgetIsNeverExceeded(t *testing.T) {
	maxShare := 0.0
	rapid.Check(t, func(t *rapid.T) {
		const tick = 5 * ms
		w := &world{
			Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), process: 1,
			loss:  rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"),
			delay: rapid.SampledFrom([]time.Duration{ms, 50 * ms, 450 * ms}).Draw(t, "delay"),
			slots: rapid.SampledFrom([]float64{1, 8, 32}).Draw(t, "slots"),
		}
		faultRate := rapid.SampledFrom([]float64{0, 0.002, 0.02}).Draw(t, "trouble")
		for i := range 8 {
			w.senders = append(w.senders, &sender{
				clock: w.clock(), Holder: NewHolder(2), name: string(rune('a' + i)), work: 0.02 * w.slots * w.Float64(),
				lastMoment: w.IntN(2) == 0, reportRate: float64(w.IntN(3)) / 2,
			})
		}
		w.boot(0)
		w.boot(1)
		for range 1500 {
			w.now += tick
			due := w.net
			w.net = nil
			for _, m := range due {
				if m.due <= w.now {
					m.do()
				} else {
					w.net = append(w.net, m)
				}
			}
			for _, b := range w.granters {
				if b.paused <= w.now {
					queue := b.queue
					b.queue = nil
					for _, do := range queue {
						do()
					}
				}
			}
			for _, s := range w.senders {
				if s.paused <= w.now {
					w.ask(s)
					w.use(s, tick)
				}
			}
			if w.Float64() < faultRate {
				switch s, k := w.senders[w.IntN(len(w.senders))], w.IntN(2); w.IntN(6) {
				case 5: // a sender's clock steps forward; it never steps back, and a granter's clock counts from its start
					s.offset += time.Duration(w.Int64N(int64(time.Minute)))
				case 0:
					s.paused = w.now + time.Duration(w.Int64N(int64(5*time.Second)))
				case 1: // another process with the same name
					s.Holder, s.held = NewHolder(2), nil
					s.Up(0, w.granters[0].epoch)
					s.Up(1, w.granters[1].epoch)
				case 2:
					w.boot(k)
				case 3:
					w.granters[k].paused = w.now + time.Duration(w.Int64N(int64(2*time.Second)))
				case 4:
					w.process, w.started, w.sent = w.process+1, w.now, nil
					w.list(0)
					w.list(1)
				}
			}
			if !w.check() {
				t.Fatalf("at %v the work in the window is %.3f of the limit", w.now, w.maxShare)
			}
		}
		maxShare = max(maxShare, w.maxShare)
	})
	require.Greater(t, maxShare, 0.9, "the budget was never nearly used, so the test shows nothing")
}

// A granter that restarts grants nothing while leases of its predecessor may be in use.
func TestNoGrantsAfterRestart(t *testing.T) {
	b := NewGranter(testTerms, time.Hour)
	b.SetEncoders(time.Hour, []Encoder{{ID: "s", Started: time.Hour, Slots: 8}})
	g := b.Ask(time.Hour+1399*ms, "a", Request{Seq: 1, Instance: "s", Work: 0.01})
	require.Zero(t, g.ID)
	require.LessOrEqual(t, g.RetryAfter, 10*ms)
	require.NotZero(t, b.Ask(time.Hour+1400*ms, "a", Request{Seq: 2, Instance: "s", Work: 0.01}).ID)
}

// Leases of a sender that died are freed within a lease's life and a window, those of a sender that reports the
// outcome earlier, and no sender can free another's.
func TestLeasesAreFreed(t *testing.T) {
	now := time.Hour
	b := NewGranter(testTerms, 0)
	m := Encoder{ID: "s", Started: now, Slots: 8}
	b.SetEncoders(now, []Encoder{m})
	fill := func() (ids []uint64) {
		for {
			g := b.Ask(now, "a", Request{Instance: "s", Work: 0.1})
			if g.ID == 0 {
				require.Positive(t, g.RetryAfter)
				return ids
			}
			ids = append(ids, g.ID)
		}
	}
	ids := fill()
	require.Len(t, ids, int(math.Floor(b.Budget(m)/0.1)))
	b.Settle(now, "b", ids[0], false)
	require.Empty(t, fill(), "another sender must not free it")
	b.Settle(now, "a", ids[0], false)
	b.Settle(now, "a", ids[0], false)
	require.Len(t, fill(), 1)
	require.Zero(t, b.HeldBy(now+testTerms.Life, "a"))
	now += testTerms.Life + testTerms.Window
	b.Ask(now, "a", Request{Instance: "other"})
	require.Zero(t, b.Counted("s"))
}

// No two senders ever have the same place, whichever party forgets about the other; a sender gets its own place
// back.
func TestPlacesAreNotShared(t *testing.T) {
	now := time.Hour
	p := NewPlaces(1, 2, 4, now)
	require.Equal(t, -1, p.Take(now, "a", -1), "a predecessor's assignments are unknown")
	require.Equal(t, 3, p.Take(now, "z", 3), "a sender that has a place must keep it")
	require.Equal(t, 0, p.Take(now, "y", 0), "places of another granter are accepted")
	now += FreeAfter
	require.Equal(t, 2, p.Take(now, "a", -1))
	require.Equal(t, -1, p.Take(now, "b", -1))
	p.Disconnected(now, "a")
	require.Equal(t, -1, p.Take(now+FreeAfter-1, "b", -1), "the sender may still be alive")
	require.Equal(t, 2, p.Take(now+FreeAfter-1, "a", -1))
	p.Disconnected(now+FreeAfter, "a")
	require.Equal(t, 2, p.Take(now+2*FreeAfter, "b", -1))
	require.Equal(t, -1, p.Take(now+2*FreeAfter, "a", 2), "the place was reassigned")
}

// A sender counts a lease from its request, not from the answer. Leases that another process of the granter
// grants, or that arrive after their end, are ignored.
func TestLeaseCountsFromRequest(t *testing.T) {
	h := NewHolder(2)
	h.Up(0, 7)
	k, w, ok := h.Ask(time.Hour, "s", 3, 0.5)
	require.True(t, ok)
	require.Equal(t, 0, k, "the other granter is not up")
	g := Grant{Seq: w.Seq, ID: 9, Valid: 380 * ms}
	_, ok = h.Granted(time.Hour+ms, 1, 7, g)
	require.False(t, ok, "another granter")
	_, ok = h.Granted(time.Hour+ms, 0, 8, g)
	require.False(t, ok, "another process")
	got, ok := h.Granted(time.Hour+300*ms, 0, 7, g)
	require.True(t, ok)
	require.Equal(t, HeldLease{Granter: 0, Epoch: 7, ID: 9, Instance: "s", Process: 3, Work: 0.5, Until: time.Hour + 380*ms}, got)
	_, ok = h.Granted(time.Hour+301*ms, 0, 7, g)
	require.False(t, ok, "twice")
	_, w, _ = h.Ask(time.Hour+400*ms, "s", 3, 0.5)
	_, ok = h.Granted(time.Hour+800*ms, 0, 7, Grant{Seq: w.Seq, ID: 10, Valid: 380 * ms})
	require.False(t, ok, "late")
	_, w, _ = h.Ask(time.Hour+800*ms, "s", 3, 0.5)
	h.Granted(time.Hour+801*ms, 0, 7, Grant{Seq: w.Seq, RetryAfter: 50 * ms})
	_, _, ok = h.Ask(time.Hour+850*ms, "s", 3, 0.5)
	require.False(t, ok, "too early: the granter said when to ask again")
	_, _, ok = h.Ask(time.Hour+851*ms, "s", 3, 0.5)
	require.True(t, ok)
	h.Down(0)
	_, _, ok = h.Ask(time.Hour+2*time.Second, "s", 3, 0.5)
	require.False(t, ok)
}
