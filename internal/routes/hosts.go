package routes

import (
	"fmt"
	"regexp"
	"strings"
)

// hostTable finds a name: exact, then the longest *.x, then the longest x.*, then the first regex. Names are
// looked up label by label, so their number costs nothing.
type hostTable struct {
	exact            map[string]int
	leadingWildcard  map[string]int // of "*.x", by x
	trailingWildcard map[string]int // of "x.*", by x
	regex            []hostRegex
}

type hostRegex struct {
	re    *regexp.Regexp
	index int
}

func newHostTable() *hostTable {
	return &hostTable{exact: map[string]int{}, leadingWildcard: map[string]int{}, trailingWildcard: map[string]int{}}
}

// add puts a name in; the first of two equal ones counts.
func (h *hostTable) add(name string, n int) error {
	put := func(to map[string]int, key string) {
		if _, ok := to[key]; !ok {
			to[key] = n
		}
	}
	if re, ok := strings.CutPrefix(name, "~"); ok {
		c, err := compileRegex(re, true)
		if err != nil {
			return err
		}
		h.regex = append(h.regex, hostRegex{c, n})
		return nil
	}
	name = strings.ToLower(name)
	switch {
	case strings.HasPrefix(name, "*."):
		put(h.leadingWildcard, name[2:])
	case strings.HasPrefix(name, "."):
		put(h.exact, name[1:])
		put(h.leadingWildcard, name[1:])
	case strings.HasSuffix(name, ".*"):
		put(h.trailingWildcard, name[:len(name)-2])
	default:
		put(h.exact, name)
	}
	if strings.Contains(strings.Trim(name, "*"), "*") {
		return fmt.Errorf("the name %q has a star inside", name)
	}
	return nil
}

// lookup looks a name up, in small letters and without its port.
func (h *hostTable) lookup(name string) (int, bool) {
	n, _, ok := h.match(name)
	return n, ok
}

func (h *hostTable) match(name string) (int, *regexp.Regexp, bool) {
	if n, ok := h.exact[name]; ok {
		return n, nil, true
	}
	for rest := name; ; { // the longest ending first
		_, after, more := strings.Cut(rest, ".")
		if !more {
			break
		}
		if n, ok := h.leadingWildcard[after]; ok {
			return n, nil, true
		}
		rest = after
	}
	for i := strings.LastIndexByte(name, '.'); i > 0; i = strings.LastIndexByte(name[:i], '.') { // the longest beginning first
		if n, ok := h.trailingWildcard[name[:i]]; ok {
			return n, nil, true
		}
	}
	for _, r := range h.regex {
		if r.re.MatchString(name) {
			return r.index, r.re, true
		}
	}
	return 0, nil, false
}
