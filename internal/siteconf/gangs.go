package siteconf

import "fmt"

// Gangs has dispatchers take jobs whose members start together at several sites. The record of [promises] keeps them.
type Gangs struct {
	Partners []Partner `toml:"partner"`
	Clock    Duration  `toml:"clock"` // by which this dispatcher's is put ahead: for trials of clocks that are apart
}

// Partner lends slots of the encoders at its sites. What is not said has no bound.
type Partner struct {
	Name  string   `toml:"name"`
	Sites []string `toml:"sites"`
	Slots int      `toml:"slots"` // to gangs at once
	Share Percent  `toml:"share"` // of the slots of its encoders, at once
	Hours float64  `toml:"hours"` // slot-hours in a day of UTC
}

// checkGangs finds what no gang could be kept by.
func (f *File) checkGangs() error {
	g := f.Gangs
	if g == nil {
		return nil
	}
	if f.Promises == nil {
		return f.at("gangs", "a [promises] table is needed: its record keeps what is held, by all dispatchers")
	}
	if len(f.Kinds) == 0 {
		return f.at("kind", "missing: gangs hold slots, so each kind of encoder must say how many it has")
	}
	lends := map[string]string{}
	for i, p := range g.Partners {
		at := func(key string) string { return fmt.Sprintf("gangs.partner[%d].%s", i, key) }
		switch {
		case p.Name == "":
			return f.at(at("name"), "missing")
		case len(p.Sites) == 0:
			return f.at(at("sites"), `missing: write sites = ["a"], of site.zones`)
		case p.Slots < 0 || p.Slots > 1<<20 || !(p.Hours >= 0):
			return f.at(at("slots"), "less than none, or too many")
		case p.Slots == 0 && p.Share == 0 && p.Hours == 0:
			return f.at(at("slots"), `missing: write one of slots = 8, share = "50%%" and hours = 100, or leave the partner out: then it lends all`)
		}
		for _, s := range p.Sites {
			if f.zone(s) < 0 {
				return f.at(at("sites"), "%q is none of site.zones", s)
			}
			if lends[s] != "" {
				return f.at(at("sites"), "%q is %s's already", s, lends[s])
			}
			lends[s] = p.Name
		}
	}
	return nil
}
