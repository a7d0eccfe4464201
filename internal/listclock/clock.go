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
	heartbeatInterval     = 2 * time.Second // between empty lines of a quiet watch
	silenceTimeout  = 6 * time.Second // from when all was known, or a call that told nothing, until what is missed counts
	waitMargin = 2 * time.Second // from the end of the time that a call may wait until what it misses counts
	moveTimeout    = 4 * time.Second // from SIGHUP until what the new address tells counts

	silentAfter   = heartbeatInterval * 3 / 2    // a watch that says nothing for so long has fallen silent
	answerTime  = time.Second     // that a call's answer may take
	maxAgentWait = time.Second     // the longest that an agent's answer is waited for
	minWait  = time.Second / 8 // the shortest: a process that is stopped for less must not miss it
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
	settings Terms
	state connState
	paused bool // nothing is to be asked for
	now   time.Duration
	share float64 // in [0, 1): this dispatcher's place in the fleet's spread

	lastList  time.Duration // when a list was last whole; below 0: never
	knownUpTo time.Duration // all is known up to here, or a call was made here; the start at first
	lastActivity  time.Duration // of the last call, the last sign of life on it, or the start
	calledAt  time.Duration // when the last call was made; below 0: there was none
	maxWait   time.Duration // that this call may wait
	listStartedAt time.Duration // since when part of a list is there; below 0: none is
	movedAt time.Duration // of a move since which no call was made; below 0: there is none
	silentSince  time.Duration // when the watch that is open had last spoken before it fell silent; below 0: it never has
}

type connState int

const (
	idle connState = iota
	calling
	watching
)

// New returns the clock of a process that begins now, with a list of an earlier one at most. A service is not asked
// before the first [Clock.Called]: when to begin is for others to say. An agent is asked at once.
func New(t Terms, now time.Duration) *Clock {
	c := &Clock{now: now, knownUpTo: now, lastActivity: now, lastList: -1, calledAt: -1, listStartedAt: -1, movedAt: -1, silentSince: -1}
	c.Retune(t)
	c.paused = t.Way != Pushed
	return c
}

// Retune has other terms count from now on.
func (c *Clock) Retune(t Terms) {
	t.Within, t.Grace, t.Spread = max(0, t.Within), max(0, t.Grace), max(0, t.Spread)
	c.settings = t
}

func (c *Clock) advance(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return c.now
}

// Called says that a call is made on a new connection, in place of what was open. may is how long the call may wait for
// news by its own terms, 0: it is to be answered at once. share, in [0, 1), is a draw.
func (c *Clock) Called(now, may time.Duration, share float64) {
	now = c.advance(now)
	c.state, c.calledAt, c.maxWait, c.share = calling, now, max(0, may), min(max(share, 0), 1)
	c.lastActivity, c.knownUpTo = now, now
	c.listStartedAt, c.movedAt, c.silentSince, c.paused = -1, -1, -1, false
}

// Heard says that something came on what is open, be it an empty line or a part of one. A watch that has been silent
// stays broken: nobody knows what it has missed.
func (c *Clock) Heard(now time.Duration) {
	if now = c.advance(now); c.state == idle {
		return
	}
	if c.state == watching && c.silentSince < 0 && now >= c.lastActivity+silentAfter {
		c.silentSince = c.lastActivity
	}
	if c.lastActivity = now; c.settings.Way != Asked {
		c.state = watching
	}
}

// Begun says that the first of a list has come, and not all of it.
func (c *Clock) Begun(now time.Duration) {
	if now = c.advance(now); c.state != idle && c.listStartedAt < 0 {
		c.listStartedAt = now
	}
}

// Beat says that an empty line has come: nothing has changed up to now. One that comes sooner than the first of a watch
// may, before any list, is no news: there may be changes behind it.
func (c *Clock) Beat(now time.Duration) {
	if now = c.advance(now); c.lastList >= c.calledAt || now >= c.calledAt+heartbeatInterval/2 {
		c.markKnown(now)
	}
}

// Told says that a whole list, or a change of it, has been read. What has changed since it began is in none of it.
func (c *Clock) Told(now time.Duration) {
	if c.lastList = c.advance(now); c.listStartedAt >= 0 {
		now = c.listStartedAt
	}
	c.markKnown(now)
	c.listStartedAt = -1
}

// PassedOver says that the list that has begun is none that counts: it is older than one before it.
func (c *Clock) PassedOver(now time.Duration) {
	c.advance(now)
	c.listStartedAt = -1
}

// knownChanges takes that all is known up to a moment: what is open has not missed anything.
func (c *Clock) markKnown(upTo time.Duration) {
	if c.state == watching && c.silentSince < 0 {
		c.knownUpTo = max(c.knownUpTo, upTo)
	}
}

// Ended says that what was open is over: it was refused or broke off, or the call was answered. Silence does not end a
// watch or a call: the next call does.
func (c *Clock) Ended(now time.Duration) {
	c.advance(now)
	c.state, c.listStartedAt, c.silentSince = idle, -1, -1
	if c.settings.Way == Pushed {
		c.lastActivity = c.now // when to try again counts from here
	}
}

// Moved says that the list is at another address from now on.
func (c *Clock) Moved(now time.Duration) { c.movedAt = c.advance(now) }

// Rest says that nothing is to be asked for until the next Called: others tell of the list.
func (c *Clock) Rest(now time.Duration) {
	c.advance(now)
	c.state, c.listStartedAt, c.movedAt, c.silentSince, c.paused = idle, -1, -1, -1, true
}

// Moving tells whether the list has moved since the last call.
func (c *Clock) Moving() bool { return c.movedAt >= 0 }

// Open tells whether a call or a watch is on, silent or not.
func (c *Clock) Open() bool { return c.state != idle }

// Last is when a list was last told; false: never.
func (c *Clock) Last() (time.Duration, bool) { return c.lastList, c.lastList >= 0 }

// Due is when the first that may have been missed may count as told: by then a new call must be out. It may be over.
func (c *Clock) Due() time.Duration {
	due := c.deadline()
	if c.movedAt >= 0 {
		due = min(due, c.movedAt+moveTimeout)
	}
	return due
}

func (c *Clock) deadline() time.Duration {
	switch {
	case c.state == watching:
		return c.knownUpTo + silenceTimeout
	case c.settings.Way == Pushed:
		return c.lastActivity
	case c.state == calling:
		return max(c.lastActivity+silenceTimeout, c.calledAt+c.maxWait+waitMargin)
	}
	return c.knownUpTo + min(silenceTimeout, c.settings.Within)
}

// Ask is when to make the next call, on a new connection; false: not before others say so. It is before [Clock.Due],
// unless that is over from the start.
func (c *Clock) Ask() (time.Duration, bool) {
	ask := c.nextCall()
	if c.silentSince >= 0 {
		ask = min(ask, c.reconnectAt(c.silentSince, c.silentSince+silenceTimeout))
	}
	if c.movedAt >= 0 {
		ask = min(ask, c.movedAt+c.spreadDelay(moveTimeout-answerTime))
	}
	return ask, !c.paused
}

func (c *Clock) nextCall() time.Duration {
	switch agent := c.settings.Way == Pushed; {
	case c.state == watching:
		return c.reconnectAt(c.lastActivity, c.deadline())
	case c.state == calling && agent:
		return c.calledAt + min(max(c.settings.Grace/2, minWait), maxAgentWait)
	case c.state == calling:
		return c.reconnectAt(max(c.lastActivity, c.calledAt+c.maxWait+waitMargin-answerTime-silentAfter), c.deadline())
	case agent && c.calledAt < 0: // advance the process's first moment
		return c.lastActivity
	case agent:
		return c.lastActivity + max(c.settings.Grace/4, minWait)
	}
	return c.nextCallWhenIdle()
}

// nextCallWhenIdle is when to call where nothing is open. Whoever decides on turns asks sooner: this is the last moment.
func (c *Clock) nextCallWhenIdle() time.Duration {
	early := min(answerTime, c.settings.Within/8)
	last := min(c.settings.Within-early, silenceTimeout-answerTime)
	return max(c.knownUpTo+last-time.Duration(c.share*float64(early)), c.calledAt+minWait)
}

// reconnectAt is when to call in place of what last spoke then, and is due to have told.
func (c *Clock) reconnectAt(spoke, due time.Duration) time.Duration {
	certain, last := spoke+silentAfter, due-answerTime
	return min(last, certain+c.spreadDelay(last-certain))
}

// spreadDelay is this dispatcher's place in the fleet's spread, within a time.
func (c *Clock) spreadDelay(within time.Duration) time.Duration {
	if c.settings.Way == Pushed {
		return 0
	}
	return time.Duration(c.share * float64(max(0, min(c.settings.Spread, within))))
}

// Barred is from when on nothing more may be sent to an instance: a grace after its drain or end was told, at told;
// below 0, where none was told, a grace after one may count as told that was missed.
func (c *Clock) Barred(told time.Duration) time.Duration {
	if told < 0 {
		told = c.Due()
	}
	return told + c.settings.Grace
}
