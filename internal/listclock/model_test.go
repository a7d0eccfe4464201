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
	known             time.Duration // all that changed before was told by what was opened last, or it was called then
	begun             time.Duration // since when a part of a list is there; below 0: none is
	failed            bool
	moved, back, down time.Duration // below 0: not
	up                time.Duration // when discovery was last back
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
		at = max(p.ended, min(p.called+4*p.Within, p.known+6*s))
	case !p.open:
		at = max(p.ended, min(max(p.called, p.said)+p.Within, p.known+6*s))
	}
	if p.open && p.Way != Pushed {
		at = min(at, p.known+6*s)
	}
	if p.moved >= 0 {
		at = min(at, p.moved+4*s)
	}
	if p.Way == Pushed && p.down >= 0 {
		return forever // it learns nothing
	}
	if p.back >= 0 { // what was held against nobody while it was down counts anew
		held := min(p.Within, 6*s)
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
	made  []time.Duration // when each change was
	knows int             // how many of them the dispatcher has been told
	comes int             // how many the list will tell of which a part is there
	whole time.Duration   // when that is all there
	tells time.Duration   // the last call that told nothing
	due   time.Duration
	fate  fate // of the call that waits
	calls int
}

type fate int

const (
	answered fate = iota
	refused
	mute  // nothing comes
	head  // and nothing else
	reset // right after the head
)

func (w *world) call() {
	if late := w.now - w.p.limit(); late > tick {
		w.t.Fatalf("at %v a call %v after it was due (%+v)", w.now, late, w.p)
	}
	slow := w.now-w.p.known >= 5*s // a list that does not get whole, or took so long
	if w.p.open && w.p.silent < 0 && w.p.moved < 0 && !slow {
		w.t.Fatalf("at %v a call beside a watch that tells (%+v)", w.now, w.p)
	}
	if w.p.open && w.p.moved < 0 && !slow && w.p.Way != Pushed && w.now-max(w.p.called, w.p.said) < 3*s {
		w.t.Fatalf("at %v a call before silence was certain (%+v)", w.now, w.p)
	}
	w.calls++
	w.vain()
	w.c.Called(w.now, 0, float64(w.rng(3, "share"))/3.001)
	w.p.open, w.p.silent, w.p.called, w.p.said, w.p.failed, w.p.moved = true, w.now, w.now, -1, false, -1
	w.p.known, w.p.begun = w.now, -1
	if w.p.down < 0 && w.p.back >= 0 && w.now > w.p.back+tick {
		w.p.back = -1
	}
	w.fate, w.due = answered, w.now+time.Duration(1+w.rng(90, "answered"))*tick
	if w.p.Way == Pushed {
		w.due = w.now + tick
	}
	switch agent := w.p.Way == Pushed; {
	case w.p.down >= 0 && agent:
		w.fate = mute
	case w.p.down >= 0:
		w.fate = refused + fate(w.rng(1, "down"))
	case w.rng(9, "fate") == 0 && agent:
		w.fate = refused + fate(w.rng(1, "how"))
	case w.p.Way == Watched && w.rng(9, "fate") == 0:
		w.fate = refused + fate(w.rng(3, "how"))
	case w.rng(9, "fate") == 0:
		w.fate = refused + fate(w.rng(1, "how"))
	}
}

// vain notes a call that told nothing, once it is over.
func (w *world) vain() {
	if w.p.open && w.p.known == w.p.called {
		w.tells = w.p.called
	}
}

func (w *world) end(failed bool) {
	w.vain()
	w.c.Ended(w.now)
	w.p.open, w.p.failed, w.p.ended, w.p.silent, w.p.begun = false, failed, w.now, -1, -1
	w.behind()
}

// behind has a change follow right behind what happens, or not.
func (w *world) behind() {
	if w.rng(1, "behind") == 0 {
		w.made = append(w.made, w.now)
	}
}

// says has a whole list come, or an empty line.
func (w *world) says(news bool) {
	w.c.Heard(w.now)
	w.p.said, w.p.silent = w.now, -1
	if news {
		w.c.Begun(w.now)
		w.c.Told(w.now)
		w.knows = len(w.made)
	} else {
		w.c.Beat(w.now)
	}
	if w.p.Way != Asked {
		w.p.known = w.now
	}
}

// begins has a part of a list come.
func (w *world) begins() {
	w.c.Heard(w.now)
	w.c.Begun(w.now)
	w.p.said, w.p.begun, w.comes = w.now, w.now, len(w.made)
	w.whole = w.now + time.Duration(w.rng(70, "whole"))*10*tick
}

// ends has the rest of it come.
func (w *world) ends() {
	w.c.Heard(w.now)
	w.c.Told(w.now)
	w.knows, w.p.said, w.p.known, w.p.begun = w.comes, w.now, w.p.begun, -1
}

// informed fails where a change is not known 6 s after discovery had it and could be reached, or after the last call that
// told nothing.
func (w *world) informed() {
	if w.knows == len(w.made) || w.p.down >= 0 {
		return
	}
	since := max(w.made[w.knows], w.p.up, w.tells)
	if w.p.open && w.fate != answered {
		since = max(since, w.p.called)
	}
	if w.now > since+6*s+tick {
		w.t.Fatalf("at %v the change of %v is not known, %v after it could be (%+v)", w.now, w.made[w.knows], w.now-since, w.p)
	}
}

func (w *world) step() {
	w.now += tick
	p := &w.p
	switch waits, news := p.open && p.said < 0, w.knows < len(w.made); {
	case waits && w.now >= w.due:
		w.comesOf()
	case p.open && p.silent < 0 && p.begun >= 0:
		if w.now >= w.whole {
			w.ends()
		} else if w.now-p.said >= s {
			w.c.Heard(w.now) // one more byte
			p.said = w.now
		}
	case p.open && p.silent < 0 && news && p.Way == Watched && w.rng(3, "parts") == 0:
		w.begins()
	case p.open && p.silent < 0 && (news || w.now-p.said >= 2*s):
		w.says(news)
	}
	w.informed()
	if ask, ok := w.c.Ask(); ok && w.now >= ask {
		w.call()
	} else if w.now > p.limit()+tick {
		w.t.Fatalf("at %v no call, and one was due at %v (%+v)", w.now, p.limit(), w.p)
	}
}

// comesOf has a call come to what is its fate.
func (w *world) comesOf() {
	switch w.fate {
	case answered:
		if w.says(true); w.p.Way == Asked {
			w.end(false)
		}
	case refused:
		w.end(true)
	case head, reset:
		w.c.Heard(w.now)
		if w.fate == reset {
			w.end(true)
		}
		w.fate = mute
	}
}

// Whatever falls silent, goes down, comes back or moves, and whenever: a call is out by the moment at which the page
// has something missed count, none is made beside a watch that tells, each change is known 6 s after it could be, and in
// the end all is known.
func TestSilencesOutagesAndMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := func(most int, what string) int { return rapid.IntRange(0, most).Draw(t, what) }
		terms := Terms{
			Way: Way(rng(2, "way")), Within: time.Duration(4000+rng(8000, "within")) * ms, Grace: time.Duration(250+rng(1250, "grace")) * ms,
			Spread: time.Duration(rng(2, "spread")) * 3 * s,
		}
		w := &world{t: t, rng: rng, c: New(terms, 0), p: page{Terms: terms, silent: -1, moved: -1, back: -1, down: -1, said: -1, begun: -1}}
		if terms.Way != Pushed {
			w.call() // an agent is asked without a word
		}
		for range 12 {
			for range rng(500, "pause") {
				w.step()
			}
			switch p := &w.p; rng(7, "event") {
			case 0:
				w.made = append(w.made, w.now)
			case 1, 2: // what is open falls silent
				if p.open && p.silent < 0 {
					p.silent = w.now
					w.behind()
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
					p.down, p.back, p.up = -1, w.now, w.now
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
							if w.c.Heard(w.now); p.begun < 0 {
								w.c.Beat(w.now)
							}
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
		w.made = append(w.made, w.now)
		if w.p.down >= 0 {
			w.p.down, w.p.back, w.p.up = -1, w.now, w.now
		}
		w.rng = func(int, string) int { return 1 } // all goes well from here on
		for range int(4*terms.Within/tick) + 800 {
			w.step()
		}
		if w.knows != len(w.made) {
			t.Fatalf("%d of %d changes are known", w.knows, len(w.made))
		}
	})
}
