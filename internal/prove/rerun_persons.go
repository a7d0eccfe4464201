package prove

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"caperrelay/internal/rerun"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/rerun/workersim"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
)

// personKinds is the pipelines that need a person, by what the workers know of the stage that they stopped at.
type personKinds struct {
	never    []string // no worker has ever got it
	answered []string // a worker did it, and called back with its end
	underWay []string // a worker got it, and was not done when it, or the dispatcher, was lost
	recalled []string // it ran and its end is known: what it was made of was called bad afterwards
}

// kind is the list that a pipeline belongs to. runs are those of the stage that it stopped at.
func (k *personKinds) kind(a *pipelinev1.Answer, runs []workersim.Run) (list *[]string, name string) {
	ended := slices.ContainsFunc(runs, func(r workersim.Run) bool { return !r.Ended.IsZero() })
	switch policy.Cause(a.Cause) {
	case "", policy.BadInput, policy.OutputLost: // not for what became of the stage's own run
		if ended {
			return &k.recalled, "done with inputs that no longer count"
		}
	}
	switch {
	case len(runs) == 0:
		return &k.never, "never reached a worker"
	case ended:
		return &k.answered, "answered by a worker"
	}
	return &k.underWay, "under way"
}

// count sorts the pipelines that need a person, and tells of each.
func (k *personKinds) count(progress io.Writer, runs []workersim.Run, answers map[string]*pipelinev1.Answer, explained map[string]rerun.Explained) {
	for _, id := range slices.Sorted(maps.Keys(answers)) {
		a := answers[id]
		if rerun.Kind(a.Kind) != rerun.NeedsPerson {
			continue
		}
		var its []workersim.Run
		for _, r := range runs {
			if r.JobBody.Run == id && r.Stage == a.Stage {
				its = append(its, r)
			}
		}
		list, name := k.kind(a, its)
		*list = append(*list, id)
		fmt.Fprintf(progress, "  %s needs a person, %s: %s: %s: %s%s\n", id, name, a.Stage, a.Cause, a.Reason, personStory(its, explained[id]))
	}
}

// personStory tells when the stage's runs came to workers, and when it was given up.
func personStory(runs []workersim.Run, e rerun.Explained) string {
	var s strings.Builder
	for _, r := range runs {
		fmt.Fprintf(&s, "; it came to %s by n%d after %v, answered: %v", r.Worker.ID, r.Daemon, r.Began.Sub(time.Unix(0, int64(e.Began))).Round(time.Millisecond), !r.Ended.IsZero())
	}
	if e.Answer != nil {
		fmt.Fprintf(&s, "; given up after %v", (e.Answer.At - e.Began).Round(time.Millisecond))
	}
	return s.String()
}

func (k *personKinds) add(o personKinds) {
	k.never = append(k.never, o.never...)
	k.answered = append(k.answered, o.answered...)
	k.underWay = append(k.underWay, o.underWay...)
	k.recalled = append(k.recalled, o.recalled...)
}

// line is the figures, each with a name that ends so.
func (k personKinds) line(end string) string {
	return fmt.Sprintf("never_reached%s=%d answered%s=%d under_way%s=%d recalled%s=%d", end, len(k.never), end, len(k.answered), end, len(k.underWay), end, len(k.recalled))
}

func (k personKinds) String() string { return k.line("") }

// broken names the pipelines that need a person though nothing of them ran, or though their end was told.
func (k personKinds) broken(part string) (err error) {
	if len(k.never) > 0 {
		err = fmt.Errorf("%s: %d need a person though no worker was ever asked: %s", part, len(k.never), strings.Join(k.never, " "))
	}
	if len(k.answered) > 0 {
		err = errors.Join(err, fmt.Errorf("%s: %d need a person though a worker called back with their end: %s", part, len(k.answered), strings.Join(k.answered, " ")))
	}
	return err
}
