package siteconf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Shared is what all dispatchers of a deployment must have alike: with [promises] it is a version that they agree on.
// All else in a file is one dispatcher's own.
type Shared struct {
	Site     Site     `json:"Site"`
	Rules    Rules    `json:"Rules"`
	Attempts Attempts `json:"Attempts"`
	Kinds    []Kind   `json:"Kinds"`
	Classes  []Class  `json:"Classes"`
	Tenants  []Tenant `json:"Tenants"`
}

// Shared is the file's part of it.
func (f *File) Shared() Shared {
	return Shared{f.Site, f.Rules, f.Attempts, slices.Clone(f.Kinds), slices.Clone(f.Classes), slices.Clone(f.Tenants)}
}

// Text is a form of it that is the same for the same settings.
func (s Shared) Text() []byte {
	text, err := json.Marshal(s)
	if err != nil { // of figures that are none, which Parse refuses
		return nil
	}
	return text
}

// ReadShared reads that.
func ReadShared(text []byte) (s Shared, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // of a later program: what it says would be lost unseen
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("the version cannot be read here: %w", err)
	}
	return s, nil
}

// With is the file with other shared settings, checked as a file is.
func (f *File) With(s Shared) (*File, error) {
	g := *f
	g.Site, g.Rules, g.Attempts, g.Kinds, g.Classes, g.Tenants = s.Site, s.Rules, s.Attempts, s.Kinds, s.Classes, s.Tenants
	g.lines = nil // they are of the file
	copies := []any{&g.Control, &g.Members, &g.Snapshot, &g.Promises, &g.Gangs, &g.Pipelines}
	for _, p := range copies {
		fork(p)
	}
	g.Fronts = slices.Clone(f.Fronts)
	if err := g.check(); err != nil {
		return nil, err
	}
	return &g, nil
}

// fork has a table be a copy, as check fills in what is missing.
func fork(p any) {
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

// Lacks is a fault if this file has no class of that name, which a version brings: the dispatcher would be without it
// after a start by its file alone.
func (f *File) Lacks(s Shared) error {
	for _, c := range s.Classes {
		if !slices.ContainsFunc(f.Classes, func(o Class) bool { return o.Name == c.Name }) {
			return f.at("class", "the version has a class %q, and this file has none: bring the file up to date, then ask again", c.Name)
		}
	}
	return nil
}

// least of two where 0 stands for no bound.
func least[T ~int | ~int64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// fixed is a field in which no value is stricter than another, as it says how things are and not what is allowed.
func fixed(key string, a, b any) error {
	if fmt.Sprint(a) != fmt.Sprint(b) {
		return fmt.Errorf("%s: neither of %v and %v is the stricter, so it cannot be changed while dispatchers run: stop all, then start them with the new file", key, a, b)
	}
	return nil
}

// Stricter is what two versions both allow. Where a field allows nothing (what a class is worth, the grain of the
// clock), the first wins until the other counts alone. An error names a field that has no stricter value.
func Stricter(a, b Shared) (Shared, error) {
	s := a
	for _, err := range []error{
		fixed("site.zones", strings.Join(a.Site.Zones, ","), strings.Join(b.Site.Zones, ",")),
		fixed("site.tells_start", a.Site.TellsStart, b.Site.TellsStart),
		fixed("site.progress", a.Site.Progress, b.Site.Progress),
		fixed("site.rated", a.Site.Rated, b.Site.Rated),
		fixed("rules.fall_window", a.Rules.FallWindow, b.Rules.FallWindow),
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
		Most: min(a.Attempts.Most, b.Attempts.Most), Open: least(a.Attempts.Open, b.Attempts.Open),
		Copies: a.Attempts.Copies && b.Attempts.Copies, Probes: a.Attempts.Probes && b.Attempts.Probes,
		Connect: least(a.Attempts.Connect, b.Attempts.Connect), Idle: least(a.Attempts.Idle, b.Attempts.Idle),
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
	s.Kinds = append(s.Kinds, b.Kinds[len(a.Kinds):]...) // new ones are nobody's yet; the numbers of the others stay
	for i, k := range s.Kinds {
		if b.Kinds[i].Name != k.Name {
			return s, fmt.Errorf("kind: %q and %q have changed places: new kinds come last", b.Kinds[i].Name, k.Name)
		}
	}
	for _, c := range a.Classes {
		i := slices.IndexFunc(b.Classes, func(o Class) bool { return o.Name == c.Name })
		if i < 0 {
			continue // one of them does not have it: it is refused
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

// Floor is what a dispatcher goes by that does not know which version counts: its own settings, but it begins each
// command once, with no copies and no probes, so that it repeats nothing whatever a class's effect has become, and adds
// to no load.
func Floor(s Shared) Shared {
	s.Attempts.Most, s.Attempts.Copies, s.Attempts.Probes = 1, false, false
	return s
}

// As JSON these are bare numbers of their smallest units, so that a version is read as it was written to the last bit.

// UnmarshalJSON reads it.
func (d *Duration) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, (*int64)(d)) }

// UnmarshalJSON reads it.
func (p *Percent) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, (*float64)(p)) }

// UnmarshalJSON reads it.
func (r *Rate) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, (*float64)(r)) }
