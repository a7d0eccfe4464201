package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"caperrelay/decide"
)

// profile is the part of the settings text that the module uses.
type profile struct {
	Balancers, SlotNo, Zone int
	GranularityUs           int64
	Discovery, Weights      string
	OverShareWorth          float64
	Deductions              struct{ CrossZone, Waste, LateFail, Probe, Peer float64 }
	ObjectiveMix            struct{ Whole, WorstWindow, WorstClass, WorstTenant, Punctual, MissAllowed float64 }
	Domain                  struct {
		ClassKind    []int
		ClassStretch []float64
		ProgressUs   int64
		TellsStart   bool
	}
	LoadReport struct {
		Fields []string
		Via    string
	}
	Permissions struct {
		AttemptsCap, OpenCap                                        int
		Cancelling, ParallelTries, Probes, PeerMessages, RetryAfter bool
		MaxRetryAfterUs, ConnIdleUs, ConnectTimeoutUs               int64
	}
	RequestClasses []struct {
		Name                            string
		AimUs, DeadlineUs, MemorySpanUs int64
		AimStretch, LateWorth, Points   float64
		Effect, KeyScope                string
		Stream                          bool
	}
	Rules struct {
		AnswerSlackUs, DrainGraceUs, ColdUs, FallUs, MustAskInUs int64
		ColdFrom, FallMultiple                                   float64
		SpareAttempts, ExtraPerRequest                           *float64
		BudgetSpanUs                                             *int64
		GoneIsAdvice                                             bool
	}
	Clients struct{ MarksRetry bool }
	Tenants []struct {
		Name      string
		QuotaPerS float64
	}
	Zones, Skus []string
}

// Names gives the names that the settings use, each at its number.
type Names struct {
	Classes, Tenants, Zones, Kinds []string
	Reports                        []string // the fields of load reports; none: there are no reports
}

// ParseSettings reads the settings text. It is the one reader of settings: the
// adapter gets the text in its first message, a real dispatcher in its configuration.
func ParseSettings(text []byte) (decide.Settings, Names, error) {
	s, _, names, err := parseAll(text)
	return s, names, err
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// parseSettings reads the settings text; it returns the names of the load
// report's values beside them.
func parseSettings(text []byte) (decide.Settings, []string, error) {
	s, fields, _, err := parseAll(text)
	return s, fields, err
}

func parseAll(text []byte) (decide.Settings, []string, Names, error) {
	var p profile
	if t := bytes.TrimLeft(text, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return decide.Settings{}, nil, Names{}, errors.New("settings: no JSON object")
	}
	if err := json.Unmarshal(text, &p); err != nil {
		return decide.Settings{}, nil, Names{}, fmt.Errorf("settings: %w", err)
	}
	names := Names{Zones: p.Zones, Kinds: p.Skus}
	m, d, r := p.Permissions, p.Deductions, p.Rules
	s := decide.Settings{
		Dispatcher: p.SlotNo, Dispatchers: p.Balancers, Zone: p.Zone,
		Granularity: us(p.GranularityUs), OverShareWorth: p.OverShareWorth,
		Limits: decide.Limits{
			Attempts: m.AttemptsCap, Open: m.OpenCap, Cancel: m.Cancelling, SecondCopies: m.ParallelTries,
			Probes: m.Probes, PeerMessages: m.PeerMessages, RetryAfter: m.RetryAfter,
			MaxRetryAfter: us(m.MaxRetryAfterUs), ConnIdle: us(m.ConnIdleUs),
			ConnectTimeout: us(m.ConnectTimeoutUs),
		},
		Rules: decide.Rules{
			AnswerSlack: us(r.AnswerSlackUs), DrainGrace: us(r.DrainGraceUs), ColdFrom: r.ColdFrom,
			Cold: us(r.ColdUs), FallMultiple: r.FallMultiple, FallWindow: us(r.FallUs),
			MustAskIn: us(r.MustAskInUs), GoneIsAdvice: r.GoneIsAdvice,
		},
		Prices: decide.Prices{
			CrossZone: d.CrossZone, Waste: d.Waste, LateFail: d.LateFail, Probe: d.Probe, Peer: d.Peer,
		},
		Goal:       decide.Goal(p.ObjectiveMix),
		Subscribe:  p.Discovery == "subscribe",
		Pushed:     p.Discovery == "automatic",
		TellsStart: p.Domain.TellsStart, MarksRetries: p.Clients.MarksRetry,
		Progress: us(p.Domain.ProgressUs),
		Rated:    p.Weights != "silent",
	}
	if r.SpareAttempts != nil || r.ExtraPerRequest != nil || r.BudgetSpanUs != nil {
		s.Rules.Budget = &decide.AttemptBudget{
			Spare: orZero(r.SpareAttempts), PerRequest: orZero(r.ExtraPerRequest), Span: us(orZero(r.BudgetSpanUs)),
		}
	}
	var fields []string
	if p.LoadReport.Via != "silent" {
		fields = p.LoadReport.Fields
		names.Reports = fields
	}
	for _, f := range fields {
		s.ReportsFree = s.ReportsFree || f == "x0" && p.LoadReport.Via == "piggyback"
	}
	for i, c := range p.RequestClasses {
		effect, ok := effects[c.Effect]
		scope, ok2 := scopes[c.KeyScope]
		if !ok || !ok2 && effect == decide.Keyed {
			return s, nil, names, fmt.Errorf("settings: class %d: unknown effect %q or scope %q", i, c.Effect, c.KeyScope)
		}
		k := decide.Class{
			Aim: us(c.AimUs), Stretch: c.AimStretch, Deadline: us(c.DeadlineUs), Worth: c.Points,
			LateWorth: c.LateWorth, Effect: effect, Scope: scope, Window: us(c.MemorySpanUs),
			Kind: decide.Any, Stream: c.Stream,
		}
		if i < len(p.Domain.ClassStretch) {
			k.Stretch = p.Domain.ClassStretch[i]
		}
		if i < len(p.Domain.ClassKind) {
			k.Kind = p.Domain.ClassKind[i]
		}
		s.Classes = append(s.Classes, k)
		names.Classes = append(names.Classes, c.Name)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{QuotaPerSecond: t.QuotaPerS})
		names.Tenants = append(names.Tenants, t.Name)
	}
	return s, fields, names, nil
}

var (
	effects = map[string]decide.Effect{
		"free": decide.Safe, "guarded": decide.Keyed, "single_shot": decide.Unsafe,
	}
	scopes = map[string]decide.Scope{
		"all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell,
	}
)

// orZero reads a setting that may be absent.
func orZero[T int64 | float64](p *T) T {
	if p == nil {
		return 0
	}
	return *p
}
