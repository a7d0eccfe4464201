package dispatch

import (
	"errors"
	"slices"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// Settings may change while commands are pending. Elsewhere classes, tenants, zones and kinds are identified by
// name; the decision module identifies them by numbers that are assigned here and never reused, since pending
// commands refer to them.

// maxRetiredNames is how many names of one sort may stay numbered after they have left the settings. Beyond that
// further settings are rejected: a process that has met more should be restarted.
const maxRetiredNames = 1000

// unknownNumber is the number of all names that are not in the settings, far from those that are assigned.
const unknownNumber = 1 << 20

// numberedNames is all names that have a number, with the subset that is in the settings.
type numberedNames struct {
	wire.Names
	configured wire.Names
}

// retired returns how many names stay numbered that are no longer in the settings, for the sort with the most.
func (n numberedNames) retired() int {
	return max(len(n.Classes)-len(n.configured.Classes), len(n.Tenants)-len(n.configured.Tenants), len(n.Zones)-len(n.configured.Zones), len(n.Kinds)-len(n.configured.Kinds))
}

// Reconfigure applies new settings. If it returns an error, nothing has changed. It waits for the loop, but not for
// the network.
func (l *Loop) Reconfigure(s decide.Settings, n wire.Names) error {
	done := make(chan error, 1)
	l.post(func(l *Loop) {
		for len(l.events) > 0 { // commands received before keep the classes of that time
			l.handleEvents()
		}
		done <- l.reconfigure(l.mapSettings(s, n))
	})
	return <-done
}

func (l *Loop) reconfigure(s decide.Settings, n numberedNames) error {
	if n.retired() > maxRetiredNames {
		return errors.New("settings: too many names were removed since the process started")
	}
	if err := l.mod.Reconfigure(s); err != nil {
		return err
	}
	l.settings, l.allNames, l.configuredNames = s, n.Names, n.configured
	l.Counters.addClasses(n.Classes)
	return nil
}

// mapSettings converts settings to the numbers in use.
func (l *Loop) mapSettings(s decide.Settings, n wire.Names) (decide.Settings, numberedNames) {
	all := numberedNames{configured: n}
	var zones, kinds, classes, tenants []int
	all.Reports = n.Reports
	all.Zones, zones = mergeNames(l.allNames.Zones, n.Zones)
	all.Kinds, kinds = mergeNames(l.allNames.Kinds, n.Kinds)
	all.Classes, classes = mergeNames(l.allNames.Classes, n.Classes)
	all.Tenants, tenants = mergeNames(l.allNames.Tenants, n.Tenants)
	s.Zone = mapNumber(s.Zone, zones)
	allClasses := make([]decide.Class, len(all.Classes))
	for i := range copy(allClasses, l.settings.Classes) {
		allClasses[i].Removed = true
	}
	for i, c := range s.Classes {
		c.Kind = mapNumber(c.Kind, kinds)
		allClasses[classes[i]] = c
	}
	if len(classes) > 0 {
		s.TimingClass = classes[0]
	}
	allTenants := make([]decide.Tenant, len(all.Tenants))
	for i := range copy(allTenants, l.settings.Tenants) {
		allTenants[i].Removed = true
	}
	for i, t := range s.Tenants {
		allTenants[tenants[i]] = t
	}
	s.Classes, s.Tenants = allClasses, allTenants
	return s, all
}

// mapNumber returns the number in use of a zone or kind that the settings give by its index in their names.
// Indexes past the end are names that are not in the settings; negative values mean none or any.
func mapNumber(index int, numbers []int) int {
	switch {
	case index < 0:
		return index
	case index < len(numbers):
		return numbers[index]
	}
	return unknownNumber + index - len(numbers)
}

// numberOf returns the number in use of a zone or kind from the instance list.
func numberOf(all, configured []string, name string) int {
	if indexOrLen(configured, name) == len(configured) {
		return unknownNumber
	}
	return indexOrLen(all, name)
}

func (l *Loop) zoneNumber(name string) int {
	return numberOf(l.allNames.Zones, l.configuredNames.Zones, name)
}
func (l *Loop) kindNumber(name string) int {
	return numberOf(l.allNames.Kinds, l.configuredNames.Kinds, name)
}

// mergeNames appends the names that are new and returns the index of each.
func mergeNames(have, names []string) (all []string, indexes []int) {
	all = slices.Clone(have)
	for _, name := range names {
		i := indexOrLen(all, name)
		if i == len(all) {
			all = append(all, name)
		}
		indexes = append(indexes, i)
	}
	return all, indexes
}

// nameAt returns the name with a number, or "" if there is none.
func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}
