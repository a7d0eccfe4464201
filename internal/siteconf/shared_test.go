package siteconf

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawVersion draws a version. Its classes and tenants are a subset of a few; fields without a stricter value are constant.
func drawVersion(t *rapid.T) Shared {
	number := func(limit int) int { return rapid.IntRange(0, limit).Draw(t, "n") }
	span := func() Duration { return Duration(time.Duration(1+number(9)) * time.Millisecond) }
	yes := func() bool { return rapid.Bool().Draw(t, "yes") }
	f := defaults()
	s := f.Shared()
	s.Site.Zones, s.Site.Crossing, s.Site.Grain = []string{"a"}, float64(number(3)), span()
	s.Rules.DrainGrace, s.Rules.ColdFrom, s.Rules.Cold, s.Rules.FallMultiple = span(), Percent(number(9))/10, span(), float64(1+number(4))
	s.Attempts = Attempts{Most: 1 + number(3), Open: number(3), Copies: yes(), Probes: yes(), Connect: span(), Idle: span(), MaxRetryAfter: span()}
	s.Kinds = []Kind{{"m2", float64(1 + number(3))}}
	for i := range 3 {
		if i == 0 || yes() {
			aim := span()
			s.Classes = append(s.Classes, Class{
				Name: fmt.Sprint("c", i), Effect: []string{"repeat", "once"}[number(1)], Aim: aim, Stretch: float64(number(3)), Deadline: aim + span(),
				Worth: float64(1 + number(3)), Kind: []string{"", "m2"}[number(1)],
			})
		}
		if yes() {
			s.Tenants = append(s.Tenants, Tenant{fmt.Sprint("t", i), Rate(1 + number(9))})
		}
	}
	return s
}

// Combining the result of Stricter with either version again does not change it, in either order, and a file accepts it.
func TestStricter(t *testing.T) {
	f, err := Parse("f.toml", []byte("[node]\nname = \"n\"\nlisten = \"h:1\"\ndiscovery = \"h:2\"\n[site]\nzones = [\"a\"]\n[[class]]\nname = \"c0\"\neffect = \"once\"\naim = \"1s\"\ndeadline = \"1s\"\nworth = 1\n"))
	require.NoError(t, err)
	same := func(t *rapid.T, a, b Shared) { // fields that restrict nothing come from the first version
		b.Site.Grain = a.Site.Grain
		for i := range b.Classes {
			if i < len(a.Classes) {
				b.Classes[i].Worth = a.Classes[i].Worth
			}
		}
		if string(a.Encode()) != string(b.Encode()) {
			t.Fatalf("%s\n%s", a.Encode(), b.Encode())
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawVersion(t), drawVersion(t)
		both, err := Stricter(a, b)
		if err != nil {
			t.Fatal(err)
		}
		other, _ := Stricter(b, a)
		byA, _ := Stricter(both, a)
		byB, _ := Stricter(both, b)
		same(t, both, byA)
		same(t, both, byB)
		if len(both.Tenants)+len(other.Tenants) == 2*len(both.Tenants) {
			same(t, both, other)
		}
		if _, err := f.WithShared(both); err != nil {
			t.Fatal(err)
		}
		if _, err := f.WithShared(Restricted(both)); err != nil {
			t.Fatal(err)
		}
		if read, err := DecodeShared(both.Encode()); err != nil || string(read.Encode()) != string(both.Encode()) {
			t.Fatal(err)
		}
	})
}

func TestStricterErrors(t *testing.T) {
	for key, change := range map[string]func(*Shared){
		"site.zones":        func(s *Shared) { s.Site.Zones = []string{"a", "b"} },
		"site.tells_start":  func(s *Shared) { s.Site.TellsStart = !s.Site.TellsStart },
		"site.progress":     func(s *Shared) { s.Site.Progress++ },
		"site.rated":        func(s *Shared) { s.Site.Rated = true },
		"rules.fall_window": func(s *Shared) { s.Rules.FallWindow++ },
		`kind: "m2"`:        func(s *Shared) { s.Kinds = []Kind{{"m3", 1}} },
		`class.kind of "c"`: func(s *Shared) { s.Classes[0].Kind = "m3" },
		"class: the":        func(s *Shared) { s.Classes[0].Name = "d" },
	} {
		f := defaults()
		a := f.Shared()
		a.Kinds, a.Classes = []Kind{{"m2", 1}}, []Class{{Name: "c", Effect: "once", Kind: "m2"}}
		g := File{Kinds: a.Kinds, Classes: a.Classes, Site: a.Site, Rules: a.Rules, Attempts: a.Attempts}
		b := g.Shared()
		change(&b)
		_, err := Stricter(a, b)
		require.ErrorContains(t, err, key)
	}
}
