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

var terms = Terms{Life: 400 * ms, Window: time.Second, Multiple: 3, ColdFrom: 0.14, Cold: 24 * time.Second, Keepers: 2}

// clock is a party's: it started at some moment, and runs a little fast or slow.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// world is two keepers and some senders that want all that they can get, and the network between.
type world struct {
	*rand.Rand
	now     time.Duration
	loss    float64
	delay   time.Duration // at most
	net     []message
	keepers [2]*keeping
	senders []*sender

	slots   float64
	started time.Duration
	process int64
	sends   []sending
	most    float64 // worst part of the limit
}

type message struct {
	due time.Duration
	do  func()
}

type sending struct {
	at   time.Duration
	work float64
}

type keeping struct {
	clock
	*Book
	epoch  uint64
	paused time.Duration
	mail   []func()
}

type sender struct {
	clock
	*Holder
	name   string
	held   []Held
	paused time.Duration // countsUntil then it does nothing
	work   float64       // of its jobs
	late   bool          // uses a lease at its last instant, else at once
	tells  float64       // how often it says that it has spent one
}

func (w *world) clock() clock {
	return clock{time.Duration(w.Int64N(int64(time.Hour))), 0.99 + 0.02*w.Float64()}
}

func (w *world) send(do func()) {
	if w.Float64() >= w.loss {
		late := w.Float64()
		if w.IntN(2) == 0 { // at once or as late as may be: what lies between tries less
			late = math.Round(late)
		}
		w.net = append(w.net, message{w.now + time.Duration(late*float64(w.delay)), do})
	}
}

// boot starts a keeper's process; the senders hear of it at once.
func (w *world) boot(k int) {
	epoch := uint64(1)
	if old := w.keepers[k]; old != nil {
		epoch = old.epoch + 1
	}
	c := w.clock()
	w.keepers[k] = &keeping{clock: c, Book: NewBook(terms, c.at(w.now)), epoch: epoch}
	w.list(k)
	for _, s := range w.senders {
		s.Up(k, epoch)
	}
}

func (w *world) list(k int) {
	b := w.keepers[k]
	at := b.at(w.now)
	b.Listed(at, []Member{{ID: "s", Started: at - (w.now - w.started), Process: w.process, Slots: w.slots}})
}

// at has a keeper take a message, once it is awake.
func (b *keeping) take(now time.Duration, do func()) {
	if b.paused > now {
		b.mail = append(b.mail, do)
		return
	}
	do()
}

func (w *world) ask(s *sender) {
	k, want, ok := s.Ask(s.at(w.now), "s", w.process, s.work)
	if !ok {
		return
	}
	b := w.keepers[k]
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

// use sends what a sender's leases allow, as its habit is.
func (w *world) use(s *sender, tick time.Duration) {
	at := s.at(w.now)
	var left []Held
	for _, h := range s.held {
		switch {
		case h.Until <= at: // given back: nothing goes out by it any more
			b := w.keepers[h.Keeper]
			w.send(func() {
				b.take(w.now, func() { b.Done(b.at(w.now), s.name, h.ID, false) })
			})
		case h.Process != w.process:
		case s.late && h.Until > at+tick:
			left = append(left, h)
		default:
			w.sends = append(w.sends, sending{w.now, h.Work})
			if b := w.keepers[h.Keeper]; w.Float64() < s.tells {
				w.send(func() {
					b.take(w.now, func() { b.Done(b.at(w.now), s.name, h.ID, true) })
				})
			}
		}
	}
	s.held = left
}

// check compares the window that ends now with the limit.
func (w *world) check() bool {
	sum := 0.0
	for _, x := range w.sends {
		if x.at > w.now-terms.Window {
			sum += x.work
		}
	}
	// A keeper's clock may run fast by a hundredth: the encoder looks that much older to it.
	age := time.Duration(float64(w.now-w.started) * 1.011)
	limit := (1 - TurnsShare) * Plan * terms.Multiple * w.slots * terms.Warmth(age) * terms.Window.Seconds()
	w.most = max(w.most, sum/limit)
	return sum <= limit*1.0001
}

// The same verdict every time, unless told otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261201")
	}
	os.Exit(m.Run())
}

// Whatever is lost, late, dead, paused or started anew: the work sent in any window is within the parts
// that the keepers may lease out together.
func TestSumIsNeverExceeded(t *testing.T) {
	most := 0.0
	rapid.Check(t, func(t *rapid.T) {
		const tick = 5 * ms
		w := &world{
			Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), process: 1,
			loss:  rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"),
			delay: rapid.SampledFrom([]time.Duration{ms, 50 * ms, 450 * ms}).Draw(t, "delay"),
			slots: rapid.SampledFrom([]float64{1, 8, 32}).Draw(t, "slots"),
		}
		trouble := rapid.SampledFrom([]float64{0, 0.002, 0.02}).Draw(t, "trouble")
		for i := range 8 {
			w.senders = append(w.senders, &sender{
				clock: w.clock(), Holder: NewHolder(2), name: string(rune('a' + i)), work: 0.02 * w.slots * w.Float64(),
				late: w.IntN(2) == 0, tells: float64(w.IntN(3)) / 2,
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
			for _, b := range w.keepers {
				if b.paused <= w.now {
					mail := b.mail
					b.mail = nil
					for _, do := range mail {
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
			if w.Float64() < trouble {
				switch s, k := w.senders[w.IntN(len(w.senders))], w.IntN(2); w.IntN(6) {
				case 5: // a step of a sender's clock, ahead: back there is none, and a keeper's counts from its start
					s.offset += time.Duration(w.Int64N(int64(time.Minute)))
				case 0:
					s.paused = w.now + time.Duration(w.Int64N(int64(5*time.Second)))
				case 1: // another process under its name
					s.Holder, s.held = NewHolder(2), nil
					s.Up(0, w.keepers[0].epoch)
					s.Up(1, w.keepers[1].epoch)
				case 2:
					w.boot(k)
				case 3:
					w.keepers[k].paused = w.now + time.Duration(w.Int64N(int64(2*time.Second)))
				case 4:
					w.process, w.started, w.sends = w.process+1, w.now, nil
					w.list(0)
					w.list(1)
				}
			}
			if !w.check() {
				t.Fatalf("at %v the window holds %.3f of what it may", w.now, w.most)
			}
		}
		most = max(most, w.most)
	})
	require.Greater(t, most, 0.9, "the budget was never nearly used: nothing was tried")
}

// A keeper that starts anew grants nothing while what the one before it granted may be in use.
func TestQuarantine(t *testing.T) {
	b := NewBook(terms, time.Hour)
	b.Listed(time.Hour, []Member{{ID: "s", Started: time.Hour, Slots: 8}})
	g := b.Ask(time.Hour+1399*ms, "a", Want{Seq: 1, Instance: "s", Work: 0.01})
	require.Zero(t, g.ID)
	require.LessOrEqual(t, g.Again, 10*ms)
	require.NotZero(t, b.Ask(time.Hour+1400*ms, "a", Want{Seq: 2, Instance: "s", Work: 0.01}).ID)
}

// Leases of a sender that died come free by themselves, within a lease's life and a window; of one that
// tells at once, sooner; and nobody can free another's.
func TestLeasesComeFree(t *testing.T) {
	now := time.Hour
	b := NewBook(terms, 0)
	m := Member{ID: "s", Started: now, Slots: 8}
	b.Listed(now, []Member{m})
	fill := func() (ids []uint64) {
		for {
			g := b.Ask(now, "a", Want{Instance: "s", Work: 0.1})
			if g.ID == 0 {
				require.Positive(t, g.Again)
				return ids
			}
			ids = append(ids, g.ID)
		}
	}
	ids := fill()
	require.Len(t, ids, int(math.Floor(b.Budget(m)/0.1)))
	b.Done(now, "b", ids[0], false)
	require.Empty(t, fill(), "another sender freed it")
	b.Done(now, "a", ids[0], false)
	b.Done(now, "a", ids[0], false)
	require.Len(t, fill(), 1)
	require.Zero(t, b.Held(now+terms.Life, "a"))
	now += terms.Life + terms.Window
	b.Ask(now, "a", Want{Instance: "other"})
	require.Zero(t, b.Counting("s"))
}

// Two senders never have one place, whoever forgets whom; a sender's own place comes back to it.
func TestPlacesAreNotShared(t *testing.T) {
	now := time.Hour
	p := NewPlaces(1, 2, 4, now)
	require.Equal(t, -1, p.Take(now, "a", -1), "what a keeper before gave is not known")
	require.Equal(t, 3, p.Take(now, "z", 3), "but one that has a place keeps it")
	require.Equal(t, 0, p.Take(now, "y", 0), "another keeper's places are its own matter")
	now += FreeAfter
	require.Equal(t, 2, p.Take(now, "a", -1))
	require.Equal(t, -1, p.Take(now, "b", -1))
	p.Left(now, "a")
	require.Equal(t, -1, p.Take(now+FreeAfter-1, "b", -1), "it may live on")
	require.Equal(t, 2, p.Take(now+FreeAfter-1, "a", -1))
	p.Left(now+FreeAfter, "a")
	require.Equal(t, 2, p.Take(now+2*FreeAfter, "b", -1))
	require.Equal(t, -1, p.Take(now+2*FreeAfter, "a", 2), "it came back too late")
}

// A sender counts a lease from when it asked, not from when it heard; what another process of the keeper
// grants, or comes when it would have ended, is nothing.
func TestHeldFromWhenItWasAskedFor(t *testing.T) {
	h := NewHolder(2)
	h.Up(0, 7)
	k, w, ok := h.Ask(time.Hour, "s", 3, 0.5)
	require.True(t, ok)
	require.Equal(t, 0, k, "the other keeper is not up")
	g := Grant{Seq: w.Seq, ID: 9, Valid: 380 * ms}
	_, ok = h.Granted(time.Hour+ms, 1, 7, g)
	require.False(t, ok, "another keeper")
	_, ok = h.Granted(time.Hour+ms, 0, 8, g)
	require.False(t, ok, "another process")
	got, ok := h.Granted(time.Hour+300*ms, 0, 7, g)
	require.True(t, ok)
	require.Equal(t, Held{Keeper: 0, Epoch: 7, ID: 9, Instance: "s", Process: 3, Work: 0.5, Until: time.Hour + 380*ms}, got)
	_, ok = h.Granted(time.Hour+301*ms, 0, 7, g)
	require.False(t, ok, "twice")
	_, w, _ = h.Ask(time.Hour+400*ms, "s", 3, 0.5)
	_, ok = h.Granted(time.Hour+800*ms, 0, 7, Grant{Seq: w.Seq, ID: 10, Valid: 380 * ms})
	require.False(t, ok, "late")
	_, w, _ = h.Ask(time.Hour+800*ms, "s", 3, 0.5)
	h.Granted(time.Hour+801*ms, 0, 7, Grant{Seq: w.Seq, Again: 50 * ms})
	_, _, ok = h.Ask(time.Hour+850*ms, "s", 3, 0.5)
	require.False(t, ok, "the keeper said when to ask again")
	_, _, ok = h.Ask(time.Hour+851*ms, "s", 3, 0.5)
	require.True(t, ok)
	h.Down(0)
	_, _, ok = h.Ask(time.Hour+2*time.Second, "s", 3, 0.5)
	require.False(t, ok)
}
