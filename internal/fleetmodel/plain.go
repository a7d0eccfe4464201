package fleetmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"caperrelay/decide"
)

// Policy names what dispatchers go by.
type Policy string

// The policies: the decision module, and plain dispatchers that send each request at once, and once more after a
// refusal (after an error what may be repeated), and hold back nothing.
const (
	Module Policy = "module"
	Random Policy = "random"
	Two    Policy = "two"   // of two random encoders that with fewer of its own jobs out
	Least  Policy = "least" // that with the fewest
)

// Baselines are the plain policies.
func Baselines() []Policy { return []Policy{Random, Two, Least} }

// handler is a dispatcher: the module's own form.
type handler interface {
	Handle(now time.Duration, events []decide.Event) []decide.Action
}

type plain struct {
	Policy
	s       decide.Settings
	rng     *rand.Rand
	workers []decide.Worker // those that are ready
	out     map[uint32]int
	reqs    map[uint32]*plainRequest
	actions []decide.Action
}

type plainRequest struct {
	decide.Request
	workers []uint32
	ran     bool // an attempt may have
}

func newPlain(p Policy, s decide.Settings) *plain {
	return &plain{Policy: p, s: s, rng: rand.New(rand.NewPCG(s.Seed, uint64(s.DispatcherIndex))), out: map[uint32]int{}, reqs: map[uint32]*plainRequest{}}
}

func (p *plain) do(a decide.Action) { p.actions = append(p.actions, a) }

// Handle takes what has happened and returns what to do.
func (p *plain) Handle(_ time.Duration, events []decide.Event) []decide.Action {
	p.actions = nil
	for _, e := range events {
		switch e := e.(type) {
		case decide.ListFull:
			p.workers = nil
			p.list(e.Workers)
			if p.s.Subscribe && e.Cached {
				p.do(decide.Subscribe{})
			}
		case decide.ListDelta:
			p.list(e.Workers)
		case decide.Request:
			p.reqs[e.ID] = &plainRequest{Request: e}
			p.send(p.reqs[e.ID])
		case decide.RequestCancelled:
			delete(p.reqs, e.Request)
		case decide.AttemptEnded:
			p.ended(e)
		}
	}
	return p.actions
}

func (p *plain) list(lines []decide.Worker) {
	for _, l := range lines {
		p.workers = slices.DeleteFunc(p.workers, func(w decide.Worker) bool { return w.ID == l.ID })
		if l.State == decide.Ready {
			p.workers = append(p.workers, l)
		}
	}
}

func (p *plain) send(r *plainRequest) {
	kind := p.s.Classes[r.Class].Kind
	n, best := 0, uint32(0)
	tries := 1
	if p.Policy == Two {
		tries = 2
	}
	fits := func(w decide.Worker) bool {
		return (kind == decide.Any || w.Kind == kind) && !slices.Contains(r.workers, w.ID)
	}
	better := func(a, b uint32) bool { return p.out[a] < p.out[b] }
	if p.Policy == Least {
		found, same := false, 0
		for _, w := range p.workers {
			switch {
			case !fits(w):
			case !found || better(w.ID, best):
				found, best, same = true, w.ID, 1
			case !better(best, w.ID):
				if same++; p.rng.IntN(same) == 0 {
					best = w.ID
				}
			}
		}
		if found {
			n = 1
		}
	} else {
		var ids []uint32
		for _, w := range p.workers {
			if fits(w) {
				ids = append(ids, w.ID)
			}
		}
		for ; n < tries && n < len(ids); n++ {
			i := n + p.rng.IntN(len(ids)-n)
			ids[n], ids[i] = ids[i], ids[n]
			if n == 0 || better(ids[n], best) {
				best = ids[n]
			}
		}
	}
	if n == 0 {
		p.give(r)
		return
	}
	r.workers = append(r.workers, best)
	p.out[best]++
	p.do(decide.Send{Request: r.ID, Worker: best})
}

func (p *plain) give(r *plainRequest) {
	if r.ran && p.s.Classes[r.Class].Effect != decide.Safe {
		p.do(decide.FailRequest{Request: r.ID})
	} else {
		p.do(decide.Refuse{Request: r.ID})
	}
	delete(p.reqs, r.ID)
}

func (p *plain) ended(e decide.AttemptEnded) {
	r := p.reqs[e.Request]
	if r == nil {
		return // its out is not counted down: it lapsed, and what it holds there is not known
	}
	p.out[r.workers[e.Attempt]]--
	r.ran = r.ran || !e.Outcome.NeverRan()
	switch {
	case e.RequestEnded:
		delete(p.reqs, e.Request)
	case e.Outcome != decide.TimedOut && len(r.workers) < min(2, p.s.Limits.MaxAttempts) && (!r.ran || p.s.Classes[r.Class].Effect == decide.Safe):
		p.send(r)
	default:
		p.give(r)
	}
}
