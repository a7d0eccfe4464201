package accord

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// This test explores one change of the settings: three dispatchers, of which one may be lost and restart and one may be
// paused, with the worst schedules of heartbeats, answers, checks and applied rules. A lease is two ticks.

const (
	tick         = Lease / 2
	processCount = 3
)

type model struct {
	clockTicks int
	index      uint64
	table      *Machine
	driver     *Monitor
	processes  [processCount]process
	evictions  []Command // proposed and not committed yet
	late       []Command // heartbeats that their senders gave up
	losses     int       // heartbeats that may still be given up
	faults     int       // pauses and crashes that may still happen
	mutant     string
	conflict   string
	trace      []string
	refuses    int // the process that cannot apply the new version; -1: none
}

type process struct {
	m         *Member
	paused    bool
	down      bool
	saved     Saved
	heartbeat *Command
	answer    *Answer
}

func (w *model) now() time.Duration { return time.Duration(w.clockTicks) * tick }

// newModel returns a state in which all apply version 1, which is agreed, and version 2 is proposed.
func newModel(mutant string, losses, faults, refuses int) *model {
	w := &model{table: New(), driver: NewMonitor(), losses: losses, faults: faults, mutant: mutant, refuses: refuses}
	w.table.s.Agreed, w.table.s.LastNumber = Version{1, "n0", json.RawMessage(`"one"`)}, 1
	if mutant == "evicted before its lease expires" {
		w.driver.leaseExpiry = 0
	}
	for i := range w.processes {
		m := NewMember(Process{fmt.Sprint("n", i), uint64(i)}, Saved{Agreed: w.table.s.Agreed})
		w.processes[i].m = m
		c, _ := m.NextHeartbeat(0)
		m.HandleAnswer(w.apply(c))
		m.Applied(m.Directive(0).Effective)
		c, _ = m.NextHeartbeat(0)
		m.HandleAnswer(w.apply(c))
		w.mutate(m)
	}
	a := w.apply(w.processes[0].m.Propose(json.RawMessage(`"two"`)))
	if a.Refused != "" {
		panic(a.Refused)
	}
	return w
}

func (w *model) mutate(m *Member) {
	if w.mutant == "lease ignored" {
		m.lease, m.leaseEnd = time.Hour, time.Hour
	}
}

func (w *model) apply(c Command) Answer {
	w.index++
	switch l := w.table.s.Processes[c.From.key()]; {
	case w.mutant == "late heartbeats count" && l != nil && c.Heartbeat != nil:
		l.Seq = 0
	case w.mutant == "evicted in spite of a newer heartbeat" && c.Evict != nil:
		if l := w.table.s.Processes[c.Evict.Process.key()]; l != nil {
			c.Evict = &Eviction{c.Evict.Process, l.Index}
		}
	}
	a, err := ReadAnswer(w.table.Apply(w.index, 0, c.Encode()))
	if err != nil {
		panic(err)
	}
	if w.mutant == "version alone before all report it" && w.table.s.Phase == Joint {
		w.table.s.Agreed = *w.table.s.Pending
		w.table.finish("")
	}
	if w.mutant == "outdated floor counts" {
		w.table.s.JointSince = 0
	}
	return a
}

func (w *model) clone() *model {
	c := *w
	c.table = w.table.clone()
	c.driver = &Monitor{leaseExpiry: w.driver.leaseExpiry, seen: maps.Clone(w.driver.seen), pending: w.driver.pending, pendingSince: w.driver.pendingSince}
	for i := range c.processes {
		m := *w.processes[i].m
		m.localCordons, m.applyErrors = maps.Clone(m.localCordons), maps.Clone(m.applyErrors)
		c.processes[i].m = &m
	}
	c.evictions, c.late = slices.Clone(w.evictions), slices.Clone(w.late)
	return &c
}

// settle makes running processes without a lease fall to the floor, and checks for a conflict.
func (w *model) settle() {
	for i := range w.processes {
		p := &w.processes[i]
		p.m.floorReported = p.m.floorReported && w.mutant != "floor left before an answer"
		if o := p.m.Directive(w.now()).Effective; !p.down && !p.paused && o.Floor {
			p.m.Applied(o)
		}
	}
	for i := range w.processes {
		for j := range i {
			a, b := &w.processes[i], &w.processes[j]
			if !a.down && !a.paused && !b.down && !b.paused && Conflict(a.m.effective, b.m.effective) {
				w.conflict = fmt.Sprintf("n%d applies %v and n%d applies %v", j, b.m.effective, i, a.m.effective)
			}
		}
	}
}

type step struct {
	name string
	do   func(*model)
}

// steps returns all steps that are possible now.
func (w *model) steps() (all []step) {
	add := func(name string, i int, do func(*model, *process)) {
		all = append(all, step{fmt.Sprintf("%s n%d", name, i), func(w *model) { do(w, &w.processes[i]) }})
	}
	all = append(all, step{"tick", func(w *model) { w.clockTicks++ }})
	for i := range w.processes {
		p := &w.processes[i]
		if p.down {
			if w.clockTicks > 0 {
				add("start", i, func(w *model, p *process) {
					p.m = NewMember(Process{fmt.Sprint("n", i), uint64(i + 10)}, p.saved)
					w.mutate(p.m)
					p.down = false
					if w.mutant == "no floor after a start" {
						p.m.effective.Floor, p.m.leaseEnd = false, w.now()+Lease
					}
				})
			}
			continue
		}
		if p.paused {
			add("resume", i, func(_ *model, p *process) { p.paused = false })
			continue
		}
		if w.faults > 0 && i == 1 {
			add("pause", i, func(w *model, p *process) { p.paused = true; w.faults-- })
		}
		if w.faults > 0 && i == 2 {
			add("crash", i, func(w *model, p *process) {
				p.down, p.saved = true, p.m.Save()
				if p.heartbeat != nil && p.answer == nil {
					w.late = append(w.late, *p.heartbeat)
				}
				p.heartbeat, p.answer = nil, nil
				w.faults--
			})
		}
		o := p.m.Directive(w.now())
		if o.ToCheck != nil {
			add("check", i, func(w *model, p *process) {
				why := map[bool]string{true: "no"}[i == w.refuses]
				if w.mutant == "not checked by all" {
					why = ""
				}
				p.m.VersionChecked(p.m.Directive(w.now()).ToCheck.Number, why)
			})
		}
		if o.Effective != p.m.effective {
			add("act", i, func(w *model, p *process) { p.m.Applied(p.m.Directive(w.now()).Effective) })
		}
		if p.heartbeat == nil {
			m := *p.m
			if _, ok := m.NextHeartbeat(w.now()); ok {
				add("heartbeat", i, func(w *model, p *process) {
					effective := p.m.effective
					if w.mutant == "reported before it is applied" {
						p.m.effective = p.m.Directive(w.now()).Effective
					}
					c, _ := p.m.NextHeartbeat(w.now())
					p.m.effective, p.heartbeat = effective, &c
				})
			}
		}
		if p.heartbeat != nil && p.answer != nil {
			add("receive", i, func(w *model, p *process) {
				p.m.HandleAnswer(*p.answer)
				p.heartbeat, p.answer = nil, nil
				if w.mutant == "lease counted from the answer" {
					p.m.leaseEnd = w.now() + Lease
				}
			})
		}
		if p.heartbeat != nil && w.losses > 0 {
			add("give up", i, func(w *model, p *process) {
				if p.answer == nil {
					w.late = append(w.late, *p.heartbeat)
				}
				p.heartbeat, p.answer = nil, nil
				p.m.HeartbeatLost()
				w.losses--
			})
		}
	}
	for i := range w.processes { // a proposal is delivered whatever its sender does
		if p := &w.processes[i]; p.heartbeat != nil && p.answer == nil {
			add("commit", i, func(w *model, p *process) { a := w.apply(*p.heartbeat); p.answer = &a })
		}
	}
	for i := range w.late {
		all = append(all, step{fmt.Sprint("commit late ", i), func(w *model) {
			c := w.late[i]
			w.late = slices.Delete(w.late, i, i+1)
			w.apply(c)
		}})
	}
	for i := range w.evictions {
		all = append(all, step{fmt.Sprint("commit eviction ", i), func(w *model) {
			c := w.evictions[i]
			w.evictions = slices.Delete(w.evictions, i, i+1)
			w.apply(c)
		}})
	}
	if len(w.evictions) == 0 {
		all = append(all, step{"monitor", func(w *model) {
			w.evictions = w.driver.Check(w.now(), Process{Name: "n0"}, w.table.Processes(), w.table.Pending())
		}})
	}
	return all
}

var seed = maphash.MakeSeed()

// key identifies a state by what matters for its future. Log indexes matter by their order only.
func (w *model) key() uint64 {
	indexes := []uint64{w.table.s.JointSince}
	for _, l := range w.table.s.Processes {
		indexes = append(indexes, l.Index)
	}
	for i := range w.processes {
		indexes = append(indexes, w.processes[i].m.lastIndex)
		if a := w.processes[i].answer; a != nil {
			indexes = append(indexes, a.Index)
		}
	}
	for _, s := range w.driver.seen {
		indexes = append(indexes, s.index)
	}
	for _, c := range w.evictions {
		if c.Evict != nil {
			indexes = append(indexes, c.Evict.Index)
		}
	}
	slices.Sort(indexes)
	indexes = slices.Compact(indexes)
	rank := func(n uint64) int { at, _ := slices.BinarySearch(indexes, n); return at }
	b := make([]byte, 0, 512)
	num := func(all ...int) {
		for _, n := range all {
			b = binary.AppendVarint(b, int64(n))
		}
	}
	yes := func(y bool) int { return map[bool]int{true: 1}[y] }
	acts := func(a EffectiveVersions) { num(int(a.Low), int(a.High), yes(a.Floor)) }
	command := func(c *Command, of uint64) {
		switch {
		case c == nil:
			num(-1)
		case c.Heartbeat != nil:
			num(int(c.From.Boot), int(of)-int(c.Heartbeat.Seq), int(c.Heartbeat.Checked), len(c.Heartbeat.Refuses), int(c.Heartbeat.KnownVersions[0]), int(c.Heartbeat.KnownVersions[1]))
			acts(c.Heartbeat.Effective)
		case c.Evict != nil:
			num(int(c.Evict.Process.Boot), rank(c.Evict.Index))
		}
	}
	num(w.clockTicks, w.losses, w.faults, int(w.table.s.Agreed.Number), int(w.table.Pending()), len(w.table.s.Phase))
	if w.table.s.Phase == Joint {
		num(rank(w.table.s.JointSince))
	}
	seqs := map[uint64]uint64{}
	for _, l := range w.table.Processes() {
		seqs[l.Process.Boot] = l.Seq
		num(int(l.Process.Boot), rank(l.Index), int(l.Checked))
		acts(l.Effective)
	}
	for i := range w.processes {
		p := &w.processes[i]
		m := p.m
		num(-2, yes(p.down), yes(p.paused), int(m.process.Boot), yes(m.waiting), yes(m.floorReported), int(m.sentAt/tick), int(m.leaseEnd/tick), rank(m.lastIndex), int(m.checked), len(m.refusal), int(m.agreed.Number), len(m.phase), int(m.seq-seqs[m.process.Boot]))
		if m.pending != nil {
			num(int(m.pending.Number))
		}
		acts(m.effective)
		acts(m.lastSent.Effective)
		num(int(m.lastSent.Checked))
		if p.down {
			num(int(p.saved.Agreed.Number), yes(p.saved.Pending != nil))
		}
		command(p.heartbeat, seqs[m.process.Boot])
		if p.answer != nil {
			num(rank(p.answer.Index), int(p.answer.Agreed.Number), len(p.answer.Phase), yes(p.answer.Pending != nil))
		}
	}
	for _, l := range w.table.Processes() {
		s, ok := w.driver.seen[l.Process]
		num(yes(ok), rank(s.index), int(s.firstSeen/tick))
	}
	for i := range w.evictions {
		command(&w.evictions[i], 0)
	}
	num(-3)
	for i := range w.late {
		command(&w.late[i], seqs[w.late[i].From.Boot])
	}
	return maphash.Bytes(seed, b)
}

var depth = flag.Int("depth", 7, "steps of the model")

// explore tries all orders of steps; it returns the number of states and the steps to the first conflict.
func explore(first *model, depth int) (states int, trace []string, conflict string) {
	type node struct {
		w     *model
		trace []string
	}
	seen := map[uint64]bool{first.key(): true}
	level := []node{{first, nil}}
	for range depth {
		var next []node
		for _, n := range level {
			for _, s := range n.w.steps() {
				c := n.w.clone()
				s.do(c)
				c.settle()
				if c.conflict != "" {
					return len(seen), append(slices.Clone(n.trace), s.name), c.conflict
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					next = append(next, node{c, append(slices.Clip(n.trace), s.name)})
				}
			}
		}
		level = next
	}
	return len(seen), nil, ""
}

// Checks that no two processes conflict in any order of steps up to the depth.
func TestModel(t *testing.T) {
	for _, refuses := range []int{-1, 1} {
		began := time.Now()
		states, trace, conflict := explore(newModel("", 1, 1, refuses), *depth)
		require.Empty(t, conflict, "%v", trace)
		t.Logf("depth=%d refuses=%d states=%d in %v", *depth, refuses, states, time.Since(began).Round(time.Millisecond))
	}
}

// playRandom takes random steps.
func playRandom(t *rapid.T, w *model, maxSteps int) {
	for range rapid.IntRange(0, maxSteps).Draw(t, "steps") {
		w.walk(t, w.drawn(t))
	}
}

// drawn returns a random step. Ticks are drawn less often: otherwise leases expire before anything happens.
func (w *model) drawn(t *rapid.T) step {
	all := w.steps()
	if len(all) > 2 && rapid.IntRange(0, 3).Draw(t, "time") > 0 {
		all = all[1:]
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, "step")]
}

func (w *model) walk(t rapid.TB, s step) {
	s.do(w)
	w.settle()
	if w.trace = append(w.trace, s.name); w.conflict != "" {
		t.Fatalf("%s: %s", w.conflict, strings.Join(w.trace, ", "))
	}
}

// Checks longer runs with more losses and faults, and that afterwards, once all processes are up and exchange heartbeats, the
// version is agreed or refused and all apply one version alone.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel("", 6, 4, rapid.IntRange(-1, 2).Draw(t, "refuses"))
		playRandom(t, w, 120)
		w.faults, w.losses = 0, 0
		for range 400 {
			for _, s := range w.steps() {
				if s.name != "tick" {
					w.walk(t, s)
					break
				}
			}
			if len(w.steps()) == 2 { // only the tick and the monitor's check are left
				w.walk(t, w.steps()[1])
				w.walk(t, w.steps()[0])
			}
		}
		for i := range w.processes {
			a := w.processes[i].m.Effective()
			if a.Floor || a.Low != w.table.s.Agreed.Number || a.High != a.Low || w.table.Pending() != 0 {
				t.Fatalf("n%d applies %v; agreed: %d, pending: %d", i, a, w.table.s.Agreed.Number, w.table.Pending())
			}
		}
	})
}

// Checks that the model finds a conflict for each rule that is disabled.
func TestMutants(t *testing.T) {
	for _, mutant := range []string{
		"version alone before all report it", "lease ignored", "evicted before its lease expires", "late heartbeats count",
		"evicted in spite of a newer heartbeat", "reported before it is applied", "lease counted from the answer", "no floor after a start", "outdated floor counts", "floor left before an answer",
	} {
		t.Run(mutant, func(t *testing.T) {
			t.Parallel()
			caught := ""
			for n := range 20000 {
				g := rapid.Custom(func(t *rapid.T) string { return tryMutant(t, mutant) })
				if caught = g.Example(n); caught != "" {
					t.Logf("run %d: %s", n, caught)
					return
				}
			}
			t.Fatal("no conflict found")
		})
	}
}

// tryMutant runs a mutant; it returns the conflict.
func tryMutant(t *rapid.T, mutant string) string {
	faults := rapid.SampledFrom([]int{0, 3}).Draw(t, "faults")
	w := newModel(mutant, faults, faults, -1)
	if mutant == "late heartbeats count" { // random steps reach this case too rarely
		w.losses = 3
		for _, name := range []string{"tick", "heartbeat n1", "commit n1", "receive n1", "check n1", "tick", "tick", "heartbeat n1", "give up n1"} {
			all := w.steps()
			i := slices.IndexFunc(all, func(s step) bool { return s.name == name })
			if i < 0 {
				t.Fatalf("%s is not a possible step", name)
			}
			all[i].do(w)
			w.settle()
		}
	}
	for range 100 {
		w.drawn(t).do(w)
		if w.settle(); w.conflict != "" {
			return w.conflict
		}
	}
	return ""
}
