package listclock

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 10 * ms

// page is the operators' page in the plainest form: what is open, since when it is silent in truth, and the moment by
// which another call must be out. It knows what no dispatcher does.
type page struct {
	Terms
	open              bool
	silent            time.Duration // since when what is open says nothing; below 0: it does
	called, said      time.Duration // the last call, the last sign of life on what it opened
	failed            bool
	moved, back, down time.Duration // below 0: not
	ended             time.Duration
}

const forever = time.Duration(math.MaxInt64 / 2)

func (p *page) limit() time.Duration {
	at := forever
	switch {
	case p.open && p.silent >= 0 && p.said < 0 && p.Way == Pushed: // a call at an agent
		at = p.called + p.Grace
	case p.open && p.silent >= 0:
		at = p.silent + 6*s
	case !p.open && p.Way == Pushed:
		at = p.ended + p.Grace
	case !p.open && p.failed:
		at = p.called + 4*p.Within
	case !p.open:
		at = max(p.called, p.said) + p.Within
	}
	if p.moved >= 0 {
		at = min(at, p.moved+4*s)
	}
	if p.Way == Pushed && p.down >= 0 {
		return forever // it learns nothing
	}
	if p.back >= 0 { // what was held against nobody while it was down counts anew
		held := p.Within
		if p.Way == Pushed {
			held = p.Grace
		}
		at = max(at, p.back+held)
	}
	return at
}

// world is a discovery, the way to it, and a dispatcher that goes by the clock alone.
type world struct {
	t     *rapid.T
	rng   func(most int, what string) int
	c     *Clock
	now   time.Duration
	p     page
	list  int // changes that there are
	knows int // and that the dispatcher has been told
	due   time.Duration
	fate  int // of the call that waits: 0 answered, 1 refused, 2 silent
	calls int
	quick time.Duration // of a few ms: an answer
}

func (w *world) call() {
	if late := w.now - w.p.limit(); late > tick {
		w.t.Fatalf("at %v a call %v after it was due (%+v)", w.now, late, w.p)
	}
	if w.p.open && w.p.silent < 0 && w.p.moved < 0 {
		w.t.Fatalf("at %v a call beside a watch that tells (%+v)", w.now, w.p)
	}
	if w.p.open && w.p.moved < 0 && w.p.Way != Pushed && w.now-max(w.p.called, w.p.said) < 3*s {
		w.t.Fatalf("at %v a call before silence was certain (%+v)", w.now, w.p)
	}
	w.calls++
	w.c.Called(w.now, 0, float64(w.rng(3, "share"))/3.001)
	w.p.open, w.p.silent, w.p.called, w.p.said, w.p.failed, w.p.moved = true, w.now, w.now, -1, false, -1
	if w.p.down < 0 && w.p.back >= 0 && w.now > w.p.back+tick {
		w.p.back = -1
	}
	w.fate, w.due = 0, w.now+time.Duration(1+w.rng(90, "answered"))*tick
	if w.p.Way == Pushed {
		w.due = w.now + tick
	}
	if w.p.down >= 0 || w.rng(9, "fate") == 0 {
		w.fate = 1 + w.rng(1, "how")
		if w.p.Way == Pushed && w.p.down >= 0 {
			w.fate = 2
		}
	}
}

func (w *world) end(failed bool) {
	w.c.Ended(w.now, failed)
	w.p.open, w.p.failed, w.p.ended, w.p.silent = false, failed, w.now, -1
}

func (w *world) says(whole bool) {
	w.c.Heard(w.now)
	w.p.said, w.p.silent = w.now, -1
	if whole {
		w.c.Begun(w.now)
		w.c.Told(w.now)
		w.knows = w.list
	}
}

func (w *world) step() {
	w.now += tick
	p := &w.p
	switch waits := p.open && p.said < 0; {
	case waits && w.fate == 0 && w.now >= w.due:
		w.says(true)
		if p.Way == Asked {
			w.end(false)
		}
	case waits && w.fate == 1 && w.now >= w.due:
		w.end(true)
	case p.open && p.silent < 0 && (w.knows < w.list || w.now-p.said >= 2*s):
		w.says(w.knows < w.list)
	}
	if ask, ok := w.c.Ask(); ok && w.now >= ask {
		w.call()
	} else if w.now > p.limit()+tick {
		w.t.Fatalf("at %v no call, and one was due at %v (%+v)", w.now, p.limit(), w.p)
	}
}

// Whatever falls silent, goes down, comes back or moves, and whenever: a call is out by the moment at which the page
// has something missed count, none is made beside a watch that tells, and in the end all is known.
func TestSilencesOutagesAndMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := func(most int, what string) int { return rapid.IntRange(0, most).Draw(t, what) }
		terms := Terms{
			Way: Way(rng(2, "way")), Within: time.Duration(4000+rng(8000, "within")) * ms, Grace: time.Duration(250+rng(1250, "grace")) * ms,
			Spread: time.Duration(rng(2, "spread")) * 3 * s,
		}
		w := &world{t: t, rng: rng, c: New(terms, 0), p: page{Terms: terms, silent: -1, moved: -1, back: -1, down: -1, said: -1}}
		if terms.Way != Pushed {
			w.call() // an agent is asked without a word
		}
		for range 12 {
			for range rng(500, "pause") {
				w.step()
			}
			switch p := &w.p; rng(7, "event") {
			case 0:
				w.list++
			case 1, 2: // what is open falls silent
				if p.open && p.silent < 0 {
					p.silent = w.now
				}
			case 3: // discovery goes down
				if p.down < 0 {
					if p.down = w.now; p.open && p.silent < 0 {
						if terms.Way == Pushed {
							p.silent = w.now
						} else {
							w.end(false)
						}
					}
				}
			case 4:
				if p.down >= 0 {
					p.down, p.back = -1, w.now
				}
			case 5:
				w.c.Moved(w.now)
				p.moved = w.now
			case 7: // a watch falls silent and speaks again, and nobody knows what it has missed
				if p.open && p.said >= 0 {
					if p.silent < 0 {
						p.silent = w.now
					}
					for calls := w.calls; calls == w.calls && p.silent >= 0; w.step() {
						if w.now-p.said >= 3*s {
							w.c.Heard(w.now)
							break
						}
					}
				}
			case 6: // whoever decides on turns asks
				if !p.open {
					w.call()
				}
			}
		}
		w.list++
		if w.p.down >= 0 {
			w.p.down, w.p.back = -1, w.now
		}
		w.rng = func(int, string) int { return 1 } // all goes well from here on
		for range int(4*terms.Within/tick) + 800 {
			w.step()
		}
		if w.knows != w.list {
			t.Fatalf("%d of %d changes are known", w.knows, w.list)
		}
	})
}
