package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Action is something that a coordinator wants done.
type Action interface{ action() }

// The actions.
type (
	// Propose has a group take a command; the result is told by Answered.
	Propose struct {
		Key   string
		Group uint32
		Command
	}
	// Tell tells a dispatcher; what it says is told by Said.
	Tell struct {
		To string
		Word
	}
	// Look asks for a view; it is told by Viewed.
	Look struct{}
)

func (Propose) action() {}
func (Tell) action()    {}
func (Look) action()    {}

const (
	prepareFor  = 600 * time.Millisecond // that a round waits for rivals to be decided
	askRival    = 10 * time.Millisecond  // between two tries to get room that a rival may give up
	again       = 50 * time.Millisecond  // after a command that reached nobody
	viewFor     = 100 * time.Millisecond // that a view counts as true
	watchFor    = 500 * time.Millisecond // and for gangs that only wait for their start
	tellEvery   = 15 * time.Millisecond  // around the start
	tellSlow    = 250 * time.Millisecond // of members that run
	orphanFor   = 3 * time.Second        // that a hold may be undecided before its home is asked
	silentFor   = 60 * time.Millisecond  // around the start, after which a dispatcher's members are called off by another
	livesFor    = 1500 * time.Millisecond
	searchEvery = 25 * time.Millisecond // for an earlier start of some gang
	leastGain   = 150 * time.Millisecond
	backEvery   = 100 * time.Millisecond
	hearFor     = 300 * time.Millisecond // that dispatchers are asked by whoever coordinates now before what they do not say may have run
	lostFor     = 5 * time.Second        // after its hold's end, that a member without word counts as dead
)

// Coordinator acts for the gangs of the homes that this daemon leads. All that matters is in the homes' logs: another
// may take over at any moment, and two may act at once. It is not safe for more than one goroutine.
type Coordinator struct {
	out      []Action
	flying   map[string]Propose       // under way, by key
	asked    map[string]time.Duration // by key: not to be proposed again before
	told     map[string]time.Duration // by dispatcher, gang and kind: when last
	clock    string                   // the own one's name
	clocks   map[string]*Clock        // by their names
	whose    map[string]string        // a dispatcher's clock
	goes     map[string]string        // by gang and round: the clock that its plan goes by
	heard    map[string]heard         // of dispatchers
	armed    map[string]map[int]bool  // by gang and round: members whose dispatchers are ready
	ran      map[string]map[int]bool  // and those that know that all run
	free     map[string]map[int]bool  // and groups in which its room is free
	known    map[string]map[int]Fate  // and what the home has been told of them
	began    map[string]time.Duration
	offs     map[string]time.Duration // by gang and round: since when its members are called off from here
	homes    map[string]uint32        // of the gangs that are known here
	seen     map[string]time.Duration // undecided holds, by gang and round: since when
	view     View
	looked   time.Duration
	searched time.Duration // for an earlier start of a held gang
	looks    bool
	Stats    Stats
}

// Stats counts what a coordinator did.
type Stats struct {
	Wounds, Stalls uint64
	Jumps          uint64        // of clocks that were put to another time, and processes that came anew
	WorstError     time.Duration // of a clock that was gone by
}

// NewCoordinator returns one that has nothing in hand. Its clock has a name that no other has, no former process either.
func NewCoordinator(clock string) *Coordinator {
	return &Coordinator{
		clock: clock, whose: map[string]string{}, goes: map[string]string{},
		flying: map[string]Propose{}, asked: map[string]time.Duration{}, told: map[string]time.Duration{}, clocks: map[string]*Clock{}, heard: map[string]heard{},
		armed: map[string]map[int]bool{}, ran: map[string]map[int]bool{}, free: map[string]map[int]bool{}, known: map[string]map[int]Fate{}, began: map[string]time.Duration{}, offs: map[string]time.Duration{}, homes: map[string]uint32{}, seen: map[string]time.Duration{},
	}
}

// Did takes the actions that have come up.
func (c *Coordinator) Did() []Action {
	out := c.out
	c.out = nil
	return out
}

func (c *Coordinator) propose(now time.Duration, group uint32, cmd Command) {
	key := fmt.Sprint(group, "/", cmd.Op, "/", cmd.Gang, "/", cmd.Round, "/", cmd.Group, "/", cmd.Member, "/", cmd.Fate, "/", cmd.By)
	switch {
	case cmd.Standing != nil:
		key += cmd.Standing.Gang + "/" + fmt.Sprint(cmd.Standing.Round)
	case cmd.Told != nil:
		key += fmt.Sprint(*cmd.Told)
	}
	if _, flies := c.flying[key]; flies || now < c.asked[key] {
		return
	}
	p := Propose{key, group, cmd}
	c.flying[key] = p
	c.out = append(c.out, p)
}

// Answered takes a command's result; ok is false where it is not known to have been taken.
func (c *Coordinator) Answered(now time.Duration, key string, r Result, ok bool) {
	p, flies := c.flying[key]
	if !flies {
		return
	}
	delete(c.flying, key)
	if !ok {
		c.asked[key] = now + again
		c.Stats.Stalls++
		return
	}
	switch p.Op {
	case "commit", "undo", "end", "lapse":
		if p.By == "" { // else the home knows the gang no more
			c.propose(now, p.Command.Group, Command{Op: "told", Gang: p.Gang, Told: &Due{p.Group, p.Round, p.Op}})
		}
	case "prepare":
		c.prepared(now, p, r)
	case "ready":
		if c.asked[key] = now + 2*askRival; r.OK {
			mark(c.free, fmt.Sprint(p.Gang, "/", p.Round), int(p.Group))
		}
	case "ask":
		if e := r.Entry; r.Gone || e != nil && (e.Plan == nil || e.Plan.Round != p.Round) && (e.Old == nil || e.Old.Round != p.Round) {
			c.propose(now, p.Command.Group, Command{Op: "undo", Gang: p.Gang, Round: p.Round, By: "its home"})
		}
		c.asked[key] = now + orphanFor
	case "report":
		id := fmt.Sprint(p.Gang, "/", p.Round)
		if c.known[id] == nil {
			c.known[id] = map[int]Fate{}
		}
		c.known[id][p.Member] = p.Fate
	}
}

func (c *Coordinator) prepared(now time.Duration, p Propose, r Result) {
	s := p.Standing
	switch {
	case r.OK:
		c.propose(now, s.Home, Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: p.Group, At: c.when(now, s.Gang, s.Round)})
	case len(r.With) > 0 && now-c.began[s.Gang] < prepareFor:
		for _, o := range r.With { // the older goes first; a younger waits for it, so that no two wait for each other
			if older(s.Age, s.Gang, o.Age, o.Gang) {
				c.Stats.Wounds++
				c.propose(now, o.Home, Command{Op: "wound", Gang: o.Gang, Round: o.Round, By: s.Gang, Age: s.Age})
			}
		}
		c.asked[p.Key] = now + askRival
	default:
		c.looked = 0
		c.propose(now, s.Home, Command{Op: "abort", Gang: s.Gang, Round: s.Round, Why: r.Err})
	}
}

// Viewed takes what a planner needs.
func (c *Coordinator) Viewed(now time.Duration, v View) {
	c.view, c.looked, c.looks = v, now, false
}

// Said takes what a dispatcher said to a word that was sent at a time.
func (c *Coordinator) Said(now, sent time.Duration, to string, w Word, s Said, home uint32) {
	k := c.measured(now, sent, to, s)
	c.heard[to] = heard{now, s.Site}
	if w.Kind == Back {
		return
	}
	id := fmt.Sprint(w.Gang, "/", w.Round)
	for _, t := range s.Parts {
		switch {
		case w.Kind == Arm && t.Armed && w.At > 0 && k.still(now, w):
			mark(c.armed, id, t.Member)
		case w.Kind == Arm && t.Fate != Unknown:
			c.propose(now, home, Command{Op: "drop", Gang: w.Gang, Round: w.Round, Why: fmt.Sprintf("member %d: %s: %s", t.Member, to, t.Why)})
		}
		if w.Kind == Arm {
			continue
		}
		if t.Running {
			mark(c.ran, id, t.Member)
		}
		if t.Fate != c.known[id][t.Member] {
			c.propose(now, home, Command{Op: "report", Gang: w.Gang, Round: w.Round, Member: t.Member, Fate: t.Fate, Why: t.Why, At: c.when(now, w.Gang, w.Round)})
		}
	}
}

// measured takes what an answer says of a dispatcher's clock. Where it was put to another time, whoever was ready may be so
// for another start than the others: all are asked again.
func (c *Coordinator) measured(now, sent time.Duration, to string, s Said) *Clock {
	name := cmp.Or(s.Clock, to)
	before, known := c.whose[to]
	c.whose[to] = name
	k := c.clocks[name]
	if k == nil {
		maps.DeleteFunc(c.clocks, func(_ string, k *Clock) bool { return now-k.at > forgetIn })
		k = &Clock{}
		c.clocks[name] = k
	}
	if jumped := k.Measured(sent, s.Now, now); jumped || known && before != name {
		c.Stats.Jumps++
		clear(c.armed)
	}
	return k
}

// time is now by the clock that a plan goes by, and by how much that may be wrong; false: that clock is not known.
func (c *Coordinator) time(now time.Duration, clock string) (t, err time.Duration, ok bool) {
	if clock == "" || clock == c.clock {
		return now, 0, true
	}
	if k := c.clocks[clock]; k != nil {
		offset, err, ok := k.Offset(now)
		return now + offset, err, ok
	}
	return now, 0, false
}

// Ahead is how far a clock is ahead of the own one, as far as it is known.
func (c *Coordinator) Ahead(now time.Duration, clock string) time.Duration {
	t, _, _ := c.time(now, clock)
	return t - now
}

// when is now by the clock that a gang's plan goes by; 0: it is not known.
func (c *Coordinator) when(now time.Duration, gang string, round uint64) time.Duration {
	if clock, known := c.goes[fmt.Sprint(gang, "/", round)]; known {
		if t, _, ok := c.time(now, clock); ok {
			return t
		}
	}
	return 0
}

func mark(m map[string]map[int]bool, id string, n int) {
	if m[id] == nil {
		m[id] = map[int]bool{}
	}
	m[id][n] = true
}

// Step does what is to be done for the gangs of a home, and for holds that its accounts have of others.
func (c *Coordinator) Step(now time.Duration, group uint32, m *Machine, encoders []Encoder) {
	all := slices.Collect(maps.Values(m.Gangs))
	slices.SortFunc(all, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, e := range all {
		c.homes[e.Spec.ID] = group
		for _, d := range e.Due {
			// The gang's home goes along, to be told of it.
			c.propose(now, d.Group, Command{Op: d.Op, Gang: e.Spec.ID, Round: d.Round, Group: group})
		}
		t, ok := now, true // by the clock that its plan goes by
		if e.Plan != nil {
			c.goes[fmt.Sprint(e.Spec.ID, "/", e.Plan.Round)] = e.Plan.Clock
			t, _, ok = c.time(now, e.Plan.Clock)
		}
		switch e.State {
		case Waiting:
			c.waiting(now, group, e, encoders)
		case Preparing:
			c.preparing(now, t, group, e)
		case Held:
			if !ok { // whoever planned it is gone, and nobody here ever measured its clock
				c.propose(now, group, Command{Op: "drop", Gang: e.Spec.ID, Round: e.Plan.Round, Why: "the clock that its start goes by is not known"})
				continue
			}
			c.held(now, t, group, e, encoders)
		case Going:
			if c.tell(now, e, Go, tellEvery); t > e.Plan.Start+Within {
				c.propose(now, group, Command{Op: "off", Gang: e.Spec.ID, Round: e.Plan.Round, At: t})
			}
		case Off:
			c.tell(now, e, No, tellEvery)
			id := fmt.Sprint(e.Spec.ID, "/", e.Plan.Round)
			if _, known := c.offs[id]; !known {
				c.offs[id] = now
			}
			if c.takeBack(now, e); t >= e.Plan.Start+SettleAt && now-c.offs[id] >= hearFor {
				c.propose(now, group, Command{Op: "settle", Gang: e.Spec.ID, Round: e.Plan.Round, At: t})
			}
		case Running:
			c.running(now, t, group, e)
		}
	}
	for id, home := range c.homes {
		if e := m.Gangs[id]; home == group && (e == nil || e.State == Ended) {
			c.forget(id)
		}
	}
	c.orphans(now, group, m)
}

func (c *Coordinator) forget(gang string) {
	delete(c.began, gang)
	delete(c.homes, gang)
	for _, m := range []map[string]map[int]bool{c.armed, c.ran, c.free} {
		maps.DeleteFunc(m, func(id string, _ map[int]bool) bool { return strings.HasPrefix(id, gang+"/") })
	}
	maps.DeleteFunc(c.offs, func(id string, _ time.Duration) bool { return strings.HasPrefix(id, gang+"/") })
	maps.DeleteFunc(c.goes, func(id, _ string) bool { return strings.HasPrefix(id, gang+"/") })
	maps.DeleteFunc(c.known, func(id string, _ map[int]Fate) bool { return strings.HasPrefix(id, gang+"/") })
	for _, m := range []map[string]time.Duration{c.told, c.asked} {
		if len(m) > mostHolds {
			clear(m)
		}
	}
}

// fresh tells whether there is a view to plan by, and asks for one if not.
func (c *Coordinator) fresh(now, within time.Duration) bool {
	if c.looked > 0 && now-c.looked <= within {
		return true
	}
	if !c.looks {
		c.looks = true
		c.out = append(c.out, Look{})
	}
	return false
}

func (c *Coordinator) waiting(now time.Duration, group uint32, e *Entry, encoders []Encoder) {
	id := e.Spec.ID
	if now > e.Spec.LatestStart-Lead {
		c.propose(now, group, Command{Op: "refuse", Gang: id})
		return
	}
	if now < e.Retry || !c.fresh(now, viewFor) {
		return
	}
	v := c.view
	v.Now, v.Encoders = now, encoders
	p, why := Find(v, e, nil)
	if p == nil {
		c.propose(now, group, Command{Op: "wait", Gang: id, For: 200 * time.Millisecond, Why: why})
		return
	}
	c.plan(now, group, e, p)
}

// plan proposes a plan. What it takes is left alone by the plans that follow.
func (c *Coordinator) plan(now time.Duration, group uint32, e *Entry, p *Plan) {
	c.began[e.Spec.ID] = now
	t := now
	if p.Clock = c.clock; e.Plan != nil { // a move keeps the start, and so what it goes by
		p.Clock = e.Plan.Clock
		t, _, _ = c.time(now, p.Clock)
	}
	c.view.Standing = append(slices.Clone(c.view.Standing), Standing{Gang: e.Spec.ID, Round: p.Round, Home: group, Age: e.Age, Holds: p.Holds})
	c.propose(now, group, Command{Op: "plan", Gang: e.Spec.ID, Round: p.Round, Plan: p, At: t})
}

func (c *Coordinator) preparing(now, t time.Duration, group uint32, e *Entry) {
	if _, known := c.began[e.Spec.ID]; !known { // another coordinator's
		c.began[e.Spec.ID] = now
	}
	if t > e.Plan.Start-voteBy || now-c.began[e.Spec.ID] > prepareFor+again {
		c.propose(now, group, Command{Op: "abort", Gang: e.Spec.ID, Round: e.Plan.Round, Why: "its holds took too long"})
		return
	}
	for _, g := range e.Plan.groups() {
		if _, voted := search(e.Votes, g); voted {
			continue
		}
		c.propose(now, g, Command{Op: "prepare", Standing: &Standing{
			Gang: e.Spec.ID, Round: e.Plan.Round, Home: group, Age: e.Age, Clock: e.Plan.Clock, Holds: e.Plan.Of(g),
		}})
	}
}

// usable tells of a plan's member whether its encoder may still take it.
func usable(p *Plan, i int, encoders []Encoder) bool {
	for _, x := range encoders {
		if x.ID != p.Encoders[i] {
			continue
		}
		return !x.Out && x.Warm <= p.Start && slices.ContainsFunc(p.Holds, func(h Hold) bool { return h.Resource == x.Account() && h.Gen == x.Gen })
	}
	return false
}

func (c *Coordinator) held(now, t time.Duration, group uint32, e *Entry, encoders []Encoder) {
	id, p := e.Spec.ID, e.Plan
	if _, known := c.began[id]; !known {
		c.began[e.Spec.ID] = now
	}
	recalled := ""
	if t < p.Start-ArmAhead && c.fresh(now, watchFor) {
		recalled = c.recalled(e)
	}
	for i := range e.Spec.Members {
		why := recalled
		if why == "" && usable(p, i, encoders) {
			continue
		}
		why = cmp.Or(why, fmt.Sprintf("member %d: %s cannot be used", i, p.Encoders[i]))
		if t > p.Start-voteBy-again {
			c.propose(now, group, Command{Op: "drop", Gang: id, Round: p.Round, Why: why})
			return
		}
		if !c.fresh(now, viewFor) {
			return
		}
		v := c.view
		v.Now, v.Encoders = now, encoders
		keep := p
		if recalled != "" {
			keep = &Plan{Start: p.Start, Encoders: make([]string, len(p.Encoders))}
		}
		moved, _ := Find(v, e, keep)
		if moved == nil {
			c.propose(now, group, Command{Op: "drop", Gang: id, Round: p.Round, Why: why + ", and there is no room elsewhere"})
			return
		}
		c.plan(now, group, e, moved)
		return
	}
	if c.sends(now, t, group, e, encoders) || c.sooner(now, t, group, e, encoders) || t < p.Start-ArmAhead {
		return
	}
	armed, free := len(c.armed[fmt.Sprint(id, "/", p.Round)]) == len(e.Spec.Members), c.free[fmt.Sprint(id, "/", p.Round)]
	if t > p.Start-GoBy {
		why := "not all dispatchers were ready"
		if armed {
			why = "what has its room before it had not ended"
		}
		c.propose(now, group, Command{Op: "drop", Gang: id, Round: p.Round, Why: why})
		return
	}
	for _, g := range p.groups() {
		if !free[int(g)] {
			c.propose(now, g, Command{Op: "ready", Gang: id, Round: p.Round})
		}
	}
	if armed && len(free) == len(p.groups()) {
		c.propose(now, group, Command{Op: "go", Gang: id, Round: p.Round, Armed: p.Starters, At: t})
		return
	}
	c.tell(now, e, Arm, tellEvery)
}

// sends has another dispatcher send what whoever coordinates by now would: the home may have changed hands since.
func (c *Coordinator) sends(now, t time.Duration, group uint32, e *Entry, encoders []Encoder) bool {
	self, p := c.view.Self, e.Plan
	if !slices.Contains(p.Starters, self) || t < p.Start-2*ArmAhead || t > p.Start-ArmAhead || !c.fresh(now, viewFor) {
		return false
	}
	v := c.view
	v.Now, v.Encoders = now, encoders
	next, _ := Find(v, e, p)
	if next == nil || slices.Contains(next.Starters, self) {
		return false
	}
	c.plan(now, group, e, next)
	return true
}

// sooner has a gang start earlier where room has come free since it was planned: what ends is known only once it has. Its
// holds stay in force until the earlier ones stand.
func (c *Coordinator) sooner(now, t time.Duration, group uint32, e *Entry, encoders []Encoder) bool {
	key := e.Spec.ID + "/sooner"
	if t > e.Plan.Start-2*Lead || now < c.asked[key] || now < c.searched+searchEvery || !c.fresh(now, viewFor) {
		return false
	}
	c.searched, c.asked[key] = now, now+watchFor
	v := c.view
	v.Now, v.Encoders = t, encoders
	next, _ := Find(v, e, nil)
	if next == nil || next.Start > e.Plan.Start-leastGain {
		return false
	}
	c.plan(now, group, e, next)
	return true
}

// recalled tells whether a partner lends too little by now for what the gang holds and older ones do: the younger give way.
func (c *Coordinator) recalled(e *Entry) string {
	k := keeper{Resources: c.view.Accounts}
	var lent []Hold
	for _, h := range e.Plan.Holds {
		if r, known := k.Resources[h.Resource]; known && strings.HasPrefix(h.Resource, Lender("")) && r.Gen != h.Gen {
			lent = append(lent, h)
		}
	}
	if lent == nil {
		return ""
	}
	for _, s := range c.view.Standing {
		if s.Committed && s.Gang != e.Spec.ID && older(s.Age, s.Gang, e.Age, e.Spec.ID) {
			k.Standing = append(k.Standing, s)
		}
	}
	k.Standing = append(k.Standing, Standing{Gang: e.Spec.ID, Holds: lent})
	slices.SortStableFunc(k.Standing, func(a, b Standing) int { return cmp.Compare(a.Gang, b.Gang) })
	if h, fits := k.fits(k.Standing, lent); !fits {
		return h.Resource + " lends less"
	}
	return ""
}

func (c *Coordinator) running(now, t time.Duration, group uint32, e *Entry) {
	every := tellEvery
	if len(c.ran[fmt.Sprint(e.Spec.ID, "/", e.Plan.Round)]) == len(e.Spec.Members) {
		every = tellSlow
		for i, f := range e.Fates {
			if f == Began && t > e.Plan.Start+e.Spec.Members[i].Work-tellSlow {
				every = 2 * tellEvery // others wait for its room
			}
		}
	}
	kind := Run
	if e.Stops() {
		kind, every = No, 2*tellEvery
	}
	c.tell(now, e, kind, every)
	if kind == No {
		c.takeBack(now, e)
	}
	for i, f := range e.Fates {
		if f == Began && t > e.Plan.Start+length(e.Spec.Members[i])+lostFor {
			c.propose(now, group, Command{Op: "report", Gang: e.Spec.ID, Round: e.Plan.Round, Member: i, Fate: Died, Why: "no word of it", At: t})
		}
	}
}

// tell tells the dispatchers of a gang's members, each every so often.
func (c *Coordinator) tell(now time.Duration, e *Entry, kind Kind, every time.Duration) {
	p := e.Plan
	to := map[string][]Part{}
	for i, name := range p.Starters {
		t := Part{Member: i, Encoder: p.Encoders[i]}
		if kind == Arm {
			t.Spec = e.Spec.Members[i]
		}
		if i < len(e.Fates) && e.Fates[i] != Unknown && e.Fates[i] != Began {
			continue
		}
		to[name] = append(to[name], t)
	}
	for _, name := range slices.Sorted(maps.Keys(to)) {
		key := fmt.Sprint(name, "/", e.Spec.ID, "/", p.Round, "/", kind)
		if last, was := c.told[key]; was && now-last < every {
			continue
		}
		c.told[key] = now
		w := Word{Kind: kind, Gang: e.Spec.ID, Round: p.Round, Skew: e.Spec.Skew, Parts: to[name]}
		offset, err, ok := time.Duration(0), time.Duration(0), false
		if k := c.clocks[c.whose[name]]; k != nil {
			offset, err, ok = k.Offset(now)
		}
		t, wrong, known := c.time(now, p.Clock)
		if err += wrong; ok && known && err <= e.Spec.Skew/4 { // else it is asked for its clock alone: such a word arms nobody
			w.At, w.Err, w.offset = p.Start+offset+now-t, err, offset
			c.Stats.WorstError = max(c.Stats.WorstError, err)
		} else if kind == Arm {
			w.Parts = nil
		}
		c.out = append(c.out, Tell{name, w})
	}
}

// takeBack has other dispatchers call off what silent ones may have sent.
func (c *Coordinator) takeBack(now time.Duration, e *Entry) {
	for i, name := range e.Plan.Starters {
		if f := e.Fates[i]; f != Unknown && f != Began || now-c.heard[name].at < silentFor {
			continue
		}
		for _, other := range slices.Sorted(maps.Keys(c.heard)) {
			key := fmt.Sprint(other, "/", Key(e.Spec.ID, e.Plan.Round, i), "/", Back)
			if other == name || now-c.heard[other].at > livesFor || now-c.told[key] < backEvery {
				continue
			}
			c.told[key] = now
			c.out = append(c.out, Tell{other, Word{Kind: Back, Gang: e.Spec.ID, Round: e.Plan.Round, Parts: []Part{{Member: i, Encoder: e.Plan.Encoders[i]}}}})
			break
		}
	}
}

// heard is when a dispatcher last said anything, and where it stands.
type heard struct {
	at   time.Duration
	site string
}

// Lives is the dispatchers that were heard of lately.
func (c *Coordinator) Lives(now time.Duration) (all []Dispatcher) {
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		if h := c.heard[name]; now-h.at < livesFor {
			all = append(all, Dispatcher{name, h.site})
		}
	}
	return all
}

// orphans asks the homes of holds that have been undecided for long: word of what was decided may never have been sent,
// where a home forgot it first.
func (c *Coordinator) orphans(now time.Duration, group uint32, m *Machine) {
	for _, s := range m.Standing {
		id := fmt.Sprint(group, "/", s.Gang, "/", s.Round)
		if s.Committed {
			delete(c.seen, id)
			continue
		}
		if _, known := c.seen[id]; !known {
			if len(c.seen) > mostHolds {
				clear(c.seen)
			}
			c.seen[id] = now
		}
		if now-c.seen[id] > orphanFor {
			c.propose(now, s.Home, Command{Op: "ask", Gang: s.Gang, Round: s.Round, Group: group})
		}
	}
}
