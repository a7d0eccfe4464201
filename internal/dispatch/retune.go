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

// mostNames is how many names of a sort are numbered before the settings are turned down: a
// process that met more would do better to start anew.
const mostNames = 1000

// Retune has the loop go by other settings from now on. An error says that it cannot, and that
// nothing has changed. It waits for the loop, though not for any peer.
func (l *Loop) Retune(s decide.Settings, n wire.Names) error {
	done := make(chan error, 1)
	l.post(func(l *Loop) { done <- l.retune(l.fit(s, n)) })
	return <-done
}

func (l *Loop) retune(s decide.Settings, n wire.Names) error {
	if max(len(n.Classes), len(n.Tenants), len(n.Zones), len(n.Kinds)) > mostNames {
		return errors.New("settings: too many names since the start")
	}
	if err := l.mod.Retune(s); err != nil {
		return err
	}
	l.settings, l.names = s, n
	l.Books.open(n.Classes)
	return nil
}

// fit puts settings on the numbers in use.
func (l *Loop) fit(s decide.Settings, n wire.Names) (decide.Settings, wire.Names) {
	var all wire.Names
	var zones, kinds, classes, tenants []int
	all.Reports = n.Reports
	all.Zones, zones = graft(l.names.Zones, n.Zones)
	all.Kinds, kinds = graft(l.names.Kinds, n.Kinds)
	all.Classes, classes = graft(l.names.Classes, n.Classes)
	all.Tenants, tenants = graft(l.names.Tenants, n.Tenants)
	if s.Zone >= 0 && s.Zone < len(zones) {
		s.Zone = zones[s.Zone]
	}
	fitted := make([]decide.Class, len(all.Classes))
	for i := range copy(fitted, l.settings.Classes) {
		fitted[i].Left = true
	}
	for i, c := range s.Classes {
		if c.Kind >= 0 && c.Kind < len(kinds) {
			c.Kind = kinds[c.Kind]
		}
		fitted[classes[i]] = c
	}
	shares := make([]decide.Tenant, len(all.Tenants))
	for i := range copy(shares, l.settings.Tenants) {
		shares[i].Left = true
	}
	for i, t := range s.Tenants {
		shares[tenants[i]] = t
	}
	s.Classes, s.Tenants = fitted, shares
	return s, all
}

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

// learn takes up the classes of another process that the settings here do not have, since commands
// of them change hands, and tells which numbers its classes have here.
func (l *Loop) learn(given Handed) []int {
	n, s := l.names, l.settings
	names, at := graft(n.Classes, given.Names.Classes)
	n.Classes, s.Classes = names, slices.Clone(s.Classes)
	for i, c := range given.Classes {
		if at[i] >= len(s.Classes) {
			c.Left = true
			s.Classes = append(s.Classes, c)
		}
	}
	if err := l.retune(s, n); err != nil {
		l.log.Error("settings of the older process", "err", err)
	}
	return at
}
