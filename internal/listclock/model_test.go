package listclock

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 10 * ms

// spec is the operators' page in the plainest form: what is open, since when it is silent in truth, and the moment by
// which another call must be out. It knows what no dispatcher does.
type spec struct {
	Terms
	open              bool
	silentSince            time.Duration // since when what is open says nothing; below 0: it does
	calledAt, lastReceived      time.Duration // the last call, the last sign of life on what it opened
	knownUpTo             time.Duration // all that changed before was told by what was opened last, or it was called then
	listStartedAt             time.Duration // since when a part of a list is there; below 0: none is
	failed            bool
	movedAt, backAt, downAt time.Duration // below 0: not
	lastBackAt                time.Duration // when discovery was last back
	endedAt             time.Duration
}

const forever = time.Duration(math.MaxInt64 / 2)

func (p *spec) deadline() time.Duration {
	at := forever
	switch {
	case p.open && p.silentSince >= 0 && p.lastReceived < 0 && p.Way == Pushed: // a call at an agent
		at = p.calledAt + p.Grace
	case p.open && p.silentSince >= 0:
		at = p.silentSince + 6*s
	case !p.open && p.Way == Pushed:
		at = p.endedAt + p.Grace
	case !p.open && p.failed:
		at = max(p.endedAt, min(p.calledAt+4*p.Within, p.knownUpTo+6*s))
	case !p.open:
		at = max(p.endedAt, min(max(p.calledAt, p.lastReceived)+p.Within, p.knownUpTo+6*s))
	}
	if p.open && p.Way != Pushed {
		at = min(at, p.knownUpTo+6*s)
	}
	if p.movedAt >= 0 {
		at = min(at, p.movedAt+4*s)
	}
	if p.Way == Pushed && p.downAt >= 0 {
		return forever // it learns nothing
	}
	if p.backAt >= 0 { // what was held against nobody while it was down counts anew
		held := min(p.Within, 6*s)
		if p.Way == Pushed {
			held = p.Grace
		}
		at = max(at, p.backAt+held)
	}
	return at
}

// simulation is a discovery, the way to it, and a dispatcher that goes by the clock alone.
type simulation struct {
	t     *rapid.T
	draw   func(most int, what string) int
	clock     *Clock
	now   time.Duration
	spec     spec
	changes  []time.Duration // when each change was
	knownChanges int             // how many of them the dispatcher has been told
	incomingChanges int             // how many the list will tell of which a part is there
	listCompleteAt time.Duration   // when that is all there
	lastEmptyCall time.Duration   // the last call that told nothing
	answerAt   time.Duration
	outcome  outcome // of the call that waits
	calls int
}

type outcome int

const (
	answered outcome = iota
	refused
	silent  // nothing comes
	headOnly  // and nothing else
	resetAfterHead // right after the head
)

func (w *simulation) call() {
	if late := w.now - w.spec.deadline(); late > tick {
		w.t.Fatalf("at %v a call %v after it was due (%+v)", w.now, late, w.spec)
	}
	slow := w.now-w.spec.knownUpTo >= 5*s // a list that does not get whole, or took so long
	if w.spec.open && w.spec.silentSince < 0 && w.spec.movedAt < 0 && !slow {
		w.t.Fatalf("at %v a call beside a watch that tells (%+v)", w.now, w.spec)
	}
	if w.spec.open && w.spec.movedAt < 0 && !slow && w.spec.Way != Pushed && w.now-max(w.spec.calledAt, w.spec.lastReceived) < 3*s {
		w.t.Fatalf("at %v a call before silence was certain (%+v)", w.now, w.spec)
	}
	w.calls++
	w.noteEmptyCall()
	w.clock.Called(w.now, 0, float64(w.draw(3, "share"))/3.001)
	w.spec.open, w.spec.silentSince, w.spec.calledAt, w.spec.lastReceived, w.spec.failed, w.spec.movedAt = true, w.now, w.now, -1, false, -1
	w.spec.knownUpTo, w.spec.listStartedAt = w.now, -1
	if w.spec.downAt < 0 && w.spec.backAt >= 0 && w.now > w.spec.backAt+tick {
		w.spec.backAt = -1
	}
	w.outcome, w.answerAt = answered, w.now+time.Duration(1+w.draw(90, "answered"))*tick
	if w.spec.Way == Pushed {
		w.answerAt = w.now + tick
	}
	switch agent := w.spec.Way == Pushed; {
	case w.spec.downAt >= 0 && agent:
		w.outcome = silent
	case w.spec.downAt >= 0:
		w.outcome = refused + outcome(w.draw(1, "down"))
	case w.draw(9, "fate") == 0 && agent:
		w.outcome = refused + outcome(w.draw(1, "how"))
	case w.spec.Way == Watched && w.draw(9, "fate") == 0:
		w.outcome = refused + outcome(w.draw(3, "how"))
	case w.draw(9, "fate") == 0:
		w.outcome = refused + outcome(w.draw(1, "how"))
	}
}

// noteEmptyCall notes a call that told nothing, once it is over.
func (w *simulation) noteEmptyCall() {
	if w.spec.open && w.spec.knownUpTo == w.spec.calledAt {
		w.lastEmptyCall = w.spec.calledAt
	}
}

func (w *simulation) endCall(failed bool) {
	w.noteEmptyCall()
	w.clock.Ended(w.now)
	w.spec.open, w.spec.failed, w.spec.endedAt, w.spec.silentSince, w.spec.listStartedAt = false, failed, w.now, -1, -1
	w.maybeChange()
}

// maybeChange has a change follow right behind what happens, or not.
func (w *simulation) maybeChange() {
	if w.draw(1, "behind") == 0 {
		w.changes = append(w.changes, w.now)
	}
}

// receive has a whole list come, or an empty line.
func (w *simulation) receive(news bool) {
	w.clock.Heard(w.now)
	w.spec.lastReceived, w.spec.silentSince = w.now, -1
	if news {
		w.clock.Begun(w.now)
		w.clock.Told(w.now)
		w.knownChanges = len(w.changes)
	} else {
		w.clock.Beat(w.now)
	}
	if w.spec.Way != Asked {
		w.spec.knownUpTo = w.now
	}
}

// startList has a part of a list come.
func (w *simulation) startList() {
	w.clock.Heard(w.now)
	w.clock.Begun(w.now)
	w.spec.lastReceived, w.spec.listStartedAt, w.incomingChanges = w.now, w.now, len(w.changes)
	w.listCompleteAt = w.now + time.Duration(w.draw(70, "whole"))*10*tick
}

// finishList has the rest of it come.
func (w *simulation) finishList() {
	w.clock.Heard(w.now)
	w.clock.Told(w.now)
	w.knownChanges, w.spec.lastReceived, w.spec.knownUpTo, w.spec.listStartedAt = w.incomingChanges, w.now, w.spec.listStartedAt, -1
}

// checkInformed fails where a change is not known 6 s after discovery had it and could be reached, or after the last call that
// told nothing.
func (w *simulation) checkInformed() {
	if w.knownChanges == len(w.changes) || w.spec.downAt >= 0 {
		return
	}
	since := max(w.changes[w.knownChanges], w.spec.lastBackAt, w.lastEmptyCall)
	if w.spec.open && w.outcome != answered {
		since = max(since, w.spec.calledAt)
	}
	if w.now > since+6*s+tick {
		w.t.Fatalf("at %v the change of %v is not known, %v after it could be (%+v)", w.now, w.changes[w.knownChanges], w.now-since, w.spec)
	}
}

func (w *simulation) step() {
	w.now += tick
	p := &w.spec
	switch waits, news := p.open && p.lastReceived < 0, w.knownChanges < len(w.changes); {
	case waits && w.now >= w.answerAt:
		w.resolveCall()
	case p.open && p.silentSince < 0 && p.listStartedAt >= 0:
		if w.now >= w.listCompleteAt {
			w.finishList()
		} else if w.now-p.lastReceived >= s {
			w.clock.Heard(w.now) // one more byte
			p.lastReceived = w.now
		}
	case p.open && p.silentSince < 0 && news && p.Way == Watched && w.draw(3, "parts") == 0:
		w.startList()
	case p.open && p.silentSince < 0 && (news || w.now-p.lastReceived >= 2*s):
		w.receive(news)
	}
	w.checkInformed()
	if ask, ok := w.clock.Ask(); ok && w.now >= ask {
		w.call()
	} else if w.now > p.deadline()+tick {
		w.t.Fatalf("at %v no call, and one was due at %v (%+v)", w.now, p.deadline(), w.spec)
	}
}

// resolveCall has a call come to what is its fate.
func (w *simulation) resolveCall() {
	switch w.outcome {
	case answered:
		if w.receive(true); w.spec.Way == Asked {
			w.endCall(false)
		}
	case refused:
		w.endCall(true)
	case headOnly, resetAfterHead:
		w.clock.Heard(w.now)
		if w.outcome == resetAfterHead {
			w.endCall(true)
		}
		w.outcome = silent
	}
}

// Whatever falls silent, goes down, comes back or moves, and whenever: a call is out by the moment at which the page
// has something missed count, none is made beside a watch that tells, each change is known 6 s after it could be, and in
// the end all is known.
func TestSilenceOutagesAndAddressChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := func(most int, what string) int { return rapid.IntRange(0, most).Draw(t, what) }
		terms := Terms{
			Way: Way(rng(2, "way")), Within: time.Duration(4000+rng(8000, "within")) * ms, Grace: time.Duration(250+rng(1250, "grace")) * ms,
			Spread: time.Duration(rng(2, "spread")) * 3 * s,
		}
		w := &simulation{t: t, draw: rng, clock: New(terms, 0), spec: spec{Terms: terms, silentSince: -1, movedAt: -1, backAt: -1, downAt: -1, lastReceived: -1, listStartedAt: -1}}
		if terms.Way != Pushed {
			w.call() // an agent is asked without a word
		}
		for range 12 {
			for range rng(500, "pause") {
				w.step()
			}
			switch p := &w.spec; rng(7, "event") {
			case 0:
				w.changes = append(w.changes, w.now)
			case 1, 2: // what is open falls silent
				if p.open && p.silentSince < 0 {
					p.silentSince = w.now
					w.maybeChange()
				}
			case 3: // discovery goes down
				if p.downAt < 0 {
					if p.downAt = w.now; p.open && p.silentSince < 0 {
						if terms.Way == Pushed {
							p.silentSince = w.now
						} else {
							w.endCall(false)
						}
					}
				}
			case 4:
				if p.downAt >= 0 {
					p.downAt, p.backAt, p.lastBackAt = -1, w.now, w.now
				}
			case 5:
				w.clock.Moved(w.now)
				p.movedAt = w.now
			case 7: // a watch falls silent and speaks again, and nobody knows what it has missed
				if p.open && p.lastReceived >= 0 {
					if p.silentSince < 0 {
						p.silentSince = w.now
					}
					for calls := w.calls; calls == w.calls && p.silentSince >= 0; w.step() {
						if w.now-p.lastReceived >= 3*s {
							if w.clock.Heard(w.now); p.listStartedAt < 0 {
								w.clock.Beat(w.now)
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
		w.changes = append(w.changes, w.now)
		if w.spec.downAt >= 0 {
			w.spec.downAt, w.spec.backAt, w.spec.lastBackAt = -1, w.now, w.now
		}
		w.draw = func(int, string) int { return 1 } // all goes well from here on
		for range int(4*terms.Within/tick) + 800 {
			w.step()
		}
		if w.knownChanges != len(w.changes) {
			t.Fatalf("%d of %d changes are known", w.knownChanges, len(w.changes))
		}
	})
}
