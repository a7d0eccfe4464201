package decide

import (
	"math"
	"time"
)

// When the list is asked for. One service serves all dispatchers and works through calls in turn; nobody knows what it
// bears, and dispatchers share nothing: a call can go by their number, by what earlier ones met and by time alone.
// docs/coldstart-design.md has the rules that were weighed, with figures for 3 to 3,000 dispatchers.
const (
	listPace   = 20 * time.Millisecond // a dispatcher, at which first calls are spread
	listSpread = 0.6                   // of the time in which the rules want a call: no first call may come later
	downParts  = 64                    // a call that fails within such a part of that time found nobody in
	fewParts   = 16                    // dispatchers whose spread is under such a part of it are few
	mostTurns  = 10                    // doublings of the time over which calls are spread
)

// ask has the list asked for, at the start, once a watch has ended and once a call has failed. Calls of a turn are spread
// over a time; those that waited and failed have a turn twice as long, which begins only when the service has had the
// time to work off what it failed. So however little it bears, some turn is long enough. Where the last call reached
// nobody, or failed at once, there is nothing to work off: a service that is down or cut off is tried at an even pace.
// A few dispatchers run over no service at such a pace, and keep it in any case.
func (d *Dispatcher) ask(nobody bool) {
	within := d.s.Rules.MustAskIn
	spread := min(time.Duration(d.s.Dispatchers)*listPace, time.Duration(listSpread*float64(within)))
	few, nobody := spread < within/fewParts, nobody || d.now-d.called < within/downParts
	after := time.Duration(0)
	switch {
	case d.s.Pushed: // to an agent here: asking it costs nobody anything, and what it has counts as told
		after = d.backoff(d.s.Rules.DrainGrace/16, 1)
	case d.failures == 0:
		d.wanted, after = d.now, time.Duration(d.rng.Float64()*float64(spread))
	case few || nobody:
		d.wanted, d.failures = d.now, 0
		after = d.backoff(max(spread, within/fewParts), 1)
	default:
		long := math.Exp2(float64(min(d.failures, mostTurns)))
		after = d.wanted - d.now + time.Duration((2*(long-1)+long*d.rng.Float64())*float64(spread))
	}
	d.asked = d.now + max(d.step(), after)
	d.failures++
}
