package dispatch

import (
	"regexp"
	"strconv"
	"time"

	"caperrelay/decide"
)

// route has the module decide on what has come and carries out what it wants, in order.
func (l *Loop) route() {
	now := time.Now()
	events := l.events
	l.events = nil
	if l.yielded { // the module is the newer process's
		return
	}
	for _, a := range l.mod.Handle(moduleTime(now), events) {
		switch a := a.(type) {
		case decide.Send:
			l.send(a, now)
		case decide.Cancel:
			l.cancel(a)
		case decide.Refuse:
			l.refuse(a)
		case decide.FailRequest:
			l.fail(a)
		case decide.WakeMe:
			due := now.Add(a.After)
			l.timers.At(due, func() {
				l.late.fired(due, time.Now())
				l.tell(decide.Wake{Token: a.Token})
			})
		case decide.Probe:
			l.Books.Probes.Add(1)
			l.fleet.Probe(l.workers[a.Worker])
		case decide.Release:
			l.fleet.Release(l.workers[a.Worker])
		case decide.Subscribe:
			l.table.Subscribe()
		case decide.WantLease:
			if l.leaser != nil {
				l.leaser.Want(l.workers[a.Worker], int64(a.Started/time.Microsecond), a.Work)
			}
		case decide.Log:
			l.log.Info(l.named(a.Text), "from", "decide")
		case decide.TellPeers: // dispatchers here have no way to talk to each other
		}
	}
}

var workerNumber = regexp.MustCompile(`\bworker \d+\b`)

// named puts instances' ids for the module's numbers, which nobody on call can look up.
func (l *Loop) named(text string) string {
	return workerNumber.ReplaceAllStringFunc(text, func(s string) string {
		n, err := strconv.ParseUint(s[len("worker "):], 10, 32)
		if id, ok := l.workers[uint32(n)]; ok && err == nil {
			return "instance " + id
		}
		return s
	})
}
