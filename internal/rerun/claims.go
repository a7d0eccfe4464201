package rerun

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun/policy"
)

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

// praise tells the sites where a stage's inputs were made that it was content with them, where a rule has bad ones made anew.
// of is the generations of its inputs.
func (m *Machine) praise(r *Run, i int, of []int64) {
	if !slices.ContainsFunc(r.p.Rules, func(rule *policy.Rule) bool { return rule.On == i && rule.Target == policy.Input }) {
		return
	}
	for k, n := range r.p.Stages[i].Needs {
		if at := r.Stages[n].At; at.Site != "" && k < len(of) && of[k] == r.Stages[n].Have {
			m.send(Letter{Kind: "fine", To: fingerprint(r.Pipeline, r.p.Stages[n].Name, policy.BadInput, at)})
		}
	}
}

// fine counts for a site that a stage was content with what was made there. Of a site that was not called bad nothing is kept.
func (m *Machine) fine(l *Letter) {
	for i, o := range m.s.Often[family(l.To)] {
		if strings.HasSuffix(l.To, "/"+o.Site.Zone+"."+o.Site.Site) {
			m.s.Often[family(l.To)][i].Fine++
		}
	}
}

// often is the sites of which a fingerprint's stage and cause are said far more often than of others, of late: out of what was
// made there, or where nobody tells of that, by count.
func (m *Machine) often(print string) (sites []policy.Place) {
	var named []Often
	rated := false
	for _, o := range m.s.Often[family(print)] {
		if o.Last+claimFor > m.s.At && o.N >= oftenFrom {
			named = append(named, o)
		}
		rated = rated || o.Fine > 0
	}
	weight := func(o Often) int {
		if rated {
			return 1000 * o.N / (o.N + o.Fine)
		}
		return o.N
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

// approve tells the shared inputs of a turn that its worker was content with them.
func (m *Machine) approve(t *Turn, worker string) {
	for i, key := range t.Inputs {
		if shared(key) && i < len(t.Of) {
			m.send(Letter{Kind: "approve", To: key, From: t.Run, Gen: t.Of[i], Worker: worker})
		}
	}
}

// approved has a shared output keep who was content with it.
func (m *Machine) approved(l *Letter) {
	o := m.s.Outputs[l.To]
	if o == nil || o.Gen != l.Gen || len(o.Approved) >= mostApproved {
		return
	}
	if !slices.ContainsFunc(o.Approved, func(a Approval) bool { return a.Run == l.From || a.Worker == l.Worker }) {
		o.Approved = append(o.Approved, Approval{Run: l.From, Worker: l.Worker})
	}
}

// challenge has a shared output tell whether another run's stage, at another worker than the one that claims that it is bad, was
// content with it. What the run itself knows of that it looks at by itself.
func (m *Machine) challenge(l *Letter) {
	o := m.s.Outputs[l.To]
	content := o != nil && o.Gen == l.Gen && slices.ContainsFunc(o.Approved, func(a Approval) bool {
		return a.Run != l.From && a.Worker != l.Worker
	})
	m.send(Letter{Kind: "challenged", To: "r/" + l.From, Stage: l.Stage, OK: content})
}

// claimant has what is known of a worker's claims take a letter. The first ones are believed. While those are neither
// confirmed nor refuted, a further one is looked into by another worker first, unless it was content with its inputs
// as often at that stage: if that says so too, more are believed from then on; who was refuted is not believed for
// a while. One in eight is looked into all the same, else who lies now and then would never be found out. A claim that
// confirms another worker's needs no third look, unless its own worker was refuted.
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
	if !l.OK {
		c.Claims++
	}
	switch {
	case m.s.At < c.Until:
		answer.OK, answer.Text = false, "its worker's claims were refuted"
	case l.OK: // it confirms another's
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
