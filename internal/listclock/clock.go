// Package listclock is the clock by which a dispatcher asks for the list of instances: when it was last told, by when
// it must ask, and from when on it may no longer send to an instance. It does no I/O and reads no clock: it is driven by
// what happened and when, as time since the process began.
//
// The operators' page has one clock for lists that are pushed, watched and asked for, and so has this package. What is
// missed counts as told after a while, whether it arrived or not, so each state has a moment by which a new call must be
// out, [Clock.Due]:
//
//	pushed, nothing open     at once: what the agent has counts as told
//	pushed, a call is open   at once too: an agent answers at once, or is down and learns nothing
//	a watch is open          6 s after all was last known: it may have fallen silent right then, or its list never get whole
//	a call is open           6 s after it was made, or 2 s after the time that it may wait, if that is later
//	asked, nothing open      6 s after all was last known, or the last call was made; the settings' time, if that is less
//	the list has moved       4 s after that
//
// All is known up to the last empty line of a watch, or the first byte of its last whole list. Bytes alone are signs of life, not news. A call that is
// refused, breaks off or is given up tells nothing, but that discovery could not be reached when it was made: the next
// counts from there, not from its end, and no call is given more time than another.
//
// [Clock.Ask] is when to ask: so long before that moment that the answer comes in time, no sooner than silence is
// certain, and in between at this dispatcher's share of the fleet's spread, since one service answers all of them.
package listclock

import "time"

// What the page says, and how far from its edges we stay.
const (
	beat     = 2 * time.Second // between empty lines of a quiet watch
	silence  = 6 * time.Second // from when all was known, or a call that told nothing, until what is missed counts
	afterMay = 2 * time.Second // from the end of the time that a call may wait until what it misses counts
	moved    = 4 * time.Second // from SIGHUP until what the new address tells counts

	quiet   = beat * 3 / 2    // a watch that says nothing for so long has fallen silent
	answer  = time.Second     // that a call's answer may take
	patient = time.Second     // the longest that an agent's answer is waited for
	prompt  = time.Second / 8 // the shortest: a process that is stopped for less must not miss it
)

// Way is how lists come.
type Way int

// The ways.
const (
	Pushed  Way = iota // to an agent on this machine: a watch there costs nobody anything
	Watched            // by a watch at the one service of all dispatchers
	Asked              // from that service by one call a list
)

// Terms are what the settings say. Times below zero count as zero.
type Terms struct {
	Way    Way
	Within time.Duration // a list is good for so long after the last call, where nothing is open, and never for over 6 s
	Grace  time.Duration // sends to an instance may go on for so long after its drain was told
	Spread time.Duration // of the calls that all dispatchers make for one cause; not of calls to an agent
}

// Clock is not safe for more than one goroutine. Times are since the process began and must not go back; one that does
// counts as the latest seen.
type Clock struct {
	terms Terms
	state state
	rests bool // nothing is to be asked for
	now   time.Duration
	share float64 // in [0, 1): this dispatcher's place in the fleet's spread

	told  time.Duration // when a list was last whole; below 0: never
	known time.Duration // all is known up to here, or a call was made here; the start at first
	base  time.Duration // of the last call, the last sign of life on it, or the start
	open  time.Duration // when the last call was made; below 0: there was none
	may   time.Duration // that this call may wait
	begun time.Duration // since when part of a list is there; below 0: none is
	moved time.Duration // of a move since which no call was made; below 0: there is none
	mute  time.Duration // when the watch that is open had last spoken before it fell silent; below 0: it never has
}

type state int

const (
	idle state = iota
	calling
	watching
)

// New returns the clock of a process that begins now, with a list of an earlier one at most. A service is not asked
// before the first [Clock.Called]: when to begin is for others to say. An agent is asked at once.
func New(t Terms, now time.Duration) *Clock {
	c := &Clock{now: now, known: now, base: now, told: -1, open: -1, begun: -1, moved: -1, mute: -1}
	c.Retune(t)
	c.rests = t.Way != Pushed
	return c
}

// Retune has other terms count from now on.
func (c *Clock) Retune(t Terms) {
	t.Within, t.Grace, t.Spread = max(0, t.Within), max(0, t.Grace), max(0, t.Spread)
	c.terms = t
}

func (c *Clock) at(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return c.now
}

// Called says that a call is made on a new connection, in place of what was open. may is how long the call may wait for
// news by its own terms, 0: it is to be answered at once. share, in [0, 1), is a draw.
func (c *Clock) Called(now, may time.Duration, share float64) {
	now = c.at(now)
	c.state, c.open, c.may, c.share = calling, now, max(0, may), min(max(share, 0), 1)
	c.base, c.known = now, now
	c.begun, c.moved, c.mute, c.rests = -1, -1, -1, false
}

// Heard says that something came on what is open, be it an empty line or a part of one. A watch that has been silent
// stays broken: nobody knows what it has missed.
func (c *Clock) Heard(now time.Duration) {
	if now = c.at(now); c.state == idle {
		return
	}
	if c.state == watching && c.mute < 0 && now >= c.base+quiet {
		c.mute = c.base
	}
	if c.base = now; c.terms.Way != Asked {
		c.state = watching
	}
}

// Begun says that the first of a list has come, and not all of it.
func (c *Clock) Begun(now time.Duration) {
	if now = c.at(now); c.state != idle && c.begun < 0 {
		c.begun = now
	}
}

// Beat says that an empty line has come: nothing has changed up to now. One that comes sooner than the first of a watch
// may, before any list, is no news: there may be changes behind it.
func (c *Clock) Beat(now time.Duration) {
	if now = c.at(now); c.told >= c.open || now >= c.open+beat/2 {
		c.knows(now)
	}
}

// Told says that a whole list, or a change of it, has been read. What has changed since it began is in none of it.
func (c *Clock) Told(now time.Duration) {
	if c.told = c.at(now); c.begun >= 0 {
		now = c.begun
	}
	c.knows(now)
	c.begun = -1
}

// PassedOver says that the list that has begun is none that counts: it is older than one before it.
func (c *Clock) PassedOver(now time.Duration) {
	c.at(now)
	c.begun = -1
}

// knows takes that all is known up to a moment: what is open has not missed anything.
func (c *Clock) knows(upTo time.Duration) {
	if c.state == watching && c.mute < 0 {
		c.known = max(c.known, upTo)
	}
}

// Ended says that what was open is over: it was refused or broke off, or the call was answered. Silence does not end a
// watch or a call: the next call does.
func (c *Clock) Ended(now time.Duration) {
	c.at(now)
	c.state, c.begun, c.mute = idle, -1, -1
	if c.terms.Way == Pushed {
		c.base = c.now // when to try again counts from here
	}
}

// Moved says that the list is at another address from now on.
func (c *Clock) Moved(now time.Duration) { c.moved = c.at(now) }

// Rest says that nothing is to be asked for until the next Called: others tell of the list.
func (c *Clock) Rest(now time.Duration) {
	c.at(now)
	c.state, c.begun, c.moved, c.mute, c.rests = idle, -1, -1, -1, true
}

// Moving tells whether the list has moved since the last call.
func (c *Clock) Moving() bool { return c.moved >= 0 }

// Open tells whether a call or a watch is on, silent or not.
func (c *Clock) Open() bool { return c.state != idle }

// Last is when a list was last told; false: never.
func (c *Clock) Last() (time.Duration, bool) { return c.told, c.told >= 0 }

// Due is when the first that may have been missed may count as told: by then a new call must be out. It may be over.
func (c *Clock) Due() time.Duration {
	due := c.due()
	if c.moved >= 0 {
		due = min(due, c.moved+moved)
	}
	return due
}

func (c *Clock) due() time.Duration {
	switch {
	case c.state == watching:
		return c.known + silence
	case c.terms.Way == Pushed:
		return c.base
	case c.state == calling:
		return max(c.base+silence, c.open+c.may+afterMay)
	}
	return c.known + min(silence, c.terms.Within)
}

// Ask is when to make the next call, on a new connection; false: not before others say so. It is before [Clock.Due],
// unless that is over from the start.
func (c *Clock) Ask() (time.Duration, bool) {
	ask := c.ask()
	if c.mute >= 0 {
		ask = min(ask, c.reopen(c.mute, c.mute+silence))
	}
	if c.moved >= 0 {
		ask = min(ask, c.moved+c.part(moved-answer))
	}
	return ask, !c.rests
}

func (c *Clock) ask() time.Duration {
	switch agent := c.terms.Way == Pushed; {
	case c.state == watching:
		return c.reopen(c.base, c.due())
	case c.state == calling && agent:
		return c.open + min(max(c.terms.Grace/2, prompt), patient)
	case c.state == calling:
		return c.reopen(max(c.base, c.open+c.may+afterMay-answer-quiet), c.due())
	case agent && c.open < 0: // at the process's first moment
		return c.base
	case agent:
		return c.base + max(c.terms.Grace/4, prompt)
	}
	return c.again()
}

// again is when to call where nothing is open. Whoever decides on turns asks sooner: this is the last moment.
func (c *Clock) again() time.Duration {
	early := min(answer, c.terms.Within/8)
	last := min(c.terms.Within-early, silence-answer)
	return max(c.known+last-time.Duration(c.share*float64(early)), c.open+prompt)
}

// reopen is when to call in place of what last spoke then, and is due to have told.
func (c *Clock) reopen(spoke, due time.Duration) time.Duration {
	certain, last := spoke+quiet, due-answer
	return min(last, certain+c.part(last-certain))
}

// part is this dispatcher's place in the fleet's spread, within a time.
func (c *Clock) part(within time.Duration) time.Duration {
	if c.terms.Way == Pushed {
		return 0
	}
	return time.Duration(c.share * float64(max(0, min(c.terms.Spread, within))))
}

// Barred is from when on nothing more may be sent to an instance: a grace after its drain or end was told, at told;
// below 0, where none was told, a grace after one may count as told that was missed.
func (c *Clock) Barred(told time.Duration) time.Duration {
	if told < 0 {
		told = c.Due()
	}
	return told + c.terms.Grace
}
