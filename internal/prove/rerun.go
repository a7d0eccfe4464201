package prove

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/load"
	"caperrelay/internal/net/pipelines"
	"caperrelay/internal/rerun"
	"caperrelay/internal/rerun/policy"
	"caperrelay/internal/rerun/workersim"
	"caperrelay/internal/rig"
	pipelinev1 "caperrelay/proto/winglb/pipeline/v1"
)

const (
	rerunDaemons   = 5
	rerunRuns      = 120
	rerunAssets    = 24 // that five runs each share the ingest of
	rerunWithin    = 70 * time.Second
	rerunFleet     = 0.4
	rerunSpare     = 60 * time.Second
	rerunStageWork = 1 * time.Second
	rerunMost      = 4 // two renditions, each spoilt twice
	// The aims: of the pipelines that can finish; of the least reruns; of the work that plain repeats waste; and how many
	// publishes may be under way at the two daemons that die.
	rerunFinish, rerunOver, rerunWaste, rerunPersons = 0.99, 1.2, 0.5, 12
)

// rerunPolicy is the policy of the measurement; plain: what fails is repeated where it failed, nothing above it.
func rerunPolicy(plain bool) string {
	var s strings.Builder
	fmt.Fprintf(&s, "version = \"1\"\n[budget]\nfleet = \"%g%%\"\nspare = %q\n[[pipeline]]\nname = \"lecture\"\nresult = [\"publish\"]\nwithin = %q\nothers = 1\n", 100*rerunFleet, rerunSpare, rerunWithin)
	stage := func(name, class, needs, more string) {
		fmt.Fprintf(&s, "[[pipeline.stage]]\nname = %q\nclass = %q\nwork = %q\nwithin = \"30s\"\nneeds = [%s]\n%s\n", name, class, rerunStageWork, needs, more)
	}
	stage("ingest", "preview", "", `shared = "asset"`)
	stage("high", "preview", `"ingest"`, "")
	stage("low", "preview", `"ingest"`, "")
	stage("package", "preview", `"high", "low"`, "")
	stage("publish", "publish", `"package"`, "")
	rule := func(on, when, target, where string, most int) {
		fmt.Fprintf(&s, "[[pipeline.rerun]]\non = %q\nwhen = '%s'\nrerun = %q\nwhere = %q\nafter = \"50ms..1s\"\nmost = %d\nbudget = \"fleet\"\n", on, when, target, where, most)
	}
	for _, on := range []string{"high", "low", "package"} {
		if plain {
			rule(on, `cause.kind in ["bad_input", "output_lost"]`, "self", "other-worker", rerunMost)
		} else {
			rule(on, `cause.kind in ["bad_input", "output_lost"]`, "cause.input", "other-site", rerunMost)
		}
	}
	for _, on := range []string{"ingest", "high", "low", "package"} {
		rule(on, `cause.kind in ["failed", "may_have_run", "never_ran", "late"]`, "self", "other-worker", 3)
	}
	return s.String()
}

// spoiler is which outputs are, and who lies.
type spoiler struct {
	mu   sync.Mutex
	bad  map[string]bool // output@generation
	made map[string]workersim.Worker
}

func at(key string, gen int64) string { return fmt.Sprint(key, "@", gen) }

func (s *spoiler) decide(r workersim.Run) pipelines.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range r.Inputs {
		if s.bad[at(in.Output, in.Generation)] {
			return pipelines.Outcome{Outcome: policy.BadInput, Input: in.Stage}
		}
	}
	if r.Worker.ID == "s-8" && len(r.Inputs) > 0 && r.Stage != "publish" { // it lies
		return pipelines.Outcome{Outcome: policy.BadInput, Input: r.Inputs[0].Stage}
	}
	s.made[at(r.Output, r.Generation)] = r.Worker
	// One site spoils all renditions, and of the others one in eight is spoilt when it is first made, the same ones by
	// both policies.
	h := fnv.New32a()
	h.Write([]byte(r.Output))
	if site := r.Worker.Zone == "a" && r.Worker.Cell == 0; (r.Stage == "high" || r.Stage == "low") && (site || r.Generation == 1 && h.Sum32()%8 == 0) {
		s.bad[at(r.Output, r.Generation)] = true
	}
	return pipelines.Outcome{}
}

// reruns plays one of the two parts.
func reruns(o Options, plain bool) (f rerunPart, err error) {
	dir, err := os.MkdirTemp("", "winglb-prove-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	r, err := rig.New(rig.Options{
		Encoders: 1, Slots: 8, Daemons: rerunDaemons, Promises: true, Dir: dir, Tenants: []string{"ups"}, Lines: 1, Command: o.Command,
		Classes: []load.Class{{Name: "preview", Work: 20 * time.Millisecond, Left: time.Minute}, {Name: "publish", Once: true, Work: 20 * time.Millisecond, Left: time.Minute}},
	})
	if err != nil {
		return f, err
	}
	defer r.Close()
	var workers []workersim.Worker
	for i := range 16 {
		workers = append(workers, workersim.Worker{ID: fmt.Sprint("s-", i+1), Zone: []string{"a", "b"}[i%2], Kind: "m2", Cell: i / 2 % 4})
	}
	p := workersim.New(workers)
	defer p.Close()
	s := &spoiler{bad: map[string]bool{}, made: map[string]workersim.Worker{}}
	p.OutcomeOf = s.decide
	text := rerunPolicy(plain)
	file := filepath.Join(dir, "reruns.toml")
	if err := errors.Join(os.WriteFile(file, []byte(text), 0o600), p.Attach(r, file)); err != nil {
		return f, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if err := r.StartAll(ctx); err != nil {
		return f, err
	}
	var clients []pipelinev1.PipelinesClient
	for n := range r.Daemons {
		conn, err := grpc.NewClient("passthrough:///"+r.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return f, err
		}
		defer conn.Close()
		clients = append(clients, pipelinev1.NewPipelinesClient(conn))
	}
	// until asks one daemon after the other.
	until := func(call func(context.Context, pipelinev1.PipelinesClient) (bool, error)) error {
		for n := rand.IntN(len(clients)); ; n++ {
			one, done := context.WithTimeout(ctx, 3*time.Second)
			ok, err := call(one, clients[n%len(clients)])
			if done(); ok {
				return nil
			}
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), err)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	answers := map[string]*pipelinev1.Answer{}
	one := func(i int) {
		id, began := fmt.Sprint("run", i), time.Now()
		until(func(ctx context.Context, c pipelinev1.PipelinesClient) (bool, error) {
			_, err := c.Submit(ctx, &pipelinev1.SubmitRequest{Id: id, Pipeline: "lecture", Tenant: "ups", Params: map[string]string{"asset": asset(id)}})
			return err == nil, err
		})
		until(func(ctx context.Context, c pipelinev1.PipelinesClient) (bool, error) {
			a, err := c.Await(ctx, &pipelinev1.AwaitRequest{Id: id, WaitMs: 2000})
			if err != nil || a.Answer == nil {
				return false, err
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a.Answer
			if a.Answer.Kind == string(rerun.Done) {
				f.took = append(f.took, time.Since(began))
			}
			return true, nil
		})
	}
	began := time.Now()
	for i := range rerunRuns {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 80 * time.Millisecond) // a load, not a wait for something
			one(i)
		})
	}
	// faults, at their times: the daemon that has begun most is killed twice, and a worker is dead for a while
	for _, fault := range []struct {
		at time.Duration
		do func() error
	}{
		{2 * time.Second, func() error { return p.SetDown("s-3", true) }},
		{3 * time.Second, func() error { return rerunKill(r) }},
		{5 * time.Second, func() error { return p.SetDown("s-3", false) }},
		{7 * time.Second, func() error { return rerunKill(r) }},
	} {
		time.Sleep(time.Until(began.Add(fault.at)))
		if err := fault.do(); err != nil {
			return f, err
		}
		f.faults++
	}
	all.Wait()
	f.faults += 2 + len(s.bad) // the site, the worker that lies, and what is spoilt
	explained := map[string]rerun.Explained{}
	for i := range rerunRuns {
		id := fmt.Sprint("run", i)
		if answers[id] == nil {
			f.missing++
			continue
		}
		until(func(ctx context.Context, c pipelinev1.PipelinesClient) (bool, error) {
			e, err := c.Explain(ctx, &pipelinev1.ExplainRequest{Id: id})
			var x rerun.Explained
			if err == nil {
				err = json.Unmarshal([]byte(e.Text), &x)
			}
			if err == nil && (x.Answer == nil || string(x.Answer.Kind) != answers[id].Kind || x.Answer.Reason != answers[id].Reason) {
				f.ended++
			}
			explained[id] = x
			return err == nil, err
		})
		switch rerun.Kind(answers[id].Kind) {
		case rerun.Done:
			f.finished++
		case rerun.NeedsPerson:
			f.person++
		default:
			f.dead++
		}
	}
	f.settle()
	runs := p.Runs()
	if err := rerunCount(o.Progress, &f.rerunFigures, runs, s, explained, text); err != nil {
		return f, err
	}
	f.persons.count(o.Progress, runs, answers, explained)
	why := map[string]int{}
	for _, a := range answers {
		if a.Kind != string(rerun.Done) {
			why[a.Kind+": "+a.Stage+": "+a.Cause+": "+a.Reason]++
		}
	}
	fmt.Fprintf(o.Progress, "%s: %d of %d finished in %.1f s, p99 %.2f s; %d runs of stages, %d wasted, %d reruns where the least is %d; others: %v\n",
		map[bool]string{false: "reruns upstream", true: "plain repeats"}[plain], f.finished, rerunRuns, time.Since(began).Seconds(), f.p99.Seconds(), f.work, f.wasted, f.reruns, f.least, why)
	return f, nil
}

// asset is what a run's ingest is shared by.
func asset(id string) string {
	i := 0
	fmt.Sscanf(id, "run%d", &i)
	return fmt.Sprint("a", i%rerunAssets)
}

// rerunKill has the daemon that has begun most stages die, and start again.
func rerunKill(r *rig.Rig) error {
	acting, most := 0, int64(-1)
	for n := range r.Daemons {
		if started := r.Daemon(n).Figure("pipelines.stages_started"); started > most {
			acting, most = n, started
		}
	}
	r.Daemon(acting).Kill()
	return r.Daemon(acting).Start()
}

// rerunCount counts what workers were asked to do, by their own word.
func rerunCount(progress io.Writer, f *rerunFigures, runs []workersim.Run, s *spoiler, explained map[string]rerun.Explained, text string) error {
	site := policy.Site{Classes: map[string]policy.Class{"preview": {}, "publish": {Once: true}}, Zones: []string{"a", "b"}}
	pol, err := policy.Parse("reruns.toml", []byte(text), site)
	if err != nil {
		return err
	}
	bound := pol.Pipelines["lecture"]
	published := map[string]int{}
	generations := map[string]bool{}
	stages := map[string]map[string]int{} // by run and stage, those of its own
	verdict := time.Time{}
	for _, r := range runs {
		f.work++
		if r.Stage == "publish" {
			if published[r.JobBody.Run]++; published[r.JobBody.Run] > 1 {
				f.twice++
				fmt.Fprintf(progress, "  %s published twice: generation %d at %v: %+v\n", r.JobBody.Run, r.Generation, r.Began, explained[r.JobBody.Run])
			}
		}
		if r.Stage == "package" && r.Outcome.Outcome == "" && !r.Ended.IsZero() && slices.ContainsFunc(r.Inputs, func(i pipelines.Input) bool { return i.Generation > 1 }) && (verdict.IsZero() || r.Ended.Before(verdict)) {
			verdict = r.Ended
		}
		key := at(r.Output, r.Generation)
		if generations[key] {
			continue // the same generation, sent again
		}
		generations[key] = true
		if r.Stage != "ingest" {
			if stages[r.JobBody.Run] == nil {
				stages[r.JobBody.Run] = map[string]int{}
			}
			stages[r.JobBody.Run][r.Stage]++
		}
	}
	last := map[string]workersim.Run{} // of each output, the run of its newest generation that reached a worker
	lied, named := map[string]bool{}, map[string]bool{}
	why := map[string]int{}
	slices.SortStableFunc(runs, func(a, b workersim.Run) int {
		return cmp.Or(cmp.Compare(a.Output, b.Output), cmp.Compare(a.Generation, b.Generation), a.Began.Compare(b.Began))
	})
	for _, r := range runs {
		before, again := last[r.Output]
		if last[r.Output] = r; !again || before.Generation == r.Generation {
			continue
		}
		// The least is by a planner that is told at each failure what is wrong in truth, and has nothing made again where
		// things are spoilt: what a worker's death, a first lie, or a rendition that was spoilt at first makes run again.
		f.reruns++
		claim := before.Outcome.Outcome == policy.BadInput
		i := slices.IndexFunc(before.Inputs, func(i pipelines.Input) bool { return i.Stage == before.Outcome.Input })
		spoilt := claim && i >= 0 && s.bad[at(before.Inputs[i].Output, before.Inputs[i].Generation)]
		reason, least := "", false
		switch {
		case before.Ended.IsZero():
			reason, least = "its worker died", true
		case spoilt && slices.Contains(r.Inputs, before.Inputs[i]):
			reason = "useless: with the input that was called bad"
			f.useless++
		case spoilt:
			input := at(before.Inputs[i].Output, before.Inputs[i].Generation)
			reason, least = "its input was spoilt", before.Inputs[i].Generation == 1 && !named[input]
			if named[input] = true; !least {
				reason = "its input was spoilt again"
			}
		case claim:
			reason, least = "a lie about its input", !lied[r.Output]
			if lied[r.Output] = true; !least {
				reason = "a further lie"
			}
		case s.bad[at(before.Output, before.Generation)]:
			if reason, least = "it was spoilt", before.Generation == 1; !least {
				reason = "it was spoilt again"
			}
		default:
			reason = "it was good"
		}
		if least {
			f.least++
		} else {
			reason += " (over the least)"
		}
		why[reason]++
	}
	fmt.Fprintf(progress, "  reruns: %v\n", why)
	// Of use is what a finished pipeline has in the end, once.
	used := map[string]bool{}
	for id, e := range explained {
		if e.Answer == nil || e.Answer.Kind != rerun.Done {
			continue
		}
		for stage, text := range e.Stages {
			gen, key := int64(0), "r/"+id+"/"+stage
			if fmt.Sscanf(text, "generation %d", &gen); stage == "ingest" {
				key = "s/lecture/ingest/" + asset(id)
			}
			used[at(key, gen)] = true
		}
	}
	// What faults spoil whatever the policy is no waste of its: a rendition that is spoilt at first, the first package that
	// finds it out, a run whose worker dies, a first lie.
	faults := map[string]bool{}
	for _, r := range runs {
		i := slices.IndexFunc(r.Inputs, func(i pipelines.Input) bool { return i.Stage == r.Outcome.Input })
		switch key := at(r.Output, r.Generation); {
		case used[key]:
		case r.Ended.IsZero() || r.Generation == 1 && s.bad[key]:
			faults[key] = true
		case r.Outcome.Outcome != policy.BadInput || i < 0:
		case !s.bad[at(r.Inputs[i].Output, r.Inputs[i].Generation)]:
			faults["lie about "+r.Output] = true
		case r.Inputs[i].Generation == 1:
			faults["found "+r.Inputs[i].Output] = true
		}
	}
	f.wasted = f.work - len(used) - len(faults)
	// Before the first good verdict one rerun of what a place has spoilt may be out at once: from when it begins to the end
	// of the package that has its output.
	if !verdict.IsZero() {
		type span struct{ from, to time.Time }
		tried := map[string][]span{}
		for _, r := range runs {
			if r.Generation != 2 || r.Stage != "high" && r.Stage != "low" || !r.Began.Before(verdict) || !s.bad[at(r.Output, 1)] {
				continue
			}
			out := span{r.Began, r.Began} // one that no package had came to nothing by itself, when its dispatcher died
			for _, p := range runs {
				if p.JobBody.Run != r.JobBody.Run || p.Stage != "package" || !slices.ContainsFunc(p.Inputs, func(i pipelines.Input) bool { return i.Stage == r.Stage && i.Generation == 2 }) {
					continue
				}
				if out.to == out.from {
					out.to = verdict
				}
				if p.Ended.After(r.Began) && p.Ended.Before(out.to) {
					out.to = p.Ended
				}
			}
			w := s.made[at(r.Output, 1)]
			place := fmt.Sprint(r.Stage, w.Zone, w.Cell)
			tried[place] = append(tried[place], out)
		}
		for _, all := range tried {
			slices.SortFunc(all, func(a, b span) int { return a.from.Compare(b.from) })
			for i := 1; i < len(all); i++ {
				if all[i].from.Before(all[i-1].to) {
					f.floods++
				}
			}
		}
	}
	work, first := time.Duration(0), 0
	for id, e := range explained {
		work += e.Work
		for stage := range e.Stages { // a first run that came to nothing before it reached a worker is one too
			met := slices.ContainsFunc(e.History, func(l rerun.HistoryLine) bool { return strings.HasPrefix(l.Text, stage+": ") })
			if own := "r/" + id + "/" + stage; stage != "ingest" && met && !generations[at(own, 1)] {
				first++
			}
		}
	}
	for key := range generations {
		if strings.HasSuffix(key, "@1") {
			first++
		}
	}
	if most := rerunSpare + time.Duration(rerunFleet*float64(first)*float64(rerunStageWork)); work > most {
		f.budget++
	}
	for _, one := range slices.Collect(maps.Values(stages)) {
		for i, stage := range bound.Stages {
			if one[stage.Name] > bound.Bound.Runs[i] {
				f.bound++
			}
		}
	}
	return nil
}
