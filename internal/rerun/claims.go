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
func (m *Machine) handleFingerprint(msg *Message) {
	f := m.state.Fingerprints[msg.To]
	if f == nil {
		if msg.Kind == "verdict" {
			return
		}
		if len(m.state.Fingerprints) >= maxTracked {
			m.send(Message{Kind: "no", To: "r/" + msg.From, Stage: msg.Stage})
			return
		}
		f = &Fingerprint{MaxAdmitted: 1}
		m.state.Fingerprints[msg.To] = f
	}
	f.ForgetAt = m.state.At + claimRetention
	m.setTimer(f.ForgetAt, "print", msg.To)
	if msg.Kind == "try" {
		m.countSiteFailure(msg.To)
		if len(f.Waiting) >= maxWaitingTrials || f.FailedTrials >= maxFailedTrials && m.state.At < f.NotBefore {
			m.send(Message{Kind: "no", To: "r/" + msg.From, Stage: msg.Stage})
			return
		}
		f.Waiting = append(f.Waiting, *msg)
		m.admitWaiting(msg.To, f)
		return
	}
	i := slices.Index(f.Admitted, msg.From)
	if i < 0 { // it may still be waiting
		f.Waiting = slices.DeleteFunc(f.Waiting, func(w Message) bool { return fmt.Sprintf("%s/%d", w.From, w.Stage) == msg.From })
		return
	}
	f.Admitted = slices.Delete(f.Admitted, i, i+1)
	switch {
	case msg.Text == "none":
	case msg.OK:
		f.FailedTrials, f.NotBefore = 0, 0
		f.MaxAdmitted = min(2*f.MaxAdmitted, max(1, cmp.Or(m.state.Capacities[msg.To[strings.LastIndexByte(msg.To, '/')+1:]], defaultCapacity)))
		f.Waiting = slices.DeleteFunc(f.Waiting, func(w Message) bool { // runs that wait for the same output need no trial
			if w.Key == msg.Key {
				m.send(Message{Kind: "go", To: "r/" + w.From, Stage: w.Stage, SuspectSites: m.suspectSites(msg.To)})
			}
			return w.Key == msg.Key
		})
	default:
		f.MaxAdmitted = 1
		f.FailedTrials++
		f.NotBefore = m.state.At + time.Second<<min(f.FailedTrials, 6)
		if f.FailedTrials >= maxFailedTrials {
			for _, w := range f.Waiting {
				m.send(Message{Kind: "no", To: "r/" + w.From, Stage: w.Stage})
			}
			f.Waiting, f.NotBefore = nil, m.state.At+trialCooldown
		}
		m.setTimer(f.NotBefore, "print", msg.To)
	}
	m.admitWaiting(msg.To, f)
}

// admitWaiting admits waiting reruns as far as the limits allow.
func (m *Machine) admitWaiting(key string, f *Fingerprint) {
	if f.FailedTrials >= maxFailedTrials && m.state.At >= f.NotBefore {
		f.FailedTrials = 0
	}
	for len(f.Waiting) > 0 && (len(f.Admitted) < f.MaxAdmitted && m.state.At >= f.NotBefore || m.faults.NoTrial) {
		w := f.Waiting[0]
		f.Waiting = f.Waiting[1:]
		f.Admitted = append(f.Admitted, fmt.Sprintf("%s/%d", w.From, w.Stage))
		m.send(Message{Kind: "go", To: "r/" + w.From, Stage: w.Stage, SuspectSites: m.suspectSites(key)})
	}
}

// countSiteFailure counts a failure for the site of its fingerprint.
func (m *Machine) countSiteFailure(key string) {
	family := withoutPlace(key)
	zone, site, ok := strings.Cut(key[len(family)+1:], ".")
	if all, known := m.state.SiteFailures[family]; !ok || site == "" || !known && len(m.state.SiteFailures) >= maxTracked {
		return
	} else if m.state.SiteFailures[family] = slices.DeleteFunc(all, func(o SiteFailures) bool { return o.LastFailure+claimRetention <= m.state.At }); !known {
		m.setTimer(m.state.At+claimRetention, "often", family)
	}
	at := policy.Place{Zone: zone, Site: site}
	i := slices.IndexFunc(m.state.SiteFailures[family], func(o SiteFailures) bool { return o.Site == at })
	if i < 0 {
		if len(m.state.SiteFailures[family]) >= maxSites {
			return
		}
		i = len(m.state.SiteFailures[family])
		m.state.SiteFailures[family] = append(m.state.SiteFailures[family], SiteFailures{Site: at})
	}
	m.state.SiteFailures[family][i].Failures++
	m.state.SiteFailures[family][i].LastFailure = m.state.At
}

// reportAccepted reports to the sites that made a stage's inputs that the stage accepted them, if a rule reruns bad
// inputs. gens holds the generations of the inputs.
func (m *Machine) reportAccepted(r *Run, i int, gens []int64) {
	if !slices.ContainsFunc(r.pipeline.Rules, func(rule *policy.Rule) bool { return rule.On == i && rule.Target == policy.Input }) {
		return
	}
	for k, n := range r.pipeline.Stages[i].Needs {
		if at := r.Stages[n].Place; at.Site != "" && k < len(gens) && gens[k] == r.Stages[n].UsedGen {
			m.send(Message{Kind: "fine", To: fingerprint(r.Pipeline, r.pipeline.Stages[n].Name, policy.BadInput, at)})
		}
	}
}

// countAccepted counts an accepted output for its site. Sites without failures are not tracked.
func (m *Machine) countAccepted(msg *Message) {
	for i, o := range m.state.SiteFailures[withoutPlace(msg.To)] {
		if strings.HasSuffix(msg.To, "/"+o.Site.Zone+"."+o.Site.Site) {
			m.state.SiteFailures[withoutPlace(msg.To)][i].Accepted++
		}
	}
}

// suspectSites returns the sites that recently failed far more often than others for a fingerprint's stage and cause: as
// a share of what was made there, or by count where accepted outputs are not reported.
func (m *Machine) suspectSites(key string) (sites []policy.Place) {
	var failing []SiteFailures
	rated := false
	for _, o := range m.state.SiteFailures[withoutPlace(key)] {
		if o.LastFailure+claimRetention > m.state.At && o.Failures >= minSiteFailures {
			failing = append(failing, o)
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
	for _, o := range failing {
		most = max(most, weight(o))
	}
	for _, o := range failing {
		if 2*weight(o) > most {
			sites = append(sites, o.Site)
		}
	}
	return sites
}

// sendApprovals notifies the shared inputs of an execution that its worker accepted them.
func (m *Machine) sendApprovals(e *Execution, worker string) {
	for i, key := range e.Inputs {
		if isShared(key) && i < len(e.InputGens) {
			m.send(Message{Kind: "approve", To: key, From: e.Run, Gen: e.InputGens[i], Worker: worker})
		}
	}
}

// handleApproval records who accepted a shared output.
func (m *Machine) handleApproval(msg *Message) {
	o := m.state.Outputs[msg.To]
	if o == nil || o.Gen != msg.Gen || len(o.Approvals) >= maxApprovals {
		return
	}
	if !slices.ContainsFunc(o.Approvals, func(a Approval) bool { return a.Run == msg.From || a.Worker == msg.Worker }) {
		o.Approvals = append(o.Approvals, Approval{Run: msg.From, Worker: msg.Worker})
	}
}

// handleChallenge replies whether another run's stage, at another worker than the one that claims the output to be bad,
// accepted a shared output. The run itself checks its own stages.
func (m *Machine) handleChallenge(msg *Message) {
	o := m.state.Outputs[msg.To]
	accepted := o != nil && o.Gen == msg.Gen && slices.ContainsFunc(o.Approvals, func(a Approval) bool {
		return a.Run != msg.From && a.Worker != msg.Worker
	})
	m.send(Message{Kind: "challenged", To: "r/" + msg.From, Stage: msg.Stage, OK: accepted})
}

// handleClaim applies a message to the record of a worker's claims. A claim is believed while fewer claims are open,
// neither confirmed nor refuted, than Trust plus the runs at that stage whose inputs the worker accepted, divided by
// acceptedPerClaim. Otherwise another worker checks it first, as it does one claim in crossCheckInterval in any case:
// a worker with occasional false claims would never be detected otherwise. A confirmed claim raises the trust; a worker
// with refuted claims is not believed for a while. A claim that confirms another worker's is not checked again, unless
// the worker that made it is not believed.
func (m *Machine) handleClaim(msg *Message) {
	c := m.state.Claimants[msg.To]
	if c == nil {
		if msg.Kind == "opinion" || len(m.state.Claimants) >= maxTracked {
			if msg.Kind == "claim" {
				m.send(Message{Kind: "believed", To: "r/" + msg.From, Stage: msg.Stage, OK: true})
			}
			return
		}
		c = &Claimant{Since: m.state.At, Trust: initialTrust}
		m.state.Claimants[msg.To] = c
		m.setTimer(m.state.At+claimRetention, "claimant", msg.To)
	}
	if c.Accepted == nil {
		c.Accepted = map[string]int64{}
	}
	if msg.Kind == "content" {
		if c.Accepted[msg.Text] > 0 || len(c.Accepted) < maxSites {
			c.Accepted[msg.Text]++
		}
		return
	}
	same := func(x Claim) bool { return x.Key == msg.Key && x.Gen == msg.Gen }
	if msg.Kind == "opinion" {
		c.OpenClaims = slices.DeleteFunc(c.OpenClaims, same)
		if msg.OK { // confirmed by another worker, which raises the trust
			c.OpenClaims, c.Refuted, c.Trust = nil, 0, min(2*c.Trust, maxTrust)
		} else if c.Refuted, c.Trust, c.Accepted = c.Refuted+1, 0, nil; c.Refuted >= maxRefuted {
			c.DistrustedUntil = m.state.At + claimRetention
		}
		return
	}
	answer := Message{Kind: "believed", To: "r/" + msg.From, Stage: msg.Stage, OK: true, Place: msg.Place}
	if !msg.OK {
		c.Claims++
	}
	switch {
	case m.state.At < c.DistrustedUntil:
		answer.OK, answer.Text = false, "its worker's claims were refuted"
	case msg.OK: // confirms another worker's claim
	case slices.ContainsFunc(c.OpenClaims, same):
	case int64(len(c.OpenClaims)) < int64(c.Trust)+c.Accepted[msg.Text]/acceptedPerClaim && c.Claims%crossCheckInterval > 0:
		c.OpenClaims = append(c.OpenClaims, Claim{Key: msg.Key, Gen: msg.Gen})
	default:
		answer.OK, answer.Text = false, "its worker calls many inputs bad"
		if len(c.OpenClaims) < 64 {
			c.OpenClaims = append(c.OpenClaims, Claim{Key: msg.Key, Gen: msg.Gen})
		}
	}
	m.send(answer)
}
