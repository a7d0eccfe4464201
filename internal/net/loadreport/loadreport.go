// Package loadreport reads the load reports that instances send along: as an object in call-backs and in the
// answers to probes, as a header line in answers that end an attempt. What the figures mean is the module's.
package loadreport

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/wire"
)

// HeaderField is where answers carry a report, behind the name of its form.
const HeaderField = "X-Backend-Load"

const lineForm = "TEXT "

// The bounds of a report. One beyond them is no instance's, and a size that it told would count for all instances
// of a kind.
const (
	maxText   = 1 << 10
	maxFigure = 1 << 16
)

// complainEvery is how often rubbish is logged.
const complainEvery = time.Minute

// Reader reads reports, of each only the fields that the settings name. A nil Reader finds none.
type Reader struct {
	fields     atomic.Pointer[map[string]bool]
	log        *slog.Logger
	complained atomic.Int64 // when, in nanoseconds of Unix time
}

// New returns a reader of the fields that settings name.
func New(fields []string, logger *slog.Logger) *Reader {
	r := &Reader{log: logger}
	r.Retune(fields)
	return r
}

// Retune has other fields read from now on.
func (r *Reader) Retune(fields []string) {
	named := map[string]bool{}
	for _, f := range fields {
		named[wire.ReportField(f)] = true
	}
	r.fields.Store(&named)
}

// Any tells whether there are reports at all.
func (r *Reader) Any() bool { return r != nil && len(*r.fields.Load()) > 0 }

// Object reads a JSON object; nil: it tells nothing that the settings name.
func (r *Reader) Object(text []byte) *decide.Report {
	if !r.Any() || len(text) == 0 || string(text) == "null" {
		return nil
	}
	return r.read("object", len(text), func(named map[string]bool) (map[string]float64, error) {
		var all map[string]json.RawMessage
		if err := json.Unmarshal(text, &all); err != nil {
			return nil, err
		}
		found := map[string]float64{}
		for name, value := range all {
			if name = wire.ReportField(name); named[name] && string(value) != "null" {
				var n float64
				if err := json.Unmarshal(value, &n); err != nil {
					return nil, fmt.Errorf("%s: %w", name, err)
				}
				found[name] = n
			}
		}
		return found, nil
	})
}

// Line reads the header field's value: TEXT name=figure, name=figure.
func (r *Reader) Line(text string) *decide.Report {
	if !r.Any() || text == "" {
		return nil
	}
	return r.read("line", len(text), func(named map[string]bool) (map[string]float64, error) {
		if len(text) < len(lineForm) || !strings.EqualFold(text[:len(lineForm)], lineForm) {
			return nil, errors.New("not in the form TEXT")
		}
		found := map[string]float64{}
		for part := range strings.SplitSeq(text[len(lineForm):], ",") {
			name, value, _ := strings.Cut(part, "=")
			if name = wire.ReportField(strings.TrimSpace(name)); named[name] {
				n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				if err != nil {
					return nil, fmt.Errorf("%s: %w", name, err)
				}
				found[name] = n
			}
		}
		return found, nil
	})
}

// read takes what a parser finds, all or nothing.
func (r *Reader) read(form string, size int, parse func(named map[string]bool) (map[string]float64, error)) *decide.Report {
	var found map[string]float64
	err := errors.New("too long")
	if size <= maxText {
		found, err = parse(*r.fields.Load())
	}
	for name, n := range found {
		if math.IsNaN(n) || n < 0 || n > maxFigure {
			err = fmt.Errorf("%s: %v is no load", name, n)
		}
	}
	if err != nil {
		r.complain(form, err)
		return nil
	}
	return wire.Report(maps.All(found))
}

func (r *Reader) complain(form string, err error) {
	now, last := time.Now().UnixNano(), r.complained.Load()
	if now-last >= int64(complainEvery) && r.complained.CompareAndSwap(last, now) {
		r.log.Warn("load report ignored, as others may be", "form", form, "err", err)
	}
}
