package routes

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Table is compiled routes. It is immutable and may be used by several goroutines at once.
type Table struct {
	listeners []*listener
	vars      map[string]*mapping
	pools     map[string]*Pool
	keys      map[string]template // of pools that select by hash
	zones     map[string]template // keys of limits, by zone
}

// listener holds all servers of an address.
type listener struct {
	host, port    string // an empty host accepts any address
	hosts         *hostTable
	servers       []*server
	defaultServer int
	hasDefault    bool // a server is marked as the default
}

type server struct {
	Server
	steps []step
	root  *level
	named map[string]*location
}

func (s *server) name() string {
	if len(s.Names) > 0 {
		return s.Names[0]
	}
	return ""
}

// level holds the locations of one block.
type level struct {
	exact    map[string]*location
	prefixes trie
	regex    []*location
}

type location struct {
	*Location
	steps        []step
	re           *regexp.Regexp
	nested       *level
	scheme       string
	pass         template // the pool, and the URI if there is one
	hasURI       bool     // a URI follows the pool
	hasVariables bool
	hasPass      bool
	headers      []headerField
	timeout      time.Duration
}

// headerField is a header sent to servers.
type headerField struct {
	name  string
	value template
}

type step struct {
	action   string
	re       *regexp.Regexp
	args     []template
	flag     string
	code     int
	name     string
	negated  bool
	body     []step
	dropArgs bool // the replacement ends in "?": the old arguments are dropped
}

// maxNesting limits the depth of nested locations, and of nested if blocks.
const maxNesting = 16

// Compile validates and compiles routes.
func Compile(c *Config) (*Table, error) {
	t := &Table{vars: map[string]*mapping{}, pools: map[string]*Pool{}, keys: map[string]template{}, zones: map[string]template{}}
	for i := range c.Pools {
		p := &c.Pools[i]
		if t.pools[p.Name] != nil {
			return nil, fmt.Errorf("duplicate pool %q", p.Name)
		}
		t.pools[p.Name] = p
		if p.Key != "" {
			key, err := parseTemplate(p.Key)
			if err != nil {
				return nil, fmt.Errorf("pool %q: %w", p.Name, err)
			}
			t.keys[p.Name] = key
		}
	}
	for _, z := range c.Zones {
		key, err := parseTemplate(z.Key)
		if err != nil || z.Rate < 0 || z.MaxKeys < 1 {
			return nil, fmt.Errorf("zone %q: invalid key %q, rate %v per second or number of keys %d", z.Name, z.Key, z.Rate, z.MaxKeys)
		}
		if _, duplicate := t.zones[z.Name]; duplicate {
			return nil, fmt.Errorf("duplicate zone %q", z.Name)
		}
		t.zones[z.Name] = key
	}
	for _, m := range c.Vars {
		v, err := compileMapping(m)
		if err != nil {
			return nil, fmt.Errorf("$%s: %w", m.Name, err)
		}
		t.vars[m.Name] = v
	}
	for i := range c.Servers {
		s, err := t.compileServer(&c.Servers[i])
		if err != nil {
			return nil, fmt.Errorf("server %d %v: %w", i, c.Servers[i].Names, err)
		}
		listens := s.Listen
		if len(listens) == 0 {
			listens = []Listen{{Address: ":80"}}
		}
		for _, l := range listens {
			if err := t.addListen(l, s); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

func (t *Table) addListen(at Listen, s *server) error {
	host, port, err := net.SplitHostPort(at.Address)
	if err != nil {
		return fmt.Errorf("listen %q: %w", at.Address, err)
	}
	if host == "*" || host == "0.0.0.0" {
		host = ""
	}
	i := slices.IndexFunc(t.listeners, func(l *listener) bool { return l.host == host && l.port == port })
	if i < 0 {
		i = len(t.listeners)
		t.listeners = append(t.listeners, &listener{host: host, port: port, hosts: newHostTable()})
	}
	l := t.listeners[i]
	index := len(l.servers)
	l.servers = append(l.servers, s)
	if at.Default {
		if l.hasDefault {
			return fmt.Errorf("listen %q has two default servers", at.Address)
		}
		l.defaultServer, l.hasDefault = index, true
	}
	for _, name := range s.Names {
		if err := l.hosts.add(name, index); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) compileServer(s *Server) (*server, error) {
	out := &server{Server: *s, named: map[string]*location{}}
	var err error
	if out.steps, err = compileSteps(s.Steps, 0); err != nil {
		return nil, err
	}
	out.root, err = t.compileLevel(out, s.Locations, 0)
	return out, err
}

func (t *Table) compileLevel(s *server, all []Location, depth int) (*level, error) {
	if len(all) == 0 {
		return nil, nil
	}
	if depth > maxNesting {
		return nil, errors.New("locations are nested too deeply")
	}
	l := &level{exact: map[string]*location{}}
	for i := range all {
		loc := &location{Location: &all[i]}
		var err error
		if loc.steps, err = compileSteps(loc.Steps, 0); err == nil {
			err = loc.compilePass()
		}
		if loc.Timeout != "" {
			if loc.timeout, err = time.ParseDuration(loc.Timeout); err != nil || loc.timeout <= 0 {
				return nil, fmt.Errorf("location %s: within: invalid duration %q", loc, loc.Timeout)
			}
		}
		for _, header := range loc.Headers {
			v, headerErr := parseTemplate(header[1])
			if headerErr != nil || header[0] == "" {
				return nil, fmt.Errorf("location %s: invalid header %q", loc, header)
			}
			loc.headers = append(loc.headers, headerField{header[0], v})
		}
		for _, l := range loc.Limits {
			if _, ok := t.zones[l.Zone]; !ok {
				return nil, fmt.Errorf("location %s: unknown zone %q", loc, l.Zone)
			}
		}
		if err == nil {
			loc.nested, err = t.compileLevel(s, loc.Locations, depth+1)
		}
		if err != nil {
			return nil, fmt.Errorf("location %s: %w", loc, err)
		}
		duplicate := false
		switch loc.Modifier {
		case "=":
			duplicate = l.exact[loc.Pattern] != nil
			l.exact[loc.Pattern] = loc
		case "", "^~":
			duplicate = !l.prefixes.insert(loc.Pattern, loc)
		case "~", "~*":
			if loc.re, err = compileRegex(loc.Pattern, loc.Modifier == "~*"); err != nil {
				return nil, err
			}
			l.regex = append(l.regex, loc)
		case "@":
			duplicate = s.named[loc.Pattern] != nil || depth > 0
			s.named[loc.Pattern] = loc
		default:
			return nil, fmt.Errorf("location: unknown modifier %q", loc.Modifier)
		}
		if duplicate {
			return nil, fmt.Errorf("location %s is defined twice or, being a named location, is inside another location", loc)
		}
	}
	return l, nil
}

func (l *location) compilePass() error {
	if l.Pass == "" {
		return nil
	}
	scheme, rest, ok := strings.Cut(l.Pass, "://")
	if !ok || scheme != "http" && scheme != "https" {
		return fmt.Errorf("pass %q must begin with http:// or https://", l.Pass)
	}
	var err error
	if l.pass, err = parseTemplate(rest); err != nil {
		return err
	}
	l.scheme, l.hasPass, l.hasVariables, l.hasURI = scheme, true, l.pass.hasVariables(), strings.Contains(rest, "/")
	if l.hasURI && !l.hasVariables && (l.Modifier == "~" || l.Modifier == "~*" || l.Modifier == "@") {
		return fmt.Errorf("pass %q: a URI is not allowed in a location with a regular expression or a name", l.Pass)
	}
	return nil
}

// trie is a radix tree that finds the longest prefix; children are keyed by their first byte.
type trie struct {
	edge     string
	value    *location
	children map[byte]*trie
}

// insert adds a prefix; false: it is a duplicate.
func (t *trie) insert(key string, loc *location) bool {
	for key != "" {
		child := t.children[key[0]]
		if child == nil {
			if t.children == nil {
				t.children = map[byte]*trie{}
			}
			t.children[key[0]] = &trie{edge: key, value: loc}
			return true
		}
		common := 0
		for common < len(key) && common < len(child.edge) && key[common] == child.edge[common] {
			common++
		}
		if common < len(child.edge) { // split the edge
			tail := *child
			tail.edge = child.edge[common:]
			*child = trie{edge: child.edge[:common], children: map[byte]*trie{tail.edge[0]: &tail}}
		}
		t, key = child, key[common:]
	}
	if t.value != nil {
		return false
	}
	t.value = loc
	return true
}

// longestPrefix returns the value of the longest prefix of a path, nil if there is none.
func (t *trie) longestPrefix(path string) (best *location) {
	for {
		if t.value != nil {
			best = t.value
		}
		if path == "" {
			return best
		}
		child := t.children[path[0]]
		if child == nil || !strings.HasPrefix(path, child.edge) {
			return best
		}
		t, path = child, path[len(child.edge):]
	}
}

// get returns the value of a key, nil if there is none.
func (t *trie) get(key string) *location {
	for key != "" {
		child := t.children[key[0]]
		if child == nil || !strings.HasPrefix(key, child.edge) {
			return nil
		}
		t, key = child, key[len(child.edge):]
	}
	return t.value
}

func compileSteps(all []Step, depth int) (out []step, err error) {
	if depth > maxNesting {
		return nil, errors.New("if blocks are nested too deeply")
	}
	for _, s := range all {
		compiled := step{action: s.Action}
		texts := s.Args
		switch s.Action {
		case "rewrite":
			if len(s.Args) < 2 || len(s.Args) > 3 {
				return nil, fmt.Errorf("rewrite needs a pattern, a replacement and an optional flag, got %q", s.Args)
			}
			if compiled.re, err = compileRegex(s.Args[0], false); err != nil {
				return nil, err
			}
			if len(s.Args) == 3 {
				if compiled.flag = s.Args[2]; !slices.Contains([]string{"last", "break", "redirect", "permanent"}, compiled.flag) {
					return nil, fmt.Errorf("rewrite has no flag %q", compiled.flag)
				}
			}
			replacement, dropArgs := strings.CutSuffix(s.Args[1], "?")
			compiled.dropArgs, texts = dropArgs, []string{replacement}
		case "return":
			if len(s.Args) < 1 || len(s.Args) > 2 {
				return nil, fmt.Errorf("return needs a code or a URL, got %q", s.Args)
			}
			texts = s.Args[1:]
			if compiled.code, err = strconv.Atoi(s.Args[0]); err != nil {
				if len(s.Args) > 1 {
					return nil, fmt.Errorf("return: %q is no code", s.Args[0])
				}
				compiled.code, texts, err = 302, s.Args, nil
			} else if compiled.code < 0 || compiled.code > 999 {
				return nil, fmt.Errorf("return: %d is no code", compiled.code)
			}
		case "set":
			if len(s.Args) != 2 || !strings.HasPrefix(s.Args[0], "$") || !isName(s.Args[0][1:]) {
				return nil, fmt.Errorf("set needs a variable and a value, got %q", s.Args)
			}
			compiled.name, texts = s.Args[0][1:], s.Args[1:]
		case "break":
		case "named":
			texts = nil
			if len(s.Args) == 1 {
				compiled.name = s.Args[0]
			}
		case "if":
			if err := compiled.compileCondition(s.Args); err != nil {
				return nil, err
			}
			if len(s.Args) == 3 && compiled.re == nil {
				texts = []string{s.Args[0], s.Args[2]}
			} else {
				texts = s.Args[:1]
			}
			if compiled.body, err = compileSteps(s.Steps, depth+1); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("unknown step %q", s.Action)
		}
		for _, text := range texts {
			v, err := parseTemplate(text)
			if err != nil {
				return nil, err
			}
			compiled.args = append(compiled.args, v)
		}
		out = append(out, compiled)
	}
	return out, nil
}

// compileCondition parses the condition of an if: a variable, or a variable, an operator and a value.
func (c *step) compileCondition(args []string) (err error) {
	if len(args) != 1 && len(args) != 3 || len(args) > 0 && !strings.HasPrefix(args[0], "$") {
		return fmt.Errorf("if: unsupported condition %q", args)
	}
	if len(args) == 1 {
		return nil
	}
	op, negated := strings.CutPrefix(args[1], "!")
	switch c.negated = negated; op {
	case "=":
	case "~", "~*":
		c.re, err = compileRegex(args[2], op == "~*")
	default:
		return fmt.Errorf("if: unknown operator %q", args[1])
	}
	return err
}
