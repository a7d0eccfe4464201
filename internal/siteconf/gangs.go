package siteconf

import "fmt"

// Gangs configures gangs: jobs whose members start together at several sites. They are stored in the record of [promises].
type Gangs struct {
	Partners []Partner `toml:"partner"`
	Clock    Duration  `toml:"clock"` // offset added to this dispatcher's clock, for tests with clock skew
}

// Partner lends slots of the encoders at its sites. A bound that is left out does not apply.
type Partner struct {
	Name  string   `toml:"name"`
	Sites []string `toml:"sites"`
	Slots int      `toml:"slots"` // lent at once
	Share Percent  `toml:"share"` // of its encoders' slots, lent at once
	Hours float64  `toml:"hours"` // slot-hours lent per UTC day
}

// checkGangs validates [gangs].
func (f *File) checkGangs() error {
	g := f.Gangs
	if g == nil {
		return nil
	}
	if f.Promises == nil {
		return f.errorAt("gangs", "a [promises] table is needed: its record keeps what is held, by all dispatchers")
	}
	if len(f.Kinds) == 0 {
		return f.errorAt("kind", "missing: gangs hold slots, so each kind of encoder must say how many it has")
	}
	lenders := map[string]string{}
	for i, p := range g.Partners {
		at := func(key string) string { return fmt.Sprintf("gangs.partner[%d].%s", i, key) }
		switch {
		case p.Name == "":
			return f.errorAt(at("name"), "missing")
		case len(p.Sites) == 0:
			return f.errorAt(at("sites"), `missing: write sites = ["a"], of site.zones`)
		case p.Slots < 0 || p.Slots > 1<<20 || !(p.Hours >= 0):
			return f.errorAt(at("slots"), "less than none, or too many")
		case p.Slots == 0 && p.Share == 0 && p.Hours == 0:
			return f.errorAt(at("slots"), `missing: write one of slots = 8, share = "50%%" and hours = 100, or leave the partner out: then it lends all`)
		}
		for _, s := range p.Sites {
			if f.zoneIndex(s) < 0 {
				return f.errorAt(at("sites"), "%q is none of site.zones", s)
			}
			if lenders[s] != "" {
				return f.errorAt(at("sites"), "%q is %s's already", s, lenders[s])
			}
			lenders[s] = p.Name
		}
	}
	return nil
}
