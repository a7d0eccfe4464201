package rerun

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"caperrelay/internal/rerun/policy"
)

func (m *Machine) send(msg Message) { m.sendTo(m.groupOf(msg.To), msg) }

func (m *Machine) sendTo(to uint32, msg Message) {
	if to == m.config.Group {
		m.localMessages = append(m.localMessages, msg)
		return
	}
	m.state.LastSent[to]++
	msg.Seq = m.state.LastSent[to]
	m.state.Outbox[to] = append(m.state.Outbox[to], msg)
}

// handle dispatches a message to its object.
func (m *Machine) handle(msg *Message) {
	switch msg.Kind {
	case "want", "leave":
		m.handleOutput(msg)
	case "approve":
		m.handleApproval(msg)
	case "challenge":
		m.handleChallenge(msg)
	case "try", "verdict":
		m.handleFingerprint(msg)
	case "fine":
		m.countAccepted(msg)
	case "where":
		m.send(Message{Kind: "sites", To: "r/" + msg.From, Stage: msg.Stage, SuspectSites: m.suspectSites(msg.To)})
	case "claim", "opinion", "content":
		m.handleClaim(msg)
	case "ask", "give":
		m.handlePool(msg)
	case "grant":
		a := m.state.Accounts[msg.To]
		if a == nil {
			return
		}
		a.Balance += msg.Amount
		a.Requested = max(0, a.Requested-msg.Amount)
		m.budgetsGrew = true
	default:
		if r := m.state.Runs[strings.TrimPrefix(msg.To, "r/")]; r != nil && r.Answer == nil {
			m.handleRun(r, msg)
		}
	}
}

// handleRun applies a message to a run.
func (m *Machine) handleRun(r *Run, msg *Message) {
	if msg.Stage < 0 || msg.Stage >= len(r.Stages) {
		return
	}
	s := r.Stages[msg.Stage]
	switch msg.Kind {
	case "begun": // the execution may start from now on; this run caused it
		if r.pipeline.Stages[msg.Stage].Once {
			s.MayHaveRun = true
		}
		if !msg.OK {
			r.Reruns++
			r.Work += r.pipeline.Stages[msg.Stage].Work
			m.addHistory(r, s.RuleNumber-1, "%s runs again as generation %d, %v of work", r.pipeline.Stages[msg.Stage].Name, msg.Gen, r.pipeline.Stages[msg.Stage].Work)
		}
	case "made":
		if !s.Requested || msg.Gen <= s.StaleUpTo || !coversInputs(msg.InputGens, s.InputGens) {
			return
		}
		s.Requested, s.UsedGen, s.Place, s.MadeAt, s.Result = false, msg.Gen, msg.Place, msg.MadeAt, msg.Text
		s.Runs++
		m.reportVerdict(r, s, true, s.CheckedClaim != nil) // a refuted claim says nothing about the trial
		if s.CheckedClaim != nil {
			m.send(Message{Kind: "opinion", To: "c/" + s.CheckedClaim.Worker, Key: s.CheckedClaim.Key, Gen: s.CheckedClaim.Gen, OK: false})
			s.CheckedClaim = nil
		}
		s.ByRule, s.RuleNumber = false, 0
		m.reportAccepted(r, msg.Stage, msg.InputGens)
		m.advance(r)
	case "newer": // by another run's rerun, whose policy may number the stages differently
		for i := range r.Stages {
			if r.OutputKey(i) == msg.Key {
				msg.Stage = i
				m.adoptNewer(r, msg)
			}
		}
	case "fell":
		if !s.Requested || msg.Gen <= s.StaleUpTo {
			return
		}
		s.Requested = false
		s.Runs++
		m.handleFailure(r, msg)
	case "go":
		if n := s.Pending; n != nil && n.Phase == AwaitingTrial {
			n.SuspectSites = msg.SuspectSites
			m.proceed(r, msg.Stage)
		}
	case "challenged":
		if n := s.Pending; n != nil && n.Phase == CheckingInput {
			if msg.OK {
				m.requestSecondOpinion(r, msg.Stage, acceptedElsewhere)
				m.requestSites(r, msg.Stage)
				return
			}
			m.startRerun(r, msg.Stage)
		}
	case "sites":
		if n := s.Pending; n != nil && n.Phase == AwaitingSites {
			n.SuspectSites = mergeSites(n.SuspectSites, msg.SuspectSites)
			m.startRerun(r, msg.Stage)
		}
	case "no":
		if n := s.Pending; n != nil && n.Phase == AwaitingTrial {
			n.Phase = ""
			m.giveUp(r, msg.Stage, n, "reruns for this stage, cause and place were tried and came to nothing")
		}
	case "believed":
		if n := s.Pending; n != nil && n.Phase == CheckingClaim {
			m.reportVerdict(r, s, false, !msg.OK)
			if !msg.OK {
				m.requestSecondOpinion(r, msg.Stage, msg.Text)
			}
			m.startBackoff(r, msg.Stage)
		}
	}
}

// coversInputs reports whether an output is made of inputs of at least these generations.
func coversInputs(gens, wanted []int64) bool {
	if len(gens) != len(wanted) {
		return false
	}
	for i := range gens {
		if gens[i] < wanted[i] {
			return false
		}
	}
	return true
}

// adoptNewer switches a run to a newer generation of an output, made for another run. This makes its stages stale only
// as many times as the pipeline allows, and never one that must not run twice; otherwise the old output is kept.
func (m *Machine) adoptNewer(r *Run, msg *Message) {
	s := r.Stages[msg.Stage]
	if msg.Gen <= s.UsedGen || s.UsedGen == 0 || s.Requested || s.Pending != nil || r.OthersReruns >= r.pipeline.MaxOthersReruns {
		return
	}
	for _, b := range r.pipeline.Stages[msg.Stage].Downstream {
		if r.pipeline.Stages[b].Once && r.Stages[b].MayHaveRun {
			return
		}
	}
	r.OthersReruns++
	s.UsedGen, s.Place, s.MadeAt = msg.Gen, msg.Place, msg.MadeAt
	m.addHistory(r, -1, "another run had %s made anew: generation %d is used", r.pipeline.Stages[msg.Stage].Name, msg.Gen)
	m.markStale(r, r.pipeline.Stages[msg.Stage].Downstream, 0)
	m.advance(r)
}

// markStale marks the outputs of stages as stale.
func (m *Machine) markStale(r *Run, stages []int, rule int) {
	for _, i := range stages {
		s := r.Stages[i]
		if s.UsedGen > s.StaleUpTo {
			m.addHistory(r, rule-1, "generation %d of %s is stale", s.UsedGen, r.pipeline.Stages[i].Name)
		}
		if s.Requested { // withdraw the request, so that an execution not yet started is cancelled
			m.send(Message{Kind: "leave", To: r.OutputKey(i), From: r.ID})
		}
		s.StaleUpTo, s.Requested = max(s.StaleUpTo, s.UsedGen), false
		if s.UsedGen > 0 || rule > 0 {
			s.RuleNumber = rule
		}
	}
}

// facts returns the variables of a rule's condition.
func (m *Machine) facts(r *Run, msg *Message) policy.Facts {
	f := policy.Facts{
		Kind: msg.Cause, RunTime: msg.RunTime, At: msg.Place, Tenant: r.Tenant, Runs: r.Stages[msg.Stage].Runs, Reruns: int64(r.Reruns), RunAge: m.state.At - r.Began, Left: max(0, r.Deadline-m.state.At),
	}
	if i := r.pipeline.Stage(msg.Input); i >= 0 && msg.Cause.NamesInput() {
		f.Input, f.Generation, f.Age = msg.Input, r.Stages[i].UsedGen, max(0, m.state.At-r.Stages[i].MadeAt)
	}
	return f
}

// handleFailure decides what a run does after a stage run failed.
func (m *Machine) handleFailure(r *Run, msg *Message) {
	i, s, stage := msg.Stage, r.Stages[msg.Stage], r.pipeline.Stages[msg.Stage]
	s.StaleUpTo = max(s.StaleUpTo, msg.Gen)
	input := r.pipeline.Stage(msg.Input)
	// Another bad input, or a second opinion that agrees, says nothing about the trial.
	blamed := s.Trial == nil || s.CheckedClaim == nil && (!msg.Cause.NamesInput() || !slices.Contains(stage.Needs, input) || strings.HasSuffix(s.Trial.Key, "/"+stage.Name) || r.OutputKey(input) == s.Trial.Key)
	if !blamed || msg.Cause != policy.BadInput || msg.Place.Worker == "" { // otherwise the verdict follows once it is known whether the claim is believed
		m.reportVerdict(r, s, false, !blamed)
	}
	if msg.Cause.NamesInput() && !slices.Contains(stage.Needs, input) { // a stage that is not an input cannot be the cause
		msg.Cause, msg.Input, msg.Text = policy.RanFailed, "", "it names an input that it does not have"
	}
	text := fmt.Sprintf("%s: %s", stage.Name, msg.Cause)
	if msg.Input != "" {
		text += " " + msg.Input
	}
	if msg.Place.Worker != "" {
		text += " at " + msg.Place.Worker
	}
	m.addHistory(r, -1, "%s", text)
	if stage.Once {
		if msg.Cause.MayHaveTakenEffect() && !m.faults.RerunOnceStages {
			m.finish(r, Answer{Kind: NeedsPerson, Stage: stage.Name, Cause: msg.Cause, Reason: fmt.Sprintf("%s; it must not run twice", cmp.Or(msg.Text, text))})
			return
		}
		s.MayHaveRun = false // it certainly did not run
	}
	confirms := false
	if d := s.CheckedClaim; d != nil { // this run of the stage was a second opinion
		s.CheckedClaim = nil
		if confirms = msg.Cause == policy.BadInput && r.OutputKey(input) == d.Key && r.Stages[input].UsedGen == d.Gen; confirms {
			m.send(Message{Kind: "opinion", To: "c/" + d.Worker, Key: d.Key, Gen: d.Gen, OK: true})
		}
	}
	f := m.facts(r, msg)
	for k, rule := range r.pipeline.Rules {
		if rule.On != i {
			continue
		}
		if holds, err := rule.When.Holds(f); err != nil {
			m.addHistory(r, k, "the condition could not be reckoned: %v", err)
		} else if holds {
			m.applyRule(r, k, input, msg, confirms)
			return
		}
	}
	m.finish(r, Answer{Kind: Dead, Stage: stage.Name, Cause: msg.Cause, Reason: text + ", and no rule is about that"})
}

// applyRule applies a rule to a failure. confirms: the failure is a second opinion that confirms the first.
func (m *Machine) applyRule(r *Run, k, input int, msg *Message, confirms bool) {
	s, rule, stage := r.Stages[msg.Stage], r.pipeline.Rules[k], r.pipeline.Stages[msg.Stage]
	n := &PendingRerun{Rule: k, Target: rule.Target, BadGen: msg.Gen, Cause: msg.Cause, FailedPlace: msg.Place}
	switch rule.Target {
	case policy.Self:
		n.Target = msg.Stage
	case policy.Input:
		n.Target = input
	}
	if n.Target != msg.Stage {
		n.BadGen, n.FailedPlace = r.Stages[n.Target].UsedGen, r.Stages[n.Target].Place
	}
	n.Fingerprint = fingerprint(r.Pipeline, r.pipeline.Stages[n.Target].Name, msg.Cause, n.FailedPlace)
	if r.RuleUses[k] >= rule.MaxUses {
		m.giveUp(r, msg.Stage, n, fmt.Sprintf("%s, and the rule of line %d was used %d times", msg.Cause, rule.Line, rule.MaxUses))
		return
	}
	if n.Target != msg.Stage && !rule.KeepOld && !m.faults.RerunOnceStages {
		for _, a := range r.pipeline.Affected(rule, n.Target) {
			if r.pipeline.Stages[a].Once && r.Stages[a].MayHaveRun {
				m.finish(r, Answer{Kind: NeedsPerson, Stage: r.pipeline.Stages[a].Name, Cause: msg.Cause,
					Reason: fmt.Sprintf("%s says that %s is spoilt, and %s, which must not run twice, has used it", r.pipeline.Stages[msg.Stage].Name, r.pipeline.Stages[n.Target].Name, r.pipeline.Stages[a].Name)})
				return
			}
		}
	}
	r.RuleUses[k]++
	s.Pending = n
	if msg.Cause == policy.BadInput && msg.Place.Worker != "" {
		n.Phase, n.Claim, n.Claimant, n.Confirmed = CheckingClaim, &Claim{msg.Place.Worker, r.OutputKey(input), r.Stages[input].UsedGen}, msg.Place, confirms
		m.send(Message{Kind: "claim", To: "c/" + msg.Place.Worker, From: r.ID, Stage: msg.Stage, Key: n.Claim.Key, Gen: n.Claim.Gen, Place: msg.Place, Text: stage.Name, OK: confirms})
		return
	}
	m.startBackoff(r, msg.Stage)
}

const acceptedElsewhere = "another worker was content with its input"

// requestSecondOpinion reruns the stage itself at another worker first, to check its claim.
func (m *Machine) requestSecondOpinion(r *Run, i int, why string) {
	s := r.Stages[i]
	n := s.Pending
	n.SecondOpinion, n.Target, n.BadGen, n.FailedPlace = true, i, s.StaleUpTo, n.Claimant
	m.addHistory(r, n.Rule, "%s: %s; another worker is asked first", why, r.pipeline.Stages[i].Name)
}

// proceed continues with an admitted rerun. A claim of a bad input has waited: what others have found in the meantime is
// taken into account.
func (m *Machine) proceed(r *Run, i int) {
	n := r.Stages[i].Pending
	if r.disputed(i) {
		m.requestSecondOpinion(r, i, acceptedElsewhere)
	}
	switch {
	case n.Target == i:
		m.requestSites(r, i)
	case r.disputable(i) && isShared(n.Claim.Key):
		n.Phase = CheckingInput
		m.send(Message{Kind: "challenge", To: n.Claim.Key, From: r.ID, Stage: i, Gen: n.Claim.Gen, Worker: n.Claimant.Worker})
	default:
		m.startRerun(r, i)
	}
}

// disputable reports whether a stage's claim of a bad input would be checked by a second worker if another worker
// accepted that input. The last use of a rule is not disputable: the second opinion counts as a use.
func (r *Run) disputable(i int) bool {
	n := r.Stages[i].Pending
	return n.Claim != nil && !n.SecondOpinion && !n.Confirmed && n.Claimant.Worker != "" && r.RuleUses[n.Rule] < r.pipeline.Rules[n.Rule].MaxUses
}

// disputed reports whether a stage's claim of a bad input is contradicted by another stage of the run, which used the
// same generation at another worker and accepted it.
func (r *Run) disputed(i int) bool {
	if !r.disputable(i) {
		return false
	}
	n := r.Stages[i].Pending
	for k, stage := range r.pipeline.Stages {
		other := r.Stages[k]
		if k == i || !r.valid(k) || other.Place.Worker == n.Claimant.Worker {
			continue
		}
		for j, input := range stage.Needs {
			if r.OutputKey(input) == n.Claim.Key && j < len(other.InputGens) && other.InputGens[j] == n.Claim.Gen {
				return true
			}
		}
	}
	return false
}
