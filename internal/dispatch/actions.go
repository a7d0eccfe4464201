package dispatch

import (
	"regexp"
	"strconv"
	"time"

	"caperrelay/decide"
)

// handleEvents has the decision module decide on the queued events and carries out its actions in order.
func (l *Loop) handleEvents() {
	now := time.Now()
	events := l.events
	l.events = nil
	if l.handedOver { // the newer process decides now
		return
	}
	for _, a := range l.mod.Handle(moduleTime(now), events) {
		switch a := a.(type) {
		case decide.Send:
			l.startAttempt(a, now)
		case decide.Cancel:
			l.cancelAttempt(a)
		case decide.Refuse:
			l.refuseRequest(a)
		case decide.FailRequest:
			l.failRequest(a)
		case decide.SetTimer:
			due := now.Add(a.After)
			l.timers.At(due, func() {
				l.timerLag.observe(due, time.Now())
				l.queueEvent(decide.TimerFired{Token: a.Token})
			})
		case decide.Probe:
			l.Counters.Probes.Add(1)
			l.fleet.Probe(l.instanceIDs[a.Worker])
		case decide.CloseIdle:
			l.fleet.CloseIdle(l.instanceIDs[a.Worker])
		case decide.Subscribe:
			l.discovery.Subscribe()
		case decide.RequestLease:
			if l.leaser != nil {
				l.leaser.Request(l.instanceIDs[a.Worker], int64(a.Started/time.Microsecond), a.Work)
			}
		case decide.Log:
			l.log.Info(l.withInstanceIDs(a.Text), "from", "decide")
		case decide.SendToPeers: // dispatchers have no connection to each other here
		}
	}
}

var workerPattern = regexp.MustCompile(`\bworker \d+\b`)

// withInstanceIDs replaces the decision module's worker numbers in a log text by instance IDs, since operators
// cannot look the numbers up. The module's log texts must name workers in the form "worker N".
func (l *Loop) withInstanceIDs(text string) string {
	return workerPattern.ReplaceAllStringFunc(text, func(s string) string {
		n, err := strconv.ParseUint(s[len("worker "):], 10, 32)
		if id, ok := l.instanceIDs[uint32(n)]; ok && err == nil {
			return "instance " + id
		}
		return s
	})
}
