// Package ledger keeps what stand-in encoders saw, attempt by attempt, and checks the rules against
// it. It does no I/O; the times are the callers'.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Fate is what became of an attempt at an encoder.
type Fate int

// The fates.
const (
	Open    Fate = iota // it has not ended yet
	Refused             // turned away: it never ran
	Done                // its work was done and its result written
	Unheard             // its work was done, nobody was there to be told
	Killed              // the process died with it
	Dropped             // it was taken back, or its connection broke
)

func (f Fate) String() string {
	return [...]string{"open", "refused", "done", "unheard", "killed", "dropped"}[f]
}

// Attempt is one sending as an encoder saw it.
type Attempt struct {
	Job, Sender, Class string
	Once               bool // the job must not run twice
	Encoder            string
	Life               int // of the encoder's process
	Cold               bool
	Arrived            time.Time
	Started            time.Time // zero: it never ran
	Ended              time.Time
	Fate               Fate
	Work               time.Duration
}

// Ledger is safe for use by several goroutines.
type Ledger struct {
	mu       sync.Mutex
	attempts []*Attempt
	told     map[string]time.Time // when the senders were told that an encoder drains
	most     int
	over     int
}

// New returns a ledger of at most so many attempts; what comes beyond is counted only.
func New(most int) *Ledger { return &Ledger{told: map[string]time.Time{}, most: most} }

// Arrive begins an attempt's line.
func (l *Ledger) Arrive(a Attempt) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.attempts) >= l.most {
		l.over++
	} else {
		l.attempts = append(l.attempts, &a)
	}
	return &a
}

// Start notes that an attempt runs.
func (l *Ledger) Start(a *Attempt, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Started = at
}

// End notes an attempt's fate; the first word counts, but what was done may turn out unheard.
func (l *Ledger) End(a *Attempt, at time.Time, f Fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Fate == Open || a.Fate == Done && f == Unheard {
		a.Ended, a.Fate = at, f
	}
}

// Told notes when all senders have been told that an encoder wants nothing new; a zero time that it
// wants work again.
func (l *Ledger) Told(encoder string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told[encoder] = at; at.IsZero() {
		delete(l.told, encoder)
	}
}

// Attempts is a copy of all lines so far, by arrival.
func (l *Ledger) Attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Attempt, len(l.attempts))
	for i, a := range l.attempts {
		all[i] = *a
	}
	slices.SortStableFunc(all, func(a, b Attempt) int { return a.Arrived.Compare(b.Arrived) })
	return all
}

// Rules are the figures behind the checks.
type Rules struct {
	DrainGrace time.Duration // after which nothing new may reach an encoder that drains
	Slack      time.Duration // of clocks and the network
}

// Breach is one rule that was broken, once.
type Breach struct{ Rule, What string }

func (b Breach) String() string { return b.Rule + ": " + b.What }

// Check finds what broke a rule: "dup", a job that must not run twice did; "overlap", two attempts of
// a job were at an encoder at one time; "drain", work came to a draining encoder too late; "full", the
// ledger itself did not see everything.
func (l *Ledger) Check(r Rules) (broken []Breach) {
	l.mu.Lock()
	told, over := make(map[string]time.Time, len(l.told)), l.over
	for id, at := range l.told {
		told[id] = at
	}
	l.mu.Unlock()
	if over > 0 {
		broken = append(broken, Breach{"full", fmt.Sprintf("%d attempts are not in the ledger", over)})
	}
	ran := map[string]Attempt{}
	open := map[[2]string]Attempt{}
	for _, a := range l.Attempts() {
		if first, before := ran[a.Job]; a.Once && !a.Started.IsZero() && before {
			broken = append(broken, Breach{"dup", fmt.Sprintf("%s ran at %s (sent by %s) and at %s (by %s)", a.Job, first.Encoder, first.Sender, a.Encoder, a.Sender)})
		} else if a.Once && !a.Started.IsZero() {
			ran[a.Job] = a
		}
		at := [2]string{a.Job, a.Encoder}
		if p, ok := open[at]; ok && p.Life == a.Life && (p.Ended.IsZero() || a.Arrived.Before(p.Ended.Add(-r.Slack))) {
			broken = append(broken, Breach{"overlap", fmt.Sprintf("%s came to %s while it was there", a.Job, a.Encoder)})
		}
		open[at] = a
		if t, drains := told[a.Encoder]; drains && a.Arrived.After(t.Add(r.DrainGrace+r.Slack)) {
			broken = append(broken, Breach{"drain", fmt.Sprintf("%s by %s came to %s %v after it was told", a.Job, a.Sender, a.Encoder, a.Arrived.Sub(t).Round(time.Millisecond))})
		}
	}
	return broken
}

// Window is the pressure on an encoder in one window.
type Window struct {
	Encoder string
	From    time.Time
	Work    time.Duration // that arrived in it
	Senders int
}

// Windows is the work that came to each encoder in each window of such a length from its first
// attempt on.
func (l *Ledger) Windows(length time.Duration) (all []Window) {
	type place struct {
		encoder string
		n       int64
	}
	sums, senders := map[place]*Window{}, map[place]map[string]bool{}
	for _, a := range l.Attempts() {
		p := place{a.Encoder, a.Arrived.UnixNano() / int64(length)}
		w := sums[p]
		if w == nil {
			w = &Window{Encoder: a.Encoder, From: time.Unix(0, p.n*int64(length))}
			sums[p], senders[p] = w, map[string]bool{}
		}
		w.Work += a.Work
		senders[p][a.Sender] = true
		w.Senders = len(senders[p])
	}
	for _, w := range sums {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b Window) int {
		return cmp.Or(cmp.Compare(a.Encoder, b.Encoder), a.From.Compare(b.From))
	})
	return all
}
