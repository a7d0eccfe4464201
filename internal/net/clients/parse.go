package clients

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
	"caperrelay/internal/wire"
)

// Paths of the listener.
const (
	commandPath  = "/api"
	callbackPath = "/_jobs/news"
	readyPath    = "/_health"
	countersPath = "/_counters"
)

// commandFields are the header fields that a command is parsed from, or that are forwarded with it.
var commandFields = []string{
	"Host", "X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "X-Weight-Hint", "X-Facts", "X-Repeat",
	"Idempotency-Key",
}

const (
	maxID       = 128
	maxDuration = 24 * time.Hour
)

// parse parses a command. X-Time-Left is converted to a deadline. The second result is whether the
// command may be retried even if it may have run.
func (s *Server) parse(q *http1.Request, now time.Time) (*dispatch.Command, bool, error) {
	h := q.Header
	for _, name := range commandFields {
		if h.Conflicts(name) { // an instance might use another of them than this program
			return nil, false, errors.New(name + ": more than one")
		}
	}
	c := &dispatch.Command{
		ID: h.Get("X-Correlation-Id"), Class: h.Get("X-Service-Class"), Tenant: h.Get("X-Account"),
		Payload: q, Retry: h.Get("X-Repeat") == "1",
	}
	// The ID is written into header lines and request targets.
	if !http1.IsVisible(c.ID) || len(c.ID) > maxID || strings.ContainsAny(c.ID, "/?#%") {
		return nil, false, errors.New("X-Correlation-Id: missing or malformed")
	}
	if strings.Contains(q.Target, "#") { // a fragment is never sent in a target
		return nil, false, errors.New("target: malformed")
	}
	class, ok := (*s.classes.Load())[c.Class]
	if !ok {
		return nil, false, errors.New("X-Service-Class: missing or unknown")
	}
	remaining := class.Deadline
	if h.Present("X-Time-Left") {
		var err error
		if remaining, err = parseDuration(h.Get("X-Time-Left")); err != nil {
			return nil, false, fmt.Errorf("X-Time-Left: %w", err)
		}
	}
	c.Deadline = now.Add(remaining)
	if text := h.Get("X-Weight-Hint"); text != "" {
		var err error
		if c.Work, err = parseDuration(text); err != nil {
			return nil, false, fmt.Errorf("X-Weight-Hint: %w", err)
		}
	}
	if user := cookie(h, "user"); user != "" {
		key, ok := wire.KeyNumber(user)
		if !ok {
			f := fnv.New64a()
			f.Write([]byte(user))
			key = f.Sum64()
		}
		c.Key = max(key, 1) // 0 means no key
	}
	return c, dispatch.MayRetry(class), parseFacts(h.Get("X-Facts"), map[string]*float64{"slots": &c.Slots, "memory": &c.Memory})
}

// parseDuration parses a number with its unit, m for milliseconds or u for microseconds.
func parseDuration(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, fmt.Errorf("%q has no unit m or u", text)
		}
	}
	n, err := parseNumber(number)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(n*float64(unit), float64(maxDuration))), nil
}

// parseNumber parses a number that is finite and not negative.
func parseNumber(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0) || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%q is no figure", text)
	}
	return n, nil
}

// parseFacts parses name=value,name=value and stores the values of the names in wanted.
func parseFacts(text string, wanted map[string]*float64) error {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if target := wanted[name]; target != nil {
			var err error
			if *target, err = parseNumber(value); err != nil {
				return fmt.Errorf("X-Facts: %s: %w", name, err)
			}
		}
	}
	return nil
}

func cookie(h http1.Header, name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, "Cookie") {
			for part := range strings.SplitSeq(f.Value, ";") {
				if n, v, _ := strings.Cut(strings.TrimSpace(part), "="); n == name {
					return v
				}
			}
		}
	}
	return ""
}

// formatSeconds formats a Retry-After: in decimal seconds, rounded up to the millisecond.
func formatSeconds(d time.Duration) string {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
}
