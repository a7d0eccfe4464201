package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"caperrelay/decide"
)

// A command keeps the class definition that it was received with, while later settings may define a class of that name
// differently, here or in the process that takes the command over.

// formerSuffix follows the class name in the name of a definition that differs from the one in the settings, followed
// by a number if there are several of that class.
const formerSuffix = "\x00former"

// classTable is a list of class definitions and their names, by class number.
type classTable struct {
	names   []string
	classes []decide.Class
}

// baseName returns the class name as commands have it, for the name of any of its definitions.
func baseName(name string) string {
	base, _, _ := strings.Cut(name, formerSuffix)
	return base
}

// sameClass reports whether two definitions of a class are equal.
func sameClass(a, b decide.Class) bool {
	a.Removed = b.Removed
	return a == b
}

// numberOf returns the number of a definition of the class with this name. It appends the definition if it is missing.
func (t *classTable) numberOf(name string, definition decide.Class) int {
	base := baseName(name)
	for i, other := range t.names[:min(len(t.names), len(t.classes))] {
		if baseName(other) == base && sameClass(definition, t.classes[i]) {
			return i
		}
	}
	name = base
	for n := len(t.names); slices.Contains(t.names, name); n++ {
		name = base + formerSuffix + strconv.Itoa(n)
	}
	definition.Removed = true // no further commands may have it
	t.names, t.classes = append(t.names, name), append(t.classes, definition)
	return len(t.classes) - 1
}

// classTable returns a copy of the classes in use.
func (l *Loop) classTable() classTable {
	return classTable{slices.Clone(l.allNames.Classes), slices.Clone(l.settings.Classes)}
}

// mergeClasses adds the class definitions of another process that are missing here and that its commands have, or that
// have a name of their own. It returns the number of each of that process's classes here, -1 for one that is not needed.
func (l *Loop) mergeClasses(state HandoverState) ([]int, error) {
	needed := map[int]bool{}
	for _, c := range state.Commands {
		needed[c.Snapshot.Class] = true
	}
	merged, numbers := l.classTable(), make([]int, len(state.Classes))
	for i, c := range state.Classes {
		name := nameAt(state.Names.Classes, i)
		if name != baseName(name) && !needed[i] {
			numbers[i] = -1
			continue
		}
		c.Kind = l.translateKind(c.Kind, state.Names.Kinds)
		numbers[i] = merged.numberOf(name, c)
	}
	n, s := l.allNames, l.settings
	n.Classes, s.Classes = merged.names, merged.classes
	return numbers, l.reconfigure(s, numberedNames{n, l.configuredNames})
}

// missingKind is the number of a kind that another process's settings name and those here do not. No instance has it: those
// without a kind in the settings may be of any.
const missingKind = 2 * unknownNumber

// translateKind converts the kind that another process's class needs to the number in use here.
func (l *Loop) translateKind(kind int, names []string) int {
	switch name := nameAt(names, kind); {
	case kind < 0 || kind == missingKind: // any, or missing at the other process as well
		return kind
	case name != "" && indexOrLen(l.configuredNames.Kinds, name) == len(l.configuredNames.Kinds):
		return missingKind
	default:
		return l.kindNumber(name)
	}
}

// renumberClasses returns values by class with the numbers in use here, for size classes. Values of classes with the
// number -1 are dropped; classes that are missing have the zero value.
func renumberClasses[T any](values []T, numbers []int, size int) []T {
	renumbered := make([]T, size)
	for i, v := range values[:min(len(values), len(numbers))] {
		if numbers[i] >= 0 {
			renumbered[numbers[i]] = v
		}
	}
	return renumbered
}
