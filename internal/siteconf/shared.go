package siteconf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Shared holds the settings that must be the same at all dispatchers of a deployment. With [promises] the dispatchers
// agree on a version of them. The rest of a file belongs to one dispatcher.
type Shared struct {
	Site     Site     `json:"Site"`
	Rules    Rules    `json:"Rules"`
	Attempts Attempts `json:"Attempts"`
	Kinds    []Kind   `json:"Kinds"`
	Classes  []Class  `json:"Classes"`
	Tenants  []Tenant `json:"Tenants"`
}

// Shared returns the shared settings of the file.
func (f *File) Shared() Shared {
	return Shared{f.Site, f.Rules, f.Attempts, slices.Clone(f.Kinds), slices.Clone(f.Classes), slices.Clone(f.Tenants)}
}

// Encode returns an encoding that is the same for equal settings.
func (s Shared) Encode() []byte {
	text, err := json.Marshal(s)
	if err != nil { // not-a-number values, which Parse rejects
		return nil
	}
	return text
}

// DecodeShared decodes the result of Shared.Encode.
func DecodeShared(text []byte) (s Shared, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // a later program's fields must not be dropped silently
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("the version cannot be read here: %w", err)
	}
	return s, nil
}

// WithShared returns a copy of the file with other shared settings. It is checked like a file.
func (f *File) WithShared(s Shared) (*File, error) {
	g := *f
	g.Site, g.Rules, g.Attempts, g.Kinds, g.Classes, g.Tenants = s.Site, s.Rules, s.Attempts, s.Kinds, s.Classes, s.Tenants
	g.lines = nil // line numbers apply only to the file as read
	copies := []any{&g.Control, &g.Members, &g.Snapshot, &g.Promises, &g.Gangs, &g.Pipelines}
	for _, p := range copies {
		copyTable(p)
	}
	g.Fronts = slices.Clone(f.Fronts)
	if err := g.check(); err != nil {
		return nil, err
	}
	return &g, nil
}

// copyTable replaces a table by a copy, as check writes defaults into it.
func copyTable(p any) {
	switch t := p.(type) {
	case **Control:
		if *t != nil {
			c := **t
			*t = &c
		}
	case **Members:
		if *t != nil {
			c := **t
			*t = &c
		}
	case **Snapshot:
		if *t != nil {
			c := **t
			*t = &c
		}
	case **Promises:
		if *t != nil {
			c := **t
			*t = &c
		}
	case **Gangs:
		if *t != nil {
			c := **t
			*t = &c
		}
	case **Pipelines:
		if *t != nil {
			c := **t
			*t = &c
		}
	}
}

// CheckClasses returns an error if the version has a class that this file lacks: after a start with its file alone the dispatcher
// would not have it.
func (f *File) CheckClasses(s Shared) error {
	for _, c := range s.Classes {
		if !slices.ContainsFunc(f.Classes, func(o Class) bool { return o.Name == c.Name }) {
			return f.errorAt("class", "the version has a class %q, and this file has none: bring the file up to date, then ask again", c.Name)
		}
	}
	return nil
}

// minBound returns the lower of two bounds, where 0 means no bound.
func minBound[T ~int | ~int64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// checkUnchanged returns an error if the values of a field differ that describes the deployment and restricts nothing, so that
// neither value is stricter.
func checkUnchanged(key string, a, b any) error {
	if fmt.Sprint(a) != fmt.Sprint(b) {
		return fmt.Errorf("%s: neither of %v and %v is the stricter, so it cannot be changed while dispatchers run: stop all, then start them with the new file", key, a, b)
	}
	return nil
}

// Stricter returns settings that allow only what both versions allow. For a field that restricts nothing (a class's worth,
// the timer resolution) a's value is taken until the other version is in force alone. An error names a field that has no
// stricter value.
func Stricter(a, b Shared) (Shared, error) {
	s := a
	for _, err := range []error{
		checkUnchanged("site.zones", strings.Join(a.Site.Zones, ","), strings.Join(b.Site.Zones, ",")),
		checkUnchanged("site.tells_start", a.Site.TellsStart, b.Site.TellsStart),
		checkUnchanged("site.progress", a.Site.Progress, b.Site.Progress),
		checkUnchanged("site.rated", a.Site.Rated, b.Site.Rated),
		checkUnchanged("rules.fall_window", a.Rules.FallWindow, b.Rules.FallWindow),
	} {
		if err != nil {
			return s, err
		}
	}
	s.Site.Crossing = max(a.Site.Crossing, b.Site.Crossing)
	s.Rules.DrainGrace = min(a.Rules.DrainGrace, b.Rules.DrainGrace)
	s.Rules.ColdFrom = min(a.Rules.ColdFrom, b.Rules.ColdFrom)
	s.Rules.Cold = max(a.Rules.Cold, b.Rules.Cold)
	s.Rules.FallMultiple = min(a.Rules.FallMultiple, b.Rules.FallMultiple)
	s.Attempts = Attempts{
		Most: min(a.Attempts.Most, b.Attempts.Most), Open: minBound(a.Attempts.Open, b.Attempts.Open),
		Copies: a.Attempts.Copies && b.Attempts.Copies, Probes: a.Attempts.Probes && b.Attempts.Probes,
		Connect: minBound(a.Attempts.Connect, b.Attempts.Connect), Idle: minBound(a.Attempts.Idle, b.Attempts.Idle),
		MaxRetryAfter: min(a.Attempts.MaxRetryAfter, b.Attempts.MaxRetryAfter),
	}
	s.Kinds, s.Classes, s.Tenants = nil, nil, nil
	for _, k := range a.Kinds {
		i := slices.IndexFunc(b.Kinds, func(o Kind) bool { return o.Name == k.Name })
		if i < 0 {
			return s, fmt.Errorf("kind: %q is only in one of the versions: a kind of encoder stays while dispatchers run", k.Name)
		}
		s.Kinds = append(s.Kinds, Kind{k.Name, min(k.Slots, b.Kinds[i].Slots)})
	}
	s.Kinds = append(s.Kinds, b.Kinds[len(a.Kinds):]...) // nothing uses new kinds yet, and the others keep their indexes
	for i, k := range s.Kinds {
		if b.Kinds[i].Name != k.Name {
			return s, fmt.Errorf("kind: %q and %q have changed places: new kinds come last", b.Kinds[i].Name, k.Name)
		}
	}
	for _, c := range a.Classes {
		i := slices.IndexFunc(b.Classes, func(o Class) bool { return o.Name == c.Name })
		if i < 0 {
			continue // not in both: commands of this class are refused
		}
		o := b.Classes[i]
		if c.Effect != o.Effect {
			c.Effect = "once"
		}
		c.Aim, c.Stretch, c.Deadline = min(c.Aim, o.Aim), min(c.Stretch, o.Stretch), min(c.Deadline, o.Deadline)
		switch {
		case c.Kind == "":
			c.Kind = o.Kind
		case o.Kind != "" && o.Kind != c.Kind:
			return s, fmt.Errorf("class.kind of %q: neither of %q and %q is the stricter: first make it any kind's, or use another class", c.Name, c.Kind, o.Kind)
		}
		s.Classes = append(s.Classes, c)
	}
	if len(s.Classes) == 0 {
		return s, fmt.Errorf("class: the versions have none in common, so nothing could be served in between: keep one")
	}
	for _, t := range a.Tenants {
		if i := slices.IndexFunc(b.Tenants, func(o Tenant) bool { return o.Name == t.Name }); i >= 0 {
			s.Tenants = append(s.Tenants, Tenant{t.Name, min(t.Rate, b.Tenants[i].Rate)})
		}
	}
	return s, nil
}

// Restricted returns the settings for a dispatcher that does not know which version is in force: one attempt per command, no
// parallel attempts and no probes. So it repeats no command, whatever the effect of its class is now, and adds no load.
func Restricted(s Shared) Shared {
	s.Attempts.Most, s.Attempts.Copies, s.Attempts.Probes = 1, false, false
	return s
}

// In JSON these types are plain numbers, so that a version is decoded exactly as it was encoded.

// UnmarshalJSON parses nanoseconds.
func (d *Duration) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, (*int64)(d)) }

// UnmarshalJSON parses a fraction of 1.
func (p *Percent) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, (*float64)(p)) }

// UnmarshalJSON parses a number per second.
func (r *Rate) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, (*float64)(r)) }
