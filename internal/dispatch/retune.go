package dispatch

import (
	"errors"
	"slices"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// Settings may change while commands are in hand. Outside, classes and the like go by their names;
// the module knows them by numbers, which are given here and never given anew: what is under way
// bears them.

// mostNames is how many names of a sort that the settings have no more stay numbered before further settings are turned
// down: a process that met more would do better to start anew.
const mostNames = 1000

// unknown is the number of all names that the settings do not have, far from those that are numbered.
const unknown = 1 << 20

// naming is all names that are numbered, and of those the ones that the settings have.
type naming struct {
	wire.Names
	own wire.Names
}

// excess is how many of the names of a sort stay numbered that the settings have no more, where those are most.
func (n naming) excess() int {
	return max(len(n.Classes)-len(n.own.Classes), len(n.Tenants)-len(n.own.Tenants), len(n.Zones)-len(n.own.Zones), len(n.Kinds)-len(n.own.Kinds))
}

// Retune has the loop go by other settings from now on. An error says that it cannot, and that
// nothing has changed. It waits for the loop, though not for any peer.
func (l *Loop) Retune(s decide.Settings, n wire.Names) error {
	done := make(chan error, 1)
	l.post(func(l *Loop) { done <- l.retune(l.fit(s, n)) })
	return <-done
}

func (l *Loop) retune(s decide.Settings, n naming) error {
	if n.excess() > mostNames {
		return errors.New("settings: too many names since the start")
	}
	if err := l.mod.Retune(s); err != nil {
		return err
	}
	l.settings, l.names, l.own = s, n.Names, n.own
	l.Books.open(n.Classes)
	return nil
}

// fit puts settings on the numbers in use.
func (l *Loop) fit(s decide.Settings, n wire.Names) (decide.Settings, naming) {
	all := naming{own: n}
	var zones, kinds, classes, tenants []int
	all.Reports = n.Reports
	all.Zones, zones = graft(l.names.Zones, n.Zones)
	all.Kinds, kinds = graft(l.names.Kinds, n.Kinds)
	all.Classes, classes = graft(l.names.Classes, n.Classes)
	all.Tenants, tenants = graft(l.names.Tenants, n.Tenants)
	s.Zone = fitted(s.Zone, zones)
	known := make([]decide.Class, len(all.Classes))
	for i := range copy(known, l.settings.Classes) {
		known[i].Left = true
	}
	for i, c := range s.Classes {
		c.Kind = fitted(c.Kind, kinds)
		known[classes[i]] = c
	}
	if len(classes) > 0 {
		s.First = classes[0]
	}
	shares := make([]decide.Tenant, len(all.Tenants))
	for i := range copy(shares, l.settings.Tenants) {
		shares[i].Left = true
	}
	for i, t := range s.Tenants {
		shares[tenants[i]] = t
	}
	s.Classes, s.Tenants = known, shares
	return s, all
}

// fitted is the number in use of a zone or kind that settings give by its place among their names. Behind those are the
// ones that they do not name; below 0 is none, or any.
func fitted(place int, numbers []int) int {
	switch {
	case place < 0:
		return place
	case place < len(numbers):
		return numbers[place]
	}
	return unknown + place - len(numbers)
}

// numbered is the number in use of a zone or kind that the list names.
func numbered(all, own []string, name string) int {
	if place(own, name) == len(own) {
		return unknown
	}
	return place(all, name)
}

func (l *Loop) zone(name string) int { return numbered(l.names.Zones, l.own.Zones, name) }
func (l *Loop) kind(name string) int { return numbered(l.names.Kinds, l.own.Kinds, name) }

// graft puts names that are not there yet behind all others, and tells where each is.
func graft(have, names []string) (all []string, at []int) {
	all = slices.Clone(have)
	for _, name := range names {
		i := place(all, name)
		if i == len(all) {
			all = append(all, name)
		}
		at = append(at, i)
	}
	return all, at
}

// former marks the class of an older process that goes by another definition under the same name here. Commands that it had in hand
// keep theirs: what must not run twice by that must not by any other.
const former = "\x00former"

// learn takes up the classes of another process that the settings here do not have, or have otherwise, since commands
// of them change hands, and tells which numbers its classes have here.
func (l *Loop) learn(given Handed) []int {
	n, s := l.names, l.settings
	theirs, classes := slices.Clone(given.Names.Classes), slices.Clone(given.Classes)
	for i := range classes {
		if c := &classes[i]; c.Kind >= 0 {
			c.Kind = l.kind(named(given.Names.Kinds, c.Kind))
		}
		if j := slices.Index(n.Classes, theirs[i]); j >= 0 && !sameClass(classes[i], s.Classes[j]) {
			theirs[i] += former
		}
	}
	names, at := graft(n.Classes, theirs)
	n.Classes, s.Classes = names, slices.Clone(s.Classes)
	for i, c := range classes {
		if at[i] >= len(s.Classes) {
			c.Left = true
			s.Classes = append(s.Classes, c)
		}
	}
	if err := l.retune(s, naming{n, l.own}); err != nil {
		l.log.Error("settings of the older process", "err", err)
	}
	return at
}

// sameClass tells whether a class has one definition here and there.
func sameClass(a, b decide.Class) bool {
	a.Left = b.Left
	return a == b
}

// named is the name at a number, empty if there is none.
func named(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}
