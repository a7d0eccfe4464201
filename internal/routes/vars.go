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

// evaluation is the state of a request while it is evaluated.
type evaluation struct {
	table            *Table
	request          Request
	host             string
	server           *server
	path             string // decoded
	args             string
	uriChanged       bool // by a rewrite: the raw target is no longer used
	uriChangedHere   bool // by a rewrite in the current location
	namedRedirects   int  // to named locations
	rewroteWithBreak bool // by a rewrite that ends in break: the URI of the pass is no longer used either
	captures         []string
	namedCaptures    map[string]string
	variables        map[string]string
	variableDepth    int // of variables that refer to variables
	traceLines       []string
}

// trace adds a line to the explanation of the decision.
func (e *evaluation) trace(format string, args ...any) {
	e.traceLines = append(e.traceLines, fmt.Sprintf(format, args...))
}

// template is a text with variables.
type template struct{ parts []part }

type part struct {
	text string
	name string // of a variable; empty: the part is text
}

// parseTemplate parses a text with $name and ${name}.
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
				return t, fmt.Errorf("unterminated variable in %q", "$"+text)
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
		if n == 0 { // a dollar that begins no name is literal
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

// hasVariables reports whether the text contains any variables.
func (t template) hasVariables() bool {
	for _, p := range t.parts {
		if p.name != "" {
			return true
		}
	}
	return false
}

func (t template) eval(e *evaluation) string {
	if len(t.parts) == 1 && t.parts[0].name == "" {
		return t.parts[0].text
	}
	var b strings.Builder
	for _, p := range t.parts {
		if p.name == "" {
			b.WriteString(p.text)
		} else {
			b.WriteString(e.variable(p.name))
		}
	}
	return b.String()
}

// maxVariableDepth limits how deeply variables may refer to each other.
const maxVariableDepth = 16

func (e *evaluation) variable(name string) string {
	if v, ok := e.variables[name]; ok {
		return v
	}
	if n, err := strconv.Atoi(name); err == nil {
		if n < len(e.captures) {
			return e.captures[n]
		}
		return ""
	}
	if v, ok := e.namedCaptures[name]; ok {
		return v
	}
	if m := e.table.vars[name]; m != nil {
		if e.variableDepth++; e.variableDepth > maxVariableDepth {
			return ""
		}
		defer func() { e.variableDepth-- }()
		return m.eval(e)
	}
	switch name {
	case "uri", "document_uri":
		return e.path
	case "request_uri":
		return e.request.Target
	case "args", "query_string":
		return e.args
	case "is_args":
		if e.args != "" {
			return "?"
		}
		return ""
	case "host":
		return e.host
	case "http_host":
		return e.request.Host
	case "request_method":
		return e.request.Method
	case "scheme":
		if e.request.TLS {
			return "https"
		}
		return "http"
	case "https":
		if e.request.TLS {
			return "on"
		}
		return ""
	case "remote_addr", "binary_remote_addr":
		return e.request.Remote
	case "server_name":
		return e.server.name()
	case "server_port":
		return e.request.Listen[strings.LastIndexByte(e.request.Listen, ':')+1:]
	case "proxy_add_x_forwarded_for":
		if previous := e.header("X-Forwarded-For"); previous != "" {
			return previous + ", " + e.request.Remote
		}
		return e.request.Remote
	}
	if arg, ok := strings.CutPrefix(name, "arg_"); ok {
		for p := range strings.SplitSeq(e.args, "&") {
			if k, v, _ := strings.Cut(p, "="); strings.EqualFold(k, arg) {
				return v
			}
		}
		return ""
	}
	if cookie, ok := strings.CutPrefix(name, "cookie_"); ok {
		for p := range strings.SplitSeq(e.header("Cookie"), ";") {
			if k, v, _ := strings.Cut(strings.TrimSpace(p), "="); k == cookie {
				return v
			}
		}
		return ""
	}
	if field, ok := strings.CutPrefix(name, "http_"); ok {
		return e.header(strings.ReplaceAll(field, "_", "-"))
	}
	return ""
}

func (e *evaluation) header(name string) string {
	if e.request.Header == nil {
		return ""
	}
	return e.request.Header(name)
}

// mapping is a compiled Mapping.
type mapping struct {
	kind         string
	from         template
	exact        map[string]template
	hosts        *hostTable
	values       []template // by the index in hosts
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
	upperBound uint64 // of the hash, exclusive
	value      template
}

func compileMapping(m Mapping) (*mapping, error) {
	from, err := parseTemplate(m.From)
	if err != nil {
		return nil, err
	}
	out := &mapping{kind: m.Kind, from: from, exact: map[string]template{}}
	if out.defaultValue, err = parseTemplate(m.Default); err != nil {
		return nil, err
	}
	if m.Hostnames {
		out.hosts = newHostTable()
	}
	total := 0.0
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
				n, ok, err = 100-total, true, nil
			}
			if total += n; !ok || err != nil || n < 0 || total > 100.0001 {
				return nil, fmt.Errorf("split_clients: invalid share %q, total %v%%", pattern, total)
			}
			upperBound := uint64(math.Round(total*100)) * 0xffffffff / 10000
			if pattern == "*" {
				upperBound = 1 << 32
			}
			out.splits = append(out.splits, splitCase{upperBound, value})
		case m.Kind == "geo":
			if !strings.Contains(pattern, "/") {
				pattern += map[bool]string{true: "/128", false: "/32"}[strings.Contains(pattern, ":")]
			}
			network, err := netip.ParsePrefix(pattern)
			if err != nil {
				return nil, fmt.Errorf("geo: %w", err)
			}
			out.nets = append(out.nets, netCase{network.Masked(), value})
		case strings.HasPrefix(pattern, "~"):
			re, err := compileRegex(strings.TrimPrefix(pattern[1:], "*"), strings.HasPrefix(pattern, "~*"))
			if err != nil {
				return nil, err
			}
			out.regex = append(out.regex, regexCase{re, value})
		case m.Hostnames:
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

func (m *mapping) eval(e *evaluation) string {
	from := m.from.eval(e)
	switch m.kind {
	case "split":
		hash := uint64(murmur2(from))
		for _, c := range m.splits {
			if hash < c.upperBound {
				return c.value.eval(e)
			}
		}
		return ""
	case "geo":
		address, err := netip.ParseAddr(from)
		best, value := -1, m.defaultValue
		for _, c := range m.nets {
			if err == nil && c.net.Bits() > best && c.net.Contains(address) {
				best, value = c.net.Bits(), c.value
			}
		}
		return value.eval(e)
	}
	if m.hosts != nil {
		if n, ok := m.hosts.lookup(strings.ToLower(from)); ok {
			return m.values[n].eval(e)
		}
	} else if v, ok := m.exact[strings.ToLower(from)]; ok {
		return v.eval(e)
	}
	for _, c := range m.regex {
		if match := c.re.FindStringSubmatch(from); match != nil {
			e.setCaptures(c.re, match)
			return c.value.eval(e)
		}
	}
	return m.defaultValue.eval(e)
}

// setCaptures stores the groups of a match for variables such as $1 and $name.
func (e *evaluation) setCaptures(re *regexp.Regexp, match []string) {
	e.captures = match
	for i, name := range re.SubexpNames() {
		if name != "" {
			if e.namedCaptures == nil {
				e.namedCaptures = map[string]string{}
			}
			e.namedCaptures[name] = match[i]
		}
	}
}

// compileRegex compiles a pattern in the syntax that PCRE and RE2 share. The importer recognizes the error, which is
// returned for any invalid pattern, by the
// words "only PCRE".
func compileRegex(pattern string, fold bool) (*regexp.Regexp, error) {
	p := pattern
	if fold {
		p = "(?i)" + p
	}
	re, err := regexp.Compile(p)
	if err != nil {
		return nil, fmt.Errorf("regular expression %q is not valid in RE2 syntax, or uses a feature that only PCRE has: %w", pattern, err)
	}
	return re, nil
}

// murmur2 is Appleby's MurmurHash2 with seed 0, the hash that split_clients uses.
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
