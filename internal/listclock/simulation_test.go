package listclock

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 10 * ms

// spec is the rules of the operators' manual in their simplest form: what is open, since when the connection
// is really silent, which no dispatcher can know, and the time by which another call must have been made.
type spec struct {
	Settings
	open                             bool
	silentSince                      time.Duration // since when the open call or watch is silent; negative: it is not
	calledAt, lastReceived           time.Duration // the last call, the last data on what it opened
	knownUpTo                        time.Duration // earlier changes were received on the last call or watch, or it was opened here
	listStartedAt                    time.Duration // since when a part of a list is there; negative: none
	failed                           bool
	addressChangedAt, backAt, downAt time.Duration // negative: the address has not changed, discovery has not recovered, is not down
	lastBackAt                       time.Duration // when discovery last recovered
	endedAt                          time.Duration
}

const forever = time.Duration(math.MaxInt64 / 2)

func (p *spec) deadline() time.Duration {
	deadline := forever
	switch {
	case p.open && p.silentSince >= 0 && p.lastReceived < 0 && p.Mode == Pushed: // a call to an agent
		deadline = p.calledAt + p.DrainGrace
	case p.open && p.silentSince >= 0:
		deadline = p.silentSince + 6*s
	case !p.open && p.Mode == Pushed:
		deadline = p.endedAt + p.DrainGrace
	case !p.open && p.failed:
		deadline = max(p.endedAt, min(p.calledAt+4*p.MaxAge, p.knownUpTo+6*s))
	case !p.open:
		deadline = max(p.endedAt, min(max(p.calledAt, p.lastReceived)+p.MaxAge, p.knownUpTo+6*s))
	}
	if p.open && p.Mode != Pushed {
		deadline = min(deadline, p.knownUpTo+6*s)
	}
	if p.addressChangedAt >= 0 {
		deadline = min(deadline, p.addressChangedAt+4*s)
	}
	if p.Mode == Pushed && p.downAt >= 0 {
		return forever // the agent learns nothing
	}
	if p.backAt >= 0 { // no grace ran during the outage; a new one starts at the recovery
		grace := min(p.MaxAge, 6*s)
		if p.Mode == Pushed {
			grace = p.DrainGrace
		}
		deadline = max(deadline, p.backAt+grace)
	}
	return deadline
}

// simulation is a discovery service, the connection to it, and a dispatcher that follows only the clock.
type simulation struct {
	t               *rapid.T
	draw            func(limit int, label string) int
	clock           *Clock
	now             time.Duration
	spec            spec
	changes         []time.Duration // when each change was made
	knownChanges    int             // how many of them the dispatcher has received
	incomingChanges int             // how many are in the list that is being received
	listCompleteAt  time.Duration   // when that list is complete
	lastEmptyCall   time.Duration   // the last call on which nothing was received
	answerAt        time.Duration
	outcome         outcome // of the call that waits for its answer
	calls           int
}

type outcome int

const (
	answered outcome = iota
	refused
	silent         // nothing is received
	headOnly       // the response header and nothing else
	resetAfterHead // the connection breaks after the response header
)

func (sim *simulation) call() {
	if late := sim.now - sim.spec.deadline(); late > tick {
		sim.t.Fatalf("at %v a call was made %v after its deadline (%+v)", sim.now, late, sim.spec)
	}
	slow := sim.now-sim.spec.knownUpTo >= 5*s // a list that is not completed, or took this long
	if sim.spec.open && sim.spec.silentSince < 0 && sim.spec.addressChangedAt < 0 && !slow {
		sim.t.Fatalf("at %v a call was made although an open watch works (%+v)", sim.now, sim.spec)
	}
	if sim.spec.open && sim.spec.addressChangedAt < 0 && !slow && sim.spec.Mode != Pushed && sim.now-max(sim.spec.calledAt, sim.spec.lastReceived) < 3*s {
		sim.t.Fatalf("at %v a call was made before silence was certain (%+v)", sim.now, sim.spec)
	}
	sim.calls++
	sim.noteEmptyCall()
	sim.clock.CallStarted(sim.now, 0, float64(sim.draw(3, "share"))/3.001)
	sim.spec.open, sim.spec.silentSince, sim.spec.calledAt, sim.spec.lastReceived, sim.spec.failed, sim.spec.addressChangedAt = true, sim.now, sim.now, -1, false, -1
	sim.spec.knownUpTo, sim.spec.listStartedAt = sim.now, -1
	if sim.spec.downAt < 0 && sim.spec.backAt >= 0 && sim.now > sim.spec.backAt+tick {
		sim.spec.backAt = -1
	}
	sim.outcome, sim.answerAt = answered, sim.now+time.Duration(1+sim.draw(90, "answered"))*tick
	if sim.spec.Mode == Pushed {
		sim.answerAt = sim.now + tick
	}
	switch agent := sim.spec.Mode == Pushed; {
	case sim.spec.downAt >= 0 && agent:
		sim.outcome = silent
	case sim.spec.downAt >= 0:
		sim.outcome = refused + outcome(sim.draw(1, "down"))
	case sim.draw(9, "outcome") == 0 && agent:
		sim.outcome = refused + outcome(sim.draw(1, "fault"))
	case sim.spec.Mode == Watched && sim.draw(9, "outcome") == 0:
		sim.outcome = refused + outcome(sim.draw(3, "fault"))
	case sim.draw(9, "outcome") == 0:
		sim.outcome = refused + outcome(sim.draw(1, "fault"))
	}
}

// noteEmptyCall records a finished call on which nothing was received.
func (sim *simulation) noteEmptyCall() {
	if sim.spec.open && sim.spec.knownUpTo == sim.spec.calledAt {
		sim.lastEmptyCall = sim.spec.calledAt
	}
}

func (sim *simulation) endCall(failed bool) {
	sim.noteEmptyCall()
	sim.clock.CallEnded(sim.now)
	sim.spec.open, sim.spec.failed, sim.spec.endedAt, sim.spec.silentSince, sim.spec.listStartedAt = false, failed, sim.now, -1, -1
	sim.maybeChange()
}

// maybeChange makes a change, or not, right after the current event.
func (sim *simulation) maybeChange() {
	if sim.draw(1, "change") == 0 {
		sim.changes = append(sim.changes, sim.now)
	}
}

// receive delivers a complete list, or an empty line.
func (sim *simulation) receive(list bool) {
	sim.clock.DataReceived(sim.now)
	sim.spec.lastReceived, sim.spec.silentSince = sim.now, -1
	if list {
		sim.clock.ListStarted(sim.now)
		sim.clock.ListReceived(sim.now)
		sim.knownChanges = len(sim.changes)
	} else {
		sim.clock.Heartbeat(sim.now)
	}
	if sim.spec.Mode != Polled {
		sim.spec.knownUpTo = sim.now
	}
}

// startList delivers the first part of a list.
func (sim *simulation) startList() {
	sim.clock.DataReceived(sim.now)
	sim.clock.ListStarted(sim.now)
	sim.spec.lastReceived, sim.spec.listStartedAt, sim.incomingChanges = sim.now, sim.now, len(sim.changes)
	sim.listCompleteAt = sim.now + time.Duration(sim.draw(70, "complete"))*10*tick
}

// finishList delivers the rest of the list.
func (sim *simulation) finishList() {
	sim.clock.DataReceived(sim.now)
	sim.clock.ListReceived(sim.now)
	sim.knownChanges, sim.spec.lastReceived, sim.spec.knownUpTo, sim.spec.listStartedAt = sim.incomingChanges, sim.now, sim.spec.listStartedAt, -1
}

// checkInformed fails if a change is not known 6 s after it was made while discovery was reachable, after
// discovery recovered, or after the last call on which nothing was received.
func (sim *simulation) checkInformed() {
	if sim.knownChanges == len(sim.changes) || sim.spec.downAt >= 0 {
		return
	}
	since := max(sim.changes[sim.knownChanges], sim.spec.lastBackAt, sim.lastEmptyCall)
	if sim.spec.open && sim.outcome != answered {
		since = max(since, sim.spec.calledAt)
	}
	if sim.now > since+6*s+tick {
		sim.t.Fatalf("at %v the change made at %v is not known, %v after it could have been (%+v)", sim.now, sim.changes[sim.knownChanges], sim.now-since, sim.spec)
	}
}

func (sim *simulation) step() {
	sim.now += tick
	p := &sim.spec
	switch waiting, pending := p.open && p.lastReceived < 0, sim.knownChanges < len(sim.changes); {
	case waiting && sim.now >= sim.answerAt:
		sim.resolveCall()
	case p.open && p.silentSince < 0 && p.listStartedAt >= 0:
		if sim.now >= sim.listCompleteAt {
			sim.finishList()
		} else if sim.now-p.lastReceived >= s {
			sim.clock.DataReceived(sim.now) // another byte
			p.lastReceived = sim.now
		}
	case p.open && p.silentSince < 0 && pending && p.Mode == Watched && sim.draw(3, "parts") == 0:
		sim.startList()
	case p.open && p.silentSince < 0 && (pending || sim.now-p.lastReceived >= 2*s):
		sim.receive(pending)
	}
	sim.checkInformed()
	if next, ok := sim.clock.NextCall(); ok && sim.now >= next {
		sim.call()
	} else if sim.now > p.deadline()+tick {
		sim.t.Fatalf("at %v no call has been made, though its deadline was %v (%+v)", sim.now, p.deadline(), sim.spec)
	}
}

// resolveCall delivers the outcome of the call.
func (sim *simulation) resolveCall() {
	switch sim.outcome {
	case answered:
		if sim.receive(true); sim.spec.Mode == Polled {
			sim.endCall(false)
		}
	case refused:
		sim.endCall(true)
	case headOnly, resetAfterHead:
		sim.clock.DataReceived(sim.now)
		if sim.outcome == resetAfterHead {
			sim.endCall(true)
		}
		sim.outcome = silent
	}
}

// Checks for any sequence of silent connections, outages, recoveries and address changes that a call is made by the
// time at which a missed change counts as received by the manual, that none is made while an open watch works, that
// each change is known at most 6 s after it could have been received, and that all are known in the end.
func TestSilenceOutagesAndAddressChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(limit int, label string) int { return rapid.IntRange(0, limit).Draw(t, label) }
		settings := Settings{
			Mode: Mode(draw(2, "way")), MaxAge: time.Duration(4000+draw(8000, "within")) * ms, DrainGrace: time.Duration(250+draw(1250, "grace")) * ms,
			Spread: time.Duration(draw(2, "spread")) * 3 * s,
		}
		sim := &simulation{t: t, draw: draw, clock: New(settings, 0), spec: spec{Settings: settings, silentSince: -1, addressChangedAt: -1, backAt: -1, downAt: -1, lastReceived: -1, listStartedAt: -1}}
		if settings.Mode != Pushed {
			sim.call() // the clock alone decides on the first call to an agent
		}
		for range 12 {
			for range draw(500, "pause") {
				sim.step()
			}
			switch p := &sim.spec; draw(7, "event") {
			case 0: // a change of the list
				sim.changes = append(sim.changes, sim.now)
			case 1, 2: // the open call or watch falls silent
				if p.open && p.silentSince < 0 {
					p.silentSince = sim.now
					sim.maybeChange()
				}
			case 3: // discovery goes down
				if p.downAt < 0 {
					if p.downAt = sim.now; p.open && p.silentSince < 0 {
						if settings.Mode == Pushed {
							p.silentSince = sim.now
						} else {
							sim.endCall(false)
						}
					}
				}
			case 4: // discovery recovers
				if p.downAt >= 0 {
					p.downAt, p.backAt, p.lastBackAt = -1, sim.now, sim.now
				}
			case 5: // the address changes
				sim.clock.AddressChanged(sim.now)
				p.addressChangedAt = sim.now
			case 7: // a watch falls silent and sends again; what it missed is unknown
				if p.open && p.lastReceived >= 0 {
					if p.silentSince < 0 {
						p.silentSince = sim.now
					}
					for calls := sim.calls; calls == sim.calls && p.silentSince >= 0; sim.step() {
						if sim.now-p.lastReceived >= 3*s {
							if sim.clock.DataReceived(sim.now); p.listStartedAt < 0 {
								sim.clock.Heartbeat(sim.now)
							}
							break
						}
					}
				}
			case 6: // the caller makes a call before NextCall asks for it
				if !p.open {
					sim.call()
				}
			}
		}
		sim.changes = append(sim.changes, sim.now)
		if sim.spec.downAt >= 0 {
			sim.spec.downAt, sim.spec.backAt, sim.spec.lastBackAt = -1, sim.now, sim.now
		}
		sim.draw = func(int, string) int { return 1 } // no faults from here on
		for range int(4*settings.MaxAge/tick) + 800 {
			sim.step()
		}
		if sim.knownChanges != len(sim.changes) {
			t.Fatalf("%d of %d changes are known", sim.knownChanges, len(sim.changes))
		}
	})
}
