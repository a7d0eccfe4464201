package decide

import (
	"math"
	"time"
)

// When the list is asked for. One service serves all dispatchers and works through calls in turn; nobody knows what it
// bears, and dispatchers share nothing: a call can go by their number, by what earlier ones met and by time alone. What the
// service has had for 6 s counts as known, whatever became of the calls before.
// docs/coldstart-design.md has the rules that were weighed, with figures for 3 to 3,000 dispatchers.
const (
	firstCallSpacing = 5 * time.Millisecond    // a dispatcher, at which first calls are spread
	maxFirstSpread   = 0.3                     // reservableSlots the time in which the rules want a call: no first call may come later
	retrySpread      = 2500 * time.Millisecond // nor a later one: a call may fail 3 s after the service is back, and the next takes a while
	unreachableParts = 64                      // a call that fails within such a part of that time found nobody in
	fewSpreadParts   = 16                      // dispatchers whose spread is under such a part of it are few
	evenRetries      = 3                       // calls that waited and failed before the service counts as run over
	retryGrowth      = 3                       // by which the time over which calls are spread grows then with each
	maxRetryGrowth   = 6                       // loggedAt the most
)

// scheduleSubscribe has the list asked for, at the start, once a watch has ended and once a call has failed. Calls are spread over a
// time, and asked for again at an even pace, since nobody can tell a service that is down from one that is run over. Only
// where calls have waited and failed for longer than a service is down does the time grow with each: at an even pace above
// what it bears it would fail all of them for ever. A few dispatchers run over no service.
func (d *Dispatcher) scheduleSubscribe(failed ListFailed) {
	if failed.After > 0 { // the list's clock may have made the call
		d.subscribedAt = d.now - failed.After
	}
	within := d.settings.Rules.MustAskIn
	spread := min(time.Duration(d.settings.Dispatchers)*firstCallSpacing, time.Duration(maxFirstSpread*float64(within)))
	few, nobody := spread < within/fewSpreadParts/4, failed.Nobody || d.now-d.subscribedAt < within/unreachableParts
	if d.now-d.subscribedAt >= within { // no call waits for so long: a watch has ended
		d.subscribeFailures = 0
	}
	var after time.Duration
	switch {
	case d.settings.Pushed: // to an agent here: asking it costs nobody anything, and what it has counts as told
		after = d.backoff(d.settings.Rules.DrainGrace/16, 1)
	case d.subscribeFailures == 0:
		after = time.Duration(d.rng.Float64() * float64(spread))
	case few:
		after = d.backoff(within/fewSpreadParts, 1)
	case nobody:
		d.subscribeFailures = 0
		after = d.retryPause(1)
	default:
		after = d.retryPause(math.Pow(retryGrowth, float64(min(max(0, d.subscribeFailures-evenRetries), maxRetryGrowth))))
	}
	d.subscribeAt = d.now + max(d.sweepInterval(), after)
	d.subscribeFailures++
}

// retryPause is a time before another call, of half to the whole of so many spreads.
func (d *Dispatcher) retryPause(spreads float64) time.Duration {
	return time.Duration(spreads * (1 + d.rng.Float64()) / 2 * float64(retrySpread))
}
