// Package fleetmodel plays whole deployments in virtual time: encoders with slots, bounded queues, hangs and slow spells,
// and many dispatchers, each the decision module alone or a plain baseline, under the same jobs and troubles. There is
// no I/O in it and no real time; docs/deployments.md tells what it has and what it leaves out.
package fleetmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"caperrelay/decide"
)

// Cancel is what a call-off does at an encoder. Dispatchers are told only whether they may call off at all.
type Cancel string

// The ways of cancelling.
const (
	CancelNone   Cancel = "none"   // a job called off runs on all the same
	CancelQueued Cancel = "queued" // what is queued is removed
	CancelAll    Cancel = "all"    // what runs ends, too
	CancelBarred Cancel = "barred" // the settings do not allow it
)

// Day is what goes wrong.
type Day string

// The days.
const (
	Calm  Day = "calm"
	Hang  Day = "hang"  // some encoders stand still for seconds, silently
	Slow  Day = "slow"  // some take several times as long
	Burst Day = "burst" // twice the traffic and more for a part of the day
)

// Order is how an encoder serves its queue.
type Order string

// The orders.
const (
	FIFO     Order = "fifo"     // the head waits until it fits
	Backfill Order = "backfill" // whatever fits first
	Priority Order = "priority" // by the class's priority
)

// Class is what the model knows of a class beside its settings.
type Class struct {
	Part     float64 // of the requests
	Mean     float64 // work, in seconds at speed 1
	Sigma    float64 // of its logarithm
	Slots    float64
	Memory   float64 // units; an encoder has one for each slot
	Priority int
}

// Encoder is one encoder as drawn.
type Encoder struct {
	decide.Worker
	Slots    float64
	Speed    float64
	ColdFrom float64       // share of its speed at its start, at least the rules'
	Warm     time.Duration // until it has all of it, at most the rules'
	Spells   []Spell       // in order, apart
	Failing  Failing
}

// Spell is a time in which an encoder's work goes on at a part of its rate: 0 is hung.
type Spell struct {
	From, Until time.Duration // since the day's start
	Rate        float64
}

// Failing is a time in which a part of the jobs begun end in an error, a fifth into their work.
type Failing struct {
	From, Until time.Duration // since the day's start
	Part        float64
}

// Renewal is an encoder that drains, from a time of the day on, and the cold one that takes its place.
type Renewal struct {
	At   time.Duration
	Old  int // among the encoders
	With Encoder
}

// Deployment is one customer's site and day.
type Deployment struct {
	Seed     uint64
	Number   int
	Day      Day
	Cancel   Cancel
	Settings decide.Settings // but for Dispatcher, Zone and Seed
	Classes  []Class
	Encoders []Encoder
	Renewals []Renewal
	Zones    int

	Load     float64 // traffic as a part of what all encoders can do
	Long     time.Duration
	Peak     float64 // times the traffic in the burst, 1: none
	Depth    float64 // queue places for each slot
	Order    Order
	Hop, Far time.Duration // one way within a zone, and what another zone adds
	Pull     bool          // reports come with probes only
	Fields   []string      // of reports; none: there are no reports
	Keys     int           // 0: requests have none
	Fetch    float64       // seconds that a job whose key the encoder lacks takes longer
	Hints    float64       // part of the requests with a hint of their work
	Blur     float64       // of hints, sigma of the logarithm
	Skew     float64       // of the dispatchers' traffic, sigma of the logarithm
	Patience float64       // part of the deadline that clients wait
	Tries    int           // of a client
	Pause    time.Duration // before its second
	ByWork   bool          // worth is reckoned by work
}

// String is all that was drawn, in one line.
func (d *Deployment) String() string {
	s := d.Settings
	yes := func(ok bool, what string) string {
		if ok {
			return " " + what
		}
		return ""
	}
	var b strings.Builder
	slots := 0.0
	for _, e := range d.Encoders {
		slots += e.Slots
	}
	fmt.Fprintf(&b, "%s cancel=%s load=%.2f", d.Day, d.Cancel, d.Load)
	if d.Peak > 1 {
		fmt.Fprintf(&b, " peak=%.1f", d.Peak)
	}
	fmt.Fprintf(&b, " dispatchers=%d encoders=%d slots=%.0f zones=%d depth=%.0f order=%s attempts=%d", s.DispatcherCount, len(d.Encoders), slots, d.Zones, d.Depth, d.Order, s.Limits.MaxAttempts)
	b.WriteString(yes(s.ReportsStart, "starts") + yes(s.ProgressInterval > 0, "progress") + yes(s.Limits.ParallelAttempts, "copies") + yes(s.Limits.Probes, "probes") +
		yes(s.Limits.PeerMessages, "peers") + yes(s.Rated, "rated") + yes(s.Rules.Budget != nil, "budget") + yes(d.ByWork, "bywork"))
	if len(d.Fields) > 0 {
		fmt.Fprintf(&b, " reports=%s%s", strings.Join(d.Fields, "+"), map[bool]string{true: "(probes)"}[d.Pull])
	}
	if d.Keys > 0 {
		fmt.Fprintf(&b, " keys=%d fetch=%.2fs", d.Keys, d.Fetch)
	}
	if d.Hints > 0 {
		fmt.Fprintf(&b, " hints=%.1f", d.Hints)
	}
	if len(s.Tenants) > 0 {
		fmt.Fprintf(&b, " tenants=%d", len(s.Tenants))
	}
	failing, cold := 0, 0
	for _, e := range d.Encoders {
		if e.Failing.Part > 0 {
			failing++
		}
		if e.Started > 0 {
			cold++
		}
	}
	if failing+cold+len(d.Renewals) > 0 {
		fmt.Fprintf(&b, " failing=%d cold=%d renewed=%d", failing, cold, len(d.Renewals))
	}
	fmt.Fprintf(&b, " tries=%d hop=%v+%v", d.Tries, d.Hop.Round(100*time.Microsecond), d.Far.Round(100*time.Microsecond))
	for i, c := range d.Classes {
		k := s.Classes[i]
		fmt.Fprintf(&b, " [%s part=%.2f run=%.2fs aim=%.2fs+%.1fx deadline=%.1fs worth=%.1f/%.1f slots=%.0f mem=%.1f kind=%d]", []string{"safe", "keyed", "unsafe"}[k.Effect],
			c.Part, c.Mean, k.Aim.Seconds(), k.Stretch, k.Deadline.Seconds(), k.Worth, k.Worth*k.LateWorth, c.Slots, c.Memory, k.Kind)
	}
	return b.String()
}

// dice draws by kinds of figures.
type dice struct{ *rand.Rand }

func (r dice) between(a, b float64) float64    { return a + (b-a)*r.Float64() }
func (r dice) log(a, b float64) float64        { return a * math.Exp(r.Float64()*math.Log(b/a)) }
func (r dice) yes(part float64) bool           { return r.Float64() < part }
func (r dice) time(a, b float64) time.Duration { return seconds(r.log(a, b)) }
func (r dice) work(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
}

func pick[T any](r dice, of ...T) T { return of[r.IntN(len(of))] }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const mostFetched = 0.7 // of the requests with a key, the part that finds it lacking, by a guess

const mostRate = 900 // requests a second of a deployment, so that a day takes a second or so to play

// Draw draws deployment number n of a seed: over 16 numbers each way of cancelling meets each day once.
func Draw(seed uint64, n int) *Deployment {
	r := dice{rand.New(rand.NewPCG(seed, uint64(n)+1))}
	d := &Deployment{
		Seed: seed, Number: n, Peak: 1,
		Cancel: []Cancel{CancelNone, CancelQueued, CancelAll, CancelBarred}[n%4], Day: []Day{Hang, Calm, Slow, Burst}[n/4%4],
	}
	d.settings(r)
	d.fleet(r)
	d.traffic(r)
	d.troubles(r)
	d.further(r)
	return d
}

func (d *Deployment) settings(r dice) {
	s := &d.Settings
	s.DispatcherCount = pick(r, 1, 2, 3, 4, 6, 8, 12, 16)
	s.Granularity = pick(r, time.Millisecond, 2*time.Millisecond, 5*time.Millisecond)
	d.Zones = pick(r, 1, 1, 2, 3)
	s.ReportsStart = r.yes(0.5)
	if r.yes(0.4) {
		s.ProgressInterval = r.time(0.3, 2)
	}
	s.Subscribe = r.yes(0.5)
	s.ListPushed = !s.Subscribe
	s.Rated = r.yes(0.3)
	s.RetriesMarked = r.yes(0.5)
	s.Limits = decide.Limits{
		MaxAttempts: 2 + r.IntN(3), MaxOpen: pick(r, 500, 20000), Cancel: d.Cancel != CancelBarred, ParallelAttempts: r.yes(0.6), Probes: r.yes(0.7),
		PeerMessages: r.yes(0.3), RetryAfter: r.yes(0.7), MaxRetryAfter: r.time(0.5, 4), ConnectTimeout: r.time(0.05, 0.5), ConnIdle: r.time(5, 60),
	}
	s.Rules = decide.Rules{
		AnswerSlack: r.time(0.005, 0.05), DrainGrace: r.time(0.2, 1.5), ColdFrom: r.between(0.1, 0.4), Cold: r.time(5, 25),
		FallMultiple: r.between(2, 4), FallWindow: time.Second, SubscribeWithin: 10 * time.Second, GoneIsAdvisory: r.yes(0.2),
	}
	if r.yes(0.2) {
		s.Rules.Budget = &decide.AttemptBudget{Spare: r.between(1, 10), PerRequest: r.between(0.1, 0.5), Window: r.time(1, 10)}
	}
	s.Prices = decide.Prices{CrossZone: pick(r, 0, 0, 0.05, 0.1), Waste: pick(r, 0, 0.1, 0.3), LateFail: 0.03, Probe: 0.001, Peer: 0.001}
	s.Goal = decide.Goal{Whole: 1}
	if r.yes(0.5) {
		d.Fields = pick(r, []string{"active"}, []string{"active", "waiting"}, []string{"x0"}, []string{"active", "x0"}, []string{"active", "waiting", "x0"})
		d.Pull = r.yes(0.25)
		for _, f := range d.Fields {
			s.ReportsFreeSlots = s.ReportsFreeSlots || f == "x0" && !d.Pull
		}
	}
	parts, sum := []float64{}, 0.0
	for range 1 + r.IntN(3) {
		parts = append(parts, r.log(0.2, 1))
		sum += parts[len(parts)-1]
	}
	scale := r.log(0.06, 0.8)
	for i, p := range parts {
		c := Class{Part: p / sum, Mean: scale * r.log(0.5, 3), Sigma: r.between(0.2, 0.8), Slots: 1, Priority: i}
		if r.yes(0.15) {
			c.Slots = 2
		}
		k := decide.Class{Stretch: pick(r, 0, 1.5, 2, 2.5, 3), Worth: r.log(0.5, 8), Kind: decide.Any, DedupWindow: r.time(1, 30)}
		k.Aim = seconds(c.Mean * r.log(0.5, 6))
		if k.Stretch < 2 {
			k.Aim = seconds(c.Mean * r.log(2, 12)) // else hardly any could be in time
		}
		in := k.Aim + seconds(k.Stretch*c.Mean)
		k.Deadline = min(max(seconds(in.Seconds()*r.log(1.2, 15)), seconds(3*c.Mean)), time.Minute)
		if r.yes(0.5) {
			k.LateWorth = r.between(0.1, 0.8)
		}
		k.Effect = pick(r, decide.Safe, decide.Safe, decide.Keyed, decide.Unsafe)
		k.Scope = pick(r, decide.ScopeAll, decide.ScopeAll, decide.ScopeZone, decide.ScopeCell)
		d.Classes, s.Classes = append(d.Classes, c), append(s.Classes, k)
	}
}

// mean is the work of a request, in slot seconds at speed 1.
func (d *Deployment) mean() (work float64) {
	for _, c := range d.Classes {
		work += c.Part * c.Mean * c.Slots
	}
	return work
}

// demand is the mean work of a request with what is fetched for it: what load is counted by.
func (d *Deployment) demand() float64 {
	if d.Keys == 0 {
		return d.mean()
	}
	return d.mean() + mostFetched*d.Fetch
}

// capacity is what all encoders do once warm, in slot seconds at speed 1 a second.
func (d *Deployment) capacity() (work float64) {
	for _, e := range d.Encoders {
		work += e.Slots * e.Speed
	}
	return work
}

func (d *Deployment) fleet(r dice) {
	kinds := 1 + r.IntN(3)
	var slots, speed [3]float64
	for k := range kinds {
		slots[k], speed[k] = float64(2+r.IntN(7)), r.log(0.6, 1.6)
	}
	spread := r.between(0, 0.25)
	n := int(r.log(4, 40))
	d.Depth = float64(2 + r.IntN(19))
	for i := range n {
		k := r.IntN(kinds)
		e := Encoder{
			Worker: decide.Worker{ID: uint32(i)*7919 + 11, Zone: i % d.Zones, Kind: k, Cell: i / 3, State: decide.Ready, Rating: 1},
			Slots:  slots[k], Speed: speed[k] * math.Exp(spread*r.NormFloat64()),
		}
		if d.Settings.Rated {
			e.Rating = e.Slots * e.Speed
		}
		d.Encoders = append(d.Encoders, e)
		if d.capacity()/d.mean() > mostRate && len(d.Encoders) >= 4 {
			break
		}
	}
	if r.yes(0.25) { // some have just been started
		for i := range d.Encoders {
			if e := &d.Encoders[i]; r.yes(0.3) {
				e.Started = dayStart - seconds(r.Float64()*d.Settings.Rules.Cold.Seconds()/2)
				e.ColdFrom = r.between(d.Settings.Rules.ColdFrom, 0.6)
				e.Warm = seconds(r.between(0.5, 1) * d.Settings.Rules.Cold.Seconds())
			}
		}
	}
}

func (d *Deployment) traffic(r dice) {
	s := &d.Settings
	d.Load = r.between(0.5, 0.95)
	if d.Day != Calm {
		d.Load = r.between(0.4, 0.75)
	}
	d.Order = pick(r, FIFO, FIFO, Backfill, Priority)
	d.Hop, d.Far = r.time(0.0003, 0.003), r.time(0.0005, 0.01)
	if r.yes(0.4) {
		d.Keys = 2 + int(r.log(0.5, 5)*float64(len(d.Encoders)))
		d.Fetch = r.between(0, 0.5) * d.mean()
	}
	rate := d.Load * d.capacity() / d.demand()
	d.Long = seconds(min(max(6000/rate, 20), 40))
	if r.yes(0.5) {
		d.Hints, d.Blur = pick(r, 0.5, 1), r.between(0.1, 0.6)
	}
	d.Skew, d.Patience = r.between(0, 0.7), pick(r, 1, 1, r.between(0.6, 1))
	d.Tries, d.Pause = 1+r.IntN(3), r.time(0.02, 0.5)
	d.ByWork = r.yes(0.5)
	if r.yes(0.5) {
		s.OverShareWorth = r.between(0.05, 0.5)
		n := 2 + r.IntN(6)
		sum := 0.0
		for i := range n {
			sum += 1 / float64(i+1)
		}
		for i := range n {
			s.Tenants = append(s.Tenants, decide.Tenant{QuotaPerSecond: rate * r.between(1, 1.5) / float64(i+1) / sum})
		}
	}
}

func (d *Deployment) troubles(r dice) {
	long := d.Long.Seconds()
	switch d.Day {
	case Burst:
		d.Peak = r.between(1.5, 3)
	case Hang, Slow:
		part := r.between(0.08, 0.3)
		for i := range d.Encoders {
			if i > 0 && !r.yes(part) {
				continue // the first has trouble in any case
			}
			e := &d.Encoders[i]
			for from := r.between(0.1, 0.5) * long; from < 0.9*long; from += r.between(0.3, 1) * long {
				x := Spell{From: seconds(from), Until: seconds(from + r.log(1, 8))}
				if d.Day == Slow {
					x.Until, x.Rate = seconds(from+r.between(0.2, 0.5)*long), 1/r.between(2, 8)
				}
				from = x.Until.Seconds()
				e.Spells = append(e.Spells, x)
			}
		}
	}
}

// further draws what only some sites have: memory, classes that need a kind, encoders that fail or are replaced.
func (d *Deployment) further(r dice) {
	if r.yes(0.2) {
		for i := range d.Classes {
			d.Classes[i].Memory = d.Classes[i].Slots * r.between(0.5, 1.1)
		}
		if len(d.Fields) > 0 {
			d.Fields = append(slices.Clone(d.Fields), "x1")
		}
	}
	if c, k := r.IntN(len(d.Classes)), d.Encoders[r.IntN(len(d.Encoders))].Kind; r.yes(0.2) {
		all, need := 0.0, d.Classes[c].Part*d.Classes[c].Mean*d.Classes[c].Slots/d.mean()
		for _, e := range d.Encoders {
			if e.Kind == k {
				all += e.Slots * e.Speed
			}
		}
		if all/d.capacity() > need { // else it could not be served by any
			d.Settings.Classes[c].Kind = k
		}
	}
	if long := d.Long.Seconds(); r.yes(0.15) {
		for i := range d.Encoders {
			if from := r.between(0.1, 0.6) * long; i == 0 || r.yes(0.1) {
				d.Encoders[i].Failing = Failing{seconds(from), seconds(from + r.between(0.1, 0.4)*long), r.between(0.3, 1)}
			}
		}
	}
	if r.yes(0.2) {
		part := r.between(0.1, 0.5)
		for i, e := range d.Encoders {
			if !r.yes(part) {
				continue
			}
			at := seconds(r.between(0.2, 0.5) * d.Long.Seconds())
			e.ID, e.Started = e.ID+1, dayStart+at
			e.ColdFrom, e.Warm = r.between(d.Settings.Rules.ColdFrom, 0.6), seconds(r.between(0.5, 1)*d.Settings.Rules.Cold.Seconds())
			e.Spells, e.Failing = nil, Failing{}
			d.Renewals = append(d.Renewals, Renewal{at, i, e})
		}
	}
}
