package listclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

// testSettings returns the settings of a dispatcher in an installation of 300.
func testSettings(mode Mode) Settings {
	return Settings{Mode: mode, MaxAge: 10 * s, DrainGrace: 500 * ms, Spread: 6 * s}
}

// Each row tests one rule of the operators' manual: the time by which a new call must have been made, and the first and
// the last time at which one is made, depending on the dispatcher's share of the spread.
func TestDeadlinesAndCallTimes(t *testing.T) {
	const never = -1
	for _, tt := range []struct {
		rule        string
		way         Mode
		events      func(c *Clock)
		deadline    time.Duration
		first, last time.Duration
	}{
		{"pushed: what the agent has counts as received from the start of a process", Pushed,
			func(c *Clock) {}, 0, 0, 0},
		{"pushed: the agent answers a call at once", Pushed,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share) }, 2 * s, 2250 * ms, 2250 * ms},
		{"pushed: what the agent has counts as received after the watch has ended too", Pushed,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.CallEnded(4 * s) }, 4 * s, 4125 * ms, 4125 * ms},
		{"pushed: the agent is silent while discovery is down; what it gets on recovery counts at once", Pushed,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.CallStarted(2250*ms, 0, c.share) }, 2250 * ms, 2500 * ms, 2500 * ms},
		{"pushed: changes count 4 s after SIGHUP changed the address", Pushed,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.AddressChanged(3500 * ms) }, 7500 * ms, 3500 * ms, 3500 * ms},
		{"pushed: changes count 6 s after the watch became silent", Pushed,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.ListReceived(3 * s) }, 9 * s, 6 * s, 6 * s},
		{"pushed: a watch that has sent no list counts as silent from the call", Pushed,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s) }, 8 * s, 6 * s, 6 * s},
		{"watched: a silent watch is reopened by 6 s after it became silent", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.ListReceived(3 * s) }, 9 * s, 6 * s, 8 * s},
		{"watched: nothing after the response header, 6 s after the call", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s) }, 8 * s, 6 * s, 7 * s},
		{"watched: an empty line every 2 s confirms that nothing has changed", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.DataReceived(5 * s)
				c.Heartbeat(5 * s)
			}, 11 * s, 8 * s, 10 * s},
		{"watched: an empty line right after the response header confirms nothing", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(2500 * ms); c.Heartbeat(2500 * ms) }, 8 * s, 5500 * ms, 7 * s},
		{"watched: other bytes do not confirm that nothing has changed", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListReceived(3 * s)
				c.DataReceived(5 * s)
				c.DataReceived(7 * s)
			}, 9 * s, 8 * s, 8 * s},
		{"watched: a watch that was silent once stays broken when data arrives again", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListReceived(3 * s)
				c.DataReceived(6 * s)
				c.ListReceived(6 * s)
				c.DataReceived(7 * s)
				c.Heartbeat(7 * s)
			}, 9 * s, 6 * s, 8 * s},
		{"watched: data from a broken watch does not count after its end either", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListReceived(3 * s)
				c.DataReceived(6 * s)
				c.Heartbeat(6 * s)
				c.CallEnded(6500 * ms)
			}, 9 * s, 7 * s, 8 * s},
		{"watched: no answer to the call", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share) }, 8 * s, 5 * s, 7 * s},
		{"polled: 2 s after the maximum wait of a call, if that is later than 6 s after the call", Polled,
			func(c *Clock) { c.CallStarted(2*s, 10*s, c.share) }, 14 * s, 13 * s, 13 * s},
		{"polled: 6 s after the call, if that is later than 2 s after its maximum wait", Polled,
			func(c *Clock) { c.CallStarted(2*s, 3*s, c.share) }, 8 * s, 6 * s, 7 * s},
		{"watched: part of a list, then silence", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.ListStarted(3 * s) }, 8 * s, 6 * s, 7 * s},
		{"watched: part of a list, then silence, on a watch that has sent a list", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListReceived(3 * s)
				c.DataReceived(4 * s)
				c.ListStarted(4 * s)
			}, 9 * s, 7 * s, 8 * s},
		{"watched: changes count after 6 s even if the list is never completed", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListStarted(3 * s)
				c.DataReceived(5 * s)
				c.ListStarted(5 * s)
				c.DataReceived(7 * s)
			}, 8 * s, 7 * s, 7 * s},
		{"watched: a slow list, then silence; changes made while it was sent are not in it", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListStarted(3 * s)
				c.DataReceived(5 * s)
				c.ListReceived(5 * s)
			}, 9 * s, 8 * s, 8 * s},
		{"watched: 6 s after the first byte of a slow list, since later changes are not in it", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListStarted(3 * s)
				c.DataReceived(5 * s)
				c.ListReceived(5 * s)
				c.CallEnded(5 * s)
			}, 9 * s, 7 * s, 8 * s},
		{"polled: an answer is as of its writing, so 6 s after its call", Polled,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.ListReceived(3 * s); c.CallEnded(3 * s) }, 8 * s, 6 * s, 7 * s},
		{"no watch: 6 s after the last call, not the settings' longer time", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.CallEnded(2 * s) }, 8 * s, 6 * s, 7 * s},
		{"no watch: the settings' time if it is less than 6 s", Watched,
			func(c *Clock) {
				c.UpdateSettings(Settings{Mode: Watched, MaxAge: 4 * s, Spread: 6 * s})
				c.CallStarted(2*s, 0, c.share)
				c.CallEnded(2 * s)
			}, 6 * s, 5 * s, 5500 * ms},
		{"no watch: the answer arrives in time if the settings' time is hardly more than the limit", Watched,
			func(c *Clock) {
				c.UpdateSettings(Settings{Mode: Watched, MaxAge: 6 * s, Spread: 6 * s})
				c.CallStarted(2*s, 0, c.share)
				c.CallEnded(2 * s)
			}, 8 * s, 6250 * ms, 7 * s},
		{"ended watch: 6 s after its last empty line, which confirmed all earlier changes", Watched,
			func(c *Clock) {
				c.CallStarted(17*s, 0, c.share)
				c.DataReceived(18 * s)
				c.ListReceived(18 * s)
				c.DataReceived(20 * s)
				c.Heartbeat(20 * s)
				c.CallEnded(21 * s)
			}, 26 * s, 24 * s, 25 * s},
		{"ended watch: an incomplete list does not count, the last complete line does", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(20 * s)
				c.Heartbeat(20 * s)
				c.DataReceived(21 * s)
				c.ListStarted(21 * s)
				c.CallEnded(21500 * ms)
			}, 26 * s, 24 * s, 25 * s},
		{"ended watch: nothing after the response header, 6 s after the call", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.CallEnded(3 * s) }, 8 * s, 6 * s, 7 * s},
		{"refused call: 6 s after it was made", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.CallEnded(2 * s) }, 8 * s, 6 * s, 7 * s},
		{"call refused after a wait: 6 s after it was made", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(4 * s); c.CallEnded(4 * s) }, 8 * s, 6 * s, 7 * s},
		{"second refused call: 6 s after it was made, whatever was known before", Watched,
			func(c *Clock) {
				c.CallStarted(2*s, 0, c.share)
				c.DataReceived(3 * s)
				c.ListReceived(3 * s)
				c.CallEnded(4 * s)
				c.CallStarted(6*s, 0, c.share)
				c.CallEnded(7 * s)
				c.CallStarted(9*s, 0, c.share)
				c.CallEnded(10 * s)
			}, 15 * s, 13 * s, 14 * s},
		{"abandoned call: 6 s after the next call", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.CallStarted(6*s, 0, c.share) }, 12 * s, 9 * s, 11 * s},
		{"watched: calls after a new address are spread, since all dispatchers share the service", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.DataReceived(3 * s); c.AddressChanged(3500 * ms) }, 7500 * ms, 3500 * ms, 6500 * ms},
		{"watched: the caller decides when to make the first call", Watched,
			func(c *Clock) {}, 6 * s, never, never},
		{"paused: other dispatchers pass the list on", Watched,
			func(c *Clock) { c.CallStarted(2*s, 0, c.share); c.Pause(3 * s); c.AddressChanged(4 * s) }, 8 * s, never, never},
	} {
		t.Run(tt.rule, func(t *testing.T) {
			for share, want := range map[float64]time.Duration{0: tt.first, 1: tt.last} {
				c := New(testSettings(tt.way), 0)
				c.share = share
				tt.events(c)
				require.Equal(t, tt.deadline, c.Deadline(), "deadline")
				next, ok := c.NextCall()
				if want == never {
					require.False(t, ok)
					continue
				}
				require.True(t, ok)
				if !c.Open() && c.settings.Mode != Pushed { // share brings this call forward instead of delaying it
					want = tt.first + tt.last - want
				}
				require.Equal(t, want, next, "share %v", share)
			}
		})
	}
}

// Requests may be sent to an instance until the grace after its drain was received has passed, and to any other
// until the grace after a missed drain would count.
func TestSendCutoff(t *testing.T) {
	c := New(testSettings(Watched), 0)
	c.CallStarted(2*s, 0, 0)
	c.DataReceived(3 * s)
	c.ListReceived(3 * s)
	at, ok := c.LastList()
	require.True(t, ok)
	require.Equal(t, 3*s, at)
	require.Equal(t, 3500*ms, c.SendCutoff(at))
	require.Equal(t, 9500*ms, c.SendCutoff(-1))
}

// Negative settings count as zero, and a clock that goes back as no time passed.
func TestInvalidInput(t *testing.T) {
	c := New(Settings{MaxAge: -s, DrainGrace: -s, Spread: -s}, 5*s)
	c.CallStarted(4*s, -s, 7)
	c.DataReceived(3 * s)
	require.Equal(t, 11*s, c.Deadline())
	c.CallEnded(1 * s)
	next, ok := c.NextCall()
	require.True(t, ok)
	require.Equal(t, 5*s+minWait, next)
	c = New(Settings{Mode: Watched}, 0)
	c.CallStarted(5*s, 0, 1)
	c.CallEnded(5 * s)
	next, _ = c.NextCall()
	require.Equal(t, 5*s+minWait, next, "two calls are never made without a pause")
}
