// Package members implements how dispatchers share the instance list: which of them watch discovery, how updates are forwarded,
// and which updates are accepted. It has no I/O and no clock: it is driven by events with their times and returns the actions
// to do. docs/members-design.md explains the choices.
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
	heartbeatInterval    = 500 * time.Millisecond // between heartbeats of a watcher
	watcherTimeout       = 2 * time.Second        // without a heartbeat, a watcher counts as dead
	ackTimeout           = 200 * time.Millisecond // a peer that has not acknowledged for this long is bypassed
	settleAfter          = 500 * time.Millisecond // roles are assigned once the membership has not changed for this long
	settlePerMissing     = 4 * time.Second        // times the missing share of the dispatchers: added to settleAfter
	settleDeadline       = 5 * time.Second        // roles are assigned at the latest this long after the start
	minRetry             = 200 * time.Millisecond // after a watch was lost; doubled with each further failure
	maxRetry             = 5 * time.Second
	failingAfter         = 2 * time.Second  // without a watch, a watcher reports that, and another takes over
	failureExpiry        = 30 * time.Second // after which a failing watcher may be chosen again
	olderListDelay       = 10 * time.Second // for which discovery must report an older list before that is accepted
	requestInterval      = time.Second
	firstRequestInterval = 400 * time.Millisecond // while there is no list at all
	maxMissing           = 0.4                    // largest share of missing dispatchers at which roles are assigned at once: if a share f is known, 1/f times as many as needed watch
	distrustTime         = 30 * time.Second       // for which a peer that sent an invalid list is ignored
	maxClockAhead        = 5 * time.Second        // how far a source's clock may be ahead of ours
	maxRevisionJump      = 1 << 20                // revisions at once
	maxSources           = 256                    // whose last forwarded version is stored: many more than there are watchers
	minForHalfCheck      = 4                      // from which on a list that lacks over half of the instances is suspect
)

// ListVersion orders lists: a new term begins when discovery has restarted its revisions.
type ListVersion struct {
	Term     int64 `json:"Term"`
	Revision int64 `json:"Revision"`
}

// Before reports whether m is older than o.
func (m ListVersion) Before(o ListVersion) bool {
	return cmp.Or(cmp.Compare(m.Term, o.Term), cmp.Compare(m.Revision, o.Revision)) < 0
}

func (m ListVersion) String() string { return fmt.Sprintf("%d.%d", m.Term, m.Revision) }

// WatchStatus is the status of a dispatcher's watch on discovery.
type WatchStatus int

// Watch statuses.
const (
	NotWatching WatchStatus = iota // others watch
	Trying                         // it should watch and does not yet
	Watching                       // it watches
	Failing                        // it should watch and cannot: the next dispatcher takes over
)

func (w WatchStatus) String() string {
	return [...]string{"told by peers", "trying", "watches", "failing"}[w]
}

// Peer is a living dispatcher, as the membership reports it.
type Peer struct {
	Name, Zone, Settings string
	Watch                WatchStatus
}

// Update is a message about the instance list: a complete list, a change of one, or a heartbeat, which has no instances.
type Update struct {
	Source     string              `json:"Source"` // the watcher that it comes from, the root of the tree in which it is forwarded
	Version    ListVersion         `json:"Mark"`
	Base       ListVersion         `json:"Base"`  // the version that a change is based on
	ReceivedAt time.Time           `json:"Heard"` // by the source's clock
	Age        time.Duration       `json:"Age"`   // time since then; each dispatcher adds its own part
	Complete   bool                `json:"Whole"`
	Heartbeat  bool                `json:"Beat"`
	Response   bool                `json:"Answer"` // to a request: it is not forwarded
	Instances  []dispatch.Instance `json:"Members"`
}

// Config describes the dispatcher itself.
type Config struct {
	Name, Zone string
	Watchers   int // per zone
	FanOut     int // of the forwarding tree
	Expected   int // number of dispatchers in the settings
}

// Action is something that the caller must do.
type Action interface{ action() }

// Actions.
type (
	// Send sends a message to a peer, which confirms it with Ack.
	Send struct {
		To string
		Update
	}
	// Ack acknowledges a peer's message.
	Ack struct {
		To, Source string
		Version    ListVersion
	}
	// RequestList requests the complete list from a peer.
	RequestList struct{ To string }
	// SetWatch starts or ends this dispatcher's watch.
	SetWatch struct{ Watch bool }
	// ApplyList applies a list.
	ApplyList struct{ dispatch.InstanceUpdate }
	// ShowStatus publishes the status of this dispatcher's watch through the membership.
	ShowStatus struct{ Watch WatchStatus }
	// LogLine is a log message.
	LogLine struct{ Text, Peer string }
)

func (Send) action()        {}
func (Ack) action()         {}
func (RequestList) action() {}
func (SetWatch) action()    {}
func (ApplyList) action()   {}
func (ShowStatus) action()  {}
func (LogLine) action()     {}

// State is one dispatcher's view. It is not safe for concurrent use.
type State struct {
	config  Config
	rng     *rand.Rand
	started time.Time
	actions []Action

	peers        map[string]Peer
	peersChanged time.Time // last change of the set of living peers
	watcherOrder []string  // dispatchers of the own zone, itself included, in the order in which they become watchers
	trees        map[string][]string

	table      dispatch.InstanceList
	hasList    bool // there is a list
	version    ListVersion
	source     string
	receivedAt time.Time // when the source received it, by the source's clock
	validAt    time.Time // when the list was last known to be valid: the time of the last message less its age

	watch          WatchStatus
	shouldWatch    bool // a watch is on or requested
	failures       int
	tryingSince    time.Time // start of the present attempts to watch
	retryAt        time.Time // zero: no retry is scheduled
	failedAt       time.Time
	olderSince     time.Time // since when this dispatcher's watch has reported an older list; zero: it does not
	addressChanged bool
	lastHeartbeat  time.Time
	shownStatus    WatchStatus

	heartbeats     map[string]time.Time   // by watcher: time of its last heartbeat
	expected       map[string]time.Time   // by watcher: since when heartbeats are expected from it
	forwarded      map[string]ListVersion // by source: the last version that was forwarded
	unacked        map[string]pendingAck  // by peer
	distrusted     map[string]time.Time   // by peer: end of the time in which it is ignored
	noRequestUntil map[string]time.Time   // by peer: end of the time in which it is not asked, since it sent a list that lacks over half of the instances
	suspectList    Update                 // the last list that lacks over half of the instances
	requestedAt    time.Time
	correctedAt    time.Time // when a watcher with an older list was last sent the newer one
}

// pendingAck is a message that waits for its acknowledgement.
type pendingAck struct {
	Update
	until time.Time
}

// New returns the state of a dispatcher that starts.
func New(c Config, now time.Time) *State {
	c.Watchers, c.FanOut = max(1, c.Watchers), max(2, c.FanOut)
	s := &State{
		config: c, rng: rand.New(rand.NewPCG(rank(c.Name, "seed"), uint64(now.UnixNano()))), started: now, peersChanged: now,
		heartbeats: map[string]time.Time{}, expected: map[string]time.Time{}, forwarded: map[string]ListVersion{}, unacked: map[string]pendingAck{}, distrusted: map[string]time.Time{},
		noRequestUntil: map[string]time.Time{},
	}
	s.SetPeers(now, nil)
	return s
}

// rank orders dispatchers for a purpose. All compute the same order, and one that leaves does not change the order of the others.
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

// Actions returns the actions since the last call.
func (s *State) Actions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// SetPeers sets all other living dispatchers.
func (s *State) SetPeers(now time.Time, peers []Peer) {
	next := make(map[string]Peer, len(peers))
	same := len(peers) == len(s.peers)
	zone := []string{s.config.Name}
	for _, p := range peers {
		if p.Name == s.config.Name {
			continue
		}
		next[p.Name] = p
		before, known := s.peers[p.Name]
		same = same && known && before.Zone == p.Zone
		if p.Zone == s.config.Zone {
			zone = append(zone, p.Name)
		}
	}
	newcomer := len(s.peers) == 0 && len(next) > 0
	s.peers, s.trees = next, map[string][]string{}
	if same && s.watcherOrder != nil {
		return
	}
	s.peersChanged, s.watcherOrder = now, ranked(zone, "watch "+s.config.Zone)
	for name := range s.heartbeats {
		if _, living := next[name]; !living {
			delete(s.heartbeats, name)
		}
	}
	for name := range s.forwarded {
		if _, living := next[name]; !living && name != s.config.Name {
			delete(s.forwarded, name)
		}
	}
	if newcomer && !s.hasList { // it asks two, since one may be wrong or slow
		s.requestList(now, 2)
	}
}

// requestList requests the complete list from n peers, preferably of the own zone.
func (s *State) requestList(now time.Time, n int) {
	if interval := map[bool]time.Duration{true: requestInterval, false: firstRequestInterval}[s.hasList]; now.Sub(s.requestedAt) < interval {
		return
	}
	s.requestedAt = now
	var near, far []string
	for _, p := range s.peers {
		if now.Before(s.distrusted[p.Name]) || now.Before(s.noRequestUntil[p.Name]) {
			continue
		}
		if p.Zone == s.config.Zone {
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
		s.emit(RequestList{name})
	}
}

// WatchUpdate handles an update of this dispatcher's watch.
func (s *State) WatchUpdate(now time.Time, l dispatch.InstanceUpdate) {
	if !s.shouldWatch {
		return // from a watch that has ended
	}
	version := ListVersion{s.version.Term, l.Revision}
	if s.hasList && version.Before(s.version) {
		if s.olderSince.IsZero() {
			s.olderSince = now
			s.emit(LogLine{Text: fmt.Sprintf("discovery reports the older revision %d after %v: not accepted yet", l.Revision, s.version)})
		}
		if !l.Complete || !s.addressChanged && now.Sub(s.olderSince) < olderListDelay {
			s.checkFailing(now)
			return
		}
		s.emit(LogLine{Text: fmt.Sprintf("discovery has restarted its revisions at %d", l.Revision)})
		version.Term++
	} else if !s.olderSince.IsZero() && !l.Complete {
		return // a change of a list that was not accepted
	}
	s.addressChanged, s.olderSince, s.failures, s.watch = false, time.Time{}, 0, Watching
	t := Update{Source: s.config.Name, Version: version, Base: s.version, ReceivedAt: now, Complete: l.Complete, Instances: l.Instances}
	s.applyList(now, t, l)
	s.forward(now, t)
	s.lastHeartbeat = now
	s.showStatus()
}

// WatchAlive reports that this dispatcher's watch is working, with or without an update.
func (s *State) WatchAlive(now time.Time) {
	if s.shouldWatch && s.olderSince.IsZero() && s.hasList {
		s.watch, s.failures, s.validAt = Watching, 0, now
		s.showStatus()
	}
}

// WatchLost reports that this dispatcher's watch, or an attempt to start one, has ended.
func (s *State) WatchLost(now time.Time) {
	if !s.shouldWatch {
		return
	}
	if s.watch == Watching {
		s.watch, s.tryingSince = Trying, now
	}
	s.failures++
	after := min(maxRetry, minRetry<<min(s.failures-1, 8))
	s.retryAt = now.Add(after/2 + time.Duration(s.rng.Int64N(int64(after/2)+1)))
	s.checkFailing(now)
}

// checkFailing marks a watcher as failing if it has not been able to watch for long enough.
func (s *State) checkFailing(now time.Time) {
	if s.watch == Watching {
		s.watch, s.tryingSince = Trying, now
	}
	if s.watch == Trying && now.Sub(s.tryingSince) >= failingAfter && len(s.watcherOrder) > 1 {
		s.watch, s.failedAt = Failing, now
		s.emit(LogLine{Text: "no watch on discovery: the next dispatcher must take over"})
	}
	s.showStatus()
}

// DiscoveryMoved reports that discovery has a new address, so that its revisions cannot be compared with earlier ones. A dispatcher that
// should not watch stays without a watch: otherwise all of them would connect at once.
func (s *State) DiscoveryMoved() {
	if s.addressChanged = true; !s.shouldWatch {
		s.emit(SetWatch{false})
	}
}

func (s *State) showStatus() {
	if s.watch != s.shownStatus {
		s.shownStatus = s.watch
		s.emit(ShowStatus{s.watch})
	}
}

// applyList applies a list that was accepted.
func (s *State) applyList(now time.Time, t Update, l dispatch.InstanceUpdate) {
	s.table.Update(l)
	s.hasList, s.version, s.source, s.receivedAt, s.validAt = true, t.Version, t.Source, t.ReceivedAt, now.Add(-t.Age)
	s.emit(ApplyList{l})
}

// HandleUpdate handles a peer's message.
func (s *State) HandleUpdate(now time.Time, from string, t Update) {
	if now.Before(s.distrusted[from]) {
		return
	}
	if reason := s.implausible(now, t); reason != "" {
		s.distrust(now, from, reason)
		return
	}
	if !t.Response {
		s.emit(Ack{from, t.Source, t.Version})
	}
	if _, living := s.peers[t.Source]; living && !t.Response { // the source that a response names may have died since
		s.heartbeats[t.Source] = now
	}
	newer := !s.hasList || s.version.Before(t.Version)
	switch {
	case t.Heartbeat && newer || newer && !t.Complete && (!s.hasList || s.version.Before(t.Base)): // an earlier update was missed
		if now.Sub(s.requestedAt) >= ackTimeout && !now.Before(s.noRequestUntil[from]) {
			s.requestedAt = now
			s.emit(RequestList{from})
		}
		if t.Heartbeat {
			s.forward(now, t)
		}
		return
	case newer && t.Complete && s.lacksHalf(t) && !s.confirmed(t):
		if s.suspectList.Source != t.Source || s.suspectList.Version != t.Version {
			s.emit(LogLine{Text: fmt.Sprintf("a list %v of %s lacks more than half of the encoders: not accepted until another watcher confirms it", t.Version, t.Source), Peer: from})
			for _, name := range s.otherWatchers(t.Source) { // they answer with what their own watches report
				s.emit(RequestList{name})
			}
		}
		s.suspectList, s.noRequestUntil[from] = t, now.Add(distrustTime)
		if !t.Response { // the others check it themselves
			s.forward(now, t)
		}
		return
	case newer:
		s.addressChanged = s.addressChanged && t.Version.Term == s.version.Term // in a new term others have accepted the new address's list already
		s.applyList(now, t, dispatch.InstanceUpdate{Revision: t.Version.Revision, Complete: t.Complete, Instances: t.Instances})
		s.showStatus()
	case t.Heartbeat && t.Version.Before(s.version) && from == t.Source && now.Sub(s.correctedAt) >= requestInterval:
		s.correctedAt = now // a watcher that was suspended, or whose discovery server is behind, gets the newer list from its children
		s.emit(Send{from, s.completeList(now)})
	case t.Version == s.version:
		if at := now.Add(-t.Age); at.After(s.validAt) {
			s.validAt = at
		}
	}
	if !t.Response {
		s.forward(now, t)
	}
}

// UnreadableMessage reports that a peer sent an unreadable message.
func (s *State) UnreadableMessage(now time.Time, from string, err error) {
	if !now.Before(s.distrusted[from]) {
		s.distrust(now, from, err.Error())
	}
}

// implausible returns why a message cannot be valid; empty: it can.
func (s *State) implausible(now time.Time, t Update) string {
	switch {
	case t.Source == "" || t.Age < 0 || t.Version.Term < 0 || t.Version.Revision < 0:
		return "message has no valid source, revision or age"
	case t.ReceivedAt.Sub(now) > maxClockAhead:
		return "message has a time in the future"
	case s.hasList && (t.Version.Revision-s.version.Revision > maxRevisionJump || t.Version.Term-s.version.Term > maxRevisionJump):
		return fmt.Sprintf("revision %v of its list is too far beyond %v", t.Version, s.version)
	case t.Complete && len(t.Instances) == 0 && s.hasList && len(s.table.Instances()) > 0:
		return "its list is empty"
	}
	return ""
}

// lacksHalf reports whether a list lacks more than half of the known instances instead of reporting their states.
func (s *State) lacksHalf(t Update) bool {
	known := s.table.Instances()
	if len(known) < minForHalfCheck {
		return false
	}
	found := 0
	for _, m := range t.Instances {
		if _, ok := known[m.ID]; ok {
			found++
		}
	}
	return 2*found < len(known)
}

// confirmed reports whether another watcher has also sent a suspect list, of the same or an older version, or whether
// there is no other.
func (s *State) confirmed(t Update) bool {
	alone := len(s.otherWatchers(t.Source)) == 0 && s.watch != Watching
	return alone || s.suspectList.Source != "" && s.suspectList.Source != t.Source && !t.Version.Before(s.suspectList.Version)
}

// otherWatchers returns all watchers but one.
func (s *State) otherWatchers(except string) (names []string) {
	for _, p := range s.peers {
		if p.Watch == Watching && p.Name != except {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *State) distrust(now time.Time, peer, why string) {
	for _, of := range []map[string]time.Time{s.distrusted, s.noRequestUntil} {
		maps.DeleteFunc(of, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	s.distrusted[peer] = now.Add(distrustTime)
	s.emit(LogLine{Text: why + ": ignored for " + distrustTime.String(), Peer: peer})
}

// ListRequested handles a peer's request for the complete list.
func (s *State) ListRequested(now time.Time, from string) {
	if s.hasList {
		s.emit(Send{from, s.completeList(now)})
	}
}

func (s *State) completeList(now time.Time) Update {
	return Update{Source: s.source, Version: s.version, ReceivedAt: s.receivedAt, Age: max(0, now.Sub(s.validAt)), Complete: true, Response: true, Instances: s.table.Snapshot().Instances}
}

// forward forwards a message in its source's tree, each version once.
func (s *State) forward(now time.Time, t Update) {
	if _, known := s.forwarded[t.Source]; !known && len(s.forwarded) >= maxSources {
		return
	}
	if !t.Heartbeat {
		if last, known := s.forwarded[t.Source]; known && !last.Before(t.Version) {
			return
		}
		s.forwarded[t.Source] = t.Version
	}
	s.send(now, s.children(t.Source, s.config.Name), t)
}

func (s *State) send(now time.Time, to []string, t Update) {
	for _, name := range to {
		if before, waiting := s.unacked[name]; !waiting || before.Heartbeat || !t.Heartbeat {
			s.unacked[name] = pendingAck{t, now.Add(ackTimeout)}
		}
		s.emit(Send{name, t})
	}
}

// HandleAck handles a peer's acknowledgement.
func (s *State) HandleAck(from, source string, version ListVersion) {
	if w, ok := s.unacked[from]; ok && w.Source == source && !version.Before(w.Version) {
		delete(s.unacked, from)
	}
}

// SendFailed reports that a peer could not be reached: its children in the tree get the message from here.
func (s *State) SendFailed(now time.Time, to string) {
	w, ok := s.unacked[to]
	if delete(s.unacked, to); ok {
		w.Age += now.Sub(w.until.Add(-ackTimeout))
		s.send(now, s.children(w.Source, to), w.Update)
	}
}

// children returns the dispatchers to which one forwards in a source's tree. The tree contains the source's zone and all zones
// without a watcher; every dispatcher computes it alike from the living peers.
func (s *State) children(source, of string) []string {
	tree, ok := s.trees[source]
	if !ok {
		zone, watched := s.zoneOf(source), map[string]bool{}
		for _, p := range s.peers {
			watched[p.Zone] = watched[p.Zone] || p.Watch == Watching
		}
		watched[s.config.Zone] = watched[s.config.Zone] || s.watch == Watching
		if s.config.Name != source && (s.config.Zone == zone || !watched[s.config.Zone]) {
			tree = append(tree, s.config.Name)
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
		first = s.config.FanOut * (at + 1)
	}
	first = min(first, len(tree))
	return tree[first:min(first+s.config.FanOut, len(tree))]
}

func (s *State) zoneOf(name string) string {
	if name == s.config.Name {
		return s.config.Zone
	}
	return s.peers[name].Zone
}

// Tick does what is due. It must be called about every 50 ms.
func (s *State) Tick(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.unacked)) {
		if !now.Before(s.unacked[name].until) {
			s.SendFailed(now, name)
		}
	}
	if s.watch == Failing && !s.shouldWatch && now.Sub(s.failedAt) >= failureExpiry {
		s.watch, s.tryingSince = NotWatching, now
	}
	if s.settled(now) {
		s.updateRole(now)
	}
	if s.shouldWatch && !s.retryAt.IsZero() && !now.Before(s.retryAt) {
		s.retryAt = time.Time{}
		s.emit(SetWatch{true})
	}
	if (s.watch == Watching || s.shouldWatch && !s.olderSince.IsZero()) && now.Sub(s.lastHeartbeat) >= heartbeatInterval {
		s.lastHeartbeat = now
		s.forward(now, Update{Source: s.config.Name, Version: s.version, ReceivedAt: s.receivedAt, Age: max(0, now.Sub(s.validAt)), Heartbeat: true})
	}
	if s.watch != Watching && (!s.hasList || now.Sub(s.validAt) > watcherTimeout) {
		s.requestList(now, 1)
	}
	s.showStatus()
}

// settled reports whether enough peers are known to assign roles: otherwise all dispatchers that start at once would watch, each
// the first of those that it knows. The more are missing, the longer it waits.
func (s *State) settled(now time.Time) bool {
	missing := max(0, 1-float64(len(s.peers)+1)/float64(max(1, s.config.Expected)))
	after := settleAfter + time.Duration(missing*float64(settlePerMissing))
	return missing <= maxMissing || now.Sub(s.peersChanged) >= after || now.Sub(s.started) >= settleDeadline
}

// updateRole starts or ends this dispatcher's watch: the first dispatchers of a zone watch. Failing ones come last, and those that should send
// heartbeats and do not are skipped.
func (s *State) updateRole(now time.Time) {
	failing := func(name string) bool {
		return name == s.config.Name && s.watch == Failing || s.peers[name].Watch == Failing
	}
	before, selected := 0, false
	examined := map[string]time.Time{}
	for _, last := range []bool{false, true} {
		for _, name := range s.watcherOrder {
			if failing(name) != last || before >= s.config.Watchers {
				continue
			}
			if name == s.config.Name {
				selected = true
			} else if last || s.isWatching(now, name, examined) {
				before++
				continue
			} else {
				continue
			}
			before = s.config.Watchers // later ones are not examined
		}
	}
	s.expected = examined
	switch {
	case selected && !s.shouldWatch:
		s.shouldWatch, s.watch, s.tryingSince, s.failures, s.retryAt = true, Trying, now, 0, time.Time{}
		s.emit(SetWatch{true})
	case !selected && s.shouldWatch:
		s.shouldWatch, s.retryAt, s.olderSince = false, time.Time{}, time.Time{}
		if s.watch != Failing {
			s.watch = NotWatching
		}
		s.emit(SetWatch{false})
	case selected && s.watch == Trying:
		s.checkFailing(now)
	}
}

// isWatching reports whether a dispatcher that should watch sends heartbeats, or has not been expected to for long enough.
func (s *State) isWatching(now time.Time, name string, examined map[string]time.Time) bool {
	last, ok := s.expected[name]
	if !ok {
		last = now
	}
	examined[name] = last
	if at := s.heartbeats[name]; at.After(last) {
		last = at
	}
	return now.Sub(last) < watcherTimeout
}

// View is the state as shown to operators.
type View struct {
	Name         string        `json:"name"`
	Zone         string        `json:"zone"`
	Watch        string        `json:"watch"`
	Term         int64         `json:"term"`
	Revision     int64         `json:"revision"`
	Source       string        `json:"source"`
	ReceivedAt   time.Time     `json:"heard"`
	Age          time.Duration `json:"age_ns"` // negative: there is no list
	EncoderCount int           `json:"encoders"`
	SendsTo      []string      `json:"tells"`
	Distrusted   []string      `json:"doubted,omitempty"`
	Peers        []PeerView    `json:"peers"`
}

// PeerView is a peer's state as it reports it.
type PeerView struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Watch    string `json:"watch"`
	Settings string `json:"settings"`
}

// View returns the state at a time.
func (s *State) View(now time.Time) View {
	v := View{
		Name: s.config.Name, Zone: s.config.Zone, Watch: s.watch.String(), Term: s.version.Term, Revision: s.version.Revision, Source: s.source, ReceivedAt: s.receivedAt,
		Age: -time.Millisecond, EncoderCount: len(s.table.Instances()), SendsTo: s.children(cmp.Or(s.source, s.config.Name), s.config.Name),
	}
	if s.hasList {
		v.Age = max(0, now.Sub(s.validAt))
	}
	for _, of := range []map[string]time.Time{s.distrusted, s.noRequestUntil} {
		for name, until := range of {
			if now.Before(until) {
				v.Distrusted = append(v.Distrusted, name)
			}
		}
	}
	slices.Sort(v.Distrusted)
	v.Distrusted = slices.Compact(v.Distrusted)
	for _, p := range s.peers {
		v.Peers = append(v.Peers, PeerView{p.Name, p.Zone, p.Watch.String(), p.Settings})
	}
	slices.SortFunc(v.Peers, func(a, b PeerView) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
