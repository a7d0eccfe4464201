package rerun

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

// handleFingerprint applies a message to a fingerprint. Of failures with one fingerprint one is rerun first, as a trial,
// and the others wait for its verdict; each good verdict doubles the number of concurrent reruns, up to the capacity of
// the place.
func (m *Machine) handleFingerprint(l *Message) {
	p := m.state.Fingerprints[l.To]
	if p == nil {
		if l.Kind == "verdict" {
			return
		}
		if len(m.state.Fingerprints) >= maxTracked {
			m.send(Message{Kind: "no", To: "r/" + l.From, Stage: l.Stage})
			return
		}
		p = &Fingerprint{MaxTrials: 1}
		m.state.Fingerprints[l.To] = p
	}
	p.ForgetAt = m.state.At + claimRetention
	m.setTimer(p.ForgetAt, "print", l.To)
	if l.Kind == "try" {
		m.countSiteFailure(l.To)
		if len(p.Waiting) >= maxWaitingTrials || p.FailedTrials >= maxFailedTrials && m.state.At < p.NotBefore {
			m.send(Message{Kind: "no", To: "r/" + l.From, Stage: l.Stage})
			return
		}
		p.Waiting = append(p.Waiting, *l)
		m.admitTrials(l.To, p)
		return
	}
	i := slices.Index(p.Trials, l.From)
	if i < 0 { // it may still be waiting
		p.Waiting = slices.DeleteFunc(p.Waiting, func(w Message) bool { return fmt.Sprintf("%s/%d", w.From, w.Stage) == l.From })
		return
	}
	p.Trials = slices.Delete(p.Trials, i, i+1)
	switch {
	case l.Text == "none":
	case l.OK:
		p.FailedTrials, p.NotBefore = 0, 0
		p.MaxTrials = min(2*p.MaxTrials, max(1, cmp.Or(m.state.Capacities[l.To[strings.LastIndexByte(l.To, '/')+1:]], defaultCapacity)))
		p.Waiting = slices.DeleteFunc(p.Waiting, func(w Message) bool { // runs that wait for the same output need no trial
			if w.Key == l.Key {
				m.send(Message{Kind: "go", To: "r/" + w.From, Stage: w.Stage, SuspectSites: m.suspectSites(l.To)})
			}
			return w.Key == l.Key
		})
	default:
		p.MaxTrials = 1
		p.FailedTrials++
		p.NotBefore = m.state.At + time.Second<<min(p.FailedTrials, 6)
		if p.FailedTrials >= maxFailedTrials {
			for _, w := range p.Waiting {
				m.send(Message{Kind: "no", To: "r/" + w.From, Stage: w.Stage})
			}
			p.Waiting, p.NotBefore = nil, m.state.At+trialCooldown
		}
		m.setTimer(p.NotBefore, "print", l.To)
	}
	m.admitTrials(l.To, p)
}

// admitTrials admits waiting reruns as far as the limits allow.
func (m *Machine) admitTrials(key string, p *Fingerprint) {
	if p.FailedTrials >= maxFailedTrials && m.state.At >= p.NotBefore {
		p.FailedTrials = 0
	}
	for len(p.Waiting) > 0 && (len(p.Trials) < p.MaxTrials && m.state.At >= p.NotBefore || m.faults.NoTrial) {
		w := p.Waiting[0]
		p.Waiting = p.Waiting[1:]
		p.Trials = append(p.Trials, fmt.Sprintf("%s/%d", w.From, w.Stage))
		m.send(Message{Kind: "go", To: "r/" + w.From, Stage: w.Stage, SuspectSites: m.suspectSites(key)})
	}
}

// countSiteFailure counts a failure for the site of its fingerprint.
func (m *Machine) countSiteFailure(print string) {
	f := withoutPlace(print)
	zone, site, ok := strings.Cut(print[len(f)+1:], ".")
	if all, known := m.state.SiteFailures[f]; !ok || site == "" || !known && len(m.state.SiteFailures) >= maxTracked {
		return
	} else if m.state.SiteFailures[f] = slices.DeleteFunc(all, func(o SiteFailures) bool { return o.LastFailure+claimRetention <= m.state.At }); !known {
		m.setTimer(m.state.At+claimRetention, "often", f)
	}
	at := policy.Place{Zone: zone, Site: site}
	i := slices.IndexFunc(m.state.SiteFailures[f], func(o SiteFailures) bool { return o.Site == at })
	if i < 0 {
		if len(m.state.SiteFailures[f]) >= maxSites {
			return
		}
		i = len(m.state.SiteFailures[f])
		m.state.SiteFailures[f] = append(m.state.SiteFailures[f], SiteFailures{Site: at})
	}
	m.state.SiteFailures[f][i].Failures++
	m.state.SiteFailures[f][i].LastFailure = m.state.At
}

// reportAccepted reports to the sites that made a stage's inputs that the stage accepted them, if a rule reruns bad
// inputs. of holds the generations of the inputs.
func (m *Machine) reportAccepted(r *Run, i int, of []int64) {
	if !slices.ContainsFunc(r.pipeline.Rules, func(rule *policy.Rule) bool { return rule.On == i && rule.Target == policy.Input }) {
		return
	}
	for k, n := range r.pipeline.Stages[i].Needs {
		if at := r.Stages[n].Place; at.Site != "" && k < len(of) && of[k] == r.Stages[n].UsedGen {
			m.send(Message{Kind: "fine", To: fingerprint(r.Pipeline, r.pipeline.Stages[n].Name, policy.BadInput, at)})
		}
	}
}

// countAccepted counts an accepted output for its site. Sites without failures are not tracked.
func (m *Machine) countAccepted(l *Message) {
	for i, o := range m.state.SiteFailures[withoutPlace(l.To)] {
		if strings.HasSuffix(l.To, "/"+o.Site.Zone+"."+o.Site.Site) {
			m.state.SiteFailures[withoutPlace(l.To)][i].Accepted++
		}
	}
}

// suspectSites returns the sites that recently failed far more often than others for a fingerprint's stage and cause: as
// a share of what was made there, or by count where accepted outputs are not reported.
func (m *Machine) suspectSites(print string) (sites []policy.Place) {
	var named []SiteFailures
	rated := false
	for _, o := range m.state.SiteFailures[withoutPlace(print)] {
		if o.LastFailure+claimRetention > m.state.At && o.Failures >= minSiteFailures {
			named = append(named, o)
		}
		rated = rated || o.Accepted > 0
	}
	weight := func(o SiteFailures) int {
		if rated {
			return 1000 * o.Failures / (o.Failures + o.Accepted)
		}
		return o.Failures
	}
	most := 0
	for _, o := range named {
		most = max(most, weight(o))
	}
	for _, o := range named {
		if 2*weight(o) > most {
			sites = append(sites, o.Site)
		}
	}
	return sites
}

// sendApprovals notifies the shared inputs of an execution that its worker accepted them.
func (m *Machine) sendApprovals(t *Turn, worker string) {
	for i, key := range t.Inputs {
		if isShared(key) && i < len(t.Of) {
			m.send(Message{Kind: "approve", To: key, From: t.Run, Gen: t.Of[i], Worker: worker})
		}
	}
}

// handleApproval records who accepted a shared output.
func (m *Machine) handleApproval(l *Message) {
	o := m.state.Outputs[l.To]
	if o == nil || o.Gen != l.Gen || len(o.Approvals) >= maxApprovals {
		return
	}
	if !slices.ContainsFunc(o.Approvals, func(a Approval) bool { return a.Run == l.From || a.Worker == l.Worker }) {
		o.Approvals = append(o.Approvals, Approval{Run: l.From, Worker: l.Worker})
	}
}

// handleChallenge replies whether another run's stage, at another worker than the one that claims the output to be bad,
// accepted a shared output. The run itself checks its own stages.
func (m *Machine) handleChallenge(l *Message) {
	o := m.state.Outputs[l.To]
	content := o != nil && o.Gen == l.Gen && slices.ContainsFunc(o.Approvals, func(a Approval) bool {
		return a.Run != l.From && a.Worker != l.Worker
	})
	m.send(Message{Kind: "challenged", To: "r/" + l.From, Stage: l.Stage, OK: content})
}

// handleClaim applies a message to the record of a worker's claims. The first claims are believed. While those are
// neither confirmed nor refuted, another worker checks each further one first, unless the worker has accepted its inputs
// as often at that stage. A confirmed claim raises the trust; a worker with refuted claims is not believed for a while.
// One claim in eight is checked anyway, as otherwise a worker with occasional false claims would never be detected. A
// claim that confirms another worker's is not checked a third time, unless its own worker was refuted.
func (m *Machine) handleClaim(l *Message) {
	c := m.state.Claimants[l.To]
	if c == nil {
		if l.Kind == "opinion" || len(m.state.Claimants) >= maxTracked {
			if l.Kind == "claim" {
				m.send(Message{Kind: "believed", To: "r/" + l.From, Stage: l.Stage, OK: true})
			}
			return
		}
		c = &Claimant{Since: m.state.At, Trust: initialTrust}
		m.state.Claimants[l.To] = c
		m.setTimer(m.state.At+claimRetention, "claimant", l.To)
	}
	if c.Accepted == nil {
		c.Accepted = map[string]int64{}
	}
	if l.Kind == "content" {
		if c.Accepted[l.Text] > 0 || len(c.Accepted) < maxSites {
			c.Accepted[l.Text]++
		}
		return
	}
	same := func(x Claim) bool { return x.Key == l.Key && x.Gen == l.Gen }
	if l.Kind == "opinion" {
		c.OpenClaims = slices.DeleteFunc(c.OpenClaims, same)
		if l.OK { // confirmed by another worker, which raises the trust
			c.OpenClaims, c.Refuted, c.Trust = nil, 0, min(2*c.Trust, maxTrust)
		} else if c.Refuted, c.Trust, c.Accepted = c.Refuted+1, 0, nil; c.Refuted >= maxRefuted {
			c.DistrustedUntil = m.state.At + claimRetention
		}
		return
	}
	answer := Message{Kind: "believed", To: "r/" + l.From, Stage: l.Stage, OK: true, Place: l.Place}
	if !l.OK {
		c.Claims++
	}
	switch {
	case m.state.At < c.DistrustedUntil:
		answer.OK, answer.Text = false, "its worker's claims were refuted"
	case l.OK: // confirms another worker's claim
	case slices.ContainsFunc(c.OpenClaims, same):
	case int64(len(c.OpenClaims)) < int64(c.Trust)+c.Accepted[l.Text]/acceptedPerClaim && c.Claims%checkInterval > 0:
		c.OpenClaims = append(c.OpenClaims, Claim{Key: l.Key, Gen: l.Gen})
	default:
		answer.OK, answer.Text = false, "its worker calls many inputs bad"
		if len(c.OpenClaims) < 64 {
			c.OpenClaims = append(c.OpenClaims, Claim{Key: l.Key, Gen: l.Gen})
		}
	}
	m.send(answer)
}
