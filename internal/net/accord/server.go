// Package accord has one dispatcher go by what all have agreed on: it beats in the root group of the record, acts on
// what it hears there, and takes to it what people ask for here. internal/accord decides.
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
	tickEach     = 10 * time.Millisecond
	beatPatience = 400 * time.Millisecond
	opPatience   = 800 * time.Millisecond // of an operator: the call's answer must not take much longer
	hupPatience  = 5 * time.Second        // with a version that is proposed
	againAfter   = 300 * time.Millisecond // a cordon that is not agreed yet
	driveEach    = 50 * time.Millisecond
	actPatience  = 2 * time.Second // then acting is tried anew
	pauseGap     = time.Second     // of ticks: the process stood still, and did nothing
	lateSpan     = 30 * time.Second
	mostTexts    = 8
	mostSteps    = 64
)

// Rules is what the dispatcher does by it. Its methods must not block.
type Rules interface {
	// Check says whether the dispatcher could go by a version. It is called on a goroutine of its own, and may read files.
	Check(text []byte) error
	// Own is the text of its own file's settings, for the first version.
	Own() []byte
	// Act has it go by what two versions both allow, which may be the same; nil: there is none yet, and its own count.
	// floor: by still less. done is called once, from any goroutine.
	Act(low, high []byte, floor bool, done func(error))
	// Leave leaves instances out; only: and uses all others again.
	Leave(ids []string, only bool)
}

// Options of a server.
type Options struct {
	Name string
	File string // for what outlives the process
}

// Step is a change of what the dispatcher goes by.
type Step struct {
	At int64 `json:"at_us"` // Unix
	accord.EffectiveVersions
}

// Server is safe for use by several goroutines.
type Server struct {
	o     Options
	host  replicas.Host
	rules Rules
	log   *slog.Logger
	ops   sync.Mutex // one proposal at a time: they are numbered in their order
	files sync.Mutex

	mu      sync.Mutex
	cancel  context.CancelFunc
	ended   chan struct{}
	member  *accord.Member
	driver  *accord.Monitor
	texts   map[uint64][]byte // of versions that may be gone by now
	left    string            // instances as last told
	heard   bool
	acting  *accord.EffectiveVersions // asked for, and not yet done
	asked   time.Duration
	due     time.Duration // when a lease ran out: what is asked for is late since then
	check   uint64        // looked at just now
	steps   []Step
	last    time.Duration // tick
	worst   time.Duration // lateness of this half a minute
	before  time.Duration // and of the one before
	turned  time.Duration // when it began
	pauses  int64
	lost    int64 // beats without an answer
	beats   int64
	floors  int64
	refused int64 // versions of this dispatcher's
	past    []accord.Outcome
	members int
	drive   time.Duration
	first   bool          // the first version is being proposed
	retry   time.Duration // of cordons
}

// New returns a server. What an earlier process has kept is read at once, for Kept.
func New(o Options, logger *slog.Logger) (*Server, error) {
	if err := accord.CheckID(o.Name); err != nil {
		return nil, fmt.Errorf("node.name: %w", err)
	}
	s := &Server{o: o, log: logger, texts: map[uint64][]byte{}}
	var kept accord.Saved
	text, err := os.ReadFile(o.File)
	if err == nil {
		err = json.Unmarshal(text, &kept)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) { // the others tell it anew; until then it is on the floor anyway
		logger.Warn("accord: what was kept is not used", "file", o.File, "err", err)
		kept = accord.Saved{}
	}
	s.member = accord.NewMember(accord.Process{Name: o.Name, Boot: rand.Uint64()}, kept)
	s.know()
	s.steps = []Step{{time.Now().UnixMicro(), s.member.Effective()}}
	return s, nil
}

// Start is what to go by from the start on: the floor of two versions, nil where there are none.
func (s *Server) Start() (low, high []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.member.Effective()
	return s.texts[a.Low], s.texts[a.High]
}

// LeftOut is which instances were left out last, as far as this dispatcher has heard.
func (s *Server) LeftOut() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Directive(0).Cordons
}

// Use has it go by rules, speak to the root group at host, and log; it must come before anything else but Start.
func (s *Server) Use(r Rules, host replicas.Host, l *slog.Logger) {
	s.rules, s.host, s.log = r, host, l
}

// Agreed is the text of the version that is agreed on, as far as it is known here; nil: there is none.
func (s *Server) Agreed() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Agreed().Text
}

// Open begins, once the program runs.
func (s *Server) Open(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.ended = make(chan struct{})
	s.driver = accord.NewMonitor()
	s.last = replicas.Now()
	go s.run(ctx, s.ended)
}

// Close has it hear nothing more: its lease runs out, and it goes by the floor from then on.
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

// know keeps the texts that may be acted on. The lock is held, or nobody else has the server yet.
func (s *Server) know() {
	if len(s.texts) > mostTexts {
		did := s.member.Effective()
		for n := range s.texts {
			if n != did.Low && n != did.High {
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

// run is the loop. After its end it only sees to it that the floor is reached.
func (s *Server) run(ctx context.Context, ended chan struct{}) {
	defer close(ended)
	every := time.NewTicker(tickEach)
	defer every.Stop()
	for ctx.Err() == nil {
		s.tick(ctx)
		select {
		case <-ctx.Done():
		case <-every.C:
		}
	}
	go s.fall()
}

// fall takes a dispatcher that hears nothing any more to the floor.
func (s *Server) fall() {
	for {
		s.mu.Lock()
		now := replicas.Now()
		again := s.cancel == nil && !s.member.Effective().Floor
		if again {
			s.act(now)
		}
		s.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(tickEach)
	}
}

func (s *Server) tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := replicas.Now()
	if gap := now - s.last; gap > pauseGap {
		s.pauses++
	} else {
		s.worst = max(s.worst, gap-tickEach)
	}
	if now-s.turned > lateSpan {
		s.turned, s.before, s.worst = now, s.worst, 0
	}
	s.act(now)
	s.last = now
	if s.acting == nil { // else it is not known which of two it goes by, and a beat says that
		if c, ok := s.member.NextHeartbeat(now); ok {
			s.beats++
			go s.beat(ctx, c)
		}
	}
	o := s.member.Directive(now)
	if o.ToCheck != nil && s.check < o.ToCheck.Number {
		s.check = o.ToCheck.Number
		go s.look(*o.ToCheck)
	}
	s.leave(o.Cordons)
	leased := s.member.HasLease(now)
	if p, _ := s.member.Pending(); leased && p == nil && s.member.Agreed().Number == 0 && !s.first {
		s.first = true
		go func() {
			s.Propose(ctx, s.rules.Own())
			s.mu.Lock()
			s.first = false
			s.mu.Unlock()
		}()
	}
	if id := s.member.UnconfirmedCordon(); id != "" && leased && now > s.retry {
		s.retry = now + againAfter
		go s.again()
	}
	if now > s.drive {
		s.drive = now + driveEach
		s.watch(ctx)
	}
}

// watch puts those out who are gone, if this dispatcher acts for the root group: one is enough.
func (s *Server) watch(ctx context.Context) {
	if _, until, ok := s.host.Lease(replica.RootGroup); !ok || replicas.Now() > until {
		s.driver = accord.NewMonitor()
		return
	}
	var lines []accord.ProcessEntry
	var pending uint64
	if !s.host.View(replica.RootGroup, replica.RootMachine, func(m replica.Machine) {
		lines, pending = m.(*accord.Machine).Processes(), m.(*accord.Machine).Pending()
	}) {
		return
	}
	for _, c := range s.driver.Check(replicas.Now(), accord.Process{Name: s.o.Name}, lines, pending) {
		go s.propose(ctx, c, beatPatience)
	}
}

// act has the dispatcher go by what is due. The lock is held.
func (s *Server) act(now time.Duration) {
	if s.acting != nil && now < s.asked+actPatience {
		return
	}
	did, o := s.member.Effective(), s.member.Directive(now)
	if o.Effective == did {
		return
	}
	want := o.Effective
	s.acting, s.asked, s.due = &want, now, 0
	if want.Floor && !did.Floor {
		if s.due = s.member.LeaseEnd(); now-s.last > pauseGap || s.due == 0 {
			s.due = now // it stood still until now
		}
	}
	low, high := o.Low, o.High
	if low == nil {
		low = s.texts[want.Low]
	}
	if high == nil {
		high = s.texts[want.High]
	}
	s.rules.Act(low, high, want.Floor, func(err error) { s.done(&want, err) })
}

func (s *Server) done(a *accord.EffectiveVersions, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acting != a { // it took so long that it was asked for anew
		return
	}
	s.acting = nil
	if err != nil {
		s.member.ApplyFailed(*a, err.Error())
		s.log.Error("accord: this dispatcher cannot go by it", "low", a.Low, "high", a.High, "floor", a.Floor, "err", err)
		return
	}
	if s.due > 0 {
		s.worst = max(s.worst, replicas.Now()-s.due)
		if bound := accord.LeaseExpiry + s.worst; bound > accord.ConflictBound {
			s.log.Error("accord: the stated bound is passed: this machine is too slow for it", "bound", bound, "stated", accord.ConflictBound)
		}
	}
	if a.Floor {
		s.floors++
	}
	s.member.Applied(*a)
	s.steps = append(s.steps, Step{time.Now().UnixMicro(), *a})
	s.steps = s.steps[max(0, len(s.steps)-mostSteps):]
	s.log.Info("accord: goes by", "low", a.Low, "high", a.High, "floor", a.Floor)
}

// leave has instances left out, and used again once that is sure. The lock is held.
func (s *Server) leave(ids []string) {
	text := fmt.Sprint(s.heard, ids)
	if text == s.left {
		return
	}
	s.left = text
	s.rules.Leave(ids, s.heard)
}

// look looks at a version.
func (s *Server) look(v accord.Version) {
	why := ""
	if err := s.rules.Check(v.Text); err != nil {
		why = err.Error()
		s.log.Warn("accord: version refused", "version", v.Number, "by", v.By, "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.VersionChecked(v.Number, why)
}

// propose has a command taken in, and reads its answer.
func (s *Server) propose(ctx context.Context, c accord.Command, patience time.Duration) (accord.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	result, err := s.host.Propose(ctx, replica.RootGroup, replica.RootMachine, c.Encode())
	if err != nil {
		return accord.Answer{}, err
	}
	return accord.ReadAnswer(result)
}

func (s *Server) beat(ctx context.Context, c accord.Command) {
	a, err := s.propose(ctx, c, beatPatience)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lost++
		s.member.HeartbeatLost()
		return
	}
	changed := s.member.HandleAnswer(a)
	if s.member.HasLease(replicas.Now()) {
		s.heard = true
	}
	if a.Refused != "" {
		s.log.Warn("accord: not heard by the others", "why", a.Refused)
	}
	s.know()
	s.members = a.Members
	s.outcomes(a.Outcomes)
	s.act(replicas.Now())
	if changed {
		go s.keep()
	}
}

// outcomes logs what became of versions.
func (s *Server) outcomes(past []accord.Outcome) {
	for _, p := range past {
		known := len(s.past) > 0 && p.Number <= s.past[len(s.past)-1].Number
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
	s.past = past
}

// keep has what the next process is to know on the disk; of several the last counts.
func (s *Server) keep() error {
	s.files.Lock()
	defer s.files.Unlock()
	s.mu.Lock()
	k := s.member.Save()
	s.mu.Unlock()
	text, err := json.Marshal(k)
	if err == nil {
		err = replace(s.o.File, text)
	}
	if err != nil {
		s.log.Error("accord: not kept for the next process", "file", s.o.File, "err", err)
	}
	return err
}

// replace has a file hold a text: who reads it finds the old one or this.
func replace(path string, text []byte) error {
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

// again proposes what is left out here and not yet agreed.
func (s *Server) again() {
	if !s.ops.TryLock() {
		return
	}
	defer s.ops.Unlock()
	s.mu.Lock()
	id := s.member.UnconfirmedCordon()
	s.mu.Unlock()
	if id != "" {
		s.cordon(id, true)
	}
}

// Cordon leaves an instance out at all dispatchers, or uses it again. Out counts here at once, agreed or not.
func (s *Server) Cordon(id string, out bool) error {
	s.ops.Lock()
	defer s.ops.Unlock()
	return s.cordon(id, out)
}

// cordon does it; s.ops is held.
func (s *Server) cordon(id string, out bool) error {
	s.mu.Lock()
	c, err := s.member.Cordon(id, out)
	if err == nil {
		s.leave(s.member.Directive(replicas.Now()).Cordons)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	a, err := s.propose(context.Background(), c, opPatience)
	if err == nil && a.Refused != "" {
		err = errors.New(a.Refused)
	}
	if err == nil {
		s.mu.Lock()
		s.member.HandleCordonAnswer(*c.Cordon, a)
		s.leave(s.member.Directive(replicas.Now()).Cordons)
		s.mu.Unlock()
		s.log.Info("accord: cordon agreed", "id", id, "out", out, "index", a.Index)
		return nil
	}
	s.log.Warn("accord: cordon not agreed", "id", id, "out", out, "err", err)
	if !out {
		return fmt.Errorf("not done, as the others have not agreed: %w", err)
	}
	if kept := s.keep(); kept != nil {
		err = errors.Join(err, kept)
	}
	return fmt.Errorf("done here, and at the others once they are heard: %w", err)
}

// Propose has all go by other settings. It returns once the group has taken them in, or not; what becomes of them is in
// the log and the status.
func (s *Server) Propose(ctx context.Context, text []byte) error {
	s.ops.Lock()
	defer s.ops.Unlock()
	s.mu.Lock()
	if string(s.member.Agreed().Text) == string(text) {
		s.mu.Unlock()
		return nil
	}
	c := s.member.Propose(text)
	s.mu.Unlock()
	a, err := s.propose(ctx, c, hupPatience)
	if err == nil && a.Refused != "" {
		err = errors.New(a.Refused)
	}
	if err != nil {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		s.log.Error("accord: settings not proposed", "err", err)
		return err
	}
	if a.Pending != nil {
		s.log.Info("accord: settings proposed", "version", a.Pending.Number)
	}
	return nil
}

// Status is how things stand, for operators.
type Status struct {
	Acts    accord.EffectiveVersions `json:"acts"`
	Agreed  uint64                   `json:"agreed"`
	Pending uint64                   `json:"pending,omitempty"`
	Phase   accord.Phase             `json:"phase,omitempty"`
	Leased  bool                     `json:"leased"`
	Fault   string                   `json:"fault,omitempty"` // why this dispatcher cannot go by what is agreed
	Members int                      `json:"members"`
	Cordons []string                 `json:"cordons"`
	Mine    []string                 `json:"not_agreed,omitempty"` // left out here only
	Bound   float64                  `json:"bound_ms"`             // reckoned: for so long two may contradict each other at most
	Lease   float64                  `json:"lease_ms"`
	Drift   float64                  `json:"drift_ms"`
	Late    float64                  `json:"late_ms"` // the worst that this loop was in the last half a minute or whole one
	Stated  float64                  `json:"stated_ms"`
	Past    []accord.Outcome         `json:"past,omitempty"`
	Steps   []Step                   `json:"steps"`
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Status is how things stand.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, late := replicas.Now(), max(s.worst, s.before)
	v := Status{
		Acts: s.member.Effective(), Agreed: s.member.Agreed().Number, Leased: s.member.HasLease(now), Fault: s.member.Fault(), Members: s.members,
		Cordons: s.member.Directive(now).Cordons, Mine: s.member.Save().LocalCordons, Past: s.past, Steps: append([]Step{}, s.steps...),
		Bound: ms(accord.LeaseExpiry + late), Lease: ms(accord.Lease), Drift: ms(accord.LeaseExpiry - accord.Lease), Late: ms(late), Stated: ms(accord.ConflictBound),
	}
	if p, phase := s.member.Pending(); p != nil {
		v.Pending, v.Phase = p.Number, phase
	}
	return v
}

// Figures is what operators go by.
func (s *Server) Figures() string {
	v := s.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	one := map[bool]int{true: 1}
	return fmt.Sprintf("proxy.accord.version=%d\nproxy.accord.pending=%d\nproxy.accord.floor=%d\nproxy.accord.bound_ms=%.0f\nproxy.accord.bound_passed=%d\nproxy.accord.cordons=%d\nproxy.accord.beats=%d\nproxy.accord.beats_lost=%d\nproxy.accord.floors=%d\nproxy.accord.refused=%d\nproxy.accord.fault=%d\nproxy.accord.pauses=%d\n",
		v.Agreed, v.Pending, one[v.Acts.Floor], v.Bound, one[v.Bound > v.Stated], len(v.Cordons), s.beats, s.lost, s.floors, s.refused, one[v.Fault != ""], s.pauses)
}
