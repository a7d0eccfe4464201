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

// Table is routes compiled: it does not change, and any number of goroutines may ask it.
type Table struct {
	listeners []*listener
	vars      map[string]*mapping
	pools     map[string]*Pool
	keys      map[string]template // of pools that choose by hash
	zones     map[string]template // of limits
}

// addListen is all servers of an address.
type listener struct {
	host, port    string // host empty: any
	hosts         *hostTable
	servers       []*server
	defaultServer int
	hasDefault    bool // a server says that it is the default
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

// compileLevel is the locations of one place in a file.
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
	pass         template // pool, and URI where there is one
	hasURI       bool     // a URI stands after the pool
	hasVariables bool
	hasPass      bool
	headers      []headerField
	timeout      time.Duration
}

// headerField is a header field for servers.
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
	dropArgs bool // the replacement ends in "?": old arguments go
}

// maxNesting bounds locations within locations, and ifs.
const maxNesting = 16

// Compile checks and compiles routes.
func Compile(c *Config) (*Table, error) {
	t := &Table{vars: map[string]*mapping{}, pools: map[string]*Pool{}, keys: map[string]template{}, zones: map[string]template{}}
	for i := range c.Pools {
		p := &c.Pools[i]
		if t.pools[p.Name] != nil {
			return nil, fmt.Errorf("the pool %q is there twice", p.Name)
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
		if err != nil || z.Rate < 0 || z.Keys < 1 {
			return nil, fmt.Errorf("zone %q: key %q, %v a second, %d keys", z.Name, z.Key, z.Rate, z.Keys)
		}
		if _, twice := t.zones[z.Name]; twice {
			return nil, fmt.Errorf("the zone %q is there twice", z.Name)
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
		at := s.Listen
		if len(at) == 0 {
			at = []Listen{{Address: ":80"}}
		}
		for _, l := range at {
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
	n := len(l.servers)
	l.servers = append(l.servers, s)
	if at.Default {
		if l.hasDefault {
			return fmt.Errorf("listen %q has two default servers", at.Address)
		}
		l.defaultServer, l.hasDefault = n, true
	}
	for _, name := range s.Names {
		if err := l.hosts.add(name, n); err != nil {
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
		return nil, errors.New("locations are nested too deep")
	}
	l := &level{exact: map[string]*location{}}
	for i := range all {
		c := &location{Location: &all[i]}
		var err error
		if c.steps, err = compileSteps(c.Steps, 0); err == nil {
			err = c.compilePass()
		}
		if c.Within != "" {
			if c.timeout, err = time.ParseDuration(c.Within); err != nil || c.timeout <= 0 {
				return nil, fmt.Errorf("location %s: within %q is no time", c, c.Within)
			}
		}
		for _, h := range c.Headers {
			v, e := parseTemplate(h[1])
			if e != nil || h[0] == "" {
				return nil, fmt.Errorf("location %s: header %q", c, h)
			}
			c.headers = append(c.headers, headerField{h[0], v})
		}
		for _, l := range c.Limits {
			if _, ok := t.zones[l.Zone]; !ok {
				return nil, fmt.Errorf("location %s: no zone %q", c, l.Zone)
			}
		}
		if err == nil {
			c.nested, err = t.compileLevel(s, c.Locations, depth+1)
		}
		if err != nil {
			return nil, fmt.Errorf("location %s: %w", c, err)
		}
		twice := false
		switch c.Modifier {
		case "=":
			twice = l.exact[c.Pattern] != nil
			l.exact[c.Pattern] = c
		case "", "^~":
			twice = !l.prefixes.insert(c.Pattern, c)
		case "~", "~*":
			if c.re, err = compileRegex(c.Pattern, c.Modifier == "~*"); err != nil {
				return nil, err
			}
			l.regex = append(l.regex, c)
		case "@":
			twice = s.named[c.Pattern] != nil || depth > 0
			s.named[c.Pattern] = c
		default:
			return nil, fmt.Errorf("location: no modifier %q", c.Modifier)
		}
		if twice {
			return nil, fmt.Errorf("location %s is there twice, or where it may not be", c)
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
		return fmt.Errorf("pass %q: it needs http:// or https://", l.Pass)
	}
	var err error
	if l.pass, err = parseTemplate(rest); err != nil {
		return err
	}
	l.scheme, l.hasPass, l.hasVariables, l.hasURI = scheme, true, l.pass.hasVariables(), strings.Contains(rest, "/")
	if l.hasURI && !l.hasVariables && (l.Modifier == "~" || l.Modifier == "~*" || l.Modifier == "@") {
		return fmt.Errorf("pass %q: a URI has no meaning in a location by regular expression or name", l.Pass)
	}
	return nil
}

// trie finds the longest prefix: one edge a byte run, children by their first byte.
type trie struct {
	edge     string
	value    *location
	children map[byte]*trie
}

// insert adds a prefix; false: it is there.
func (t *trie) insert(key string, v *location) bool {
	for key != "" {
		c := t.children[key[0]]
		if c == nil {
			if t.children == nil {
				t.children = map[byte]*trie{}
			}
			t.children[key[0]] = &trie{edge: key, value: v}
			return true
		}
		n := 0
		for n < len(key) && n < len(c.edge) && key[n] == c.edge[n] {
			n++
		}
		if n < len(c.edge) { // the edge is parted
			c2 := *c
			c2.edge = c.edge[n:]
			*c = trie{edge: c.edge[:n], children: map[byte]*trie{c2.edge[0]: &c2}}
		}
		t, key = c, key[n:]
	}
	if t.value != nil {
		return false
	}
	t.value = v
	return true
}

// longestPrefix is the value of the longest prefix of a path.
func (t *trie) longestPrefix(path string) (best *location) {
	for {
		if t.value != nil {
			best = t.value
		}
		if path == "" {
			return best
		}
		c := t.children[path[0]]
		if c == nil || !strings.HasPrefix(path, c.edge) {
			return best
		}
		t, path = c, path[len(c.edge):]
	}
}

// get is the value at a key.
func (t *trie) get(key string) *location {
	for key != "" {
		c := t.children[key[0]]
		if c == nil || !strings.HasPrefix(key, c.edge) {
			return nil
		}
		t, key = c, key[len(c.edge):]
	}
	return t.value
}

func compileSteps(all []Step, depth int) (out []step, err error) {
	if depth > maxNesting {
		return nil, errors.New("ifs are nested too deep")
	}
	for _, s := range all {
		c := step{action: s.Do}
		texts := s.Args
		switch s.Do {
		case "rewrite":
			if len(s.Args) < 2 || len(s.Args) > 3 {
				return nil, fmt.Errorf("rewrite needs a pattern, a replacement and perhaps a flag, not %q", s.Args)
			}
			if c.re, err = compileRegex(s.Args[0], false); err != nil {
				return nil, err
			}
			if len(s.Args) == 3 {
				if c.flag = s.Args[2]; !slices.Contains([]string{"last", "break", "redirect", "permanent"}, c.flag) {
					return nil, fmt.Errorf("rewrite has no flag %q", c.flag)
				}
			}
			to, cut := strings.CutSuffix(s.Args[1], "?")
			c.dropArgs, texts = cut, []string{to}
		case "return":
			if len(s.Args) < 1 || len(s.Args) > 2 {
				return nil, fmt.Errorf("return needs a code or a URL, not %q", s.Args)
			}
			texts = s.Args[1:]
			if c.code, err = strconv.Atoi(s.Args[0]); err != nil {
				if len(s.Args) > 1 {
					return nil, fmt.Errorf("return: %q is no code", s.Args[0])
				}
				c.code, texts, err = 302, s.Args, nil
			} else if c.code < 0 || c.code > 999 {
				return nil, fmt.Errorf("return: %d is no code", c.code)
			}
		case "set":
			if len(s.Args) != 2 || !strings.HasPrefix(s.Args[0], "$") || !isName(s.Args[0][1:]) {
				return nil, fmt.Errorf("set needs a variable and a value, not %q", s.Args)
			}
			c.name, texts = s.Args[0][1:], s.Args[1:]
		case "break":
		case "named":
			texts = nil
			if len(s.Args) == 1 {
				c.name = s.Args[0]
			}
		case "if":
			if err := c.compileCondition(s.Args); err != nil {
				return nil, err
			}
			if len(s.Args) == 3 && c.re == nil {
				texts = []string{s.Args[0], s.Args[2]}
			} else {
				texts = s.Args[:1]
			}
			if c.body, err = compileSteps(s.Steps, depth+1); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("no step %q", s.Do)
		}
		for _, text := range texts {
			v, err := parseTemplate(text)
			if err != nil {
				return nil, err
			}
			c.args = append(c.args, v)
		}
		out = append(out, c)
	}
	return out, nil
}

// compileCondition reads that of an if: a variable, or a variable, an operator and a value.
func (c *step) compileCondition(args []string) (err error) {
	if len(args) != 1 && len(args) != 3 || len(args) > 0 && !strings.HasPrefix(args[0], "$") {
		return fmt.Errorf("if: %q is no condition that has a meaning here", args)
	}
	if len(args) == 1 {
		return nil
	}
	op, not := strings.CutPrefix(args[1], "!")
	switch c.negated = not; op {
	case "=":
	case "~", "~*":
		c.re, err = compileRegex(args[2], op == "~*")
	default:
		return fmt.Errorf("if: no operator %q", args[1])
	}
	return err
}
