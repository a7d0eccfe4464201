package rerun

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

// output has an output take a letter.
func (m *Machine) output(l *Letter) {
	o := m.s.Outputs[l.To]
	if o == nil {
		if l.Kind == "leave" || l.Want == nil {
			return
		}
		o = &Output{Key: l.To, Wants: map[string]*Want{}, Users: map[string]int64{}}
		m.s.Outputs[l.To] = o
	}
	if l.Kind == "leave" {
		delete(o.Wants, l.From)
		delete(o.Users, l.From)
		if t := o.Turn; t != nil && t.Phase != Started && len(o.Wants) == 0 {
			m.drop(o)
		}
		m.idle(o)
		return
	}
	if len(o.Wants) >= mostWants {
		m.send(Letter{Kind: "fell", To: "r/" + l.From, Stage: l.Want.Stage, Gen: o.Last, Cause: policy.Refused, Text: "too many wait for this output"})
		return
	}
	if m.faulty.AnyGeneration && l.Want.Over > 0 {
		l.Want.Over = o.Last
	}
	o.Wants[l.From] = l.Want
	m.serve(o)
}

// drop takes back a turn that nobody waits for any more and that has not started; what it has paid is given back.
func (m *Machine) drop(o *Output) {
	t := o.Turn
	if t.Phase == Queued && !t.First {
		for _, name := range t.Charge {
			a := m.s.Accounts[name]
			a.Balance += t.Work.Microseconds()
			a.Spent -= t.Work.Microseconds()
		}
	}
	o.Last = t.Gen - 1
	m.turn(o, nil)
}

func (m *Machine) turn(o *Output, t *Turn) {
	if o.Turn = t; t == nil {
		delete(m.turns, o.Key)
	} else {
		m.turns[o.Key] = o
	}
}

// idle forgets an output that nobody uses: a run's own with the run, a shared one after a while.
func (m *Machine) idle(o *Output) {
	if len(o.Wants) == 0 && len(o.Users) == 0 && o.Turn == nil {
		if rest, own := strings.CutPrefix(o.Key, "r/"); own {
			id, _, _ := strings.Cut(rest, "/")
			if r := m.s.Runs[id]; r == nil || r.Answer != nil {
				delete(m.s.Outputs, o.Key)
			}
			return
		}
		o.Idle = m.s.At + keepOutput
		m.wake(o.Idle, "idle", o.Key)
	}
}

// serve answers the wants that can be, and begins a turn for the others. One turn serves all that have the same output
// fail: whoever wants a generation over one that is made, or is being made, gets that.
func (m *Machine) serve(o *Output) {
	for _, id := range slices.Sorted(maps.Keys(o.Wants)) {
		w := o.Wants[id]
		if o.Gen > w.Over && covers(o.Of, w.Of) {
			delete(o.Wants, id)
			o.Users[id] = o.Gen
			m.send(Letter{Kind: "made", To: "r/" + id, Stage: w.Stage, Gen: o.Gen, Of: o.Of, At: o.At, Made: o.Made, Text: o.Result})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.Wants)) {
		w := o.Wants[id]
		if t := o.Turn; t != nil {
			if t.Phase != Started && !covers(t.Of, w.Of) && covers(w.Of, t.Of) { // not begun: it takes the newer inputs
				t.Of = w.Of
			}
			continue
		}
		if w.Over > o.Last { // lost with a group's state: generations go on above it
			o.Last = w.Over
		}
		o.Last++
		m.s.Order++
		m.turn(o, &Turn{Want: *w, Gen: o.Last, First: o.Last == 1, Phase: Paying, Order: m.s.Order})
		m.payTurn(o)
	}
}

// account is a group's part of a budget.
func (m *Machine) accountOf(name string, spare time.Duration) *Account {
	a := m.s.Accounts[name]
	if a == nil {
		a = &Account{}
		m.s.Accounts[name] = a
	}
	a.Spare = max(a.Spare, spare.Microseconds())
	return a
}

// payTurn has a turn go on once its budgets allow it: a first run adds to them, a rerun takes from all or none.
func (m *Machine) payTurn(o *Output) {
	t := o.Turn
	if t.First {
		for _, s := range t.Accrue {
			if o.Accrued { // by a turn that never started
				break
			}
			a := m.accountOf(s.Account, t.Spare)
			n := int64(s.Of * float64(t.Work.Microseconds()))
			a.Balance += n
			a.Accrued += n
		}
		t.Phase, o.Accrued, m.richer = Queued, true, true
		return
	}
	need := t.Work.Microseconds()
	short := false
	for _, name := range t.Charge {
		a := m.accountOf(name, t.Spare)
		if a.Balance < need {
			short = true
			if more := need - a.Balance; a.Asked == 0 {
				a.Asked = more
				m.send(Letter{Kind: "ask", To: "b/" + name, Group: m.c.Group, Amount: more, Spare: a.Spare})
			}
		}
	}
	if short {
		return
	}
	for _, name := range t.Charge {
		a := m.s.Accounts[name]
		a.Balance -= need
		a.Spent += need
	}
	t.Phase = Queued
}

// pay looks at all turns that wait for their budgets, the oldest first.
func (m *Machine) pay() {
	for _, o := range m.such(func(t *Turn) bool { return t.Phase == Paying }) {
		m.payTurn(o)
	}
}

// such is the outputs whose turns are such, in the order in which those came up.
func (m *Machine) such(such func(*Turn) bool) (all []*Output) {
	for _, o := range m.turns {
		if such(o.Turn) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b *Output) int { return cmp.Compare(a.Turn.Order, b.Turn.Order) })
	return all
}

// pool has the root's part of a budget take a letter. Groups are granted whole amounts, in their order: what is granted
// and what is here are never more than was given to it.
func (m *Machine) pool(l *Letter) {
	p := m.s.Pools[l.To]
	if p == nil {
		if len(m.s.Pools) >= mostKept {
			return
		}
		p = &Pool{Balance: l.Spare, Spare: l.Spare}
		m.s.Pools[l.To] = p
	}
	if l.Kind == "give" {
		p.Balance += l.Amount
	} else {
		p.Asking = append(p.Asking, asking{l.Group, l.Amount})
	}
	for len(p.Asking) > 0 && p.Balance >= p.Asking[0].Amount {
		a := p.Asking[0]
		p.Asking = p.Asking[1:]
		p.Balance -= a.Amount
		m.post(a.Group, Letter{Kind: "grant", To: strings.TrimPrefix(l.To, "b/"), Amount: a.Amount})
	}
}

// giveBack has a group give the root what it has over of budgets that none of its turns waits for.
func (m *Machine) giveBack() {
	waits := map[string]bool{}
	for _, o := range m.such(func(t *Turn) bool { return t.Phase == Paying }) {
		for _, name := range o.Turn.Charge {
			waits[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.s.Accounts)) {
		if a := m.s.Accounts[name]; !waits[name] && a.Asked == 0 && a.Balance >= giveFrom.Microseconds() {
			m.send(Letter{Kind: "give", To: "b/" + name, Amount: a.Balance, Spare: a.Spare})
			a.Balance = 0
		}
	}
}

// start takes that a dispatcher is about to have a turn run.
func (m *Machine) start(c *Command) Result {
	o := m.s.Outputs[c.Key]
	switch {
	case o == nil || o.Turn == nil || o.Turn.Gen != c.Gen:
		return no("no such turn")
	case o.Turn.Phase == Started && o.Turn.By == c.By:
		return Result{OK: true}
	case o.Turn.Phase != Queued:
		return no("not to be started")
	case m.s.Running >= m.c.Running:
		return no("as many run as may")
	case !o.Turn.First && m.queuedFirst():
		return no("first runs go first")
	}
	t := o.Turn
	t.Phase, t.By, t.Began = Started, c.By, m.s.At
	m.s.Running++
	if m.Begun++; !t.First {
		m.Reruns++
	}
	m.wake(t.over(), "turn", o.Key)
	m.send(Letter{Kind: "begun", To: "r/" + t.Run, Stage: t.Stage, Gen: t.Gen, OK: t.First})
	m.giveBack()
	return Result{OK: true}
}

// over is when a turn that has started is late: it is waited for no longer. What must not run twice has its job's end waited
// for: that tells whether it ran, and comes once the job's time is over.
func (t *Turn) over() time.Duration {
	switch {
	case t.Within > 0 && t.Once:
		return min(t.Began+t.Within, t.Until) + overdue
	case t.Within > 0:
		return min(t.Began+t.Within, t.Until+overdue)
	}
	return t.Until + overdue
}

func (m *Machine) queuedFirst() bool {
	for _, o := range m.turns {
		if o.Turn.Phase == Queued && o.Turn.First {
			return true
		}
	}
	return false
}

// end takes how a turn ended. Only the first word of it counts.
func (m *Machine) end(c *Command) Result {
	o := m.s.Outputs[c.Key]
	if o == nil || o.Turn == nil || o.Turn.Gen != c.Gen || o.Turn.Phase != Started {
		return no("no such turn runs")
	}
	if !c.OK && !c.Cause.Known() {
		return no("%q is no cause", c.Cause)
	}
	if len(c.Text) > 4*mostParam {
		c.Text = c.Text[:4*mostParam]
	}
	t, at := o.Turn, policy.Place{}
	if c.Place != nil {
		at = *c.Place
	}
	m.turn(o, nil)
	m.s.Running--
	if c.OK {
		o.Gen, o.Of, o.At, o.Made, o.Result = t.Gen, t.Of, at, m.s.At, c.Text
		if len(t.Of) > 0 && at.Worker != "" {
			m.send(Letter{Kind: "content", To: "c/" + at.Worker, Text: t.Name})
		}
		for _, id := range slices.Sorted(maps.Keys(o.Users)) {
			if o.Wants[id] == nil {
				m.send(Letter{Kind: "newer", To: "r/" + id, Key: o.Key, Gen: o.Gen, Of: o.Of, At: o.At, Made: o.Made})
			}
		}
	} else {
		for _, id := range slices.Sorted(maps.Keys(o.Wants)) {
			w := o.Wants[id]
			if w.Over >= t.Gen || !covers(t.Of, w.Of) && !w.Once { // it wants what was not tried yet
				continue
			}
			delete(o.Wants, id)
			m.send(Letter{Kind: "fell", To: "r/" + id, Stage: w.Stage, Gen: t.Gen, Cause: c.Cause, Input: c.Input, At: at, Ran: m.s.At - t.Began, Text: c.Text})
		}
	}
	m.serve(o)
	m.idle(o)
	m.settle()
	m.giveBack()
	return Result{OK: true}
}

// print has a fingerprint take a letter. Of failures with one fingerprint one rerun goes first and the others wait for
// its verdict; after a good one twice as many go at once each time, up to the room of the place.
func (m *Machine) print(l *Letter) {
	p := m.s.Prints[l.To]
	if p == nil {
		if l.Kind == "verdict" {
			return
		}
		if len(m.s.Prints) >= mostKept {
			m.send(Letter{Kind: "no", To: "r/" + l.From, Stage: l.Stage})
			return
		}
		p = &Print{Room: 1}
		m.s.Prints[l.To] = p
	}
	p.Idle = m.s.At + claimFor
	m.wake(p.Idle, "print", l.To)
	if l.Kind == "try" {
		m.say(l.To)
		if len(p.Waiting) >= mostTries || p.Bad >= badInRow && m.s.At < p.Not {
			m.send(Letter{Kind: "no", To: "r/" + l.From, Stage: l.Stage})
			return
		}
		p.Waiting = append(p.Waiting, *l)
		m.letGo(l.To, p)
		return
	}
	i := slices.Index(p.Trying, l.From)
	if i < 0 { // it may still wait
		p.Waiting = slices.DeleteFunc(p.Waiting, func(w Letter) bool { return fmt.Sprintf("%s/%d", w.From, w.Stage) == l.From })
		return
	}
	p.Trying = slices.Delete(p.Trying, i, i+1)
	switch {
	case l.Text == "none":
	case l.OK:
		p.Bad, p.Not = 0, 0
		p.Room = min(2*p.Room, max(1, cmp.Or(m.s.Room[l.To[strings.LastIndexByte(l.To, '/')+1:]], usualRoom)))
		p.Waiting = slices.DeleteFunc(p.Waiting, func(w Letter) bool { // it is the output that they wait for
			if w.Key == l.Key {
				m.send(Letter{Kind: "go", To: "r/" + w.From, Stage: w.Stage, Sites: m.often(l.To)})
			}
			return w.Key == l.Key
		})
	default:
		p.Room = 1
		p.Bad++
		p.Not = m.s.At + time.Second<<min(p.Bad, 6)
		if p.Bad >= badInRow {
			for _, w := range p.Waiting {
				m.send(Letter{Kind: "no", To: "r/" + w.From, Stage: w.Stage})
			}
			p.Waiting, p.Not = nil, m.s.At+cool
		}
		m.wake(p.Not, "print", l.To)
	}
	m.letGo(l.To, p)
}

// letGo lets go first who may.
func (m *Machine) letGo(key string, p *Print) {
	if p.Bad >= badInRow && m.s.At >= p.Not {
		p.Bad = 0
	}
	for len(p.Waiting) > 0 && (len(p.Trying) < p.Room && m.s.At >= p.Not || m.faulty.NoTrial) {
		w := p.Waiting[0]
		p.Waiting = p.Waiting[1:]
		p.Trying = append(p.Trying, fmt.Sprintf("%s/%d", w.From, w.Stage))
		m.send(Letter{Kind: "go", To: "r/" + w.From, Stage: w.Stage, Sites: m.often(key)})
	}
}

// say counts what a fingerprint says of its place.
func (m *Machine) say(print string) {
	f := family(print)
	zone, site, ok := strings.Cut(print[len(f)+1:], ".")
	if all, known := m.s.Often[f]; !ok || site == "" || !known && len(m.s.Often) >= mostKept {
		return
	} else if m.s.Often[f] = slices.DeleteFunc(all, func(o Often) bool { return o.Last+claimFor <= m.s.At }); !known {
		m.wake(m.s.At+claimFor, "often", f)
	}
	at := policy.Place{Zone: zone, Site: site}
	i := slices.IndexFunc(m.s.Often[f], func(o Often) bool { return o.Site == at })
	if i < 0 {
		if len(m.s.Often[f]) >= mostSites {
			return
		}
		i = len(m.s.Often[f])
		m.s.Often[f] = append(m.s.Often[f], Often{Site: at})
	}
	m.s.Often[f][i].N++
	m.s.Often[f][i].Last = m.s.At
}

// often is the sites of which a fingerprint's stage and cause are said far more often than of others, of late.
func (m *Machine) often(print string) (sites []policy.Place) {
	most, all := oftenFrom, m.s.Often[family(print)]
	for _, o := range all {
		if o.Last+claimFor > m.s.At {
			most = max(most, o.N)
		}
	}
	for _, o := range all {
		if o.Last+claimFor > m.s.At && o.N >= oftenFrom && 2*o.N > most {
			sites = append(sites, o.Site)
		}
	}
	return sites
}

// claimant has what is known of a worker's claims take a letter. The first ones are believed. While those are neither
// confirmed nor refuted, a further one is looked into by another worker first, unless it was content with its inputs
// as often at that stage: if that says so too, more are believed from then on; who was refuted is not believed for
// a while. One in eight is looked into all the same, else who lies now and then would never be found out.
func (m *Machine) claimant(l *Letter) {
	c := m.s.Claimants[l.To]
	if c == nil {
		if l.Kind == "opinion" || len(m.s.Claimants) >= mostKept {
			if l.Kind == "claim" {
				m.send(Letter{Kind: "believed", To: "r/" + l.From, Stage: l.Stage, OK: true})
			}
			return
		}
		c = &Claimant{Since: m.s.At, Trust: trustFirst}
		m.s.Claimants[l.To] = c
		m.wake(m.s.At+claimFor, "claimant", l.To)
	}
	if c.Content == nil {
		c.Content = map[string]int64{}
	}
	if l.Kind == "content" {
		if c.Content[l.Text] > 0 || len(c.Content) < mostSites {
			c.Content[l.Text]++
		}
		return
	}
	same := func(x Claim) bool { return x.Key == l.Key && x.Gen == l.Gen }
	if l.Kind == "opinion" {
		c.Open = slices.DeleteFunc(c.Open, same)
		if l.OK { // another worker says so too: its claims are worth something
			c.Open, c.Refuted, c.Trust = nil, 0, min(2*c.Trust, trustMost)
		} else if c.Refuted, c.Trust, c.Content = c.Refuted+1, 0, nil; c.Refuted >= refutedMost {
			c.Until = m.s.At + claimFor
		}
		return
	}
	answer := Letter{Kind: "believed", To: "r/" + l.From, Stage: l.Stage, OK: true, At: l.At}
	c.Claims++
	switch {
	case m.s.At < c.Until:
		answer.OK, answer.Text = false, "its worker's claims were refuted"
	case slices.ContainsFunc(c.Open, same):
	case int64(len(c.Open)) < int64(c.Trust)+c.Content[l.Text]/trustEach && c.Claims%lookEach > 0:
		c.Open = append(c.Open, Claim{Key: l.Key, Gen: l.Gen})
	default:
		answer.OK, answer.Text = false, "its worker calls many inputs bad"
		if len(c.Open) < 64 {
			c.Open = append(c.Open, Claim{Key: l.Key, Gen: l.Gen})
		}
	}
	m.send(answer)
}

// dues is what time brings about, by time.
type dues []due

type due struct {
	at        time.Duration
	kind, key string
}

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].kind, d[j].kind), cmp.Compare(d[i].key, d[j].key)) < 0
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (m *Machine) wake(at time.Duration, kind, key string) {
	if at > 0 { // 0 is never
		heap.Push(&m.due, due{at, kind, key})
	}
}

// Next is when time brings something about; 0: never.
func (m *Machine) Next() time.Duration {
	if len(m.due) == 0 {
		return 0
	}
	return m.due[0].at
}

// time does what is due by now.
func (m *Machine) time() {
	for len(m.due) > 0 && m.due[0].at <= m.s.At {
		d := heap.Pop(&m.due).(due)
		switch d.kind {
		case "run":
			if r := m.s.Runs[d.key]; r != nil && r.Answer == nil && r.Until <= m.s.At {
				stage, waits := m.waits(r)
				m.finish(r, Answer{Kind: LateEnd, Stage: stage, Cause: policy.Late, Reason: "its time was over: " + cmp.Or(strings.Join(waits, "; "), "it waited for nothing")})
				for i, s := range r.Stages {
					if r.p.Stages[i].Once && s.Ran && s.Have <= s.Over { // nobody knows
						r.Answer.Kind, r.Answer.Stage = Person, r.p.Stages[i].Name
					}
				}
			}
		case "ended":
			if r := m.s.Runs[d.key]; r != nil && r.Answer != nil && r.Answer.At+keepEnded <= m.s.At {
				delete(m.s.Runs, d.key)
			}
		case "wait":
			id, number, _ := strings.Cut(d.key, "/")
			i := 0
			fmt.Sscan(number, &i)
			if r := m.s.Runs[id]; r != nil && r.Answer == nil && i < len(r.Stages) {
				if n := r.Stages[i].Next; n != nil && n.Phase == "wait" && n.At <= m.s.At {
					m.try(r, i)
				}
			}
		case "turn":
			if o := m.s.Outputs[d.key]; o != nil && o.Turn != nil && o.Turn.Phase == Started && o.Turn.over() <= m.s.At {
				m.end(&Command{Key: d.key, Gen: o.Turn.Gen, Cause: policy.Late})
			}
		case "idle":
			if o := m.s.Outputs[d.key]; o != nil && o.Idle <= m.s.At && len(o.Wants) == 0 && len(o.Users) == 0 && o.Turn == nil {
				delete(m.s.Outputs, d.key)
			}
		case "print":
			if p := m.s.Prints[d.key]; p != nil {
				if m.letGo(d.key, p); len(p.Trying)+len(p.Waiting) == 0 && p.Idle <= m.s.At && p.Not <= m.s.At {
					delete(m.s.Prints, d.key)
				}
			}
		case "often":
			last := time.Duration(0)
			for _, o := range m.s.Often[d.key] {
				last = max(last, o.Last)
			}
			if last+claimFor <= m.s.At {
				delete(m.s.Often, d.key)
			} else {
				m.wake(last+claimFor, "often", d.key)
			}
		case "claimant":
			if c := m.s.Claimants[d.key]; c != nil && c.Until <= m.s.At {
				delete(m.s.Claimants, d.key)
			} else if c != nil {
				m.wake(c.Until, "claimant", d.key)
			}
		}
		m.settle()
	}
}

// Action is something to be done by whoever leads the group.
type Action interface{ action() }

// The actions.
type (
	// Go has a turn run, once OpStart is committed: a stage's generation, by the class's workers, narrowed.
	Go struct {
		Key string
		Turn
	}
	// Deliver has letters be proposed to another group, and OpSent here once they are taken in.
	Deliver struct {
		To      uint32
		Letters []Letter
	}
	// WaitUntil has OpTick be proposed at a time.
	WaitUntil struct{ At time.Duration }
)

func (Go) action()        {}
func (Deliver) action()   {}
func (WaitUntil) action() {}

// Actions is what is to be done now: first runs before reruns, as many as may run at once.
func (m *Machine) Actions() (all []Action) {
	queued := m.such(func(t *Turn) bool { return t.Phase == Queued })
	room := m.c.Running - m.s.Running
	for _, first := range []bool{true, false} {
		for _, o := range queued {
			if o.Turn.First == first && room > 0 {
				all = append(all, Go{o.Key, *o.Turn})
				room--
			}
		}
	}
	for _, to := range slices.Sorted(maps.Keys(m.s.Out)) {
		if letters := m.s.Out[to]; len(letters) > 0 {
			all = append(all, Deliver{to, slices.Clone(letters[:min(len(letters), 128)])})
		}
	}
	if at := m.Next(); at > 0 {
		all = append(all, WaitUntil{at})
	}
	return all
}

// Running is the turns that a dispatcher, or any (""), has started and that have no end.
func (m *Machine) Running(by string) (all []Go) {
	for _, o := range m.such(func(t *Turn) bool { return t.Phase == Started && (by == "" || t.By == by) }) {
		all = append(all, Go{o.Key, *o.Turn})
	}
	return all
}

// Turns tells whether a turn is under way still.
func (m *Machine) Turns(key string, gen int64) bool {
	o := m.s.Outputs[key]
	return o != nil && o.Turn != nil && o.Turn.Gen == gen
}

// Run is a run, to be read only; nil: there is none.
func (m *Machine) Run(id string) *Run { return m.s.Runs[id] }

// Current is the version of the policy that counts for runs that begin now.
func (m *Machine) Current() string { return m.s.Current }

// Size is how many runs there are, and how many have no answer.
func (m *Machine) Size() (runs, open int) { return len(m.s.Runs), m.open }

// waits is what a run waits for, and the stage that it is at.
func (m *Machine) waits(r *Run) (stage string, all []string) {
	for i, s := range r.Stages {
		name := r.p.Stages[i].Name
		switch n := s.Next; {
		case n != nil && n.Phase == "wait":
			all = append(all, fmt.Sprintf("%s: %v until %s is run again", name, max(0, n.At-m.s.At).Round(time.Millisecond), r.p.Stages[n.Target].Name))
		case n != nil && n.Phase == "trial":
			all = append(all, fmt.Sprintf("%s: the verdict of a rerun that went first, of %s", name, strings.TrimPrefix(n.Print, "f/")))
		case n != nil:
			all = append(all, fmt.Sprintf("%s: whether its worker is believed", name))
		case s.Wants:
			text := "its output"
			if o := m.s.Outputs[r.Key(i)]; o != nil && o.Turn != nil {
				switch o.Turn.Phase {
				case Paying:
					text = "a budget: " + strings.Join(o.Turn.Charge, ", ")
				case Queued:
					text = "its turn"
				case Started:
					text = fmt.Sprintf("generation %d, which %s has had run for %v", o.Turn.Gen, o.Turn.By, (m.s.At - o.Turn.Began).Round(time.Millisecond))
				}
			}
			all = append(all, name+": "+text)
		default:
			continue
		}
		stage = cmp.Or(stage, name)
	}
	return stage, all
}

// Explained is one run for people.
type Explained struct {
	Run      string            `json:"run"`
	Pipeline string            `json:"pipeline"`
	Policy   string            `json:"policy"`
	Tenant   string            `json:"tenant,omitempty"`
	Began    time.Duration     `json:"began"`
	Answer   *Answer           `json:"answer,omitempty"`
	Waits    []string          `json:"waits_for,omitempty"`
	Reruns   int               `json:"reruns"`
	Work     time.Duration     `json:"rerun_work"`
	Story    []Line            `json:"story"`
	Stages   map[string]string `json:"stages"`
}

// Explain tells of one run: each rerun, by which line of which version, what it made stale, what it cost, what it
// waits for; false: there is none.
func (m *Machine) Explain(id string) (e Explained, ok bool) {
	r := m.s.Runs[id]
	if r == nil {
		return e, false
	}
	e = Explained{
		Run: id, Pipeline: r.Pipeline, Policy: r.Policy, Tenant: r.Tenant, Began: r.Began, Answer: r.Answer, Reruns: r.Reruns, Work: r.Work,
		Story: slices.Clone(r.Story), Stages: map[string]string{},
	}
	if r.Answer == nil {
		_, e.Waits = m.waits(r)
	}
	for i, s := range r.Stages {
		text := "not made"
		if s.Have > s.Over {
			text = fmt.Sprintf("generation %d", s.Have)
		} else if s.Have > 0 {
			text = fmt.Sprintf("generation %d, stale", s.Have)
		}
		if s.At.Worker != "" {
			text += " at " + s.At.Worker
		}
		e.Stages[r.p.Stages[i].Name] = text
	}
	return e, true
}

// Snapshot is the state as a text.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m.s) }

// Restore takes the state of a snapshot.
func (m *Machine) Restore(text []byte) error {
	next := New(m.c)
	next.faulty = m.faulty
	if err := json.Unmarshal(text, &next.s); err != nil {
		return fmt.Errorf("reruns: %w", err)
	}
	if next.s.V != Version {
		return fmt.Errorf("reruns: a snapshot of version %d, not %d", next.s.V, Version)
	}
	for version, t := range next.s.Policies {
		p, err := policy.Parse("policy", []byte(t.Text), t.Site)
		if err != nil {
			return fmt.Errorf("reruns: version %s: %w", version, err)
		}
		next.loaded[version] = p
	}
	for id, r := range next.s.Runs {
		pol := next.loaded[r.Policy]
		if pol == nil || pol.Pipelines[r.Pipeline] == nil || len(pol.Pipelines[r.Pipeline].Stages) != len(r.Stages) {
			if r.Answer == nil {
				return fmt.Errorf("reruns: run %s is of version %s, which is not there", id, r.Policy)
			}
			delete(next.s.Runs, id)
			continue
		}
		r.p = pol.Pipelines[r.Pipeline]
		if r.Answer == nil {
			next.open++
		}
		next.wake(r.Until, "run", id)
		if r.Answer != nil {
			next.wake(r.Answer.At+keepEnded, "ended", id)
		}
		for i, s := range r.Stages {
			if s.Next != nil && s.Next.Phase == "wait" {
				next.wake(s.Next.At, "wait", trialOf(r, i))
			}
		}
	}
	for key, o := range next.s.Outputs {
		if o.Wants == nil {
			o.Wants = map[string]*Want{}
		}
		if o.Users == nil {
			o.Users = map[string]int64{}
		}
		if o.Turn != nil {
			next.turns[key] = o
		}
		if o.Turn != nil && o.Turn.Phase == Started {
			next.wake(o.Turn.over(), "turn", key)
		}
		if o.Idle > 0 {
			next.wake(o.Idle, "idle", key)
		}
	}
	for key := range next.s.Often {
		next.wake(next.s.At+1, "often", key)
	}
	for key, p := range next.s.Prints {
		next.wake(max(p.Idle, p.Not), "print", key)
		next.wake(p.Not, "print", key)
	}
	for key, c := range next.s.Claimants {
		next.wake(max(c.Since+claimFor, c.Until), "claimant", key)
	}
	*m = *next
	return nil
}
