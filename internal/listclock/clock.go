// Package listclock computes when a dispatcher has to ask discovery for the instance list: when the list was last
// received, by when a new call must have been made, and from when on requests may no longer be sent to an instance. It
// does no I/O and reads no clock: it is driven by events and their times, given as the time since the process
// started.
//
// Lists may be pushed, watched or polled for, and the operators' manual has one set of deadlines for all three. A
// change that the dispatcher has missed counts as received after some time, whether it arrived or not, so each
// state has a time by which a new call must have been made, [Clock.Deadline]:
//
//	pushed, nothing open       at once: what the agent has counts as received
//	pushed, a call is open     at once too: an agent answers at once, or is down and learns nothing
//	a watch is open            6 s after the list was last known in full: the watch may have become silent at that moment, or its list may never be completed
//	a call is open             6 s after it was made, or 2 s after its maximum wait, whichever is later
//	not pushed, nothing open   6 s after the list was last known in full or the last call was made; sooner if the settings say so
//	the address has changed    4 s after the change
//
// The list is known in full up to the last empty line of a watch, or the first byte of its last complete list.
// Other bytes are signs of life only. A call that is refused, breaks off or is abandoned shows only that discovery
// could not be reached when it was made: the next deadline counts from its start, not from its end, and no call is
// given more time than another.
//
// [Clock.NextCall] returns when to make the next call: early enough for the answer to arrive before the deadline, not
// before silence is certain, and between these after a random share of Settings.Spread, since one service answers
// all dispatchers.
package listclock

import "time"

// The first four are the limits in the operators' manual, the others the margins kept from them.
const (
	heartbeatInterval    = 2 * time.Second // between the empty lines of a watch without changes
	silenceTimeout       = 6 * time.Second // from when the list was last known in full, or an unsuccessful call was made, until a missed change counts as received
	waitMargin           = 2 * time.Second // from the end of a call's maximum wait until a change that it misses counts as received
	addressChangeTimeout = 4 * time.Second // from SIGHUP until a change at the new address counts as received

	silentAfter  = heartbeatInterval * 3 / 2 // a watch without output for this long is silent
	answerTime   = time.Second               // allowed for the answer to a call
	maxAgentWait = time.Second               // the longest wait for an agent's answer
	minWait      = time.Second / 8           // the shortest wait: an answer must not be missed because the process was stopped for less
)

// Mode is how lists arrive.
type Mode int

// The ways in which lists arrive.
const (
	Pushed  Mode = iota // by an agent on this machine: a watch there puts no load on others
	Watched             // by a watch at the service that all dispatchers share
	Polled              // from that service, one call per list
)

// Settings are the settings of a [Clock]. Negative times count as zero.
type Settings struct {
	Mode       Mode
	MaxAge     time.Duration // how long a list is valid after the last call if nothing is open; never more than 6 s
	DrainGrace time.Duration // how long requests may be sent to an instance after its drain was received
	Spread     time.Duration // over which all dispatchers spread the calls with one cause; not used for calls to an agent
}

// Clock must not be used by several goroutines at once. Times are since the process started; one that is earlier
// than the latest one seen counts as that.
type Clock struct {
	settings Settings
	state    connState
	paused   bool // no call is to be made
	now      time.Duration
	share    float64 // random share, in [0, 1], of Settings.Spread by which the next call is delayed

	lastList         time.Duration // when a complete list was last received; negative: never
	knownUpTo        time.Duration // the list is known in full up to here, or a call was made here; initially the start
	lastActivity     time.Duration // the last call, the last data received on it, or the start
	calledAt         time.Duration // when the last call was made; negative: no call yet
	maxWait          time.Duration // how long this call may wait for changes
	listStartedAt    time.Duration // when the first part of an incomplete list was received; negative: none
	addressChangedAt time.Duration // when the address changed, if no call was made since; negative: no such change
	silentSince      time.Duration // the last output of the open watch before it became silent; negative: it is not silent
}

type connState int

const (
	idle connState = iota
	calling
	watching
)

// New returns the clock of a process that starts now and has at most the list of an earlier process. A service is
// not called before the first [Clock.CallStarted]: the caller decides when to start. An agent is called at once.
func New(settings Settings, now time.Duration) *Clock {
	c := &Clock{now: now, knownUpTo: now, lastActivity: now, lastList: -1, calledAt: -1, listStartedAt: -1, addressChangedAt: -1, silentSince: -1}
	c.UpdateSettings(settings)
	c.paused = settings.Mode != Pushed
	return c
}

// UpdateSettings replaces the settings.
func (c *Clock) UpdateSettings(settings Settings) {
	settings.MaxAge, settings.DrainGrace, settings.Spread = max(0, settings.MaxAge), max(0, settings.DrainGrace), max(0, settings.Spread)
	c.settings = settings
}

func (c *Clock) advance(now time.Duration) time.Duration {
	c.now = max(c.now, now)
	return c.now
}

// CallStarted reports that a call is made on a new connection, which replaces what was open. maxWait is how long the call
// may wait for changes; 0: it is answered at once. share, in [0, 1), is random and determines the
// delay of the next call.
func (c *Clock) CallStarted(now, maxWait time.Duration, share float64) {
	now = c.advance(now)
	c.state, c.calledAt, c.maxWait, c.share = calling, now, max(0, maxWait), min(max(share, 0), 1)
	c.lastActivity, c.knownUpTo = now, now
	c.listStartedAt, c.addressChangedAt, c.silentSince, c.paused = -1, -1, -1, false
}

// DataReceived reports that any data arrived on the open call or watch. A watch that has
// been silent stays broken, because the changes that it missed are unknown.
func (c *Clock) DataReceived(now time.Duration) {
	if now = c.advance(now); c.state == idle {
		return
	}
	if c.state == watching && c.silentSince < 0 && now >= c.lastActivity+silentAfter {
		c.silentSince = c.lastActivity
	}
	if c.lastActivity = now; c.settings.Mode != Polled {
		c.state = watching
	}
}

// ListStarted reports that the first part of a list has arrived, but not all of it.
func (c *Clock) ListStarted(now time.Duration) {
	if now = c.advance(now); c.state != idle && c.listStartedAt < 0 {
		c.listStartedAt = now
	}
}

// Heartbeat reports an empty line: nothing has changed up to now. An empty line that precedes any list and comes sooner
// than the first one of a watch may come does not count: changes may follow it.
func (c *Clock) Heartbeat(now time.Duration) {
	if now = c.advance(now); c.lastList >= c.calledAt || now >= c.calledAt+heartbeatInterval/2 {
		c.markKnown(now)
	}
}

// ListReceived reports that a complete list, or a change of it, has been read. It does not contain changes made after it
// began.
func (c *Clock) ListReceived(now time.Duration) {
	if c.lastList = c.advance(now); c.listStartedAt >= 0 {
		now = c.listStartedAt
	}
	c.markKnown(now)
	c.listStartedAt = -1
}

// ListIgnored reports that the list that has begun is ignored because it is older than an earlier one.
func (c *Clock) ListIgnored(now time.Duration) {
	c.advance(now)
	c.listStartedAt = -1
}

// markKnown records that the list is known in full up to a time, unless the open watch has missed anything.
func (c *Clock) markKnown(upTo time.Duration) {
	if c.state == watching && c.silentSince < 0 {
		c.knownUpTo = max(c.knownUpTo, upTo)
	}
}

// CallEnded reports that the call or watch is over: it was refused or broke off, or the call was answered. A silent
// watch or call is not ended by this but by the next call.
func (c *Clock) CallEnded(now time.Duration) {
	c.advance(now)
	c.state, c.listStartedAt, c.silentSince = idle, -1, -1
	if c.settings.Mode == Pushed {
		c.lastActivity = c.now // the next attempt counts from here
	}
}

// AddressChanged reports that the list has a new address from now on.
func (c *Clock) AddressChanged(now time.Duration) { c.addressChangedAt = c.advance(now) }

// Pause stops all calls until the next [Clock.CallStarted]: the list arrives from other dispatchers.
func (c *Clock) Pause(now time.Duration) {
	c.advance(now)
	c.state, c.listStartedAt, c.addressChangedAt, c.silentSince, c.paused = idle, -1, -1, -1, true
}

// AddressChangePending reports whether the address has changed since the last call.
func (c *Clock) AddressChangePending() bool { return c.addressChangedAt >= 0 }

// Open reports whether a call or a watch is open, silent or not.
func (c *Clock) Open() bool { return c.state != idle }

// LastList returns when a list was last received; false: never.
func (c *Clock) LastList() (time.Duration, bool) { return c.lastList, c.lastList >= 0 }

// Deadline returns when the first change that may have been missed counts as received: a new call must have been
// made by then. It may be in the past.
func (c *Clock) Deadline() time.Duration {
	deadline := c.deadline()
	if c.addressChangedAt >= 0 {
		deadline = min(deadline, c.addressChangedAt+addressChangeTimeout)
	}
	return deadline
}

// deadline is Deadline without a change of the address.
func (c *Clock) deadline() time.Duration {
	switch {
	case c.state == watching:
		return c.knownUpTo + silenceTimeout
	case c.settings.Mode == Pushed:
		return c.lastActivity
	case c.state == calling:
		return max(c.lastActivity+silenceTimeout, c.calledAt+c.maxWait+waitMargin)
	}
	return c.knownUpTo + min(silenceTimeout, c.settings.MaxAge)
}

// NextCall returns when to make the next call, on a new connection; false: not until the caller decides. It is before
// [Clock.Deadline], unless that is in the past from the start.
func (c *Clock) NextCall() (time.Duration, bool) {
	next := c.nextCall()
	if c.silentSince >= 0 {
		next = min(next, c.reconnectAt(c.silentSince, c.silentSince+silenceTimeout))
	}
	if c.addressChangedAt >= 0 {
		next = min(next, c.addressChangedAt+c.spreadDelay(addressChangeTimeout-answerTime))
	}
	return next, !c.paused
}

// nextCall is NextCall without a watch that became silent and without a change of the address.
func (c *Clock) nextCall() time.Duration {
	switch agent := c.settings.Mode == Pushed; {
	case c.state == watching:
		return c.reconnectAt(c.lastActivity, c.deadline())
	case c.state == calling && agent:
		return c.calledAt + min(max(c.settings.DrainGrace/2, minWait), maxAgentWait)
	case c.state == calling:
		return c.reconnectAt(max(c.lastActivity, c.calledAt+c.maxWait+waitMargin-answerTime-silentAfter), c.deadline())
	case agent && c.calledAt < 0: // when the process starts
		return c.lastActivity
	case agent:
		return c.lastActivity + max(c.settings.DrainGrace/4, minWait)
	}
	return c.nextCallWhenIdle()
}

// nextCallWhenIdle returns the latest time of a call if nothing is open. The caller may call sooner, by taking
// turns with other dispatchers.
func (c *Clock) nextCallWhenIdle() time.Duration {
	margin := min(answerTime, c.settings.MaxAge/8)
	latest := min(c.settings.MaxAge-margin, silenceTimeout-answerTime)
	return max(c.knownUpTo+latest-time.Duration(c.share*float64(margin)), c.calledAt+minWait)
}

// reconnectAt returns when to replace a call or watch that was last active at lastActivity and has the given deadline.
func (c *Clock) reconnectAt(lastActivity, deadline time.Duration) time.Duration {
	silent, latest := lastActivity+silentAfter, deadline-answerTime
	return min(latest, silent+c.spreadDelay(latest-silent))
}

// spreadDelay returns the random delay within Settings.Spread, up to limit.
func (c *Clock) spreadDelay(limit time.Duration) time.Duration {
	if c.settings.Mode == Pushed {
		return 0
	}
	return time.Duration(c.share * float64(max(0, min(c.settings.Spread, limit))))
}

// SendCutoff returns from when on requests may no longer be sent to an instance: the drain grace after drainedAt, when
// its drain or end was received. If drainedAt is negative, none was received, and the grace counts from the deadline,
// when one that was missed counts as received.
func (c *Clock) SendCutoff(drainedAt time.Duration) time.Duration {
	if drainedAt < 0 {
		drainedAt = c.Deadline()
	}
	return drainedAt + c.settings.DrainGrace
}
