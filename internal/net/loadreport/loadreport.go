// Package loadreport parses the load reports of instances: a JSON object in callbacks and answers to probes, or a
// header line in answers that end an attempt. The decision module interprets the values.
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

// HeaderField is the header field of a report in an answer. Its value begins with the name of the report's format.
const HeaderField = "X-Backend-Load"

const linePrefix = "TEXT "

// Limits of a report. Instances send none beyond them. Free slots plus active jobs give an instance's size, and the
// largest size counts for its whole kind, so a false value would affect all instances of the kind.
const (
	maxSize  = 1 << 10
	maxValue = 1 << 16
)

// logInterval is the minimum time between log messages about invalid reports.
const logInterval = time.Minute

// Reader parses reports. Of each it reads the fields named in the settings only. A nil Reader returns no reports.
type Reader struct {
	fields     atomic.Pointer[map[string]bool]
	log        *slog.Logger
	lastLogged atomic.Int64 // Unix time in nanoseconds
}

// New returns a reader of the fields that the settings name.
func New(fields []string, logger *slog.Logger) *Reader {
	r := &Reader{log: logger}
	r.SetFields(fields)
	return r
}

// SetFields replaces the fields that are read.
func (r *Reader) SetFields(fields []string) {
	wanted := map[string]bool{}
	for _, f := range fields {
		wanted[wire.ReportField(f)] = true
	}
	r.fields.Store(&wanted)
}

// Enabled reports whether any fields are read.
func (r *Reader) Enabled() bool { return r != nil && len(*r.fields.Load()) > 0 }

// ParseObject parses a JSON object. It returns nil if there is no report or it is invalid.
func (r *Reader) ParseObject(text []byte) *decide.Report {
	if !r.Enabled() || len(text) == 0 || string(text) == "null" {
		return nil
	}
	return r.parseChecked("object", len(text), func(wanted map[string]bool) (map[string]float64, error) {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(text, &object); err != nil {
			return nil, err
		}
		values := map[string]float64{}
		for name, value := range object {
			if name = wire.ReportField(name); wanted[name] && string(value) != "null" {
				var number float64
				if err := json.Unmarshal(value, &number); err != nil {
					return nil, fmt.Errorf("%s: %w", name, err)
				}
				values[name] = number
			}
		}
		return values, nil
	})
}

// ParseLine parses a header value of the form "TEXT name=number, name=number".
func (r *Reader) ParseLine(text string) *decide.Report {
	if !r.Enabled() || text == "" {
		return nil
	}
	return r.parseChecked("line", len(text), func(wanted map[string]bool) (map[string]float64, error) {
		if len(text) < len(linePrefix) || !strings.EqualFold(text[:len(linePrefix)], linePrefix) {
			return nil, errors.New("not in the TEXT format")
		}
		values := map[string]float64{}
		for part := range strings.SplitSeq(text[len(linePrefix):], ",") {
			name, value, _ := strings.Cut(part, "=")
			if name = wire.ReportField(strings.TrimSpace(name)); wanted[name] {
				number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				if err != nil {
					return nil, fmt.Errorf("%s: %w", name, err)
				}
				values[name] = number
			}
		}
		return values, nil
	})
}

// parseChecked returns the report that parse finds, or nil if any of its values is invalid.
func (r *Reader) parseChecked(form string, size int, parse func(wanted map[string]bool) (map[string]float64, error)) *decide.Report {
	var values map[string]float64
	err := errors.New("report too long")
	if size <= maxSize {
		values, err = parse(*r.fields.Load())
	}
	for name, n := range values {
		if math.IsNaN(n) || n < 0 || n > maxValue {
			err = fmt.Errorf("%s: %v is out of range", name, n)
		}
	}
	if err != nil {
		r.logInvalid(form, err)
		return nil
	}
	return wire.Report(maps.All(values))
}

func (r *Reader) logInvalid(form string, err error) {
	now, last := time.Now().UnixNano(), r.lastLogged.Load()
	if now-last >= int64(logInterval) && r.lastLogged.CompareAndSwap(last, now) {
		r.log.Warn("invalid load report ignored; further ones within a minute are not logged", "form", form, "err", err)
	}
}
