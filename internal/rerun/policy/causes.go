// Package policy is the language in which operators define what is rerun when a stage of a pipeline fails: TOML, with
// conditions in CEL that are typed, have a bounded cost and no access to a clock. Loading is strict, and computes the
// maximum cost of a pipeline run. docs/reruns.md is the user documentation, docs/reruns-design.md explains the design.
package policy

import "slices"

// Cause is why a stage run failed. The set is closed.
type Cause string

// Causes of failures.
const (
	NeverRan   Cause = "never_ran"    // it certainly did not start
	MayHaveRun Cause = "may_have_run" // unknown whether it ran
	RanFailed  Cause = "failed"       // it ran and reported a failure
	BadInput   Cause = "bad_input"    // it reported one of its inputs as bad
	OutputLost Cause = "output_lost"  // it reported one of its inputs as missing where it was made
	Late       Cause = "late"         // its deadline passed
	Refused    Cause = "refused"      // no worker accepted it: it did not run
	CalledOff  Cause = "called_off"   // cancelled by an operator or the client
)

// Causes lists all causes.
var Causes = []Cause{NeverRan, MayHaveRun, RanFailed, BadInput, OutputLost, Late, Refused, CalledOff}

// NamesInput reports whether the cause names an input.
func (c Cause) NamesInput() bool { return c == BadInput || c == OutputLost }

// MayHaveTakenEffect reports whether the stage may have had an effect. It is true unless the stage is known not to have run.
func (c Cause) MayHaveTakenEffect() bool { return c != NeverRan && c != Refused }

// Known reports whether the cause is one of Causes.
func (c Cause) Known() bool { return slices.Contains(Causes, c) }

// Where restricts the workers of a rerun: not the failed run's worker, kind, site (cell of the instance list) or zone.
// It excludes workers that the stage's class allows, and never adds any.
type Where string

// Restrictions of a rerun's workers. All but Anywhere exclude the failed run's worker.
const (
	Anywhere    Where = "any"
	OtherWorker Where = "other-worker"
	OtherKind   Where = "other-kind"
	OtherSite   Where = "other-site"
	OtherZone   Where = "other-zone"
)

// WhereValues lists all restrictions.
var WhereValues = []Where{Anywhere, OtherWorker, OtherKind, OtherSite, OtherZone}

// Place is where a stage run was executed.
type Place struct {
	Worker string `json:"w,omitempty"`
	Kind   string `json:"k,omitempty"`
	Site   string `json:"s,omitempty"`
	Zone   string `json:"z,omitempty"`
}

// Allows reports whether a worker at a place may rerun what failed at another. Unknown attributes of the failed run
// exclude no worker.
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
