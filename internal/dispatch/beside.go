package dispatch

import (
	"slices"

	"caperrelay/decide"
)

// While a new process takes over from an older one, both are one dispatcher: an id in the hands
// of one is in hand, a call-back may come to either, and the module of the newer must know what
// the older occupies and has learned.

// Other is the other process. Its methods must not block; alone, they do nothing.
type Other interface {
	News(News) bool  // it matches nothing here; tells whether there is another process to be told
	Took(id string)  // a command, after this loop has yielded
	Ended(id string) // and it is in no hands here any more
	Load([]byte)     // what this one occupies of instances, in the module's terms
}

// Memory is what a loop's module has learned, with names for its numbers of instances and classes.
type Memory struct {
	Module    decide.Memory
	Instances []string // of Module.Workers
	Classes   []string // of Module.Classes
}

// Yield has the loop take nothing more: another process does. told is called, from the loop,
// with what has been learned and which commands are in hand; Other hears of what changes after.
func (l *Loop) Yield(told func(m Memory, ids []string)) {
	l.post(func(l *Loop) {
		l.yielded = true
		m := Memory{Module: l.mod.Memory(), Classes: l.names.Classes}
		for _, w := range m.Module.Workers {
			m.Instances = append(m.Instances, l.workers[w.ID])
		}
		var ids []string
		for id := range l.ids {
			ids = append(ids, id)
		}
		for id := range l.elsewhere { // of a process yet older
			ids = append(ids, id)
		}
		l.tell(decide.Yield{Yes: true})
		told(m, ids)
	})
}

// Relieve takes over from an older process, which keeps the commands with these ids.
func (l *Loop) Relieve(m Memory, ids []string) {
	l.post(func(l *Loop) {
		for _, id := range ids {
			l.elsewhere[id] = true
		}
		l.held.Store(int64(len(l.elsewhere)))
		known := m.Module
		known.Workers, known.Classes = nil, make([]decide.ClassMemory, len(l.names.Classes))
		for i, w := range m.Module.Workers {
			if i < len(m.Instances) {
				w.ID = l.number(m.Instances[i])
				known.Workers = append(known.Workers, w)
			}
		}
		for i, c := range m.Module.Classes {
			if i < len(m.Classes) {
				if at := slices.Index(l.names.Classes, m.Classes[i]); at >= 0 {
					known.Classes[at] = c
				}
			}
		}
		l.tell(decide.Relieve{Memory: known})
	})
}

// TookElsewhere says that the older process has taken a command after it yielded.
func (l *Loop) TookElsewhere(id string) { l.post(func(l *Loop) { l.elsewhere[id] = true }) }

// EndedElsewhere says that a command is no longer in the older process's hands.
func (l *Loop) EndedElsewhere(id string) {
	l.post(func(l *Loop) {
		delete(l.elsewhere, id)
		l.passOnEnd(id)
	})
}

// LoadElsewhere is what the older process occupies.
func (l *Loop) LoadElsewhere(body []byte) {
	l.post(func(l *Loop) { l.tell(decide.PeerSaid{Peer: decide.Older, Body: body}) })
}

// Alone says that the older process has gone: what it held is held by nobody.
func (l *Loop) Alone() {
	l.post(func(l *Loop) {
		for id := range l.elsewhere {
			l.passOnEnd(id)
		}
		clear(l.elsewhere)
		l.tell(decide.Alone{})
	})
}

// Resume says that the newer process has gone: this one takes what comes again.
func (l *Loop) Resume() {
	l.post(func(l *Loop) {
		l.yielded = false
		l.tell(decide.Yield{})
	})
}

// Elsewhere is how many commands were in the older process's hands when it yielded.
func (l *Loop) Elsewhere() int { return int(l.held.Load()) }

// Room says how many commands may be held from now on.
func (l *Loop) Room(open int) { l.post(func(l *Loop) { l.tell(decide.Room{Open: open}) }) }

// passOnEnd tells the newer process, if there is one, that a command has ended here.
func (l *Loop) passOnEnd(id string) {
	if l.yielded {
		l.other.Ended(id)
	}
}
