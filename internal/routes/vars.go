package routes

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
)

// evaluation is a request on its way through the routes.
type evaluation struct {
	table            *Table
	request          Request
	host             string
	server           *server
	path             string // decoded
	args             string
	uriChanged       bool // by a rewrite: the raw target counts no more
	uriChangedHere   bool // by one since the location was entered
	rewroteWithBreak bool // by one that ends in break: what the location had of the path counts no more either
	captures         []string
	namedCaptures    map[string]string
	variables        map[string]string
	variableDepth    int // of variables within variables
	why              []string
}

func (s *evaluation) trace(format string, args ...any) {
	s.why = append(s.why, fmt.Sprintf(format, args...))
}

// template is a text with variables.
type template struct{ parts []part }

type part struct {
	text string
	name string // of a variable; empty: text
}

// parseTemplate reads $name and ${name}.
func parseTemplate(text string) (t template, err error) {
	for text != "" {
		i := strings.IndexByte(text, '$')
		if i < 0 || i == len(text)-1 {
			t.parts = append(t.parts, part{text: text})
			return t, nil
		}
		if i > 0 {
			t.parts = append(t.parts, part{text: text[:i]})
		}
		text = text[i+1:]
		if text[0] == '{' {
			name, rest, ok := strings.Cut(text[1:], "}")
			if !ok || !isName(name) {
				return t, fmt.Errorf("a variable without its end in %q", "$"+text)
			}
			t.parts, text = append(t.parts, part{name: name}), rest
			continue
		}
		n := 0
		if text[0] >= '1' && text[0] <= '9' {
			n = 1
		} else {
			for n < len(text) && isNameByte(text[n]) {
				n++
			}
		}
		if n == 0 { // a dollar that begins no name stands for itself
			t.parts = append(t.parts, part{text: "$"})
			continue
		}
		t.parts, text = append(t.parts, part{name: text[:n]}), text[n:]
	}
	return t, nil
}

func isNameByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func isName(s string) bool {
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return s != ""
}

// hasVariables tells whether there are any.
func (t template) hasVariables() bool {
	for _, p := range t.parts {
		if p.name != "" {
			return true
		}
	}
	return false
}

func (t template) eval(s *evaluation) string {
	if len(t.parts) == 1 && t.parts[0].name == "" {
		return t.parts[0].text
	}
	var b strings.Builder
	for _, p := range t.parts {
		if p.name == "" {
			b.WriteString(p.text)
		} else {
			b.WriteString(s.variable(p.name))
		}
	}
	return b.String()
}

// maxVariableDepth bounds variables that name each other.
const maxVariableDepth = 16

func (s *evaluation) variable(name string) string {
	if v, ok := s.variables[name]; ok {
		return v
	}
	if n, err := strconv.Atoi(name); err == nil {
		if n < len(s.captures) {
			return s.captures[n]
		}
		return ""
	}
	if v, ok := s.namedCaptures[name]; ok {
		return v
	}
	if m := s.table.vars[name]; m != nil {
		if s.variableDepth++; s.variableDepth > maxVariableDepth {
			return ""
		}
		defer func() { s.variableDepth-- }()
		return m.eval(s)
	}
	switch name {
	case "uri", "document_uri":
		return s.path
	case "request_uri":
		return s.request.Target
	case "args", "query_string":
		return s.args
	case "is_args":
		if s.args != "" {
			return "?"
		}
		return ""
	case "host":
		return s.host
	case "http_host":
		return s.request.Host
	case "request_method":
		return s.request.Method
	case "scheme":
		if s.request.TLS {
			return "https"
		}
		return "http"
	case "https":
		if s.request.TLS {
			return "on"
		}
		return ""
	case "remote_addr", "binary_remote_addr":
		return s.request.Remote
	case "server_name":
		return s.server.name()
	case "server_port":
		return s.request.Listen[strings.LastIndexByte(s.request.Listen, ':')+1:]
	case "proxy_add_x_forwarded_for":
		if before := s.header("X-Forwarded-For"); before != "" {
			return before + ", " + s.request.Remote
		}
		return s.request.Remote
	}
	if arg, ok := strings.CutPrefix(name, "arg_"); ok {
		for p := range strings.SplitSeq(s.args, "&") {
			if k, v, _ := strings.Cut(p, "="); strings.EqualFold(k, arg) {
				return v
			}
		}
		return ""
	}
	if cookie, ok := strings.CutPrefix(name, "cookie_"); ok {
		for p := range strings.SplitSeq(s.header("Cookie"), ";") {
			if k, v, _ := strings.Cut(strings.TrimSpace(p), "="); k == cookie {
				return v
			}
		}
		return ""
	}
	if field, ok := strings.CutPrefix(name, "http_"); ok {
		return s.header(strings.ReplaceAll(field, "_", "-"))
	}
	return ""
}

func (s *evaluation) header(name string) string {
	if s.request.Header == nil {
		return ""
	}
	return s.request.Header(name)
}

// mapping is a Mapping compiled.
type mapping struct {
	kind         string
	from         template
	exact        map[string]template
	hosts        *hostTable
	values       []template // by the hosts' index
	regex        []regexCase
	nets         []netCase
	splits       []splitCase
	defaultValue template
}

type regexCase struct {
	re    *regexp.Regexp
	value template
}

type netCase struct {
	net   netip.Prefix
	value template
}

type splitCase struct {
	upperBound uint64 // of the hash
	value      template
}

func compileMapping(m Mapping) (*mapping, error) {
	from, err := parseTemplate(m.From)
	if err != nil {
		return nil, err
	}
	out := &mapping{kind: m.Kind, from: from, exact: map[string]template{}}
	if out.defaultValue, err = parseTemplate(m.Other); err != nil {
		return nil, err
	}
	if m.Hosts {
		out.hosts = newHostTable()
	}
	sum := 0.0
	for _, c := range m.Cases {
		value, err := parseTemplate(c[1])
		if err != nil {
			return nil, err
		}
		switch pattern := c[0]; {
		case m.Kind == "split":
			percent, ok := strings.CutSuffix(pattern, "%")
			n, err := strconv.ParseFloat(percent, 64)
			if pattern == "*" {
				n, ok, err = 100-sum, true, nil
			}
			if sum += n; !ok || err != nil || n < 0 || sum > 100.0001 {
				return nil, fmt.Errorf("split_clients: %q, in all %v%%", pattern, sum)
			}
			below := uint64(math.Round(sum*100)) * 0xffffffff / 10000
			if pattern == "*" {
				below = 1 << 32
			}
			out.splits = append(out.splits, splitCase{below, value})
		case m.Kind == "geo":
			if !strings.Contains(pattern, "/") {
				pattern += map[bool]string{true: "/128", false: "/32"}[strings.Contains(pattern, ":")]
			}
			net, err := netip.ParsePrefix(pattern)
			if err != nil {
				return nil, fmt.Errorf("geo: %w", err)
			}
			out.nets = append(out.nets, netCase{net.Masked(), value})
		case strings.HasPrefix(pattern, "~"):
			re, err := compileRegex(strings.TrimPrefix(pattern[1:], "*"), strings.HasPrefix(pattern, "~*"))
			if err != nil {
				return nil, err
			}
			out.regex = append(out.regex, regexCase{re, value})
		case m.Hosts:
			if err := out.hosts.add(pattern, len(out.values)); err != nil {
				return nil, err
			}
			out.values = append(out.values, value)
		default:
			out.exact[strings.ToLower(strings.TrimPrefix(pattern, `\`))] = value
		}
	}
	return out, nil
}

func (m *mapping) eval(s *evaluation) string {
	from := m.from.eval(s)
	switch m.kind {
	case "split":
		h := uint64(murmur2(from))
		for _, c := range m.splits {
			if h < c.upperBound {
				return c.value.eval(s)
			}
		}
		return ""
	case "geo":
		a, err := netip.ParseAddr(from)
		best, value := -1, m.defaultValue
		for _, c := range m.nets {
			if err == nil && c.net.Bits() > best && c.net.Contains(a) {
				best, value = c.net.Bits(), c.value
			}
		}
		return value.eval(s)
	}
	if m.hosts != nil {
		if n, ok := m.hosts.lookup(strings.ToLower(from)); ok {
			return m.values[n].eval(s)
		}
	} else if v, ok := m.exact[strings.ToLower(from)]; ok {
		return v.eval(s)
	}
	for _, c := range m.regex {
		if found := c.re.FindStringSubmatch(from); found != nil {
			s.setCaptures(c.re, found)
			return c.value.eval(s)
		}
	}
	return m.defaultValue.eval(s)
}

func (s *evaluation) setCaptures(re *regexp.Regexp, found []string) {
	s.captures = found
	for i, name := range re.SubexpNames() {
		if name != "" {
			if s.namedCaptures == nil {
				s.namedCaptures = map[string]string{}
			}
			s.namedCaptures[name] = found[i]
		}
	}
}

// compileRegex compiles what PCRE and RE2 have alike; an error says what only PCRE has.
func compileRegex(pattern string, fold bool) (*regexp.Regexp, error) {
	p := pattern
	if fold {
		p = "(?i)" + p
	}
	re, err := regexp.Compile(p)
	if err != nil {
		return nil, fmt.Errorf("the regular expression %q has what only PCRE has: %w", pattern, err)
	}
	return re, nil
}

// murmur2 is Appleby's MurmurHash2 with seed 0, by which split_clients parts its keys.
func murmur2(text string) uint32 {
	const m = 0x5bd1e995
	data := []byte(text)
	h := uint32(len(data))
	for len(data) >= 4 {
		k := binary.LittleEndian.Uint32(data) * m
		k ^= k >> 24
		h = h*m ^ k*m
		data = data[4:]
	}
	for i := len(data) - 1; i >= 0; i-- {
		h ^= uint32(data[i]) << (8 * i)
	}
	if len(data) > 0 {
		h *= m
	}
	h ^= h >> 13
	h *= m
	return h ^ h>>15
}
