// Package policy is the language in which operators say what is run again when a stage of a pipeline fails: TOML, with
// conditions in CEL that are typed, have a bounded cost and know no clock. It is loaded strictly, and what a run of a
// pipeline may cost at most is reckoned from it. docs/reruns.md is the users' page, docs/reruns-design.md weighs the
// choices.
package policy

import "slices"

// Cause is why a run of a stage came to nothing. The set is closed.
type Cause string

// The causes.
const (
	NeverRan   Cause = "never_ran"    // it is certain that it did not begin
	MayHaveRun Cause = "may_have_run" // nobody knows
	RanFailed  Cause = "failed"       // it ran, and says that it failed
	BadInput   Cause = "bad_input"    // it says that one of its inputs is spoilt, and which
	OutputLost Cause = "output_lost"  // one of its inputs is no more where it was made; it says which
	Late       Cause = "late"         // its time was over
	Refused    Cause = "refused"      // no worker would take it as it stands: none ran it
	CalledOff  Cause = "called_off"   // people, or whoever wanted it, took it back
)

// Causes is all of them.
var Causes = []Cause{NeverRan, MayHaveRun, RanFailed, BadInput, OutputLost, Late, Refused, CalledOff}

// NamesInput tells whether the cause names an input.
func (c Cause) NamesInput() bool { return c == BadInput || c == OutputLost }

// Ran tells whether the stage may have had an effect: anything but proof to the contrary counts as that.
func (c Cause) Ran() bool { return c != NeverRan && c != Refused }

// Known tells whether it is one of the set.
func (c Cause) Known() bool { return slices.Contains(Causes, c) }

// Where narrows the workers of a rerun: not the failed run's worker, kind, site (cell of the name table) or zone.
// It takes away from what the stage's class allows, and never adds.
type Where string

// The narrowings. Each takes away what those before it do.
const (
	Anywhere    Where = "any"
	OtherWorker Where = "other-worker"
	OtherKind   Where = "other-kind"
	OtherSite   Where = "other-site"
	OtherZone   Where = "other-zone"
)

// WhereValues is all of them.
var WhereValues = []Where{Anywhere, OtherWorker, OtherKind, OtherSite, OtherZone}

// Place is where a run was.
type Place struct {
	Worker string `json:"w,omitempty"`
	Kind   string `json:"k,omitempty"`
	Site   string `json:"s,omitempty"`
	Zone   string `json:"z,omitempty"`
}

// Allows tells whether a worker at a place may have a rerun of what failed at another. What is not known of the failed
// run excludes nobody.
func (w Where) Allows(failed, at Place) bool {
	same := func(a, b string) bool { return a != "" && a == b }
	switch w {
	case OtherWorker:
		return !same(failed.Worker, at.Worker)
	case OtherKind:
		return !same(failed.Worker, at.Worker) && !same(failed.Kind, at.Kind)
	case OtherSite:
		return !same(failed.Worker, at.Worker) && (!same(failed.Site, at.Site) || !same(failed.Zone, at.Zone))
	case OtherZone:
		return !same(failed.Worker, at.Worker) && !same(failed.Zone, at.Zone)
	}
	return true
}
