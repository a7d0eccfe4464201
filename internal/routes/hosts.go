package routes

import (
	"fmt"
	"regexp"
	"strings"
)

// hostTable finds a server name: exact, then the longest *.x, then the longest x.*, then the first regular
// expression. Names are looked up label by label, so the cost does not grow with their number.
type hostTable struct {
	exact            map[string]int
	leadingWildcard  map[string]int // "*.x", by x
	trailingWildcard map[string]int // "x.*", by x
	regex            []hostRegex
}

type hostRegex struct {
	re    *regexp.Regexp
	index int
}

func newHostTable() *hostTable {
	return &hostTable{exact: map[string]int{}, leadingWildcard: map[string]int{}, trailingWildcard: map[string]int{}}
}

// add inserts a name; the first of two equal ones is used.
func (h *hostTable) add(name string, index int) error {
	insert := func(to map[string]int, key string) {
		if _, ok := to[key]; !ok {
			to[key] = index
		}
	}
	if pattern, ok := strings.CutPrefix(name, "~"); ok {
		re, err := compileRegex(pattern, true)
		if err != nil {
			return err
		}
		h.regex = append(h.regex, hostRegex{re, index})
		return nil
	}
	name = strings.ToLower(name)
	switch {
	case strings.HasPrefix(name, "*."):
		insert(h.leadingWildcard, name[2:])
	case strings.HasPrefix(name, "."):
		insert(h.exact, name[1:])
		insert(h.leadingWildcard, name[1:])
	case strings.HasSuffix(name, ".*"):
		insert(h.trailingWildcard, name[:len(name)-2])
	default:
		insert(h.exact, name)
	}
	if strings.Contains(strings.Trim(name, "*"), "*") {
		return fmt.Errorf("host name %q: a wildcard must be the first or the last label", name)
	}
	return nil
}

// lookup finds a name, given in lower case and without a port.
func (h *hostTable) lookup(name string) (int, bool) {
	index, _, ok := h.match(name)
	return index, ok
}

func (h *hostTable) match(name string) (int, *regexp.Regexp, bool) {
	if n, ok := h.exact[name]; ok {
		return n, nil, true
	}
	for rest := name; ; { // the longest suffix first
		_, after, hasDot := strings.Cut(rest, ".")
		if !hasDot {
			break
		}
		if n, ok := h.leadingWildcard[after]; ok {
			return n, nil, true
		}
		rest = after
	}
	for i := strings.LastIndexByte(name, '.'); i > 0; i = strings.LastIndexByte(name[:i], '.') { // the longest prefix first
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
