// Package members decides what dispatchers that talk to each other do about the worker list: who watches the list
// service, who tells whom of a change, and what of it is believed. It has no I/O and no clock: it is driven by events,
// each with its time, and returns what is to be done. docs/members-design.md weighs the choices.
package members

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"caperrelay/internal/dispatch"
)

const (
	beatEvery   = 500 * time.Millisecond // that a watcher says that it watches
	silentAfter = 2 * time.Second        // without a beat, a watcher counts as none
	ackWithin   = 200 * time.Millisecond // else whoever was told is passed over
	settleAfter = 500 * time.Millisecond // without a change of the membership, roles are taken,
	settleMore  = 4 * time.Second        // and so much later as dispatchers are missing, in parts of all;
	settleBy    = 5 * time.Second        // after the start in any case
	leastRetry  = 200 * time.Millisecond // after a watch was lost; doubled for each more
	mostRetry   = 5 * time.Second
	failingFor  = 2 * time.Second  // without a watch, a watcher says so and another takes over
	pardonAfter = 30 * time.Second // after which it may be chosen again
	olderFor    = 10 * time.Second // that the service tells an older list, until that is believed
	askEvery    = time.Second
	askFirst    = 400 * time.Millisecond // while there is no list at all
	mostMissing = 0.4                    // of the dispatchers: with a part f seen, so many more than needed take a role as 1/f
	doubtFor    = 30 * time.Second       // that whoever told nonsense is not listened to
	mostAhead   = 5 * time.Second        // of our clock, that a source's may be
	mostJump    = 1 << 20                // revisions at once
	mostSources = 256                    // of which it is kept what was passed on: many more than there are watchers
	fewMembers  = 4                      // of a table, under which half of it may go at once
)

// Mark orders lists: a term begins when a list service has begun its revisions anew.
type Mark struct {
	Term     int64 `json:"Term"`
	Revision int64 `json:"Revision"`
}

// Before tells whether a mark is older.
func (m Mark) Before(o Mark) bool {
	return cmp.Or(cmp.Compare(m.Term, o.Term), cmp.Compare(m.Revision, o.Revision)) < 0
}

func (m Mark) String() string { return fmt.Sprintf("%d.%d", m.Term, m.Revision) }

// Watch is how a dispatcher stands to the list service.
type Watch int

// The states of a watch.
const (
	None    Watch = iota // others watch
	Trying               // it is to watch and does not yet
	Well                 // it watches
	Failing              // it should, and cannot: the next takes over
)

func (w Watch) String() string {
	return [...]string{"told by peers", "trying", "watches", "failing"}[w]
}

// Peer is a living dispatcher, as the membership tells of it.
type Peer struct {
	Name, Zone, Settings string
	Watch                Watch
}

// Told is what one dispatcher tells another of the list: a whole one, a change of one, or a beat, which has no members.
type Told struct {
	Source  string              `json:"Source"` // whose own watch it comes from, and root of the tree in which it is passed on
	Mark    Mark                `json:"Mark"`
	Base    Mark                `json:"Base"`  // of the table that a change is of
	Heard   time.Time           `json:"Heard"` // by the source, by its clock
	Age     time.Duration       `json:"Age"`   // since then, each measuring its own part
	Whole   bool                `json:"Whole"`
	Beat    bool                `json:"Beat"`
	Answer  bool                `json:"Answer"` // to one who asked: it is not passed on
	Members []dispatch.Instance `json:"Members"`
}

// Config is what a dispatcher is told of itself.
type Config struct {
	Name, Zone string
	Watchers   int // in each zone
	FanOut     int // of a tree
	Expected   int // dispatchers in all, as the settings say
}

// Action is something to be done.
type Action interface{ action() }

// The actions.
type (
	// Say tells a peer. It confirms by Acked.
	Say struct {
		To string
		Told
	}
	// Ack confirms to a peer what it told.
	Ack struct {
		To, Source string
		Mark       Mark
	}
	// Ask asks a peer for the whole list.
	Ask struct{ To string }
	// Keep has the own watch begin, or end.
	Keep struct{ Watch bool }
	// Take takes a list.
	Take struct{ dispatch.InstanceUpdate }
	// Show has the membership tell how the own watch is.
	Show struct{ Watch Watch }
	// Note is for the log.
	Note struct{ Text, Peer string }
)

func (Say) action()  {}
func (Ack) action()  {}
func (Ask) action()  {}
func (Keep) action() {}
func (Take) action() {}
func (Show) action() {}
func (Note) action() {}

// State is one dispatcher's view. It is not safe for more than one goroutine.
type State struct {
	c     Config
	rng   *rand.Rand
	began time.Time
	out   []Action

	peers   map[string]Peer
	changed time.Time // of who lives
	ranked  []string  // of the own zone, self among them, who comes first as a watcher
	trees   map[string][]string

	table  dispatch.InstanceList
	has    bool // a list at all
	mark   Mark
	source string
	heard  time.Time // by the source
	fresh  time.Time // when the list was last true, as far as known here: now less the age of what was told last

	watch  Watch
	wants  bool // a watch is on, or asked for
	lost   int
	since  time.Time // of trying
	retry  time.Time // zero: none waits
	failed time.Time
	older  time.Time // since when the own watch tells an older list; zero: it does not
	moved  bool
	beat   time.Time
	shown  Watch

	heardOf  map[string]time.Time // by watcher: its last beat
	expected map[string]time.Time // by watcher: since when it should beat
	passed   map[string]Mark      // by source: what was passed on last
	waiting  map[string]wait      // by peer
	doubted  map[string]time.Time // by peer: until when
	unasked  map[string]time.Time // by peer: until when, since it told half of a list
	doubt    Told                 // half of the table is missing in it
	asked    time.Time
	set      time.Time // when a watcher was last set right
}

// wait is for a confirmation.
type wait struct {
	Told
	until time.Time
}

// New returns the view of a dispatcher that begins.
func New(c Config, now time.Time) *State {
	c.Watchers, c.FanOut = max(1, c.Watchers), max(2, c.FanOut)
	s := &State{
		c: c, rng: rand.New(rand.NewPCG(rank(c.Name, "seed"), uint64(now.UnixNano()))), began: now, changed: now,
		heardOf: map[string]time.Time{}, expected: map[string]time.Time{}, passed: map[string]Mark{}, waiting: map[string]wait{}, doubted: map[string]time.Time{},
		unasked: map[string]time.Time{},
	}
	s.Living(now, nil)
	return s
}

// rank is a dispatcher's place for a purpose: all compute the same, and one that leaves moves nobody else.
func rank(name, purpose string) uint64 {
	sum := sha256.Sum256([]byte(purpose + "\x00" + name))
	return binary.BigEndian.Uint64(sum[:])
}

func ranked(names []string, purpose string) []string {
	at := make(map[string]uint64, len(names))
	for _, n := range names {
		at[n] = rank(n, purpose)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(at[a], at[b]), cmp.Compare(a, b)) })
	return names
}

// Did takes the actions that have come up.
func (s *State) Did() []Action {
	out := s.out
	s.out = nil
	return out
}

func (s *State) do(a Action) { s.out = append(s.out, a) }

// Living takes all other dispatchers that live.
func (s *State) Living(now time.Time, peers []Peer) {
	next := make(map[string]Peer, len(peers))
	same := len(peers) == len(s.peers)
	zone := []string{s.c.Name}
	for _, p := range peers {
		if p.Name == s.c.Name {
			continue
		}
		next[p.Name] = p
		before, known := s.peers[p.Name]
		same = same && known && before.Zone == p.Zone
		if p.Zone == s.c.Zone {
			zone = append(zone, p.Name)
		}
	}
	newcomer := len(s.peers) == 0 && len(next) > 0
	s.peers, s.trees = next, map[string][]string{}
	if same && s.ranked != nil {
		return
	}
	s.changed, s.ranked = now, ranked(zone, "watch "+s.c.Zone)
	for name := range s.heardOf {
		if _, lives := next[name]; !lives {
			delete(s.heardOf, name)
		}
	}
	for name := range s.passed {
		if _, lives := next[name]; !lives && name != s.c.Name {
			delete(s.passed, name)
		}
	}
	if newcomer && !s.has { // two, lest one be mistaken or slow
		s.ask(now, 2)
	}
}

// ask asks some peers for the whole list, of the own zone if there are any.
func (s *State) ask(now time.Time, n int) {
	if every := map[bool]time.Duration{true: askEvery, false: askFirst}[s.has]; now.Sub(s.asked) < every {
		return
	}
	s.asked = now
	var near, far []string
	for _, p := range s.peers {
		if now.Before(s.doubted[p.Name]) || now.Before(s.unasked[p.Name]) {
			continue
		}
		if p.Zone == s.c.Zone {
			near = append(near, p.Name)
		} else {
			far = append(far, p.Name)
		}
	}
	for _, names := range [][]string{near, far} {
		slices.Sort(names)
		s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	for _, name := range append(near, far...)[:min(n, len(near)+len(far))] {
		s.do(Ask{name})
	}
}

// Heard takes what the own watch tells.
func (s *State) Heard(now time.Time, l dispatch.InstanceUpdate) {
	if !s.wants {
		return // it comes from a watch that is over
	}
	mark := Mark{s.mark.Term, l.Revision}
	if s.has && mark.Before(s.mark) {
		if s.older.IsZero() {
			s.older = now
			s.do(Note{Text: fmt.Sprintf("the list service tells revision %d after %v: not believed yet", l.Revision, s.mark)})
		}
		if !l.Complete || !s.moved && now.Sub(s.older) < olderFor {
			s.tried(now)
			return
		}
		s.do(Note{Text: fmt.Sprintf("the list service has begun its revisions anew, at %d", l.Revision)})
		mark.Term++
	} else if !s.older.IsZero() && !l.Complete {
		return // a change of a list that was not taken
	}
	s.moved, s.older, s.lost, s.watch = false, time.Time{}, 0, Well
	t := Told{Source: s.c.Name, Mark: mark, Base: s.mark, Heard: now, Whole: l.Complete, Members: l.Instances}
	s.take(now, t, l)
	s.pass(now, t)
	s.beat = now
	s.show()
}

// Alive takes that the own watch is on, whether it told anything or not.
func (s *State) Alive(now time.Time) {
	if s.wants && s.older.IsZero() && s.has {
		s.watch, s.lost, s.fresh = Well, 0, now
		s.show()
	}
}

// Lost takes the end of the own watch, or of the call for one.
func (s *State) Lost(now time.Time) {
	if !s.wants {
		return
	}
	if s.watch == Well {
		s.watch, s.since = Trying, now
	}
	s.lost++
	after := min(mostRetry, leastRetry<<min(s.lost-1, 8))
	s.retry = now.Add(after/2 + time.Duration(s.rng.Int64N(int64(after/2)+1)))
	s.tried(now)
}

// tried has a watcher that cannot watch say so.
func (s *State) tried(now time.Time) {
	if s.watch == Well {
		s.watch, s.since = Trying, now
	}
	if s.watch == Trying && now.Sub(s.since) >= failingFor && len(s.ranked) > 1 {
		s.watch, s.failed = Failing, now
		s.do(Note{Text: "no watch on the list service: the next is to take over"})
	}
	s.show()
}

// Moved says that the list service is at another address from now on: its revisions say nothing of those before.
// Whoever is not to watch does not begin to, as all that are told at once would.
func (s *State) Moved() {
	if s.moved = true; !s.wants {
		s.do(Keep{false})
	}
}

func (s *State) show() {
	if s.watch != s.shown {
		s.shown = s.watch
		s.do(Show{s.watch})
	}
}

// take takes a list that is believed.
func (s *State) take(now time.Time, t Told, l dispatch.InstanceUpdate) {
	s.table.Update(l)
	s.has, s.mark, s.source, s.heard, s.fresh = true, t.Mark, t.Source, t.Heard, now.Add(-t.Age)
	s.do(Take{l})
}

// Told takes what a peer tells.
func (s *State) Told(now time.Time, from string, t Told) {
	if now.Before(s.doubted[from]) {
		return
	}
	if fault := s.nonsense(now, t); fault != "" {
		s.distrust(now, from, fault)
		return
	}
	if !t.Answer {
		s.do(Ack{from, t.Source, t.Mark})
	}
	if _, lives := s.peers[t.Source]; lives && !t.Answer { // an answer names a source that may have died since
		s.heardOf[t.Source] = now
	}
	news := !s.has || s.mark.Before(t.Mark)
	switch {
	case t.Beat && news || news && !t.Whole && (!s.has || s.mark.Before(t.Base)): // something was missed
		if now.Sub(s.asked) >= ackWithin && !now.Before(s.unasked[from]) {
			s.asked = now
			s.do(Ask{from})
		}
		if t.Beat {
			s.pass(now, t)
		}
		return
	case news && t.Whole && s.halved(t) && !s.confirmed(t):
		if s.doubt.Source != t.Source || s.doubt.Mark != t.Mark {
			s.do(Note{Text: fmt.Sprintf("a list %v of %s lacks more than half of the encoders: not believed until another watcher tells so", t.Mark, t.Source), Peer: from})
			for _, name := range s.others(t.Source) { // their own watches will tell
				s.do(Ask{name})
			}
		}
		s.doubt, s.unasked[from] = t, now.Add(doubtFor)
		if !t.Answer { // the others judge for themselves
			s.pass(now, t)
		}
		return
	case news:
		s.moved = s.moved && t.Mark.Term == s.mark.Term // else others have begun the new term
		s.take(now, t, dispatch.InstanceUpdate{Revision: t.Mark.Revision, Complete: t.Whole, Instances: t.Members})
		s.show()
	case t.Beat && t.Mark.Before(s.mark) && from == t.Source && now.Sub(s.set) >= askEvery:
		s.set = now // a watcher that slept, or whose service is behind, hears of it from those it tells first
		s.do(Say{from, s.whole(now)})
	case t.Mark == s.mark:
		if at := now.Add(-t.Age); at.After(s.fresh) {
			s.fresh = at
		}
	}
	if !t.Answer {
		s.pass(now, t)
	}
}

// Garbage takes that a peer sent what cannot be read.
func (s *State) Garbage(now time.Time, from string, err error) {
	if !now.Before(s.doubted[from]) {
		s.distrust(now, from, err.Error())
	}
}

// nonsense tells what no list of this installation can be; empty: it can.
func (s *State) nonsense(now time.Time, t Told) string {
	switch {
	case t.Source == "" || t.Age < 0 || t.Mark.Term < 0 || t.Mark.Revision < 0:
		return "what it tells lacks its source, its revision or its age"
	case t.Heard.Sub(now) > mostAhead:
		return "what it tells is from the future"
	case s.has && (t.Mark.Revision-s.mark.Revision > mostJump || t.Mark.Term-s.mark.Term > mostJump):
		return fmt.Sprintf("its list's revision %v is far beyond %v", t.Mark, s.mark)
	case t.Whole && len(t.Members) == 0 && s.has && len(s.table.Instances()) > 0:
		return "its list is empty"
	}
	return ""
}

// halved tells whether a list lacks more than half of what is known, without a word on any.
func (s *State) halved(t Told) bool {
	known := s.table.Instances()
	if len(known) < fewMembers {
		return false
	}
	there := 0
	for _, m := range t.Members {
		if _, ok := known[m.ID]; ok {
			there++
		}
	}
	return 2*there < len(known)
}

// confirmed tells whether another watcher says so too, or whether there is none that could.
func (s *State) confirmed(t Told) bool {
	alone := len(s.others(t.Source)) == 0 && s.watch != Well
	return alone || s.doubt.Source != "" && s.doubt.Source != t.Source && !t.Mark.Before(s.doubt.Mark)
}

// others is all watchers but one.
func (s *State) others(but string) (names []string) {
	for _, p := range s.peers {
		if p.Watch == Well && p.Name != but {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *State) distrust(now time.Time, peer, why string) {
	for _, of := range []map[string]time.Time{s.doubted, s.unasked} {
		maps.DeleteFunc(of, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	s.doubted[peer] = now.Add(doubtFor)
	s.do(Note{Text: why + ": not listened to for " + doubtFor.String(), Peer: peer})
}

// Asked takes that a peer wants the whole list.
func (s *State) Asked(now time.Time, from string) {
	if s.has {
		s.do(Say{from, s.whole(now)})
	}
}

func (s *State) whole(now time.Time) Told {
	return Told{Source: s.source, Mark: s.mark, Heard: s.heard, Age: max(0, now.Sub(s.fresh)), Whole: true, Answer: true, Members: s.table.Snapshot().Instances}
}

// pass passes on what came down a source's tree, once.
func (s *State) pass(now time.Time, t Told) {
	if _, passed := s.passed[t.Source]; !passed && len(s.passed) >= mostSources {
		return
	}
	if !t.Beat {
		if last, passed := s.passed[t.Source]; passed && !last.Before(t.Mark) {
			return
		}
		s.passed[t.Source] = t.Mark
	}
	s.say(now, s.children(t.Source, s.c.Name), t)
}

func (s *State) say(now time.Time, to []string, t Told) {
	for _, name := range to {
		if before, waits := s.waiting[name]; !waits || before.Beat || !t.Beat {
			s.waiting[name] = wait{t, now.Add(ackWithin)}
		}
		s.do(Say{name, t})
	}
}

// Acked takes that a peer has what was told.
func (s *State) Acked(from, source string, mark Mark) {
	if w, ok := s.waiting[from]; ok && w.Source == source && !mark.Before(w.Mark) {
		delete(s.waiting, from)
	}
}

// Unreached takes that a peer could not be told: those that it would have told are told from here.
func (s *State) Unreached(now time.Time, to string) {
	w, ok := s.waiting[to]
	if delete(s.waiting, to); ok {
		w.Age += now.Sub(w.until.Add(-ackWithin))
		s.say(now, s.children(w.Source, to), w.Told)
	}
}

// children is whom a dispatcher tells in a source's tree. That has the source's zone and all zones in which nobody
// watches; every member computes it alike from who lives.
func (s *State) children(source, of string) []string {
	tree, ok := s.trees[source]
	if !ok {
		zone, watched := s.zoneOf(source), map[string]bool{}
		for _, p := range s.peers {
			watched[p.Zone] = watched[p.Zone] || p.Watch == Well
		}
		watched[s.c.Zone] = watched[s.c.Zone] || s.watch == Well
		if s.c.Name != source && (s.c.Zone == zone || !watched[s.c.Zone]) {
			tree = append(tree, s.c.Name)
		}
		for _, p := range s.peers {
			if p.Name != source && (p.Zone == zone || !watched[p.Zone]) {
				tree = append(tree, p.Name)
			}
		}
		tree = ranked(tree, "tree "+source)
		s.trees[source] = tree
	}
	first := 0
	if of != source {
		at := slices.Index(tree, of)
		if at < 0 {
			return nil
		}
		first = s.c.FanOut * (at + 1)
	}
	first = min(first, len(tree))
	return tree[first:min(first+s.c.FanOut, len(tree))]
}

func (s *State) zoneOf(name string) string {
	if name == s.c.Name {
		return s.c.Zone
	}
	return s.peers[name].Zone
}

// Tick does what time brings about. It is to come every 50 ms or so.
func (s *State) Tick(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.waiting)) {
		if !now.Before(s.waiting[name].until) {
			s.Unreached(now, name)
		}
	}
	if s.watch == Failing && !s.wants && now.Sub(s.failed) >= pardonAfter {
		s.watch, s.since = None, now
	}
	if s.settled(now) {
		s.role(now)
	}
	if s.wants && !s.retry.IsZero() && !now.Before(s.retry) {
		s.retry = time.Time{}
		s.do(Keep{true})
	}
	if (s.watch == Well || s.wants && !s.older.IsZero()) && now.Sub(s.beat) >= beatEvery {
		s.beat = now
		s.pass(now, Told{Source: s.c.Name, Mark: s.mark, Heard: s.heard, Age: max(0, now.Sub(s.fresh)), Beat: true})
	}
	if s.watch != Well && (!s.has || now.Sub(s.fresh) > silentAfter) {
		s.ask(now, 1)
	}
	s.show()
}

// settled tells whether enough is known of who lives to take a role: else all that start at once would watch, each
// the first of those it has heard of. The more are missing, the longer more are waited for.
func (s *State) settled(now time.Time) bool {
	missing := max(0, 1-float64(len(s.peers)+1)/float64(max(1, s.c.Expected)))
	after := settleAfter + time.Duration(missing*float64(settleMore))
	return missing <= mostMissing || now.Sub(s.changed) >= after || now.Sub(s.began) >= settleBy
}

// role takes or leaves the watch: the first of a zone have it. Those that fail come last, and those that should beat
// and do not count as none.
func (s *State) role(now time.Time) {
	failing := func(name string) bool {
		return name == s.c.Name && s.watch == Failing || s.peers[name].Watch == Failing
	}
	before, mine := 0, false
	looked := map[string]time.Time{}
	for _, last := range []bool{false, true} {
		for _, name := range s.ranked {
			if failing(name) != last || before >= s.c.Watchers {
				continue
			}
			if name == s.c.Name {
				mine = true
			} else if last || s.beats(now, name, looked) {
				before++
				continue
			} else {
				continue
			}
			before = s.c.Watchers // who comes after is not looked at
		}
	}
	s.expected = looked
	switch {
	case mine && !s.wants:
		s.wants, s.watch, s.since, s.lost, s.retry = true, Trying, now, 0, time.Time{}
		s.do(Keep{true})
	case !mine && s.wants:
		s.wants, s.retry, s.older = false, time.Time{}, time.Time{}
		if s.watch != Failing {
			s.watch = None
		}
		s.do(Keep{false})
	case mine && s.watch == Trying:
		s.tried(now)
	}
}

// beats tells whether a dispatcher that should watch says so, or has not been looked at for long enough.
func (s *State) beats(now time.Time, name string, looked map[string]time.Time) bool {
	last, ok := s.expected[name]
	if !ok {
		last = now
	}
	looked[name] = last
	if at := s.heardOf[name]; at.After(last) {
		last = at
	}
	return now.Sub(last) < silentAfter
}

// View is what operators are shown.
type View struct {
	Name     string        `json:"name"`
	Zone     string        `json:"zone"`
	Watch    string        `json:"watch"`
	Term     int64         `json:"term"`
	Revision int64         `json:"revision"`
	Source   string        `json:"source"`
	Heard    time.Time     `json:"heard"`
	Age      time.Duration `json:"age_ns"` // below 0: it has no list
	Encoders int           `json:"encoders"`
	Tells    []string      `json:"tells"`
	Doubted  []string      `json:"doubted,omitempty"`
	Peers    []PeerView    `json:"peers"`
}

// PeerView is a peer as it tells of itself.
type PeerView struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Watch    string `json:"watch"`
	Settings string `json:"settings"`
}

// View is the state as of now.
func (s *State) View(now time.Time) View {
	v := View{
		Name: s.c.Name, Zone: s.c.Zone, Watch: s.watch.String(), Term: s.mark.Term, Revision: s.mark.Revision, Source: s.source, Heard: s.heard,
		Age: -time.Millisecond, Encoders: len(s.table.Instances()), Tells: s.children(cmp.Or(s.source, s.c.Name), s.c.Name),
	}
	if s.has {
		v.Age = max(0, now.Sub(s.fresh))
	}
	for _, of := range []map[string]time.Time{s.doubted, s.unasked} {
		for name, until := range of {
			if now.Before(until) {
				v.Doubted = append(v.Doubted, name)
			}
		}
	}
	slices.Sort(v.Doubted)
	v.Doubted = slices.Compact(v.Doubted)
	for _, p := range s.peers {
		v.Peers = append(v.Peers, PeerView{p.Name, p.Zone, p.Watch.String(), p.Settings})
	}
	slices.SortFunc(v.Peers, func(a, b PeerView) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
