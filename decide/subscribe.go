package decide

import (
	"math"
	"time"
)

// The schedule of calls for the worker list. One service answers all dispatchers, one call after another. Its capacity
// is not known, and dispatchers share no state, so a call is timed by the number of dispatchers, the results of
// earlier calls and time alone. A worker that has been in the list for 6 s must be known, whatever calls failed
// before. docs/coldstart-design.md compares the alternatives, for 3 to 3,000 dispatchers.
const (
	firstCallSpacing   = 5 * time.Millisecond    // spread of the first calls, for each dispatcher
	maxFirstSpread     = 0.3                     // limit on that spread, as a share of the time in which the rules require a call
	retrySpread        = 2500 * time.Millisecond // spread of later calls; a call may fail 3 s after the service is back, and the next takes a while
	unreachableDivisor = 64                      // a call that fails within the required time divided by this did not reach the service
	fewSpreadDivisor   = 16                      // few dispatchers retry after the required time divided by this; they are few if their spread is below a quarter of that
	evenRetries        = 3                       // calls that waited and failed before the service counts as overloaded
	retryGrowth        = 3                       // factor on the spread for each further such call
	maxRetryGrowth     = 6                       // bound on the number of those factors
)

// scheduleSubscribe schedules a call for the worker list: at the start, after a watch has ended and after a
// failed call. Calls are spread over a time and repeated at an even pace, since a service that is down cannot
// be told from an overloaded one. The time grows only where calls have waited and failed for longer than the
// service is usually down: at an even pace above its capacity it would fail all calls for ever. A few
// dispatchers overload no service.
func (d *Dispatcher) scheduleSubscribe(failed ListFailed) {
	if failed.Elapsed > 0 { // the call may have been made by the discovery client
		d.subscribedAt = d.now - failed.Elapsed
	}
	within := d.settings.Rules.SubscribeWithin
	spread := min(time.Duration(d.settings.DispatcherCount)*firstCallSpacing, time.Duration(maxFirstSpread*float64(within)))
	few, unreachable := spread < within/fewSpreadDivisor/4, failed.Unreachable || d.now-d.subscribedAt < within/unreachableDivisor
	if d.now-d.subscribedAt >= within { // no call takes this long: a watch has ended
		d.subscribeFailures = 0
	}
	var delay time.Duration
	switch {
	case d.settings.ListPushed: // the call goes to a local agent and loads no service
		delay = d.backoff(d.settings.Rules.DrainGrace/16, 1)
	case d.subscribeFailures == 0:
		delay = time.Duration(d.rng.Float64() * float64(spread))
	case few:
		delay = d.backoff(within/fewSpreadDivisor, 1)
	case unreachable:
		d.subscribeFailures = 0
		delay = d.retryPause(1)
	default:
		delay = d.retryPause(math.Pow(retryGrowth, float64(min(max(0, d.subscribeFailures-evenRetries), maxRetryGrowth))))
	}
	d.subscribeAt = d.now + max(d.sweepInterval(), delay)
	d.subscribeFailures++
}

// retryPause returns the time before another call, at random between half and all of spreads times retrySpread.
func (d *Dispatcher) retryPause(spreads float64) time.Duration {
	return time.Duration(spreads * (1 + d.rng.Float64()) / 2 * float64(retrySpread))
}
