// Package accord makes one dispatcher follow the settings and cordons that all have agreed on: it sends heartbeats
// to the replicated root group, applies what the answers say, and proposes there what operators request here. The
// decisions are in caperrelay/internal/accord.
package accord

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"caperrelay/internal/accord"
	"caperrelay/internal/net/replicas"
	"caperrelay/internal/replica"
)

const (
	tickInterval     = 10 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	operatorTimeout  = 800 * time.Millisecond // for an operator's command, whose answer must not take much longer
	proposalTimeout  = 5 * time.Second        // for the proposal of a version after a reload
	cordonRetryPause = 300 * time.Millisecond // between proposals of a cordon that is not agreed yet
	monitorInterval  = 50 * time.Millisecond
	applyTimeout     = 2 * time.Second // after which applying is started again
	maxTickGap       = time.Second     // a longer time between ticks means that the process was stopped and did nothing
	latenessWindow   = 30 * time.Second
	maxTexts         = 8
	maxSteps         = 64
)

// Rules applies agreed versions and cordons in the dispatcher. Its methods must not block.
type Rules interface {
	// Check reports whether the dispatcher could apply a version. It is called on a goroutine of its own and may read
	// files.
	Check(text []byte) error
	// OwnSettings returns the settings from this dispatcher's own file, used for the first version.
	OwnSettings() []byte
	// Apply applies what two versions, which may be the same, both allow; nil means that there is no version yet
	// and that the own settings apply. floor restricts it further, to the floor of the two: the strictest rules, which
	// conflict with no version. done is called once, from any goroutine.
	Apply(low, high []byte, floor bool, done func(error))
	// SetCordons excludes instances; if only is set, all others are included again.
	SetCordons(ids []string, only bool)
}

// Options of a server.
type Options struct {
	Name string
	File string // for state that the next process needs
}

// Step is a change of the versions in effect.
type Step struct {
	At int64 `json:"at_us"` // Unix
	accord.EffectiveVersions
}

// Server connects a dispatcher to the root group, which agrees on settings versions and cordons. It is safe for concurrent use.
type Server struct {
	o      Options
	host   replicas.Host
	rules  Rules
	log    *slog.Logger
	opMu   sync.Mutex // one proposal at a time, so that their numbers follow their order
	fileMu sync.Mutex

	mu              sync.Mutex
	cancel          context.CancelFunc
	ended           chan struct{}
	member          *accord.Member
	monitor         *accord.Monitor
	texts           map[uint64][]byte         // of versions that the member may no longer hold
	lastCordons     string                    // cordons last passed to Rules.SetCordons
	confirmed       bool                      // this process has had a lease
	applying        *accord.EffectiveVersions // requested from Rules.Apply and not done yet
	applyRequested  time.Duration
	floorDue        time.Duration // when the lease ran out; the requested change to the floor counts as late since then
	lastChecked     uint64        // highest version whose check was started
	steps           []Step
	lastTick        time.Duration // time of the last tick
	lateness        time.Duration // largest lateness in the current window
	prevLateness    time.Duration // and in the previous one
	windowStart     time.Duration // start of the current window
	pauses          int64
	heartbeatsLost  int64 // heartbeats without an answer
	heartbeats      int64
	floors          int64
	refused         int64 // proposals of this dispatcher that were refused or failed
	lastOutcomes    []accord.Outcome
	members         int
	nextMonitor     time.Duration
	proposingFirst  bool          // the first version is being proposed
	nextCordonRetry time.Duration // when cordons are next proposed again
}

// New returns a server. The state saved by an earlier process is read at once, for InitialVersions and LeftOut.
func New(o Options, logger *slog.Logger) (*Server, error) {
	if err := accord.CheckID(o.Name); err != nil {
		return nil, fmt.Errorf("node.name: %w", err)
	}
	s := &Server{o: o, log: logger, texts: map[uint64][]byte{}}
	var saved accord.Saved
	text, err := os.ReadFile(o.File)
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) { // the group sends it again; until then this dispatcher uses the floor anyway
		logger.Warn("accord: saved state not used", "file", o.File, "err", err)
		saved = accord.Saved{}
	}
	s.member = accord.NewMember(accord.Process{Name: o.Name, Boot: rand.Uint64()}, saved)
	s.cacheTexts()
	s.steps = []Step{{time.Now().UnixMicro(), s.member.Effective()}}
	return s, nil
}

// InitialVersions returns the versions to apply at startup, as the floor of both; nil where there are none.
func (s *Server) InitialVersions() (low, high []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.member.Effective()
	return s.texts[a.Low], s.texts[a.High]
}

// LeftOut returns the instances last known to be cordoned.
func (s *Server) LeftOut() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Directive(0).Cordons
}

// Attach sets the rules, the host of the root group and the log. It must be called before any method but
// InitialVersions and LeftOut.
func (s *Server) Attach(r Rules, host replicas.Host, l *slog.Logger) {
	s.rules, s.host, s.log = r, host, l
}

// Agreed returns the text of the agreed version as known here; nil: there is none.
func (s *Server) Agreed() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Agreed().Text
}

// Open starts the loop, once the program runs.
func (s *Server) Open(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.ended = make(chan struct{})
	s.monitor = accord.NewMonitor()
	s.lastTick = replicas.Now()
	go s.run(ctx, s.ended)
}

// Close stops the loop: the lease runs out, and the dispatcher changes to the floor then.
func (s *Server) Close() {
	s.mu.Lock()
	cancel, ended := s.cancel, s.ended
	s.cancel = nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-ended
	}
}

// cacheTexts keeps the texts of versions that may be applied. The lock is held, except in New.
func (s *Server) cacheTexts() {
	if len(s.texts) > maxTexts {
		current := s.member.Effective()
		for n := range s.texts {
			if n != current.Low && n != current.High {
				delete(s.texts, n)
			}
		}
	}
	if v := s.member.Agreed(); v.Number > 0 {
		s.texts[v.Number] = v.Text
	}
	if v, _ := s.member.Pending(); v != nil {
		s.texts[v.Number] = v.Text
	}
}

// run is the loop. After it ends, applyFloor makes sure that the floor is applied.
func (s *Server) run(ctx context.Context, ended chan struct{}) {
	defer close(ended)
	every := time.NewTicker(tickInterval)
	defer every.Stop()
	for ctx.Err() == nil {
		s.tick(ctx)
		select {
		case <-ctx.Done():
		case <-every.C:
		}
	}
	go s.applyFloor()
}

// applyFloor changes to the floor once the loop has ended and the lease has run out.
func (s *Server) applyFloor() {
	for {
		s.mu.Lock()
		now := replicas.Now()
		pending := s.cancel == nil && !s.member.Effective().Floor
		if pending {
			s.apply(now)
		}
		s.mu.Unlock()
		if !pending {
			return
		}
		time.Sleep(tickInterval)
	}
}

func (s *Server) tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := replicas.Now()
	if gap := now - s.lastTick; gap > maxTickGap {
		s.pauses++
	} else {
		s.lateness = max(s.lateness, gap-tickInterval)
	}
	if now-s.windowStart > latenessWindow {
		s.windowStart, s.prevLateness, s.lateness = now, s.lateness, 0
	}
	s.apply(now)
	s.lastTick = now
	if s.applying == nil { // otherwise it is unknown which of two versions is in effect, and a heartbeat states that
		if c, ok := s.member.NextHeartbeat(now); ok {
			s.heartbeats++
			go s.heartbeat(ctx, c)
		}
	}
	o := s.member.Directive(now)
	if o.ToCheck != nil && s.lastChecked < o.ToCheck.Number {
		s.lastChecked = o.ToCheck.Number
		go s.checkVersion(*o.ToCheck)
	}
	s.applyCordons(o.Cordons)
	leased := s.member.HasLease(now)
	if p, _ := s.member.Pending(); leased && p == nil && s.member.Agreed().Number == 0 && !s.proposingFirst {
		s.proposingFirst = true
		go func() {
			s.Propose(ctx, s.rules.OwnSettings())
			s.mu.Lock()
			s.proposingFirst = false
			s.mu.Unlock()
		}()
	}
	if id := s.member.UnconfirmedCordon(); id != "" && leased && now > s.nextCordonRetry {
		s.nextCordonRetry = now + cordonRetryPause
		go s.retryCordon()
	}
	if now > s.nextMonitor {
		s.nextMonitor = now + monitorInterval
		s.monitorProcesses(ctx)
	}
}

// monitorProcesses removes processes that are gone, if this dispatcher leads the root group: one such dispatcher is
// enough.
func (s *Server) monitorProcesses(ctx context.Context) {
	if _, until, ok := s.host.Lease(replica.RootGroup); !ok || replicas.Now() > until {
		s.monitor = accord.NewMonitor()
		return
	}
	var lines []accord.ProcessEntry
	var pending uint64
	if !s.host.View(replica.RootGroup, replica.RootMachine, func(m replica.Machine) {
		lines, pending = m.(*accord.Machine).Processes(), m.(*accord.Machine).Pending()
	}) {
		return
	}
	for _, c := range s.monitor.Check(replicas.Now(), accord.Process{Name: s.o.Name}, lines, pending) {
		go s.propose(ctx, c, heartbeatTimeout)
	}
}

// apply requests the change to the versions that are due. The lock is held.
func (s *Server) apply(now time.Duration) {
	if s.applying != nil && now < s.applyRequested+applyTimeout {
		return
	}
	current, o := s.member.Effective(), s.member.Directive(now)
	if o.Effective == current {
		return
	}
	want := o.Effective
	s.applying, s.applyRequested, s.floorDue = &want, now, 0
	if want.Floor && !current.Floor {
		if s.floorDue = s.member.LeaseEnd(); now-s.lastTick > maxTickGap || s.floorDue == 0 {
			s.floorDue = now // the process was stopped until now
		}
	}
	low, high := o.Low, o.High
	if low == nil {
		low = s.texts[want.Low]
	}
	if high == nil {
		high = s.texts[want.High]
	}
	s.rules.Apply(low, high, want.Floor, func(err error) { s.applyDone(&want, err) })
}

func (s *Server) applyDone(a *accord.EffectiveVersions, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applying != a { // superseded by a later request after a time-out
		return
	}
	s.applying = nil
	if err != nil {
		s.member.ApplyFailed(*a, err.Error())
		s.log.Error("accord: cannot apply versions", "low", a.Low, "high", a.High, "floor", a.Floor, "err", err)
		return
	}
	if s.floorDue > 0 {
		s.lateness = max(s.lateness, replicas.Now()-s.floorDue)
		if bound := accord.LeaseExpiry + s.lateness; bound > accord.ConflictBound {
			s.log.Error("accord: guaranteed conflict bound exceeded; this machine is too slow", "bound", bound, "stated", accord.ConflictBound)
		}
	}
	if a.Floor {
		s.floors++
	}
	s.member.Applied(*a)
	s.steps = append(s.steps, Step{time.Now().UnixMicro(), *a})
	s.steps = s.steps[max(0, len(s.steps)-maxSteps):]
	s.log.Info("accord: versions applied", "low", a.Low, "high", a.High, "floor", a.Floor)
}

// applyCordons excludes the cordoned instances, and includes others again once a lease has confirmed the list. The
// lock is held.
func (s *Server) applyCordons(ids []string) {
	text := fmt.Sprint(s.confirmed, ids)
	if text == s.lastCordons {
		return
	}
	s.lastCordons = text
	s.rules.SetCordons(ids, s.confirmed)
}

// checkVersion checks whether a version can be applied here.
func (s *Server) checkVersion(v accord.Version) {
	why := ""
	if err := s.rules.Check(v.Text); err != nil {
		why = err.Error()
		s.log.Warn("accord: cannot apply the proposed version", "version", v.Number, "by", v.By, "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.VersionChecked(v.Number, why)
}

// propose proposes a command and returns its answer.
func (s *Server) propose(ctx context.Context, c accord.Command, patience time.Duration) (accord.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	result, err := s.host.Propose(ctx, replica.RootGroup, replica.RootMachine, c.Encode())
	if err != nil {
		return accord.Answer{}, err
	}
	return accord.ReadAnswer(result)
}

func (s *Server) heartbeat(ctx context.Context, c accord.Command) {
	a, err := s.propose(ctx, c, heartbeatTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.heartbeatsLost++
		s.member.HeartbeatLost()
		return
	}
	changed := s.member.HandleAnswer(a)
	if s.member.HasLease(replicas.Now()) {
		s.confirmed = true
	}
	if a.Refused != "" {
		s.log.Warn("accord: heartbeat refused", "why", a.Refused)
	}
	s.cacheTexts()
	s.members = a.Members
	s.logOutcomes(a.Outcomes)
	s.apply(replicas.Now())
	if changed {
		go s.save()
	}
}

// logOutcomes logs which versions were agreed or refused.
func (s *Server) logOutcomes(past []accord.Outcome) {
	for _, p := range past {
		known := len(s.lastOutcomes) > 0 && p.Number <= s.lastOutcomes[len(s.lastOutcomes)-1].Number
		switch {
		case known:
		case p.Why == "":
			s.log.Info("accord: version agreed", "version", p.Number, "by", p.By)
		default:
			if p.By == s.o.Name {
				s.refused++
			}
			s.log.Warn("accord: version refused", "version", p.Number, "by", p.By, "why", p.Why)
		}
	}
	s.lastOutcomes = past
}

// save writes the state for the next process to disk; of concurrent calls the last state is saved.
func (s *Server) save() error {
	s.fileMu.Lock()
	defer s.fileMu.Unlock()
	s.mu.Lock()
	k := s.member.Save()
	s.mu.Unlock()
	text, err := json.Marshal(k)
	if err == nil {
		err = replaceFile(s.o.File, text)
	}
	if err != nil {
		s.log.Error("accord: state not saved", "file", s.o.File, "err", err)
	}
	return err
}

// replaceFile replaces a file atomically.
func replaceFile(path string, text []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.new")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// retryCordon proposes again a cordon that applies here and is not agreed yet.
func (s *Server) retryCordon() {
	if !s.opMu.TryLock() {
		return
	}
	defer s.opMu.Unlock()
	s.mu.Lock()
	id := s.member.UnconfirmedCordon()
	s.mu.Unlock()
	if id != "" {
		s.proposeCordon(id, true)
	}
}

// Cordon excludes an instance at all dispatchers, or includes it again. An exclusion applies here at once, agreed or
// not.
func (s *Server) Cordon(id string, out bool) error {
	s.opMu.Lock()
	defer s.opMu.Unlock()
	return s.proposeCordon(id, out)
}

// proposeCordon implements Cordon; s.opMu is held.
func (s *Server) proposeCordon(id string, out bool) error {
	s.mu.Lock()
	c, err := s.member.Cordon(id, out)
	if err == nil {
		s.applyCordons(s.member.Directive(replicas.Now()).Cordons)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	a, err := s.propose(context.Background(), c, operatorTimeout)
	if err == nil && a.Refused != "" {
		err = errors.New(a.Refused)
	}
	if err == nil {
		s.mu.Lock()
		s.member.HandleCordonAnswer(*c.Cordon, a)
		s.applyCordons(s.member.Directive(replicas.Now()).Cordons)
		s.mu.Unlock()
		s.log.Info("accord: cordon agreed", "id", id, "out", out, "index", a.Index)
		return nil
	}
	s.log.Warn("accord: cordon not agreed", "id", id, "out", out, "err", err)
	if !out {
		return fmt.Errorf("not done, as the others have not agreed: %w", err)
	}
	if saved := s.save(); saved != nil {
		err = errors.Join(err, saved)
	}
	return fmt.Errorf("done here, and at the others once they are heard: %w", err)
}

// Propose proposes settings for all dispatchers. It returns once the group has accepted or refused the proposal; the
// outcome is in the log and the status.
func (s *Server) Propose(ctx context.Context, text []byte) error {
	s.opMu.Lock()
	defer s.opMu.Unlock()
	s.mu.Lock()
	if string(s.member.Agreed().Text) == string(text) {
		s.mu.Unlock()
		return nil
	}
	c := s.member.Propose(text)
	s.mu.Unlock()
	a, err := s.propose(ctx, c, proposalTimeout)
	if err == nil && a.Refused != "" {
		err = errors.New(a.Refused)
	}
	if err != nil {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		s.log.Error("accord: settings not agreed, or outcome unknown", "err", err)
		return err
	}
	if a.Pending != nil {
		s.log.Info("accord: settings proposed", "version", a.Pending.Number)
	}
	return nil
}

// Status is the state of the server as shown to operators.
type Status struct {
	Effective     accord.EffectiveVersions `json:"acts"`
	Agreed        uint64                   `json:"agreed"`
	Pending       uint64                   `json:"pending,omitempty"`
	Phase         accord.Phase             `json:"phase,omitempty"`
	Leased        bool                     `json:"leased"`
	Fault         string                   `json:"fault,omitempty"` // why this dispatcher cannot apply the agreed version
	Members       int                      `json:"members"`
	Cordons       []string                 `json:"cordons"`
	LocalCordons  []string                 `json:"not_agreed,omitempty"` // cordons that apply here only
	ConflictBound float64                  `json:"bound_ms"`             // computed bound on how long two dispatchers may contradict each other
	Lease         float64                  `json:"lease_ms"`
	Drift         float64                  `json:"drift_ms"`
	Lateness      float64                  `json:"late_ms"` // largest lateness of this loop in the current and the previous window
	StatedBound   float64                  `json:"stated_ms"`
	Outcomes      []accord.Outcome         `json:"past,omitempty"`
	Steps         []Step                   `json:"steps"`
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Status returns the state of the server.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, late := replicas.Now(), max(s.lateness, s.prevLateness)
	v := Status{
		Effective: s.member.Effective(), Agreed: s.member.Agreed().Number, Leased: s.member.HasLease(now), Fault: s.member.Fault(), Members: s.members,
		Cordons: s.member.Directive(now).Cordons, LocalCordons: s.member.Save().LocalCordons, Outcomes: s.lastOutcomes, Steps: append([]Step{}, s.steps...),
		ConflictBound: milliseconds(accord.LeaseExpiry + late), Lease: milliseconds(accord.Lease), Drift: milliseconds(accord.LeaseExpiry - accord.Lease), Lateness: milliseconds(late), StatedBound: milliseconds(accord.ConflictBound),
	}
	if p, phase := s.member.Pending(); p != nil {
		v.Pending, v.Phase = p.Number, phase
	}
	return v
}

// Figures returns the counters, one a line.
func (s *Server) Figures() string {
	v := s.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	one := map[bool]int{true: 1}
	return fmt.Sprintf("proxy.accord.version=%d\nproxy.accord.pending=%d\nproxy.accord.floor=%d\nproxy.accord.bound_ms=%.0f\nproxy.accord.bound_passed=%d\nproxy.accord.cordons=%d\nproxy.accord.beats=%d\nproxy.accord.beats_lost=%d\nproxy.accord.floors=%d\nproxy.accord.refused=%d\nproxy.accord.fault=%d\nproxy.accord.pauses=%d\n",
		v.Agreed, v.Pending, one[v.Effective.Floor], v.ConflictBound, one[v.ConflictBound > v.StatedBound], len(v.Cordons), s.heartbeats, s.heartbeatsLost, s.floors, s.refused, one[v.Fault != ""], s.pauses)
}
