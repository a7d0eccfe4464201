package rerun

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"caperrelay/internal/rerun/policy"
)

func (m *Machine) send(l Letter) { m.post(m.group(l.To), l) }

func (m *Machine) post(to uint32, l Letter) {
	if to == m.c.Group {
		m.local = append(m.local, l)
		return
	}
	m.s.Seq[to]++
	l.Seq = m.s.Seq[to]
	m.s.Out[to] = append(m.s.Out[to], l)
}

// read has an object take a letter.
func (m *Machine) read(l *Letter) {
	switch l.Kind {
	case "want", "leave":
		m.output(l)
	case "approve":
		m.approved(l)
	case "challenge":
		m.challenge(l)
	case "try", "verdict":
		m.print(l)
	case "fine":
		m.fine(l)
	case "where":
		m.send(Letter{Kind: "sites", To: "r/" + l.From, Stage: l.Stage, Sites: m.often(l.To)})
	case "claim", "opinion", "content":
		m.claimant(l)
	case "ask", "give":
		m.pool(l)
	case "grant":
		a := m.s.Accounts[l.To]
		if a == nil {
			return
		}
		a.Balance += l.Amount
		a.Asked = max(0, a.Asked-l.Amount)
		m.richer = true
	default:
		if r := m.s.Runs[strings.TrimPrefix(l.To, "r/")]; r != nil && r.Answer == nil {
			m.told(r, l)
		}
	}
}

// told has a run take a letter.
func (m *Machine) told(r *Run, l *Letter) {
	if l.Stage < 0 || l.Stage >= len(r.Stages) {
		return
	}
	s := r.Stages[l.Stage]
	switch l.Kind {
	case "begun": // its turn may start from now on, and began because of this run
		if r.p.Stages[l.Stage].Once {
			s.Ran = true
		}
		if !l.OK {
			r.Reruns++
			r.Work += r.p.Stages[l.Stage].Work
			m.tell(r, s.Rule-1, "%s runs again as generation %d, %v of work", r.p.Stages[l.Stage].Name, l.Gen, r.p.Stages[l.Stage].Work)
		}
	case "made":
		if !s.Wants || l.Gen <= s.Over || !covers(l.Of, s.Of) {
			return
		}
		s.Wants, s.Have, s.At, s.Made, s.Result = false, l.Gen, l.At, l.Made, l.Text
		s.Runs++
		m.verdict(r, s, true, s.Doubt != nil) // that a claim is not true tells nothing of reruns
		if s.Doubt != nil {
			m.send(Letter{Kind: "opinion", To: "c/" + s.Doubt.Worker, Key: s.Doubt.Key, Gen: s.Doubt.Gen, OK: false})
			s.Doubt = nil
		}
		s.Own, s.Rule = false, 0
		m.praise(r, l.Stage, l.Of)
		m.advance(r)
	case "newer": // by somebody else's rerun, whose policy may count stages otherwise
		for i := range r.Stages {
			if r.Key(i) == l.Key {
				l.Stage = i
				m.others(r, l)
			}
		}
	case "fell":
		if !s.Wants || l.Gen <= s.Over {
			return
		}
		s.Wants = false
		s.Runs++
		m.failed(r, l)
	case "go":
		if n := s.Next; n != nil && n.Phase == OnTrial {
			n.Sites = l.Sites
			m.decide(r, l.Stage)
		}
	case "challenged":
		if n := s.Next; n != nil && n.Phase == Challenging {
			if l.OK {
				m.askAnother(r, l.Stage, anotherWasContent)
				m.askSites(r, l.Stage)
				return
			}
			m.rerun(r, l.Stage)
		}
	case "sites":
		if n := s.Next; n != nil && n.Phase == AskingSites {
			n.Sites = mergeSites(n.Sites, l.Sites)
			m.rerun(r, l.Stage)
		}
	case "no":
		if n := s.Next; n != nil && n.Phase == OnTrial {
			n.Phase = ""
			m.give(r, l.Stage, n, "reruns for this stage, cause and place were tried and came to nothing")
		}
	case "believed":
		if n := s.Next; n != nil && n.Phase == Claiming {
			m.verdict(r, s, false, !l.OK)
			if !l.OK {
				m.askAnother(r, l.Stage, l.Text)
			}
			m.wait(r, l.Stage)
		}
	}
}

// covers tells whether an output is made of inputs of at least these generations.
func covers(of, wanted []int64) bool {
	if len(of) != len(wanted) {
		return false
	}
	for i := range of {
		if of[i] < wanted[i] {
			return false
		}
	}
	return true
}

// others takes that an output which a run uses was made anew for another run. Its stages go stale by that so often as
// the pipeline says, and never one that must not run twice; past it the old output is kept.
func (m *Machine) others(r *Run, l *Letter) {
	s := r.Stages[l.Stage]
	if l.Gen <= s.Have || s.Have == 0 || s.Wants || s.Next != nil || r.Others >= r.p.Others {
		return
	}
	for _, b := range r.p.Stages[l.Stage].Below {
		if r.p.Stages[b].Once && r.Stages[b].Ran {
			return
		}
	}
	r.Others++
	s.Have, s.At, s.Made = l.Gen, l.At, l.Made
	m.tell(r, -1, "another run had %s made anew: generation %d is used", r.p.Stages[l.Stage].Name, l.Gen)
	m.stale(r, r.p.Stages[l.Stage].Below, 0)
	m.advance(r)
}

// stale has stages be made anew.
func (m *Machine) stale(r *Run, stages []int, rule int) {
	for _, i := range stages {
		s := r.Stages[i]
		if s.Have > s.Over {
			m.tell(r, rule-1, "generation %d of %s is stale", s.Have, r.p.Stages[i].Name)
		}
		if s.Wants { // what has not started yet does not
			m.send(Letter{Kind: "leave", To: r.Key(i), From: r.ID})
		}
		s.Over, s.Wants = max(s.Over, s.Have), false
		if s.Have > 0 || rule > 0 {
			s.Rule = rule
		}
	}
}

// facts is what a rule's condition may ask for.
func (m *Machine) facts(r *Run, l *Letter) policy.Facts {
	f := policy.Facts{
		Kind: l.Cause, Ran: l.Ran, At: l.At, Tenant: r.Tenant, Runs: r.Stages[l.Stage].Runs, Reruns: int64(r.Reruns), RunAge: m.s.At - r.Began, Left: max(0, r.Until-m.s.At),
	}
	if i := r.p.Stage(l.Input); i >= 0 && l.Cause.NamesInput() {
		f.Input, f.Generation, f.Age = l.Input, r.Stages[i].Have, max(0, m.s.At-r.Stages[i].Made)
	}
	return f
}

// failed has a run decide on what is done since a run of a stage came to nothing.
func (m *Machine) failed(r *Run, l *Letter) {
	i, s, stage := l.Stage, r.Stages[l.Stage], r.p.Stages[l.Stage]
	s.Over = max(s.Over, l.Gen)
	input := r.p.Stage(l.Input)
	// That another input is bad, or that a second opinion is the same, tells nothing of what was tried.
	blamed := s.Tried == nil || s.Doubt == nil && (!l.Cause.NamesInput() || !slices.Contains(stage.Needs, input) || strings.HasSuffix(s.Tried.Key, "/"+stage.Name) || r.Key(input) == s.Tried.Key)
	if !blamed || l.Cause != policy.BadInput || l.At.Worker == "" { // else once it is known whether its worker is believed
		m.verdict(r, s, false, !blamed)
	}
	if l.Cause.NamesInput() && !slices.Contains(stage.Needs, input) { // what is no input of it cannot be its cause
		l.Cause, l.Input, l.Text = policy.RanFailed, "", "it names an input that it does not have"
	}
	text := fmt.Sprintf("%s: %s", stage.Name, l.Cause)
	if l.Input != "" {
		text += " " + l.Input
	}
	if l.At.Worker != "" {
		text += " at " + l.At.Worker
	}
	m.tell(r, -1, "%s", text)
	if stage.Once {
		if l.Cause.Ran() && !m.faulty.Unsafe {
			m.finish(r, Answer{Kind: Person, Stage: stage.Name, Cause: l.Cause, Reason: fmt.Sprintf("%s; it must not run twice", cmp.Or(l.Text, text))})
			return
		}
		s.Ran = false // that is certain
	}
	confirms := false
	if d := s.Doubt; d != nil { // a second opinion
		s.Doubt = nil
		if confirms = l.Cause == policy.BadInput && r.Key(input) == d.Key && r.Stages[input].Have == d.Gen; confirms {
			m.send(Letter{Kind: "opinion", To: "c/" + d.Worker, Key: d.Key, Gen: d.Gen, OK: true})
		}
	}
	f := m.facts(r, l)
	for k, rule := range r.p.Rules {
		if rule.On != i {
			continue
		}
		if holds, err := rule.When.Holds(f); err != nil {
			m.tell(r, k, "the condition could not be reckoned: %v", err)
		} else if holds {
			m.use(r, k, input, l, confirms)
			return
		}
	}
	m.finish(r, Answer{Kind: Dead, Stage: stage.Name, Cause: l.Cause, Reason: text + ", and no rule is about that"})
}

// use has a rule be used. confirms: the failure is a second opinion that says what the first one does.
func (m *Machine) use(r *Run, k, input int, l *Letter, confirms bool) {
	s, rule, stage := r.Stages[l.Stage], r.p.Rules[k], r.p.Stages[l.Stage]
	n := &Next{Rule: k, Target: rule.Target, Bad: l.Gen, Cause: l.Cause, Failed: l.At}
	switch rule.Target {
	case policy.Self:
		n.Target = l.Stage
	case policy.Input:
		n.Target = input
	}
	if n.Target != l.Stage {
		n.Bad, n.Failed = r.Stages[n.Target].Have, r.Stages[n.Target].At
	}
	n.Print = fingerprint(r.Pipeline, r.p.Stages[n.Target].Name, l.Cause, n.Failed)
	if r.Uses[k] >= rule.Most {
		m.give(r, l.Stage, n, fmt.Sprintf("%s, and the rule of line %d was used %d times", l.Cause, rule.Line, rule.Most))
		return
	}
	if n.Target != l.Stage && !rule.Keep && !m.faulty.Unsafe {
		for _, a := range r.p.Affected(rule, n.Target) {
			if r.p.Stages[a].Once && r.Stages[a].Ran {
				m.finish(r, Answer{Kind: Person, Stage: r.p.Stages[a].Name, Cause: l.Cause,
					Reason: fmt.Sprintf("%s says that %s is spoilt, and %s, which must not run twice, has used it", r.p.Stages[l.Stage].Name, r.p.Stages[n.Target].Name, r.p.Stages[a].Name)})
				return
			}
		}
	}
	r.Uses[k]++
	s.Next = n
	if l.Cause == policy.BadInput && l.At.Worker != "" {
		n.Phase, n.Claim, n.By, n.Sure = Claiming, &Claim{l.At.Worker, r.Key(input), r.Stages[input].Have}, l.At, confirms
		m.send(Letter{Kind: "claim", To: "c/" + l.At.Worker, From: r.ID, Stage: l.Stage, Key: n.Claim.Key, Gen: n.Claim.Gen, At: l.At, Text: stage.Name, OK: confirms})
		return
	}
	m.wait(r, l.Stage)
}

const anotherWasContent = "another worker was content with its input"

// askAnother has the stage itself run at another worker first, for a second opinion on a claim.
func (m *Machine) askAnother(r *Run, i int, why string) {
	s := r.Stages[i]
	n := s.Next
	n.Second, n.Target, n.Bad, n.Failed = true, i, s.Over, n.By
	m.tell(r, n.Rule, "%s: %s; another worker is asked first", why, r.p.Stages[i].Name)
}

// decide goes on with a stage's rerun that may go now. A claim that an input is bad has waited: what others found meanwhile counts.
func (m *Machine) decide(r *Run, i int) {
	n := r.Stages[i].Next
	if r.disputed(i) {
		m.askAnother(r, i, anotherWasContent)
	}
	switch {
	case n.Target == i:
		m.askSites(r, i)
	case r.disputable(i) && shared(n.Claim.Key):
		n.Phase = Challenging
		m.send(Letter{Kind: "challenge", To: n.Claim.Key, From: r.ID, Stage: i, Gen: n.Claim.Gen, Worker: n.By.Worker})
	default:
		m.rerun(r, i)
	}
}

// disputable tells whether a stage's claim that an input is bad would have a second worker look first, if another was content with
// that. The last use of its rule has not: a second opinion is one.
func (r *Run) disputable(i int) bool {
	n := r.Stages[i].Next
	return n.Claim != nil && !n.Second && !n.Sure && n.By.Worker != "" && r.Uses[n.Rule] < r.p.Rules[n.Rule].Most
}

// disputed tells whether a stage's claim that an input is bad has another stage of the run against it, which another worker
// has made of the same generation and was content.
func (r *Run) disputed(i int) bool {
	if !r.disputable(i) {
		return false
	}
	n := r.Stages[i].Next
	for k, stage := range r.p.Stages {
		other := r.Stages[k]
		if k == i || !r.valid(k) || other.At.Worker == n.By.Worker {
			continue
		}
		for j, input := range stage.Needs {
			if r.Key(input) == n.Claim.Key && j < len(other.Of) && other.Of[j] == n.Claim.Gen {
				return true
			}
		}
	}
	return false
}
