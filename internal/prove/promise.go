package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"caperrelay/internal/load"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/promise"
	"caperrelay/internal/replica"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/link"
	"caperrelay/winglb"
)

const (
	promiseDaemons = 5
	promiseAskers  = 6
	promiseEach    = 40 * time.Millisecond // between two jobs of an asker
	promisePlay    = 55 * time.Second
	promiseAlone   = 12 * time.Second // with one copy
	promiseWithin  = 6 * time.Second  // of each job
	promiseCall    = 4 * time.Second  // until an asker goes on
	mostUnheard    = 2 * time.Second  // until a group takes jobs again
	mostOverFloor  = 3.0              // a receipt's 99th percentile, over one fsync and one round trip
	leastOfSingle  = 0.5              // the rate of receipts, of one process's with a store of its own
	promiseDepth   = 8                // of the model
)

// Promise hands jobs in for good while machines are lost with their disks, disks go bad, dispatchers are cut off and
// stand still; then the same with one copy of each, which must lose some.
func Promise(o Options) error {
	say := func(format string, args ...any) { fmt.Fprintf(o.Progress, format+"\n", args...) }
	began := time.Now()
	var broken []string
	check := func(ok bool, what string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(what, args...))
		}
	}
	states, caught := 0, 0
	for _, repeats := range []bool{false, true} {
		x := promise.Explore(repeats, promiseDepth)
		say("model: a change of owner in all orders, a job that repeats: %v: %d states, %d steps deep", repeats, x.States, x.Depth)
		check(x.Violation == "", "model: %s", x.Violation)
		states += x.States
	}
	for _, m := range promise.Mutants() {
		say("mutant: %s: %q after %d states and %d steps", m.Name, m.Violation, m.States, m.Depth)
		check(m.Violation == m.Expected, "mutant %q is not caught", m.Name)
		if m.Violation == m.Expected {
			caught++
		}
	}
	many, err := pace(o, say, promiseDaemons, 3)
	if err != nil {
		return err
	}
	one, err := pace(o, say, 1, 1)
	if err != nil {
		return err
	}
	over, rate := float64(quantile(many.receipts, 0.99))/float64(max(1, quantile(many.floors, 0.99))), many.rate/max(1, one.rate)
	with, err := oath(o, say, 3)
	if err != nil {
		return err
	}
	alone, err := oath(o, say, 1)
	if err != nil {
		return err
	}
	linear := map[porcupine.CheckResult]string{porcupine.Ok: "yes", porcupine.Illegal: "no", porcupine.Unknown: "unknown"}[with.linear]
	fmt.Printf("prove promise: processes=%d groups=%d promises=%d operations=%d machines_lost=%d cuts=%d pauses=%d disk_faults=%d lost=%d doubled_unsafe=%d ended_not_once=%d told_wrong=%d linearizable=%s done=%d failed=%d refused=%d receipt_ms_p50=%d receipt_ms_p99=%d unavailable_ms_p99=%d unavailable_ms_max=%d receipt_p99_over_floor=%.1f calm_receipt_ms_p50=%.1f calm_receipt_ms_p99=%.1f floor_ms_p99=%.1f rate_over_single=%.2f rate=%.0f single_rate=%.0f baseline_promises=%d baseline_machines_lost=%d baseline_lost=%d model_states=%d mutants_caught=%d seconds=%d\n",
		promiseDaemons, with.groups, with.promises, with.operations, with.machines, with.cuts, with.pauses, with.disks, with.lost, with.doubled, with.twice, with.wrong, linear,
		with.ends[winglb.EndDone], with.ends[winglb.EndFailed], with.ends[winglb.EndRefused],
		quantile(with.receipts, 0.5).Milliseconds(), quantile(with.receipts, 0.99).Milliseconds(),
		quantile(with.unheard, 0.99).Milliseconds(), quantile(with.unheard, 1).Milliseconds(),
		over, millis(quantile(many.receipts, 0.5)), millis(quantile(many.receipts, 0.99)), millis(quantile(many.floors, 0.99)), rate, many.rate, one.rate,
		alone.promises, alone.machines, alone.lost, states, caught, int(time.Since(began).Seconds()))
	check(with.promises >= 1000, "only %d jobs were promised", with.promises)
	check(with.machines >= 2 && with.cuts >= 2 && with.pauses >= 2 && with.disks >= 1, "too little went wrong")
	check(with.lost == 0, "%d promises were lost", with.lost)
	check(with.doubled == 0, "%d jobs that must not run twice did", with.doubled)
	check(with.twice == 0, "%d promises had two ends", with.twice)
	check(with.wrong == 0, "%d ends are not what encoders saw", with.wrong)
	check(linear == "yes", "the history is not linearizable: %s", linear)
	check(over <= mostOverFloor, "a receipt's p99 is %.1f times one fsync and one round trip, more than %.0f", over, mostOverFloor)
	check(rate >= leastOfSingle, "the rate is %.2f of one process's, less than %.1f", rate, leastOfSingle)
	check(quantile(with.unheard, 0.99) < mostUnheard, "a group took no jobs for %v", quantile(with.unheard, 0.99))
	check(alone.lost > 0, "with one copy nothing was lost: what is lost is not seen")
	if len(broken) > 0 {
		return errors.New(strings.Join(broken, "; "))
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// oathFigures is what a play comes to.
type oathFigures struct {
	groups, promises, operations  int
	machines, cuts, pauses, disks int
	lost, doubled, twice, wrong   int
	ends                          map[winglb.EndKind]int
	linear                        porcupine.CheckResult
	receipts, unheard             []time.Duration
}

// An operation of a client, as porcupine sees it.
type asked struct {
	id, what string
}

type told struct {
	index   uint64 // of a receipt
	end     string
	code    codes.Code
	unknown bool // whether it had an effect
}

// kept is what is true of one id.
type keptState struct {
	phase int    // 0: nothing, 1: promised, 2: ended
	index uint64 // 0: not known
	end   string
}

// promiseModel is what a promise must look like from outside, id by id. That a job ends is nobody's operation: it may
// come to pass at any time while it is promised.
var promiseModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(asked).id
			by[id] = append(by[id], o)
		}
		var all [][]porcupine.Operation
		for _, h := range by {
			all = append(all, h)
		}
		return all
	},
	Init: func() []any { return []any{keptState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keptState), input.(asked), output.(told)
		switch in.what {
		case "promise":
			switch {
			case out.unknown && s.phase == 0:
				return []any{s, keptState{phase: 1}}
			case out.unknown:
				return []any{s}
			case s.phase == 0:
				return []any{keptState{phase: 1, index: out.index}}
			case s.index == 0 || s.index == out.index:
				return []any{keptState{s.phase, out.index, s.end}}
			}
		case "await":
			switch {
			case out.unknown:
				return []any{s}
			case out.code == codes.NotFound && s.phase == 0:
				return []any{s}
			case out.code == codes.OK && s.phase == 1:
				return []any{keptState{2, s.index, out.end}}
			case out.code == codes.OK && s.phase == 2 && s.end == out.end:
				return []any{s}
			}
		case "forget":
			switch {
			case out.unknown:
				return []any{s, keptState{}}
			case out.code == codes.OK && s.phase > 0, out.code == codes.NotFound: // an earlier try of the same call may have done it
				return []any{keptState{}}
			}
		}
		return nil
	},
}

// swearing is one play.
type swearing struct {
	*rig.Rig
	daemons int
	dir     string
	net     *link.Net
	say     func(string, ...any)
	began   time.Time
	calls   []*winglb.Promises
	stop    chan struct{}

	mu      sync.Mutex
	history []porcupine.Operation
	class   map[string]string // of ids with a receipt
	gone    map[string]bool   // forgotten, perhaps
	f       oathFigures
	faults  []faultAt
	heard   map[uint32][]heardAt // probes by group
	clients atomic.Int64
}

// faultAt is when something went wrong, and what.
type faultAt struct {
	time.Time
	what string
}

type heardAt struct{ call, back time.Time }

func oath(o Options, say func(string, ...any), copies int) (f oathFigures, err error) {
	length := promisePlay
	if copies == 1 {
		length = promiseAlone
	}
	say("%d dispatchers, %d copies of each promise, %v", promiseDaemons, copies, length)
	s, end, err := swear(o, say, promiseDaemons, copies)
	if err != nil {
		return f, err
	}
	defer end()
	var all sync.WaitGroup
	for k := range promiseAskers {
		all.Go(func() { s.ask(k, &all) })
	}
	for g := uint32(1); g < uint32(s.f.groups); g++ {
		all.Go(func() { s.probe(g) })
	}
	over := time.Now().Add(length)
	if copies == 1 {
		for range 2 {
			time.Sleep(length / 4)
			s.lose(s.leader(), copies)
		}
		time.Sleep(time.Until(over))
	} else if err := s.trouble(over); err != nil {
		return f, err
	}
	close(s.stop)
	all.Wait()
	s.reckon(copies)
	return s.f, nil
}

// swear starts dispatchers that keep promises; end ends them.
func swear(o Options, say func(string, ...any), daemons, copies int) (s *swearing, end func(), err error) {
	var ends []func()
	end = func() {
		for _, f := range slices.Backward(ends) {
			f()
		}
	}
	defer func() {
		if err != nil {
			end()
		}
	}()
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return nil, nil, err
	}
	ends = append(ends, func() { os.RemoveAll(dir) })
	net := link.New(1)
	ends = append(ends, func() { net.Close() })
	r, err := rig.New(rig.Options{
		Encoders: 4, Slots: 8, Daemons: daemons, Command: o.Command, Dir: dir, Tenants: []string{"ups"}, Lean: true, Promises: true, Net: net,
		Classes: []load.Class{{Name: "preview", Work: 5 * time.Millisecond, Left: promiseWithin}, {Name: "publish", Once: true, Work: 5 * time.Millisecond, Left: promiseWithin}},
	})
	if err != nil {
		return nil, nil, err
	}
	ends = append(ends, func() { r.Close() })
	s = &swearing{
		Rig: r, net: net, say: say, began: time.Now(), stop: make(chan struct{}), class: map[string]string{}, gone: map[string]bool{}, heard: map[uint32][]heardAt{},
		f: oathFigures{ends: map[winglb.EndKind]int{}}, daemons: daemons, dir: dir,
	}
	for n := range daemons {
		if err := s.copies(n, copies); err != nil {
			return nil, nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := r.StartAll(ctx); err != nil {
		return nil, nil, err
	}
	for i := range daemons { // each begins at another
		at := r.Controls()
		p, err := winglb.NewPromises(winglb.Config{Daemons: append(at[i:], at[:i]...)})
		if err != nil {
			return nil, nil, err
		}
		ends = append(ends, p.Close)
		s.calls = append(s.calls, p)
	}
	if !s.until(20*time.Second, func() bool { return s.settled(copies) }) {
		return nil, nil, errors.New("the record was not there within 20 s")
	}
	s.f.groups = s.groups()
	return s, end, nil
}

// groups is how many there are, the root's included.
func (s *swearing) groups() (n int) {
	for d := range s.daemons {
		for _, g := range s.standing(d).Groups {
			n = max(n, int(g.Group)+1)
		}
	}
	return n
}

func (s *swearing) copies(n, copies int) error {
	path := s.Daemon(n).File()
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), "[promises]\n", fmt.Sprintf("[promises]\ncopies = %d\n", copies), 1)
	if changed == string(text) {
		return errors.New("the rig's file has no [promises]")
	}
	return os.WriteFile(path, []byte(changed), 0o600)
}

func (s *swearing) standing(n int) (v replicas.Status) {
	json.Unmarshal([]byte(s.Daemon(n).Ask("replicas")), &v)
	return v
}

// settled tells whether each group has all its copies, and a leader.
func (s *swearing) settled(copies int) bool {
	seen := map[uint32]bool{}
	members := map[string]bool{}
	var all []replica.Status
	for n := range s.daemons {
		v := s.standing(n)
		if v.Table == "" {
			return false
		}
		members[fmt.Sprintf("%s/%08x", v.Member.Name, v.Member.Incarnation)] = true
		all = append(all, v.Groups...)
	}
	for _, g := range all {
		if g.Halted || len(g.Learners) > 0 || len(g.Voters) != copies || slices.ContainsFunc(g.Voters, func(v string) bool { return !members[v] }) {
			return false
		}
		seen[g.Group] = true
	}
	return len(seen) > 1
}

func (s *swearing) until(patience time.Duration, yes func() bool) bool {
	for over := time.Now().Add(patience); !yes(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(over) {
			return false
		}
	}
	return true
}

// leader is a daemon that acts for most.
func (s *swearing) leader() (best int) {
	most := int64(-1)
	for n := range s.daemons {
		if leads := s.Daemon(n).Figure("replicas.leads"); leads > most {
			best, most = n, leads
		}
	}
	return best
}

// fault notes that something goes wrong now.
func (s *swearing) fault(what string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faultAt{time.Now(), what})
	s.say("%5.1f s  n%d: %s", time.Since(s.began).Seconds(), n, what)
}

func (s *swearing) lose(n, copies int) {
	s.fault("its machine is lost with its disk", n)
	s.f.machines++
	s.Daemon(n).Kill()
	if err := s.Daemon(n).Forget(); err != nil {
		s.say("%v", err)
	}
	time.Sleep(700 * time.Millisecond)
	s.Daemon(n).Start()
}

// spoil flips bits of a daemon's store while it is down.
func (s *swearing) spoil(n int) error {
	s.fault("its disk has gone bad", n)
	s.f.disks++
	s.Daemon(n).Kill()
	path := filepath.Join(s.Daemon(n).Record(), "replicas.db")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	flipped := 0
	for i := 0; i+7 < len(text); i++ { // in what was promised, where nothing but our own sums would notice
		if string(text[i:i+7]) == `"class"` {
			text[i+9] ^= 4
			flipped++
		}
	}
	if flipped == 0 {
		return fmt.Errorf("%s: no promise in %d bytes", path, len(text))
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return s.Daemon(n).Start()
}

// trouble has one thing after another go wrong, each with whoever acts for most; the next when that is mended.
func (s *swearing) trouble(over time.Time) error {
	others := func(n int) (names []string) {
		for m := range s.daemons {
			if m != n {
				names = append(names, fmt.Sprint("n", m))
			}
		}
		return names
	}
	steps := []func(n int) error{
		func(n int) error { s.lose(n, 3); return nil },
		func(n int) error {
			s.fault("it stands still for 2 s", n)
			s.f.pauses++
			if err := s.Daemon(n).Stop(); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			return s.Daemon(n).Wake()
		},
		func(n int) error {
			s.fault("the others do not hear it for 2 s", n)
			s.f.cuts++
			for _, m := range others(n) {
				s.net.Set(link.Way{From: fmt.Sprint("n", n), To: m}, link.Weather{Cut: true})
			}
			time.Sleep(2 * time.Second)
			for _, m := range others(n) {
				s.net.Set(link.Way{From: fmt.Sprint("n", n), To: m}, link.Weather{})
			}
			return nil
		},
		s.spoil,
		func(n int) error {
			s.fault("it is cut off for 2 s", n)
			s.f.cuts++
			s.net.Cut(true, []string{fmt.Sprint("n", n)}, others(n))
			time.Sleep(2 * time.Second)
			s.net.Cut(false, []string{fmt.Sprint("n", n)}, others(n))
			return nil
		},
	}
	for i := 0; time.Now().Before(over); i++ {
		time.Sleep(1500 * time.Millisecond)
		if err := steps[i%len(steps)](s.leader()); err != nil {
			return err
		}
		if !s.until(25*time.Second, func() bool { return s.settled(3) }) {
			return errors.New("the record was not whole again within 25 s")
		}
	}
	return nil
}

// note puts an operation into the history. One that may have an effect yet ends never.
func (s *swearing) note(client int, in asked, call time.Time, out told) {
	back := time.Since(s.began)
	if out.unknown {
		back = time.Hour
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(s.began)), Output: out, Return: int64(back)})
}

func unsure(err error) bool {
	switch status.Code(err) {
	case codes.OK, codes.NotFound, codes.FailedPrecondition:
		return false
	}
	return true
}

func (s *swearing) promise(client int, at *winglb.Promises, id, class string, work time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), promiseCall)
	defer cancel()
	once := map[bool]string{true: "&once=1"}[class == "publish"]
	call := time.Now()
	r, err := at.Promise(ctx, winglb.Promised{
		Job: winglb.Job{ID: id, Class: class, Tenant: "ups", Work: work}, Payload: []byte("work"), Within: promiseWithin, Keep: time.Hour,
		Target: fmt.Sprintf("/api?work_us=%d&class=%s%s", work.Microseconds(), class, once),
	})
	s.note(client, asked{id, "promise"}, call, told{index: r.Index, unknown: err != nil})
	if err == nil {
		s.mu.Lock()
		s.class[id] = class
		s.f.receipts = append(s.f.receipts, time.Since(call))
		s.mu.Unlock()
	}
	return err == nil
}

// await records how a promise ended; false: it is not known.
func (s *swearing) await(client int, at *winglb.Promises, id string, within time.Duration) (winglb.End, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	call := time.Now()
	e, err := at.Await(ctx, id)
	if !unsure(err) {
		s.note(client, asked{id, "await"}, call, told{end: fmt.Sprint(e), code: status.Code(err)})
	}
	return e, err
}

// ask hands jobs in one after another, each now and then by two at once; others wait for their ends.
func (s *swearing) ask(k int, all *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(7, uint64(k)))
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(promiseEach):
		}
		id, class := fmt.Sprintf("j%d-%d", k, i), []string{"preview", "publish"}[i%2]
		work := time.Duration(2+rng.IntN(30)) * time.Millisecond
		other := s.calls[(k+1)%len(s.calls)]
		forgets, twice := rng.IntN(3) == 0, rng.IntN(5) == 0
		var both sync.WaitGroup
		if twice {
			both.Go(func() { s.promise(int(s.clients.Add(1)), other, id, class, work) })
		}
		ok := s.promise(k, s.calls[k%len(s.calls)], id, class, work)
		both.Wait()
		if !ok || i%4 != 0 {
			continue // asked for at the end
		}
		all.Go(func() {
			c := int(s.clients.Add(1))
			first, err := s.await(c, other, id, 2*promiseWithin)
			if err != nil {
				return
			}
			s.same(id, first, c, s.calls[(k+2)%len(s.calls)])
			if forgets {
				s.mu.Lock()
				s.gone[id] = true
				s.mu.Unlock()
				ctx, cancel := context.WithTimeout(context.Background(), promiseCall)
				defer cancel()
				call := time.Now()
				err := other.Forget(ctx, id)
				s.note(c, asked{id, "forget"}, call, told{code: status.Code(err), unknown: unsure(err)})
				if err == nil {
					s.await(c, s.calls[(k+3)%len(s.calls)], id, promiseCall)
				}
			}
		})
	}
}

// same asks for an end again, elsewhere.
func (s *swearing) same(id string, first winglb.End, client int, at *winglb.Promises) {
	if again, err := s.await(client, at, id, 2*promiseWithin); err == nil && fmt.Sprint(again) != fmt.Sprint(first) {
		s.mu.Lock()
		s.f.twice++
		s.say("%s ended %v and %v", id, first, again)
		s.mu.Unlock()
	}
}

// probe hands small jobs in at one group all the time, to see when it takes any.
func (s *swearing) probe(g uint32) {
	c := int(s.clients.Add(1))
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("p%d-%d", g, i)
		for k := 0; replica.GroupOf(id, uint32(s.f.groups)) != g; k++ {
			id = fmt.Sprintf("p%d-%d-%d", g, i, k)
		}
		call := time.Now()
		if s.promise(c, s.calls[i%len(s.calls)], id, "preview", time.Millisecond) {
			s.mu.Lock()
			s.heard[g] = append(s.heard[g], heardAt{call, time.Now()})
			s.mu.Unlock()
		}
	}
}

// reckon looks at all that was promised, and at what encoders saw.
func (s *swearing) reckon(copies int) {
	patience := 30 * time.Second
	if copies == 1 {
		patience = promiseWithin
	}
	ids := make(chan string, len(s.class))
	for id := range s.class {
		if !s.gone[id] {
			ids <- id
		}
	}
	close(ids)
	ends := map[string]winglb.End{}
	over := time.Now().Add(patience)
	var all sync.WaitGroup
	for k := range 64 {
		all.Go(func() {
			for id := range ids {
				e, err := s.await(int(s.clients.Add(1)), s.calls[k%len(s.calls)], id, max(time.Until(over), 200*time.Millisecond))
				s.mu.Lock()
				if err != nil {
					if s.f.lost++; copies > 1 {
						s.say("%s is lost: %v", id, err)
					}
				} else {
					ends[id] = e
					s.f.ends[e.Kind]++
				}
				s.mu.Unlock()
			}
		})
	}
	all.Wait()
	s.f.promises, s.f.operations = len(s.class), len(s.history)
	ran := map[string]int{}
	for _, a := range s.Host.Ledger.Attempts() {
		if id, _, _, ok := promise.ReadWireID(a.Job); ok && !a.Started.IsZero() {
			ran[id]++
		}
	}
	for id, class := range s.class {
		if class == "publish" && ran[id] > 1 {
			s.f.doubled++
			s.say("%s ran %d times", id, ran[id])
		}
		if e, ok := ends[id]; ok && (e.Kind == winglb.EndDone && ran[id] == 0 || e.Kind == winglb.EndRefused && ran[id] > 0) {
			s.f.wrong++
			s.say("%s ran %d times, and its end is %v", id, ran[id], e)
		}
	}
	worst := map[string]time.Duration{}
	for _, at := range s.faults {
		for g, probes := range s.heard { // in order
			i := slices.IndexFunc(probes, func(p heardAt) bool { return !p.call.Before(at.Time) || p.back.After(at.Time) })
			if i < 0 {
				continue
			}
			after := probes[i].back.Sub(at.Time)
			worst[at.what] = max(worst[at.what], after)
			if s.f.unheard = append(s.f.unheard, after); after > mostUnheard {
				s.say("group %d took no jobs for %v after what went wrong at %.1f s", g, after.Round(time.Millisecond), at.Sub(s.began).Seconds())
			}
		}
	}
	for what, d := range worst {
		s.say("until a group took jobs again, at worst: %v, after: %s", d.Round(time.Millisecond), what)
	}
	if copies > 1 {
		s.f.linear = porcupine.CheckOperationsTimeout(promiseModel.ToModel(), s.history, 20*time.Second)
	}
}
