package siteconf

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/wire"
)

func sample(t *testing.T) string {
	text, err := os.ReadFile("../../deploy/site.sample.toml")
	require.NoError(t, err)
	return string(text)
}

// The documented sample is valid and converts to the platform's form with the same values.
func TestSampleConverts(t *testing.T) {
	f, err := Parse("site.toml", []byte(sample(t)))
	require.NoError(t, err)
	text, err := f.PlatformJSON()
	require.NoError(t, err)
	var converted struct {
		Admin    string             `json:"admin_addr"`
		Limits   map[string]float64 `json:"Limits"`
		Settings json.RawMessage    `json:"Settings"`
	}
	require.NoError(t, json.Unmarshal(text, &converted))
	require.Equal(t, "127.0.0.1:9800", converted.Admin)
	require.Equal(t, 192.0, converted.Limits["memory_mb"])
	s, n, err := wire.ParseSettings(converted.Settings)
	require.NoError(t, err)
	require.Equal(t, []string{"preview", "publish"}, n.Classes)
	require.Equal(t, 0.14, s.Rules.ColdFrom)
	require.Equal(t, 24*time.Second, s.Rules.Cold)
	require.Equal(t, 500*time.Millisecond, s.Classes[0].Aim)
	require.Equal(t, 0, s.Classes[0].Kind)
	require.Equal(t, -1, s.Classes[1].Kind)
	require.Equal(t, 50.0, s.Tenants[0].QuotaPerSecond)
	require.Equal(t, 2, s.DispatcherCount)
	require.Equal(t, 0.05, s.Prices.CrossZone)
	require.Equal(t, 64, f.Control.Senders)
}

// Each error is one line with file, line, key and a correction.
func TestErrorsNameLineKeyAndCorrection(t *testing.T) {
	for _, c := range []struct {
		from, to string // a change of the sample
		line     string // the key's line after the change
		want     []string
	}{
		{`aim = "500ms"`, `aim = 500`, `aim = 500`, []string{"class", "aim", `write "500ms"`}},
		{`aim = "500ms"`, `aim = "500"`, `aim = "500"`, []string{"aim", `write "500ms"`}},
		{`aim = "500ms"`, `aim = "soon"`, `aim = "soon"`, []string{"aim", "no time", `"250ms"`}},
		{`aim = "500ms"`, `aim = "-1s"`, `aim = "-1s"`, []string{"aim", "less than no time"}},
		{`aim = "500ms"`, ``, `name = "preview"`, []string{"class[0].aim", "missing"}},
		{`memory = "192MB"`, `memory = 192`, `memory = 192`, []string{"limits.memory", `"192MB"`}},
		{`memory = "192MB"`, `memory = "8MB"`, `memory = "8MB"`, []string{"limits.memory", `"32MB"`}},
		{`cold_from = "14%"`, `cold_from = "140%"`, `cold_from = "140%"`, []string{"cold_from", "share"}},
		{`rate = "50/s"`, `rate = "50"`, `rate = "50"`, []string{"rate", `"50/s"`}},
		{`sockets = 1024`, `sokets = 1024`, `sokets = 1024`, []string{"limits.sokets", `write "sockets"`}},
		{`sockets = 1024`, `zzzzzzzz = 1`, `zzzzzzzz = 1`, []string{"zzzzzzzz", "remove it"}},
		{`sockets = 1024`, `sockets = "many"`, `sockets = "many"`, []string{"sockets", "wrong type"}},
		{`effect = "once"`, `effect = "twice"`, `effect = "twice"`, []string{"class[1].effect", `"repeat"`, `"once"`}},
		{`name = "publish"`, `name = "preview"`, `effect = "once"`, []string{"class[1].name", "there twice"}},
		{`kind = "m2"`, `kind = "m3"`, `kind = "m3"`, []string{"class[0].kind", "no [[kind]]"}},
		{`deadline = "5s"`, `deadline = "5ms"`, `deadline = "5ms"`, []string{"class[0].deadline", "before the aim"}},
		{`number = 0`, `number = 2`, `number = 2`, []string{"node.number", "from 0"}},
		{`zone = "a"`, `zone = "c"`, `zone = "c"`, []string{"node.zone", "site.zones"}},
		{`silence = "500ms"`, `silence = "5s"`, `silence = "5s"`, []string{"control.silence", `"600ms"`}},
		{`slots = 8`, `slots = 0`, `slots = 0`, []string{"kind[0].slots", "leases"}},
		{`#[control.tls]`, `[control.tls]`, `[control.tls]`, []string{"control.tls", "PEM"}},
		{`name = "n0"`, `name = "n0`, `name = "n0`, []string{"name"}},
		{`name = "n0"`, `name = "n0"` + "\nname = \"n1\"", `name = "n1"`, []string{"name"}},
	} {
		t.Run(c.to, func(t *testing.T) {
			text := sample(t)
			require.Contains(t, text, c.from)
			text = strings.Replace(text, c.from, c.to, 1)
			_, err := Parse("site.toml", []byte(text))
			var fileErr *Error
			require.ErrorAs(t, err, &fileErr)
			require.NotContains(t, err.Error(), "\n")
			for _, w := range c.want {
				require.ErrorContains(t, err, w)
			}
			if !strings.Contains(c.want[0], "[1].name") && c.from != `aim = "500ms"` || c.to != "" && c.from == `aim = "500ms"` {
				require.Contains(t, strings.Split(text, "\n")[max(0, fileErr.Line-1)], c.line, "line %d: %v", fileErr.Line, err)
			}
		})
	}
}

// No text makes Parse panic or hang.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[node]\nname = 1"))
	f.Add([]byte("[[class]]\n[[class]]\naim = \"1s\""))
	f.Add([]byte("a.b.c = [1, {x = 2}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		done := make(chan error, 1)
		go func() {
			file, err := Parse("f", text)
			if err == nil {
				_, err = file.PlatformJSON()
			} else {
				err = nil
			}
			done <- err
		}()
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no end: %q", text)
		}
	})
}
