package loadreport

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
)

// Only the fields named in the settings are read, under any of their names. Invalid reports are logged once and
// change nothing.
func TestParsedReports(t *testing.T) {
	var log bytes.Buffer
	r := New([]string{"x0", "avg_ms", "cpu"}, slog.New(slog.NewTextHandler(&log, nil)))
	freeSlots := func(n float64) *decide.Report {
		return &decide.Report{Active: -1, Waiting: -1, FreeSlots: n, FreeMemory: -1}
	}
	for text, want := range map[string]*decide.Report{
		`{"avg_ms":87.5,"cpu":0.136,"x0":6.04}`:     freeSlots(6.04),
		`{"x0":0,"queue":7,"x1":"not ours","a":{}}`: freeSlots(0),
		`{"util":1}`: freeSlots(-1),
		`null`:       nil, ``: nil,
	} {
		require.Equal(t, want, r.ParseObject([]byte(text)), text)
	}
	require.Equal(t, freeSlots(3), r.ParseLine("TEXT x0=3, util=0.61,latency_ms=8"))
	require.Equal(t, freeSlots(-1), r.ParseLine("text inflight=7"))
	require.Empty(t, log.String())
	for _, text := range []string{`{"x0":-1}`, `{"x0":1e9}`, `{"x0":"3"}`, `{"cpu":null`, `[3]`, `{"x0":1e999}`, strings.Repeat(" ", 2000)} {
		require.Nil(t, r.ParseObject([]byte(text)), text)
	}
	for _, text := range []string{"x0=3", "TEXT x0=NaN", "TEXT x0", "TEXT x0=+Inf", "BIN x0=3"} {
		require.Nil(t, r.ParseLine(text), text)
	}
	require.Equal(t, 1, strings.Count(log.String(), "\n"))

	r.SetFields([]string{"inflight", "queue"})
	require.Equal(t, &decide.Report{Active: 7, Waiting: 2, FreeSlots: -1, FreeMemory: -1}, r.ParseLine("TEXT inflight=7, queue=2, util=0.61"))
	r.SetFields(nil)
	require.Nil(t, r.ParseObject([]byte(`{"x0":1}`)))
	var nilReader *Reader
	require.False(t, nilReader.Enabled())
	require.Nil(t, nilReader.ParseLine("TEXT x0=3"))
}

// A null value counts as absent. Guards against reading it as 0, which means no free slots.
func TestNullIsIgnored(t *testing.T) {
	r := New([]string{"x0", "inflight"}, slog.New(slog.DiscardHandler))
	require.Equal(t, &decide.Report{Active: 7, Waiting: -1, FreeSlots: -1, FreeMemory: -1}, r.ParseObject([]byte(`{"x0":null,"inflight":7}`)))
}

// Any report is either read or rejected, without a panic or a value out of range.
func FuzzReports(f *testing.F) {
	for _, seed := range []string{`{"x0":1}`, `{"x0":null}`, `{"x0":[1]}`, "TEXT x0=1", "TEXT =,=", "text x0=0x1p9,queue=1e5", "TEXT ", `{"x0":1e400}`} {
		f.Add(seed)
	}
	r := New([]string{"x0", "queue", "inflight", "x1"}, slog.New(slog.DiscardHandler))
	f.Fuzz(func(t *testing.T, text string) {
		for _, report := range []*decide.Report{r.ParseObject([]byte(text)), r.ParseLine(text)} {
			if report == nil {
				continue
			}
			for _, n := range []float64{report.Active, report.Waiting, report.FreeSlots, report.FreeMemory} {
				require.True(t, n == -1 || n >= 0 && n <= maxValue, n)
			}
		}
	})
}
