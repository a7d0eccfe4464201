package gang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Action is an action that a coordinator requests.
type Action interface{ action() }

// The actions.
type (
	// Propose proposes a command to a group; HandleResult takes the result.
	Propose struct {
		Key   string
		Group uint32
		Command
	}
	// Send sends a message to a dispatcher; HandleReply takes the reply.
	Send struct {
		To string
		Message
	}
	// FetchView requests a view of all groups; SetView takes it.
	FetchView struct{}
)

func (Propose) action()   {}
func (Send) action()      {}
func (FetchView) action() {}

const (
	prepareTimeout  = 600 * time.Millisecond // for which a round waits until its rivals are decided
	rivalRetry      = 10 * time.Millisecond  // between two attempts to prepare holds that a rival may release
	proposeRetry    = 50 * time.Millisecond  // after a command without an answer
	viewTTL         = 100 * time.Millisecond // for which a view counts as current
	heldViewTTL     = 500 * time.Millisecond // the same for gangs that only wait for their start; also between searches for an earlier start
	messageInterval = 15 * time.Millisecond  // between messages around the start
	runningInterval = 250 * time.Millisecond // between messages while members run
	orphanTimeout   = 3 * time.Second        // after which an undecided hold's home is queried
	silenceTimeout  = 60 * time.Millisecond  // of a dispatcher around the start, after which another one cancels its members
	livenessTimeout = 1500 * time.Millisecond
	searchInterval  = 25 * time.Millisecond // between searches for an earlier start of any held gang
	minGain         = 150 * time.Millisecond
	cancelInterval  = 100 * time.Millisecond
	settleWait      = 300 * time.Millisecond // for which a new coordinator queries dispatchers before members of unknown status count as may-have-run
	lostTimeout     = 5 * time.Second        // from the end of its hold, after which a member without a report counts as dead
)

// Coordinator drives the gangs whose homes this daemon leads. All durable state is in the homes' logs: another
// coordinator may take over at any time, and two may act at once. It must not be used concurrently.
type Coordinator struct {
	actions        []Action
	proposed       map[string]Propose              // proposals without a result yet, by key
	notBefore      map[string]time.Duration        // by key: when it may be proposed again
	lastSent       map[string]time.Duration        // by dispatcher, gang and kind of message
	clock          string                          // name of the local clock
	clocks         map[string]*Clock               // by name of the clock
	clockOf        map[string]string               // by dispatcher: name of its clock
	planClocks     map[string]string               // by gang and round: name of the clock of its plan
	dispatchers    map[string]dispatcherInfo       // by name
	armed          map[string]map[int]bool         // by gang and round: members whose dispatchers are ready
	confirmed      map[string]map[int]bool         // by gang and round: members whose dispatchers know that all run
	freeGroups     map[string]map[int]bool         // by gang and round: groups in which its slots are free
	reported       map[string]map[int]MemberStatus // by gang and round: statuses that the home has received
	roundStarted   map[string]time.Duration
	calledOffSince map[string]time.Duration // by gang and round: when this coordinator began to call its members off
	homes          map[string]uint32        // of the gangs known here
	undecidedSince map[string]time.Duration // uncommitted holds, by group, gang and round
	view           View
	viewTime       time.Duration
	searchTime     time.Duration // last search for an earlier start of a held gang
	fetchingView   bool
	Stats          Stats
}

// Stats counts a coordinator's events. Preempted counts requests to abort a younger gang's round (wound-wait).
type Stats struct {
	Preempted, Unanswered uint64
	ClockJumps            uint64        // steps of clocks and restarts of processes
	MaxClockError         time.Duration // of the clocks used for a start
}

// NewCoordinator returns a coordinator without gangs. The name of its clock must be unique, also among earlier
// processes.
func NewCoordinator(clock string) *Coordinator {
	return &Coordinator{
		clock: clock, clockOf: map[string]string{}, planClocks: map[string]string{},
		proposed: map[string]Propose{}, notBefore: map[string]time.Duration{}, lastSent: map[string]time.Duration{}, clocks: map[string]*Clock{}, dispatchers: map[string]dispatcherInfo{},
		armed: map[string]map[int]bool{}, confirmed: map[string]map[int]bool{}, freeGroups: map[string]map[int]bool{}, reported: map[string]map[int]MemberStatus{}, roundStarted: map[string]time.Duration{}, calledOffSince: map[string]time.Duration{}, homes: map[string]uint32{}, undecidedSince: map[string]time.Duration{},
	}
}

// TakeActions returns the pending actions and clears them.
func (c *Coordinator) TakeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *Coordinator) propose(now time.Duration, group uint32, cmd Command) {
	key := fmt.Sprint(group, "/", cmd.Op, "/", cmd.Gang, "/", cmd.Round, "/", cmd.Group, "/", cmd.Member, "/", cmd.MemberStatus, "/", cmd.By)
	switch {
	case cmd.RoundHolds != nil:
		key += cmd.RoundHolds.Gang + "/" + fmt.Sprint(cmd.RoundHolds.Round)
	case cmd.Confirmed != nil:
		key += fmt.Sprint(*cmd.Confirmed)
	}
	if _, pending := c.proposed[key]; pending || now < c.notBefore[key] {
		return
	}
	p := Propose{key, group, cmd}
	c.proposed[key] = p
	c.actions = append(c.actions, p)
}

// HandleResult takes a proposal's result. ok is false if the command may not have been applied.
func (c *Coordinator) HandleResult(now time.Duration, key string, r Result, ok bool) {
	p, pending := c.proposed[key]
	if !pending {
		return
	}
	delete(c.proposed, key)
	if !ok {
		c.notBefore[key] = now + proposeRetry
		c.Stats.Unanswered++
		return
	}
	switch p.Op {
	case "commit", "undo", "end", "lapse":
		if p.By == "" { // otherwise the home no longer has the gang
			c.propose(now, p.Command.Group, Command{Op: "told", Gang: p.Gang, Confirmed: &Notice{p.Group, p.Round, p.Op}})
		}
	case "prepare":
		c.handlePrepared(now, p, r)
	case "ready":
		if c.notBefore[key] = now + 2*rivalRetry; r.OK {
			mark(c.freeGroups, fmt.Sprint(p.Gang, "/", p.Round), int(p.Group))
		}
	case "ask":
		if e := r.Entry; r.NotFound || e != nil && (e.Plan == nil || e.Plan.Round != p.Round) && (e.Previous == nil || e.Previous.Round != p.Round) {
			c.propose(now, p.Command.Group, Command{Op: "undo", Gang: p.Gang, Round: p.Round, By: "its home"})
		}
		c.notBefore[key] = now + orphanTimeout
	case "report":
		id := fmt.Sprint(p.Gang, "/", p.Round)
		if c.reported[id] == nil {
			c.reported[id] = map[int]MemberStatus{}
		}
		c.reported[id][p.Member] = p.MemberStatus
	}
}

func (c *Coordinator) handlePrepared(now time.Duration, p Propose, r Result) {
	s := p.RoundHolds
	switch {
	case r.OK:
		c.propose(now, s.Home, Command{Op: "vote", Gang: s.Gang, Round: s.Round, Group: p.Group, At: c.planTime(now, s.Gang, s.Round)})
	case len(r.Rivals) > 0 && now-c.roundStarted[s.Gang] < prepareTimeout:
		for _, o := range r.Rivals { // older gangs take precedence and younger ones wait, so no two wait for each other
			if older(s.SubmittedAt, s.Gang, o.SubmittedAt, o.Gang) {
				c.Stats.Preempted++
				c.propose(now, o.Home, Command{Op: "wound", Gang: o.Gang, Round: o.Round, By: s.Gang, SubmittedAt: s.SubmittedAt})
			}
		}
		c.notBefore[p.Key] = now + rivalRetry
	default:
		c.viewTime = 0
		c.propose(now, s.Home, Command{Op: "abort", Gang: s.Gang, Round: s.Round, Reason: r.Err})
	}
}

// SetView takes a fetched view.
func (c *Coordinator) SetView(now time.Duration, v View) {
	c.view, c.viewTime, c.fetchingView = v, now, false
}

// HandleReply processes a dispatcher's reply to a message. sent is when the message was sent.
func (c *Coordinator) HandleReply(now, sent time.Duration, to string, msg Message, r Reply, home uint32) {
	k := c.measureClock(now, sent, to, r)
	c.dispatchers[to] = dispatcherInfo{now, r.Site}
	if msg.Kind == CancelElsewhere {
		return
	}
	id := fmt.Sprint(msg.Gang, "/", msg.Round)
	for _, m := range r.Members {
		switch {
		case msg.Kind == Arm && m.Armed && msg.At > 0 && k.sameStart(now, msg):
			mark(c.armed, id, m.Member)
		case msg.Kind == Arm && m.Status != Unknown:
			c.propose(now, home, Command{Op: "drop", Gang: msg.Gang, Round: msg.Round, Reason: fmt.Sprintf("member %d: %s: %s", m.Member, to, m.Reason)})
		}
		if msg.Kind == Arm {
			continue
		}
		if m.AllRunning {
			mark(c.confirmed, id, m.Member)
		}
		if m.Status != c.reported[id][m.Member] {
			c.propose(now, home, Command{Op: "report", Gang: msg.Gang, Round: msg.Round, Member: m.Member, MemberStatus: m.Status, Reason: m.Reason, At: c.planTime(now, msg.Gang, msg.Round)})
		}
	}
}

// measureClock updates a dispatcher's clock from a reply. After a step of the clock, dispatchers may be armed for
// different start times, so all are armed again.
func (c *Coordinator) measureClock(now, sent time.Duration, to string, s Reply) *Clock {
	name := cmp.Or(s.Clock, to)
	before, known := c.clockOf[to]
	c.clockOf[to] = name
	k := c.clocks[name]
	if k == nil {
		maps.DeleteFunc(c.clocks, func(_ string, k *Clock) bool { return now-k.measuredAt > clockRetention })
		k = &Clock{}
		c.clocks[name] = k
	}
	if stepped := k.Measure(sent, s.Now, now); stepped || known && before != name {
		c.Stats.ClockJumps++
		clear(c.armed)
	}
	return k
}

// timeBy returns the current time by a plan's clock and its maximum error, and false if that clock is not known.
func (c *Coordinator) timeBy(now time.Duration, clock string) (t, err time.Duration, ok bool) {
	if clock == "" || clock == c.clock {
		return now, 0, true
	}
	if k := c.clocks[clock]; k != nil {
		offset, err, ok := k.Offset(now)
		return now + offset, err, ok
	}
	return now, 0, false
}

// ClockOffset returns how far a clock is ahead of the local one, or 0 if that is not known.
func (c *Coordinator) ClockOffset(now time.Duration, clock string) time.Duration {
	t, _, _ := c.timeBy(now, clock)
	return t - now
}

// planTime returns the current time by the clock of a gang's plan, or 0 if that is not known.
func (c *Coordinator) planTime(now time.Duration, gang string, round uint64) time.Duration {
	if clock, known := c.planClocks[fmt.Sprint(gang, "/", round)]; known {
		if t, _, ok := c.timeBy(now, clock); ok {
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

// Step advances the gangs of a home and checks the uncommitted holds in the group's accounts.
func (c *Coordinator) Step(now time.Duration, group uint32, m *Machine, encoders []Encoder) {
	all := slices.Collect(maps.Values(m.Gangs))
	slices.SortFunc(all, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, e := range all {
		c.homes[e.Spec.ID] = group
		for _, d := range e.Unconfirmed {
			// The command names the gang's home, which receives the confirmation.
			c.propose(now, d.Group, Command{Op: d.Op, Gang: e.Spec.ID, Round: d.Round, Group: group})
		}
		t, ok := now, true // by the plan's clock
		if e.Plan != nil {
			c.planClocks[fmt.Sprint(e.Spec.ID, "/", e.Plan.Round)] = e.Plan.Clock
			t, _, ok = c.timeBy(now, e.Plan.Clock)
		}
		switch e.State {
		case Waiting:
			c.stepWaiting(now, group, e, encoders)
		case Preparing:
			c.stepPreparing(now, t, group, e)
		case Held:
			if !ok { // the planner is gone, and its clock was never measured here
				c.propose(now, group, Command{Op: "drop", Gang: e.Spec.ID, Round: e.Plan.Round, Reason: "the clock that its start goes by is not known"})
				continue
			}
			c.stepHeld(now, t, group, e, encoders)
		case Starting:
			if c.sendMessages(now, e, Go, messageInterval); t > e.Plan.Start+StartTimeout {
				c.propose(now, group, Command{Op: "off", Gang: e.Spec.ID, Round: e.Plan.Round, At: t})
			}
		case StartFailed:
			c.sendMessages(now, e, CallOff, messageInterval)
			id := fmt.Sprint(e.Spec.ID, "/", e.Plan.Round)
			if _, known := c.calledOffSince[id]; !known {
				c.calledOffSince[id] = now
			}
			if c.cancelElsewhere(now, e); t >= e.Plan.Start+SettleDelay && now-c.calledOffSince[id] >= settleWait {
				c.propose(now, group, Command{Op: "settle", Gang: e.Spec.ID, Round: e.Plan.Round, At: t})
			}
		case Running:
			c.stepRunning(now, t, group, e)
		}
	}
	for id, home := range c.homes {
		if e := m.Gangs[id]; home == group && (e == nil || e.State == Ended) {
			c.forget(id)
		}
	}
	c.checkOrphans(now, group, m)
}

func (c *Coordinator) forget(gang string) {
	delete(c.roundStarted, gang)
	delete(c.homes, gang)
	for _, m := range []map[string]map[int]bool{c.armed, c.confirmed, c.freeGroups} {
		maps.DeleteFunc(m, func(id string, _ map[int]bool) bool { return strings.HasPrefix(id, gang+"/") })
	}
	maps.DeleteFunc(c.calledOffSince, func(id string, _ time.Duration) bool { return strings.HasPrefix(id, gang+"/") })
	maps.DeleteFunc(c.planClocks, func(id, _ string) bool { return strings.HasPrefix(id, gang+"/") })
	maps.DeleteFunc(c.reported, func(id string, _ map[int]MemberStatus) bool { return strings.HasPrefix(id, gang+"/") })
	for _, m := range []map[string]time.Duration{c.lastSent, c.notBefore} {
		if len(m) > maxHolds {
			clear(m)
		}
	}
}

// haveView reports whether the view is recent enough, and requests a new one if not.
func (c *Coordinator) haveView(now, within time.Duration) bool {
	if c.viewTime > 0 && now-c.viewTime <= within {
		return true
	}
	if !c.fetchingView {
		c.fetchingView = true
		c.actions = append(c.actions, FetchView{})
	}
	return false
}

func (c *Coordinator) stepWaiting(now time.Duration, group uint32, e *Entry, encoders []Encoder) {
	id := e.Spec.ID
	if now > e.Spec.LatestStart-MinLead {
		c.propose(now, group, Command{Op: "refuse", Gang: id})
		return
	}
	if now < e.Retry || !c.haveView(now, viewTTL) {
		return
	}
	v := c.view
	v.Now, v.Encoders = now, encoders
	p, reason := FindPlan(v, e, nil)
	if p == nil {
		c.propose(now, group, Command{Op: "wait", Gang: id, RetryAfter: 200 * time.Millisecond, Reason: reason})
		return
	}
	c.proposePlan(now, group, e, p)
}

// proposePlan proposes a plan and adds its holds to the view, so that later plans leave them alone.
func (c *Coordinator) proposePlan(now time.Duration, group uint32, e *Entry, p *Plan) {
	c.roundStarted[e.Spec.ID] = now
	t := now
	if p.Clock = c.clock; e.Plan != nil { // a move keeps the start and therefore the clock
		p.Clock = e.Plan.Clock
		t, _, _ = c.timeBy(now, p.Clock)
	}
	c.view.RoundHolds = append(slices.Clone(c.view.RoundHolds), RoundHolds{Gang: e.Spec.ID, Round: p.Round, Home: group, SubmittedAt: e.SubmittedAt, Holds: p.Holds})
	c.propose(now, group, Command{Op: "plan", Gang: e.Spec.ID, Round: p.Round, Plan: p, At: t})
}

func (c *Coordinator) stepPreparing(now, t time.Duration, group uint32, e *Entry) {
	if _, known := c.roundStarted[e.Spec.ID]; !known { // started by another coordinator
		c.roundStarted[e.Spec.ID] = now
	}
	if t > e.Plan.Start-voteMargin || now-c.roundStarted[e.Spec.ID] > prepareTimeout+proposeRetry {
		c.propose(now, group, Command{Op: "abort", Gang: e.Spec.ID, Round: e.Plan.Round, Reason: "its holds took too long"})
		return
	}
	for _, g := range e.Plan.groups() {
		if _, voted := search(e.Votes, g); voted {
			continue
		}
		c.propose(now, g, Command{Op: "prepare", RoundHolds: &RoundHolds{
			Gang: e.Spec.ID, Round: e.Plan.Round, Home: group, SubmittedAt: e.SubmittedAt, Clock: e.Plan.Clock, Holds: e.Plan.HoldsIn(g),
		}})
	}
}

// usable reports whether the encoder of a plan's member can still run it.
func usable(p *Plan, i int, encoders []Encoder) bool {
	for _, x := range encoders {
		if x.ID != p.Encoders[i] {
			continue
		}
		return !x.Excluded && x.WarmAt <= p.Start && slices.ContainsFunc(p.Holds, func(h Hold) bool { return h.Resource == x.Account() && h.Gen == x.Gen })
	}
	return false
}

func (c *Coordinator) stepHeld(now, t time.Duration, group uint32, e *Entry, encoders []Encoder) {
	id, p := e.Spec.ID, e.Plan
	if _, known := c.roundStarted[id]; !known {
		c.roundStarted[e.Spec.ID] = now
	}
	recalled := ""
	if t < p.Start-ArmLead && c.haveView(now, heldViewTTL) {
		recalled = c.recallReason(e)
	}
	for i := range e.Spec.Members {
		reason := recalled
		if reason == "" && usable(p, i, encoders) {
			continue
		}
		reason = cmp.Or(reason, fmt.Sprintf("member %d: %s cannot be used", i, p.Encoders[i]))
		if t > p.Start-voteMargin-proposeRetry {
			c.propose(now, group, Command{Op: "drop", Gang: id, Round: p.Round, Reason: reason})
			return
		}
		if !c.haveView(now, viewTTL) {
			return
		}
		v := c.view
		v.Now, v.Encoders = now, encoders
		keep := p
		if recalled != "" {
			keep = &Plan{Start: p.Start, Encoders: make([]string, len(p.Encoders))}
		}
		moved, _ := FindPlan(v, e, keep)
		if moved == nil {
			c.propose(now, group, Command{Op: "drop", Gang: id, Round: p.Round, Reason: reason + ", and there is no room elsewhere"})
			return
		}
		c.proposePlan(now, group, e, moved)
		return
	}
	if c.replaceSelfAsStarter(now, t, group, e, encoders) || c.planSooner(now, t, group, e, encoders) || t < p.Start-ArmLead {
		return
	}
	armed, free := len(c.armed[fmt.Sprint(id, "/", p.Round)]) == len(e.Spec.Members), c.freeGroups[fmt.Sprint(id, "/", p.Round)]
	if t > p.Start-GoMargin {
		reason := "not all dispatchers were ready"
		if armed {
			reason = "what has its room before it had not ended"
		}
		c.propose(now, group, Command{Op: "drop", Gang: id, Round: p.Round, Reason: reason})
		return
	}
	for _, g := range p.groups() {
		if !free[int(g)] {
			c.propose(now, g, Command{Op: "ready", Gang: id, Round: p.Round})
		}
	}
	if armed && len(free) == len(p.groups()) {
		c.propose(now, group, Command{Op: "go", Gang: id, Round: p.Round, Armed: p.Dispatchers, At: t})
		return
	}
	c.sendMessages(now, e, Arm, messageInterval)
}

// replaceSelfAsStarter moves members that this dispatcher is to send to another one. The home's leader may have
// changed since the gang was planned, and one crash should not take both roles.
func (c *Coordinator) replaceSelfAsStarter(now, t time.Duration, group uint32, e *Entry, encoders []Encoder) bool {
	self, p := c.view.Self, e.Plan
	if !slices.Contains(p.Dispatchers, self) || t < p.Start-2*ArmLead || t > p.Start-ArmLead || !c.haveView(now, viewTTL) {
		return false
	}
	v := c.view
	v.Now, v.Encoders = now, encoders
	next, _ := FindPlan(v, e, p)
	if next == nil || slices.Contains(next.Dispatchers, self) {
		return false
	}
	c.proposePlan(now, group, e, next)
	return true
}

// planSooner plans an earlier start if slots have become free since the gang was planned: jobs may end before their
// holds do. The present holds stay in force until the new ones are committed.
func (c *Coordinator) planSooner(now, t time.Duration, group uint32, e *Entry, encoders []Encoder) bool {
	key := e.Spec.ID + "/sooner"
	if t > e.Plan.Start-2*MinLead || now < c.notBefore[key] || now < c.searchTime+searchInterval || !c.haveView(now, viewTTL) {
		return false
	}
	c.searchTime, c.notBefore[key] = now, now+heldViewTTL
	v := c.view
	v.Now, v.Encoders = t, encoders
	next, _ := FindPlan(v, e, nil)
	if next == nil || next.Start > e.Plan.Start-minGain {
		return false
	}
	c.proposePlan(now, group, e, next)
	return true
}

// recallReason returns a reason to move the gang if a partner now lends too little for its holds and those of older
// gangs, else "". Younger gangs give way.
func (c *Coordinator) recallReason(e *Entry) string {
	a := accounts{Resources: c.view.Accounts}
	var lent []Hold
	for _, h := range e.Plan.Holds {
		if r, known := a.Resources[h.Resource]; known && strings.HasPrefix(h.Resource, PartnerAccount("")) && r.Gen != h.Gen {
			lent = append(lent, h)
		}
	}
	if lent == nil {
		return ""
	}
	for _, s := range c.view.RoundHolds {
		if s.Committed && s.Gang != e.Spec.ID && older(s.SubmittedAt, s.Gang, e.SubmittedAt, e.Spec.ID) {
			a.RoundHolds = append(a.RoundHolds, s)
		}
	}
	a.RoundHolds = append(a.RoundHolds, RoundHolds{Gang: e.Spec.ID, Holds: lent})
	slices.SortStableFunc(a.RoundHolds, func(a, b RoundHolds) int { return cmp.Compare(a.Gang, b.Gang) })
	if h, fits := a.fits(a.RoundHolds, lent); !fits {
		return h.Resource + " lends less"
	}
	return ""
}

func (c *Coordinator) stepRunning(now, t time.Duration, group uint32, e *Entry) {
	every := messageInterval
	if len(c.confirmed[fmt.Sprint(e.Spec.ID, "/", e.Plan.Round)]) == len(e.Spec.Members) {
		every = runningInterval
		for i, f := range e.MemberStatuses {
			if f == Began && t > e.Plan.Start+e.Spec.Members[i].Work-runningInterval {
				every = 2 * messageInterval // other gangs wait for its slots
			}
		}
	}
	kind := Run
	if e.ShouldStop() {
		kind, every = CallOff, 2*messageInterval
	}
	c.sendMessages(now, e, kind, every)
	if kind == CallOff {
		c.cancelElsewhere(now, e)
	}
	for i, f := range e.MemberStatuses {
		if f == Began && t > e.Plan.Start+holdDuration(e.Spec.Members[i])+lostTimeout {
			c.propose(now, group, Command{Op: "report", Gang: e.Spec.ID, Round: e.Plan.Round, Member: i, MemberStatus: Died, Reason: "no word of it", At: t})
		}
	}
}

// sendMessages sends a message to each dispatcher of the gang's members, at most once per interval.
func (c *Coordinator) sendMessages(now time.Duration, e *Entry, kind MessageKind, every time.Duration) {
	p := e.Plan
	to := map[string][]Assignment{}
	for i, name := range p.Dispatchers {
		t := Assignment{Member: i, Encoder: p.Encoders[i]}
		if kind == Arm {
			t.Spec = e.Spec.Members[i]
		}
		if i < len(e.MemberStatuses) && e.MemberStatuses[i] != Unknown && e.MemberStatuses[i] != Began {
			continue
		}
		to[name] = append(to[name], t)
	}
	for _, name := range slices.Sorted(maps.Keys(to)) {
		key := fmt.Sprint(name, "/", e.Spec.ID, "/", p.Round, "/", kind)
		if last, sentBefore := c.lastSent[key]; sentBefore && now-last < every {
			continue
		}
		c.lastSent[key] = now
		msg := Message{Kind: kind, Gang: e.Spec.ID, Round: p.Round, Skew: e.Spec.Skew, Assignments: to[name]}
		offset, err, ok := time.Duration(0), time.Duration(0), false
		if k := c.clocks[c.clockOf[name]]; k != nil {
			offset, err, ok = k.Offset(now)
		}
		t, planErr, known := c.timeBy(now, p.Clock)
		if err += planErr; ok && known && err <= e.Spec.Skew/4 { // otherwise the message only measures the clock and arms no member
			msg.At, msg.ClockError, msg.offset = p.Start+offset+now-t, err, offset
			c.Stats.MaxClockError = max(c.Stats.MaxClockError, err)
		} else if kind == Arm {
			msg.Assignments = nil
		}
		c.actions = append(c.actions, Send{name, msg})
	}
}

// cancelElsewhere has other dispatchers cancel members whose dispatchers do not answer.
func (c *Coordinator) cancelElsewhere(now time.Duration, e *Entry) {
	for i, name := range e.Plan.Dispatchers {
		if f := e.MemberStatuses[i]; f != Unknown && f != Began || now-c.dispatchers[name].lastReply < silenceTimeout {
			continue
		}
		for _, other := range slices.Sorted(maps.Keys(c.dispatchers)) {
			key := fmt.Sprint(other, "/", JobID(e.Spec.ID, e.Plan.Round, i), "/", CancelElsewhere)
			if other == name || now-c.dispatchers[other].lastReply > livenessTimeout || now-c.lastSent[key] < cancelInterval {
				continue
			}
			c.lastSent[key] = now
			c.actions = append(c.actions, Send{other, Message{Kind: CancelElsewhere, Gang: e.Spec.ID, Round: e.Plan.Round, Assignments: []Assignment{{Member: i, Encoder: e.Plan.Encoders[i]}}}})
			break
		}
	}
}

// dispatcherInfo is a dispatcher's site and the time of its last reply.
type dispatcherInfo struct {
	lastReply time.Duration
	site      string
}

// LiveDispatchers returns the dispatchers that have replied recently.
func (c *Coordinator) LiveDispatchers(now time.Duration) (all []Dispatcher) {
	for _, name := range slices.Sorted(maps.Keys(c.dispatchers)) {
		if h := c.dispatchers[name]; now-h.lastReply < livenessTimeout {
			all = append(all, Dispatcher{name, h.site})
		}
	}
	return all
}

// checkOrphans queries the homes of holds that have been uncommitted for long. The decision on them may never have
// been sent if the home removed the gang first.
func (c *Coordinator) checkOrphans(now time.Duration, group uint32, m *Machine) {
	for _, s := range m.RoundHolds {
		id := fmt.Sprint(group, "/", s.Gang, "/", s.Round)
		if s.Committed {
			delete(c.undecidedSince, id)
			continue
		}
		if _, known := c.undecidedSince[id]; !known {
			if len(c.undecidedSince) > maxHolds {
				clear(c.undecidedSince)
			}
			c.undecidedSince[id] = now
		}
		if now-c.undecidedSince[id] > orphanTimeout {
			c.propose(now, s.Home, Command{Op: "ask", Gang: s.Gang, Round: s.Round, Group: group})
		}
	}
}
