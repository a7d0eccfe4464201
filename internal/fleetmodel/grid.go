package fleetmodel

import (
	"math/rand/v2"
	"time"

	"caperrelay/decide"
)

// Small is a deployment of three dispatchers and ten encoders of four slots that differs from its like only in what is
// given: for trying a change of the module on what a call-off does, on a day, with start notes or without.
func Small(seed uint64, cancel Cancel, day Day, starts bool) *Deployment {
	r := dice{rand.New(rand.NewPCG(seed, 5))}
	d := &Deployment{
		Seed: seed, Day: day, Cancel: cancel, Zones: 1, Load: 0.7, Long: 30 * time.Second, Peak: 1, Depth: 8, Order: FIFO,
		Hop: time.Millisecond, Skew: 0.2, Patience: 1, Tries: 2, Pause: 100 * time.Millisecond,
		Classes: []Class{{Part: 0.7, Mean: 0.2, Sigma: 0.5, Slots: 1}, {Part: 0.3, Mean: 0.6, Sigma: 0.5, Slots: 1, Priority: 1}},
		Settings: decide.Settings{
			DispatcherCount: 3, Granularity: 2 * time.Millisecond, ReportsStart: starts, ListPushed: true, Goal: decide.Goal{Whole: 1},
			Classes: []decide.Class{
				{Aim: 500 * time.Millisecond, Stretch: 2.5, Deadline: 5 * time.Second, Worth: 1, Effect: decide.Safe, Kind: decide.Any},
				{Aim: time.Second, Stretch: 2, Deadline: 15 * time.Second, Worth: 4, Effect: decide.Unsafe, Kind: decide.Any},
			},
			Limits: decide.Limits{
				MaxAttempts: 3, MaxOpen: 20000, Cancel: cancel != CancelBarred, ParallelAttempts: true, Probes: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
				ConnectTimeout: 120 * time.Millisecond, ConnIdle: 30 * time.Second,
			},
			Rules: decide.Rules{
				AnswerSlack: 8 * time.Millisecond, DrainGrace: 750 * time.Millisecond, ColdFrom: 0.14, Cold: 24 * time.Second,
				FallMultiple: 3, FallWindow: time.Second, SubscribeWithin: 10 * time.Second,
			},
		},
	}
	for i := range 10 {
		d.Encoders = append(d.Encoders, Encoder{
			Worker: decide.Worker{ID: uint32(i)*7919 + 11, State: decide.Ready, Rating: 1}, Slots: 4, Speed: r.between(0.9, 1.1),
		})
	}
	d.troubles(r)
	return d
}
