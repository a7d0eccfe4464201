package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"caperrelay/decide"
)

// profile is the part of the settings text that package decide uses.
type profile struct {
	Balancers      int     `json:"Balancers"`
	SlotNo         int     `json:"SlotNo"`
	Zone           int     `json:"Zone"`
	GranularityUs  int64   `json:"GranularityUs"`
	Discovery      string  `json:"Discovery"`
	Weights        string  `json:"Weights"`
	OverShareWorth float64 `json:"OverShareWorth"`
	Deductions     struct {
		CrossZone float64 `json:"CrossZone"`
		Waste     float64 `json:"Waste"`
		LateFail  float64 `json:"LateFail"`
		Probe     float64 `json:"Probe"`
		Peer      float64 `json:"Peer"`
	} `json:"Deductions"`
	ObjectiveMix struct {
		Whole       float64 `json:"Whole"`
		WorstWindow float64 `json:"WorstWindow"`
		WorstClass  float64 `json:"WorstClass"`
		WorstTenant float64 `json:"WorstTenant"`
		Punctual    float64 `json:"Punctual"`
		MissAllowed float64 `json:"MissAllowed"`
	} `json:"ObjectiveMix"`
	Domain struct {
		ClassKind    []int     `json:"ClassKind"`
		ClassStretch []float64 `json:"ClassStretch"`
		ProgressUs   int64     `json:"ProgressUs"`
		TellsStart   bool      `json:"TellsStart"`
	} `json:"Domain"`
	LoadReport struct {
		Fields []string `json:"Fields"`
		Via    string   `json:"Via"`
	} `json:"LoadReport"`
	Permissions struct {
		AttemptsCap      int   `json:"AttemptsCap"`
		OpenCap          int   `json:"OpenCap"`
		Cancelling       bool  `json:"Cancelling"`
		ParallelTries    bool  `json:"ParallelTries"`
		Probes           bool  `json:"Probes"`
		PeerMessages     bool  `json:"PeerMessages"`
		RetryAfter       bool  `json:"RetryAfter"`
		MaxRetryAfterUs  int64 `json:"MaxRetryAfterUs"`
		ConnIdleUs       int64 `json:"ConnIdleUs"`
		ConnectTimeoutUs int64 `json:"ConnectTimeoutUs"`
	} `json:"Permissions"`
	RequestClasses []struct {
		Name         string  `json:"Name"`
		AimUs        int64   `json:"AimUs"`
		DeadlineUs   int64   `json:"DeadlineUs"`
		MemorySpanUs int64   `json:"MemorySpanUs"`
		AimStretch   float64 `json:"AimStretch"`
		LateWorth    float64 `json:"LateWorth"`
		Points       float64 `json:"Points"`
		Effect       string  `json:"Effect"`
		KeyScope     string  `json:"KeyScope"`
		Stream       bool    `json:"Stream"`
	} `json:"RequestClasses"`
	Rules struct {
		AnswerSlackUs   int64    `json:"AnswerSlackUs"`
		DrainGraceUs    int64    `json:"DrainGraceUs"`
		ColdUs          int64    `json:"ColdUs"`
		FallUs          int64    `json:"FallUs"`
		MustAskInUs     int64    `json:"MustAskInUs"`
		ColdFrom        float64  `json:"ColdFrom"`
		FallMultiple    float64  `json:"FallMultiple"`
		SpareAttempts   *float64 `json:"SpareAttempts"`
		ExtraPerRequest *float64 `json:"ExtraPerRequest"`
		BudgetSpanUs    *int64   `json:"BudgetSpanUs"`
		GoneIsAdvice    bool     `json:"GoneIsAdvice"`
	} `json:"Rules"`
	Clients struct {
		MarksRetry bool `json:"MarksRetry"`
	} `json:"Clients"`
	Tenants []struct {
		Name      string  `json:"Name"`
		QuotaPerS float64 `json:"QuotaPerS"`
	} `json:"Tenants"`
	Zones []string `json:"Zones"`
	Skus  []string `json:"Skus"`
}

// Names holds the names in the settings. The index of a name is its number.
type Names struct {
	Classes []string `json:"Classes"`
	Tenants []string `json:"Tenants"`
	Zones   []string `json:"Zones"`
	Kinds   []string `json:"Kinds"`
	Reports []string `json:"Reports"` // the fields of load reports; empty: there are no reports
}

// ParseSettings parses the settings text, which the simulator's adapter gets in its first message and a real dispatcher
// in its configuration. All settings are read here.
func ParseSettings(text []byte) (decide.Settings, Names, error) {
	s, _, names, err := parseAll(text)
	return s, names, err
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// parseSettings parses the settings text and also returns the names of a load report's values, in order.
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
	perm, deduct, r := p.Permissions, p.Deductions, p.Rules
	s := decide.Settings{
		DispatcherIndex: p.SlotNo, DispatcherCount: p.Balancers, Zone: p.Zone,
		Granularity: us(p.GranularityUs), OverShareWorth: p.OverShareWorth,
		Limits: decide.Limits{
			MaxAttempts: perm.AttemptsCap, MaxOpen: perm.OpenCap, Cancel: perm.Cancelling, ParallelAttempts: perm.ParallelTries,
			Probes: perm.Probes, PeerMessages: perm.PeerMessages, RetryAfter: perm.RetryAfter,
			MaxRetryAfter: us(perm.MaxRetryAfterUs), ConnIdle: us(perm.ConnIdleUs),
			ConnectTimeout: us(perm.ConnectTimeoutUs),
		},
		Rules: decide.Rules{
			AnswerSlack: us(r.AnswerSlackUs), DrainGrace: us(r.DrainGraceUs), ColdFrom: r.ColdFrom,
			Cold: us(r.ColdUs), FallMultiple: r.FallMultiple, FallWindow: us(r.FallUs),
			SubscribeWithin: us(r.MustAskInUs), GoneIsAdvisory: r.GoneIsAdvice,
		},
		Prices: decide.Prices{
			CrossZone: deduct.CrossZone, Waste: deduct.Waste, LateFail: deduct.LateFail, Probe: deduct.Probe, Peer: deduct.Peer,
		},
		Goal:         decide.Goal(p.ObjectiveMix),
		Subscribe:    p.Discovery == "subscribe",
		ListPushed:   p.Discovery == "automatic",
		ReportsStart: p.Domain.TellsStart, RetriesMarked: p.Clients.MarksRetry,
		ProgressInterval: us(p.Domain.ProgressUs),
		Rated:            p.Weights != "silent",
	}
	if r.SpareAttempts != nil || r.ExtraPerRequest != nil || r.BudgetSpanUs != nil {
		s.Rules.Budget = &decide.AttemptBudget{
			Spare: orZero(r.SpareAttempts), PerRequest: orZero(r.ExtraPerRequest), Window: us(orZero(r.BudgetSpanUs)),
		}
	}
	var fields []string
	if p.LoadReport.Via != "silent" {
		fields = p.LoadReport.Fields
		names.Reports = fields
	}
	for _, f := range fields {
		s.ReportsFreeSlots = s.ReportsFreeSlots || f == "x0" && p.LoadReport.Via == "piggyback"
	}
	for i, c := range p.RequestClasses {
		effect, ok := effects[c.Effect]
		scope, ok2 := scopes[c.KeyScope]
		if !ok || !ok2 && effect == decide.Keyed {
			return s, nil, names, fmt.Errorf("settings: class %d: unknown effect %q or scope %q", i, c.Effect, c.KeyScope)
		}
		k := decide.Class{
			Aim: us(c.AimUs), Stretch: c.AimStretch, Deadline: us(c.DeadlineUs), Worth: c.Points,
			LateWorth: c.LateWorth, Effect: effect, Scope: scope, DedupWindow: us(c.MemorySpanUs),
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

// orZero returns the value of a setting, or zero if it is absent.
func orZero[T int64 | float64](p *T) T {
	if p == nil {
		return 0
	}
	return *p
}
