package prove

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/gang"
	"caperrelay/internal/gang/orders"
	"caperrelay/internal/load"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/encoder"
	"caperrelay/internal/standin/ledger"
	"caperrelay/internal/standin/link"
	"caperrelay/internal/standin/listservice"
	gangv1 "caperrelay/proto/winglb/gang/v1"
)

const (
	gangDaemons  = 5
	gangEncoders = 6
	gangSlots    = 4
	gangLent     = 6 // of the twelve slots at site b
	gangEvery    = 350 * time.Millisecond
	gangWindow   = 8 * time.Second
	gangSkew     = 250 * time.Millisecond
	gangOff      = 500*time.Millisecond + 100*time.Millisecond // and what a loaded machine is late by
	smallWork    = 40 * time.Millisecond
	gangDepth    = 9  // commands that the model check goes
	gangPacked   = 12 // gangs at once, for the use that is made of slots
)

// stage is an installation with gangs, under a network that is cut and daemons that die.
type stage struct {
	*rig.Rig
	net     *link.Net
	rng     *rand.Rand
	callers []gangv1.GangsClient
	small   http.Client
	say     func(string, ...any)

	mu     sync.Mutex
	gangs  []*wanted
	broken []string
}

// check notes a bound that does not hold.
func (s *stage) check(ok bool, what string, args ...any) {
	if !ok {
		s.broken = append(s.broken, fmt.Sprintf(what, args...))
	}
}

// wanted is one gang, and what became of it.
type wanted struct {
	id      string
	sites   []string
	works   []time.Duration
	once    bool
	latest  time.Time
	end     *gangv1.Gang
	ended   time.Time
	alone   bool // its members are sent on their own
	trouble bool // in a time of faults
}

// Gang has gangs start, with small jobs beside, while daemons are killed and stopped, a site is cut off one way and both,
// and encoders drain; then the same gangs' members are sent each on its own.
func Gang(o Options) error {
	say := func(format string, args ...any) { fmt.Fprintf(o.Progress, format+"\n", args...) }
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &stage{net: link.New(1), rng: rand.New(rand.NewPCG(30, 2)), say: say}
	defer s.net.Close()
	s.model()
	lists := listservice.New(time.Millisecond, time.Second)
	defer lists.Close()
	s.Rig, err = rig.New(rig.Options{
		Encoders: gangEncoders, Slots: gangSlots, Daemons: gangDaemons, Command: o.Command, Dir: dir, Output: os.Stderr, Tenants: []string{"ups"}, Promises: true,
		Lists: lists, Net: s.net, Cold: time.Second,
		Classes: []load.Class{{Name: "preview", Work: smallWork, Left: 20 * time.Second}, {Name: "publish", Once: true, Work: smallWork, Left: 20 * time.Second}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for n := range gangDaemons {
		if err := s.more(n); err != nil {
			return err
		}
		conn, err := grpc.NewClient(s.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		defer conn.Close()
		s.callers = append(s.callers, gangv1.NewGangsClient(conn))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Second)
	defer cancel()
	if err := s.StartAll(ctx); err != nil {
		return err
	}
	if err := s.warm(ctx); err != nil {
		return err
	}
	say("small jobs alone")
	alone := s.phase(ctx, 10*time.Second, false, false, false)
	say("  %.0f of %.0f a second served", alone.served, alone.sent)
	say("small jobs and gangs")
	calm := s.phase(ctx, 16*time.Second, true, false, false)
	say("  %.0f of %.0f a second served", calm.served, calm.sent)
	say("with faults")
	rough := s.phase(ctx, 32*time.Second, true, true, false)
	say("  %.0f of %.0f a second served", rough.served, rough.sent)
	say("with faults, members sent on their own")
	s.phase(ctx, 14*time.Second, true, true, true)
	say("%d gangs at once", gangPacked)
	return s.tell(alone, calm, s.packed(ctx), say)
}

// model checks the commitment in all orders of its commands, and that faults put in are found.
func (s *stage) model() {
	m := orders.Explore(orders.NoFault, gangDepth)
	s.say("model: all orders of %d commands: %d states, in %d a gang is about to start; fault: %q", gangDepth, m.States, m.Starting, m.Violation)
	s.check(m.Violation == "" && m.Starting > 0, "model: %s", m.Violation)
	for _, bug := range orders.Mutants {
		m := orders.Explore(bug, gangDepth)
		s.say("mutant %q: found after %d states: %s", bug, m.States, m.Violation)
		s.check(m.Violation != "", "the mutant %q was not found", bug)
	}
}

// packed has many gangs asked for at once, alone, and returns the use that is made of slots as a share of what a planner
// makes of them that sees all: every gang, its true work and all slots in one place, with nothing to commit or to tell.
func (s *stage) packed(ctx context.Context) float64 {
	var all sync.WaitGroup
	var gangs []*wanted
	began := time.Now()
	for n := range gangPacked {
		w := s.draw(fmt.Sprintf("packed-%d", n))
		w.latest = began.Add(45 * time.Second)
		for i := range w.works {
			w.works[i] = time.Duration(8000+s.rng.IntN(2000)) * time.Millisecond
		}
		gangs = append(gangs, w)
		all.Go(func() { s.run(ctx, w) })
	}
	all.Wait()
	var ran, work, over float64
	rounds := s.rounds()
	for _, w := range gangs {
		for _, r := range rounds[w.id] {
			for i := range r.began {
				ran += r.ended[i].Sub(r.began[i]).Seconds()
				over = max(over, r.ended[i].Sub(began).Seconds())
			}
		}
		for _, one := range w.works {
			work += one.Seconds()
		}
	}
	least := seesAll(gangs).Seconds()
	s.say("  %.1f slot-seconds in %.1f s; a planner that sees all: %.1f in %.1f", ran, over, work, least)
	return ran / over / (work / least)
}

// seesAll is the time in which all gangs are done where each starts as soon as it fits, the first asked for first, and
// what fits beside goes before.
func seesAll(gangs []*wanted) (now time.Duration) {
	type run struct {
		site string
		ends time.Duration
	}
	var runs []run
	free := map[string]int{"a": gangEncoders / 2 * gangSlots, "b": gangLent}
	for waiting := slices.Clone(gangs); len(waiting) > 0 || len(runs) > 0; {
		waiting = slices.DeleteFunc(waiting, func(w *wanted) bool {
			left := maps.Clone(free)
			for _, site := range w.sites {
				left[site]--
			}
			if left["a"] < 0 || left["b"] < 0 {
				return false
			}
			for i, site := range w.sites {
				runs = append(runs, run{site, now + w.works[i]})
			}
			free = left
			return true
		})
		next := slices.MinFunc(runs, func(a, b run) int { return cmp.Compare(a.ends, b.ends) })
		now = next.ends
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if r.ends <= now {
				free[r.site]++
			}
			return r.ends <= now
		})
	}
	return now
}

// more is what a daemon's file has beside the record.
func (s *stage) more(n int) error {
	f, err := os.OpenFile(s.Daemon(n).File(), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "[gangs]\n[[gangs.partner]]\nname = \"tuk\"\nsites = [\"b\"]\nslots = %d\n", gangLent)
	return errors.Join(err, f.Close())
}

// warm waits until a gang is done.
func (s *stage) warm(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		w := &wanted{id: fmt.Sprintf("first-%d", i), sites: []string{"a", "b"}, works: []time.Duration{smallWork, smallWork}, latest: time.Now().Add(3 * time.Second)}
		if s.run(ctx, w); w.end.GetVerdict() == gang.Completed {
			return nil
		}
	}
	return errors.New("no gang is ever done")
}

// rates is small jobs a second.
type rates struct{ sent, served float64 }

// phase lasts so long, with small jobs throughout.
func (s *stage) phase(ctx context.Context, long time.Duration, gangs, faults, alone bool) rates {
	r := load.NewReport()
	start := time.Now().Add(50 * time.Millisecond)
	rate := 0.45 * gangEncoders * gangSlots / smallWork.Seconds()
	jobs := load.Draw(s.rng.Uint64(), long, []load.Class{{Name: "preview", Rate: rate, Work: smallWork, Left: 3 * time.Second}}, "ups")
	var all sync.WaitGroup
	all.Go(func() { r.Run(ctx, start, jobs, s) })
	ctx, cancel := context.WithDeadline(ctx, start.Add(long+gangWindow+10*time.Second))
	defer cancel()
	if faults {
		all.Go(func() { s.faults(start.Add(long-2*time.Second), s.say) })
	}
	for n := 0; gangs && time.Until(start.Add(long-2*time.Second)) > 0; n++ {
		w := s.draw(fmt.Sprintf("%x-%d", start.UnixMilli()&0xffffff, n))
		w.alone, w.trouble = alone, faults
		all.Go(func() { s.run(ctx, w) })
		time.Sleep(gangEvery)
	}
	all.Wait()
	t := r.Total()
	return rates{float64(t.Sent) / long.Seconds(), float64(t.Verdicts[load.Served]) / long.Seconds()}
}

// draw is a gang of two to four members.
func (s *stage) draw(id string) *wanted {
	w := &wanted{id: id, once: s.rng.IntN(2) == 0, latest: time.Now().Add(gangWindow)}
	for i := range 2 + s.rng.IntN(3) {
		w.sites = append(w.sites, []string{"a", "b"}[i%2])
		w.works = append(w.works, time.Duration(600+s.rng.IntN(500))*time.Millisecond)
	}
	s.mu.Lock()
	s.gangs = append(s.gangs, w)
	s.mu.Unlock()
	return w
}

func (w *wanted) class() string { return map[bool]string{true: "publish", false: "preview"}[w.once] }

func (w *wanted) target(i int) string {
	return fmt.Sprintf("/api?work_us=%d&class=%s%s", w.works[i].Microseconds(), w.class(), map[bool]string{true: "&once=1"}[w.once])
}

// run asks for a gang and waits for its end; alone, its members are sent at one time to dispatchers of their sites.
func (s *stage) run(ctx context.Context, w *wanted) {
	if w.alone {
		time.Sleep(gang.MinLead)
		var all sync.WaitGroup
		for i, site := range w.sites {
			n := (i/2)*2 + map[string]int{"b": 1}[site]
			all.Go(func() {
				q, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Daemon(n%gangDaemons).Listen+w.target(i), strings.NewReader("work"))
				if err == nil {
					s.post(q, gang.JobID(w.id, 1, i), w.class(), w.works[i], 3*time.Second)
				}
			})
		}
		all.Wait()
		return
	}
	q := &gangv1.SubmitRequest{Id: w.id, LatestStartUs: uint64(w.latest.UnixMicro())}
	for i, site := range w.sites {
		q.Members = append(q.Members, &gangv1.Member{Site: site, Class: w.class(), WorkUs: uint64(w.works[i].Microseconds()), Target: w.target(i)})
	}
	var g *gangv1.Gang
	for n, asked := len(w.id), false; ctx.Err() == nil; n++ {
		call, cancel := context.WithTimeout(ctx, 4*time.Second)
		var err error
		if c := s.callers[n%gangDaemons]; !asked {
			g, err = c.Submit(call, q)
		} else {
			g, err = c.Await(call, &gangv1.AwaitRequest{Id: w.id})
		}
		if cancel(); err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if asked = true; g.GetState() == string(gang.Ended) {
			w.end, w.ended = g, time.Now()
			return
		}
	}
	w.end = g
}

// Do sends a small job to some dispatcher.
func (s *stage) Do(ctx context.Context, a load.Arrival) (load.Verdict, error) {
	n := turn.Add(1)
	q, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/api?work_us=%d&class=preview", s.Daemon(int(n%gangDaemons)).Listen, a.Work.Microseconds()), strings.NewReader("work"))
	if err != nil {
		return load.Failed, err
	}
	return s.post(q, a.ID, a.Class, a.Work, a.Left)
}

var turn atomic.Uint32

func (s *stage) post(q *http.Request, id, class string, work, left time.Duration) (load.Verdict, error) {
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Service-Class", class)
	q.Header.Set("X-Account", "ups")
	q.Header.Set("X-Weight-Hint", fmt.Sprintf("%du", work.Microseconds()))
	q.Header.Set("X-Time-Left", fmt.Sprintf("%dm", left.Milliseconds()))
	p, err := s.small.Do(q)
	if err != nil {
		return load.Failed, nil
	}
	defer p.Body.Close()
	io.Copy(io.Discard, p.Body)
	switch p.StatusCode {
	case 200:
		return load.Served, nil
	case 429, 503:
		return load.Refused, nil
	}
	return load.Failed, nil
}

// faults has one at a time, until a moment.
func (s *stage) faults(until time.Time, say func(string, ...any)) {
	a, b := []string{"n0", "n2", "n4"}, []string{"n1", "n3"}
	oneWay := func(cut bool) {
		for _, from := range b {
			for _, to := range a {
				s.net.Set(link.Way{From: from, To: to}, link.Weather{Cut: cut})
			}
		}
	}
	for n := 0; time.Now().Before(until); n++ {
		d := s.Daemon(n % gangDaemons)
		say("  %s: fault %d, n%d", time.Now().Format("05.000"), n%5, n%gangDaemons)
		switch n % 5 {
		case 0:
			d.Kill()
			time.Sleep(500 * time.Millisecond)
			if d.Start() == nil {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				d.Ready(ctx)
				cancel()
			}
		case 1:
			oneWay(true)
			time.Sleep(900 * time.Millisecond)
			oneWay(false)
		case 2:
			s.net.Cut(true, a, b)
			time.Sleep(900 * time.Millisecond)
			s.net.Cut(false, a, b)
		case 3:
			if d.Stop() == nil {
				time.Sleep(800 * time.Millisecond)
				d.Wake()
			}
		case 4:
			e := s.Host.Encoders()[n%gangEncoders]
			e.Drain()
			s.Lists.Changed()
			time.Sleep(time.Second)
			e.Restart()
			s.Lists.Changed()
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

var gangJob = regexp.MustCompile(`^gang-(.+)-(\d+)-(\d+)$`)

var member = regexp.MustCompile(`member \d+( at \S+)?`)

// round is one start of a gang, by encoders' own word.
type round struct {
	began, ended []time.Time
	where, from  []string
	members      []string
	fates        []ledger.Fate
}

// ran is how many members did, however often: a job that its dispatcher sends again to the same encoder is one.
func (r *round) ran() int { return len(slices.Compact(slices.Sorted(slices.Values(r.members)))) }

func (s *stage) rounds() map[string]map[string]*round {
	all := map[string]map[string]*round{}
	for _, a := range s.Host.Ledger.Attempts() {
		m := gangJob.FindStringSubmatch(a.Job)
		if m == nil || a.Started.IsZero() {
			continue
		}
		if all[m[1]] == nil {
			all[m[1]] = map[string]*round{}
		}
		r := all[m[1]][m[2]]
		if r == nil {
			r = &round{}
			all[m[1]][m[2]] = r
		}
		end := a.Ended
		if end.IsZero() {
			end = time.Now()
		}
		r.began, r.ended, r.where = append(r.began, a.Started), append(r.ended, end), append(r.where, a.Encoder)
		r.members = append(r.members, m[3])
		r.from, r.fates = append(r.from, a.Sender), append(r.fates, a.Fate)
	}
	return all
}

// tell prints the figures, and returns what broke.
func (s *stage) tell(alone, calm rates, utilisation float64, say func(string, ...any)) error {
	var began, notStarted, half, dead, stuck, late, moved, together, halfAlone, doubled int
	var skews []float64
	var held, ran float64
	type edge struct {
		at  time.Time
		add int
		job string
	}
	var lent []edge
	rounds := s.rounds()
	gangs := 0
	whys := map[string]int{} // of what did not start, with or without faults
	for _, w := range s.gangs {
		if gangs++; w.alone {
			gangs--
		}
		for n, r := range rounds[w.id] {
			runs := w.end.GetVerdict() == gang.Completed || w.end.GetVerdict() == gang.DiedAfterStart
			first, last := slices.MinFunc(r.began, time.Time.Compare), slices.MaxFunc(r.began, time.Time.Compare)
			over := slices.MaxFunc(r.ended, time.Time.Compare)
			all := r.ran() == len(w.sites)
			switch {
			case w.alone:
				if !all || last.Sub(first) > gangSkew {
					halfAlone++
				}
			case all && runs && n == fmt.Sprint(lastOf(rounds[w.id])):
				together++
				skews = append(skews, last.Sub(first).Seconds()*1000)
				if !w.trouble {
					for i := range r.began {
						held += over.Sub(first).Seconds()
						ran += r.ended[i].Sub(r.began[i]).Seconds()
					}
				}
			case over.Sub(first) > gangOff:
				half++
				say("by halves: %s: %d of %d ran, for %v; then %v", w.id, r.ran(), len(w.sites), over.Sub(first), w.end)
				for i := range r.began {
					say("  member %s at %v from %s at %s for %v: %v", r.members[i], r.began[i].Format("05.000"), r.from[i], r.where[i], r.ended[i].Sub(r.began[i]), r.fates[i])
				}
			}
			for i := range r.began {
				if !w.alone && s.site(r.where[i]) == "b" {
					job := w.id + " round " + n + " member " + r.members[i] + " from " + r.from[i] + " at " + r.where[i]
					lent = append(lent, edge{r.began[i], 1, job}, edge{r.ended[i], -1, job})
				}
			}
		}
		if w.alone {
			continue
		}
		if w.once && len(rounds[w.id]) > 1 {
			doubled += s.twice(w.id)
		}
		switch v := w.end.GetVerdict(); {
		case w.ended.IsZero():
			stuck++
			say("without an end: %v", w.end)
		case v == gang.NotStarted:
			notStarted++
			whys[fmt.Sprintf("%v %s", w.trouble, member.ReplaceAllString(w.end.GetWhy(), "a member"))]++
			if w.ended.After(w.latest.Add(2 * time.Second)) {
				late++
				say("told no %v after its latest start: %v", w.ended.Sub(w.latest), w.end)
			}
		default:
			if began++; v == gang.DiedAfterStart {
				dead++
			}
		}
		moved += int(w.end.GetMoves())
	}
	slices.SortFunc(lent, func(a, b edge) int { return a.at.Compare(b.at) })
	now, most := 0, 0
	runs := map[string]time.Time{}
	for _, e := range lent {
		if now += e.add; e.add < 0 {
			delete(runs, e.job)
			continue
		}
		if runs[e.job] = e.at; now > max(most, gangLent) {
			say("%d lent slots are used at %s: %v", now, e.at.Format("05.000"), runs)
		}
		most = max(most, now)
	}
	passed := max(0, most-gangLent)
	slices.Sort(skews)
	p99 := math.NaN()
	if len(skews) > 0 {
		p99 = skews[(len(skews)-1)*99/100]
	}
	kept := calm.served / alone.served
	say("not started, in times of faults or not: %v", whys)
	say("%d starts of all members together; at most %d of %d lent slots used at once", together, most, gangLent)
	fmt.Printf("prove gang: processes=%d gangs=%d started=%d not_started=%d half_started=%d dead_after_commit=%d skew_ms_p99=%.1f cap_passed=%d deadlocks=%d wait_bound_passed=%d moved_in_grace=%d held_idle_share=%.2f small_jobs_kept=%.2f utilisation=%.2f baseline_half_started=%d\n",
		gangDaemons, gangs, began, notStarted, half, dead, p99, passed, stuck, late, moved, 1-ran/held, kept, utilisation, halfAlone)
	s.check(began > 50, "only %d gangs started", began)
	s.check(half == 0, "%d gangs ran by halves", half)
	s.check(doubled == 0, "%d members ran twice that must not", doubled)
	s.check(p99 <= 250, "members start %.0f ms apart", p99)
	s.check(passed == 0, "a partner's cap was passed by %d", passed)
	s.check(stuck == 0, "%d gangs have no end", stuck)
	s.check(late == 0, "%d gangs waited beyond their bound", late)
	s.check(moved > 0, "no hold was ever moved")
	s.check(halfAlone > 0, "members sent on their own never ran by halves: nothing was tried")
	s.check(kept >= 0.95, "small jobs keep %.3f of what they have without gangs", kept)
	s.check(utilisation >= 0.9, "slots are used at %.3f of what a planner makes that sees all", utilisation)
	if len(s.broken) > 0 {
		return errors.New(strings.Join(s.broken, "; "))
	}
	return nil
}

// lastOf is the last of a gang's rounds: the one that counts, where it was started.
func lastOf(all map[string]*round) (last int) {
	for n := range all {
		if i, err := strconv.Atoi(n); err == nil {
			last = max(last, i)
		}
	}
	return last
}

// twice is how many members ran more than once.
func (s *stage) twice(id string) (n int) {
	ran := map[string]int{}
	for _, a := range s.Host.Ledger.Attempts() {
		if m := gangJob.FindStringSubmatch(a.Job); m != nil && m[1] == id && !a.Started.IsZero() {
			if ran[m[3]]++; ran[m[3]] == 2 {
				n++
			}
		}
	}
	return n
}

// site is an encoder's.
func (s *stage) site(id string) (site string) {
	for _, e := range s.Host.Encoders() {
		if e.ID() == id {
			e.Look(func(m *encoder.Encoder) { site = m.Zone })
		}
	}
	return site
}
