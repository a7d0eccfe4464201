package nginx

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"caperrelay/internal/pools"
	"caperrelay/internal/routes"
)

// Line is what became of one directive.
type Line struct {
	File      string `json:"file"`
	Line      int    `json:"line"`
	Directive string `json:"directive"`
	State     State  `json:"state"`
	Note      string `json:"note,omitempty"`
}

// Report has one line for every directive, in the order of the file.
type Report struct {
	Lines []Line `json:"lines"`
}

// Count is how many directives are in a state.
func (r *Report) Count(s State) (n int) {
	for _, l := range r.Lines {
		if l.State == s {
			n++
		}
	}
	return n
}

type importer struct {
	report   Report
	config   routes.Config
	pools    map[string]*Directive
	vars     map[string]bool
	implicit map[string]bool
	zones    map[string]bool
}

// Import makes routes and pools of a file's directives. An error is one that nginx would refuse the file for.
func Import(all []*Directive) (*routes.Config, *Report, error) {
	m := &importer{pools: map[string]*Directive{}, vars: map[string]bool{}, implicit: map[string]bool{}, zones: map[string]bool{}}
	context := "main"
	if !slices.ContainsFunc(all, func(d *Directive) bool { return d.Name == "http" || d.Name == "events" }) {
		context = "http" // a piece that a file includes
	}
	if err := m.declare(all); err != nil {
		return nil, nil, err
	}
	if err := m.top(all, context, inherited{}); err != nil {
		return nil, nil, err
	}
	if _, err := routes.Compile(&m.config); err != nil {
		return nil, nil, err
	}
	return &m.config, &m.report, nil
}

func fault(d *Directive, format string, args ...any) error {
	return &Error{d.File, d.Line, fmt.Sprintf(format, args...)}
}

// declare notes what later directives may name.
func (m *importer) declare(all []*Directive) error {
	for _, d := range all {
		switch d.Name {
		case "http":
			if err := m.declare(d.Block); err != nil {
				return err
			}
		case "upstream":
			if len(d.Args) == 1 {
				if old := m.pools[d.Args[0]]; old != nil {
					return fault(d, "duplicate upstream %q, the first is at %s", d.Args[0], old.At())
				}
				m.pools[d.Args[0]] = d
			}
		case "limit_req_zone", "limit_conn_zone":
			for _, a := range d.Args {
				if name, ok := strings.CutPrefix(a, "zone="); ok {
					name, _, _ = strings.Cut(name, ":")
					m.zones[name] = true
				}
			}
		case "map", "split_clients", "geo":
			if n := len(d.Args); n > 0 {
				m.vars[strings.TrimPrefix(d.Args[n-1], "$")] = true
			}
		}
	}
	return nil
}

// check refuses what nginx would: a directive out of its place, or with too few or many arguments.
func (m *importer) check(d *Directive, context string) (rule, bool, error) {
	r, known := rules[d.Name]
	if !known {
		m.note(d, NotCarried, "winglb does not know it: see what it is for, and leave it in front or out")
		return r, false, nil
	}
	if !slices.Contains(strings.Fields(r.in), context) {
		return r, false, fault(d, "%q directive is not allowed here: it stands in %s, and may in %s", d.Name, context, strings.ReplaceAll(r.in, " ", ", "))
	}
	if len(d.Args) < r.min || r.max >= 0 && len(d.Args) > r.max {
		return r, false, fault(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
	}
	if block := r.block && !(d.Name == "server" && context == "upstream"); block != d.Has {
		if block {
			return r, false, fault(d, `directive %q has no opening "{"`, d.Name)
		}
		return r, false, fault(d, `directive %q is not terminated by ";"`, d.Name)
	}
	return r, true, nil
}

func (m *importer) note(d *Directive, s State, note string) {
	m.report.Lines = append(m.report.Lines, Line{d.File, d.Line, d.Name, s, note})
	if d.Has && s == NotCarried { // what is in it goes with it, and is not silent either
		for _, inner := range d.Block {
			m.note(inner, NotCarried, fmt.Sprintf("with %q, line %d", d.Name, d.Line))
		}
	}
}

// plain notes a directive by its rule alone, but for what depends on its arguments.
func (m *importer) plain(d *Directive, r rule) {
	if d.Name == "proxy_next_upstream" {
		for _, a := range d.Args {
			if strings.HasPrefix(a, "http_") || a == "invalid_header" {
				m.note(d, Approximated, a+" is not looked at: what a server answers is passed on as it is")
				return
			}
		}
	}
	m.note(d, r.state, r.note)
}

// inherited is what a block has from those around it: a directive of its own takes the place of all of them.
type inherited struct {
	headers [][2]string
	rates   []routes.Limit
	conns   []routes.Limit
	dry     bool
	within  string
	tries   int // the directive's own; 1: off
	off     bool
	again   bool
}

func (i inherited) limits() (all []routes.Limit) {
	for _, l := range i.rates {
		l.DryRun = i.dry
		all = append(all, l)
	}
	return append(all, i.conns...)
}

// gather is what holds in a block.
func (m *importer) gather(block []*Directive, out inherited) (inherited, error) {
	var headers [][2]string
	var rates, conns []routes.Limit
	for _, d := range block {
		switch d.Name {
		case "proxy_set_header":
			if len(d.Args) != 2 {
				return out, fault(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
			}
			headers = append(headers, [2]string{d.Args[0], d.Args[1]})
		case "limit_req":
			l := routes.Limit{}
			for _, a := range d.Args {
				key, value, _ := strings.Cut(a, "=")
				n, err := strconv.ParseFloat(value, 64)
				switch {
				case key == "zone" && value != "":
					l.Zone = value
				case key == "burst" && err == nil && n >= 0:
					l.Burst = n
				case key == "delay" && err == nil && n >= 0:
					l.Delay = n
				case a == "nodelay":
					l.NoDelay = true
				default:
					return out, fault(d, "invalid parameter %q", a)
				}
			}
			if !m.zones[l.Zone] {
				return out, fault(d, "zero size shared memory zone %q", l.Zone)
			}
			rates = append(rates, l)
		case "limit_conn":
			if len(d.Args) != 2 {
				return out, fault(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
			}
			n, err := strconv.Atoi(d.Args[1])
			if err != nil || n < 1 || n > 65535 {
				return out, fault(d, "invalid number of connections %q", d.Args[1])
			}
			if !m.zones[d.Args[0]] {
				return out, fault(d, "zero size shared memory zone %q", d.Args[0])
			}
			conns = append(conns, routes.Limit{Zone: d.Args[0], MaxConcurrent: n})
		case "proxy_next_upstream":
			out.off, out.again = false, false
			for _, a := range d.Args {
				switch a {
				case "off":
					out.off = true
				case "non_idempotent":
					out.again = true
				case "error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504", "http_403", "http_404", "http_429":
				default:
					return out, fault(d, "invalid value %q", a)
				}
			}
		case "proxy_next_upstream_tries":
			n := 0
			if len(d.Args) == 1 {
				var err error
				if n, err = strconv.Atoi(d.Args[0]); err != nil || n < 0 {
					return out, fault(d, "invalid number %q", d.Args[0])
				}
			}
			out.tries = n
		case "proxy_read_timeout":
			if len(d.Args) != 1 {
				return out, fault(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
			}
			t, err := pools.ParseDuration(d.Args[0])
			if err != nil || t <= 0 {
				return out, fault(d, "invalid value %q of %q", d.Args[0], d.Name)
			}
			out.within = t.String()
		case "limit_req_dry_run":
			out.dry = len(d.Args) == 1 && d.Args[0] == "on"
		}
	}
	if headers != nil {
		out.headers = headers
	}
	if rates != nil {
		out.rates = rates
	}
	if conns != nil {
		out.conns = conns
	}
	return out, nil
}

// zone reads a limit_req_zone or limit_conn_zone.
func (m *importer) zone(d *Directive) error {
	z := routes.Zone{Key: d.Args[0]}
	for _, a := range d.Args[1:] {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "zone":
			name, size, _ := strings.Cut(value, ":")
			n, unit := 0.0, 1.0
			switch {
			case strings.HasSuffix(size, "k"), strings.HasSuffix(size, "K"):
				unit = 1 << 10
			case strings.HasSuffix(size, "m"), strings.HasSuffix(size, "M"):
				unit = 1 << 20
			}
			n, err := strconv.ParseFloat(strings.TrimRight(size, "kKmM"), 64)
			if err != nil || name == "" || n <= 0 {
				return fault(d, "invalid zone size %q", value)
			}
			z.Name, z.MaxKeys = name, int(min(max(1, n*unit/128), 1e6)) // a state takes 128 bytes there
		case "rate":
			number, per, found := value, 1.0, false
			if number, found = strings.CutSuffix(value, "r/s"); !found {
				if number, found = strings.CutSuffix(value, "r/m"); found {
					per = 60
				}
			}
			n, err := strconv.Atoi(number)
			if err != nil || !found || n < 1 {
				return fault(d, "invalid rate %q", a)
			}
			z.Rate = float64(n) / per
		case "sync":
		default:
			return fault(d, "invalid parameter %q", a)
		}
	}
	if z.Name == "" || (d.Name == "limit_req_zone") != (z.Rate > 0) {
		return fault(d, "%q needs a zone and, of requests, a rate", d.Name)
	}
	m.config.Zones = append(m.config.Zones, z)
	m.note(d, Carried, "")
	return nil
}

func (m *importer) top(all []*Directive, context string, in inherited) error {
	in, err := m.gather(all, in)
	if err != nil {
		return err
	}
	for _, d := range all {
		r, known, err := m.check(d, context)
		if err != nil {
			return err
		}
		if !known {
			continue
		}
		switch d.Name {
		case "http":
			m.plain(d, r)
			err = m.top(d.Block, "http", in)
		case "upstream":
			err = m.upstream(d)
		case "server":
			err = m.server(d, in)
		case "limit_req_zone", "limit_conn_zone":
			err = m.zone(d)
		case "map", "split_clients", "geo":
			err = m.mapping(d)
		default:
			m.plain(d, r)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *importer) upstream(d *Directive) error {
	m.note(d, Carried, "")
	p := routes.Pool{Name: d.Args[0], Source: d.At()}
	for _, c := range d.Block {
		r, known, err := m.check(c, "upstream")
		if err != nil {
			return err
		}
		if !known {
			continue
		}
		switch c.Name {
		case "server":
			member, state, note, err := member(c)
			if err != nil {
				return err
			}
			p.Members = append(p.Members, member)
			m.note(c, state, note)
		case "ip_hash", "least_conn", "random":
			p.Method = c.Name
			if c.Name == "random" && len(c.Args) > 0 && (c.Args[0] != "two" || len(c.Args) > 1 && c.Args[1] != "least_conn") {
				m.note(c, Approximated, "random two, by least connections")
				continue
			}
			m.note(c, Carried, "")
		case "hash":
			p.Method, p.Key = "hash", c.Args[0]
			if len(c.Args) == 2 {
				if c.Args[1] != "consistent" {
					return fault(c, "invalid parameter %q", c.Args[1])
				}
				p.Method = "consistent"
			}
			m.note(c, Carried, "")
		default:
			m.plain(c, r)
		}
	}
	if len(p.Members) == 0 {
		return fault(d, "no servers are inside upstream %q", p.Name)
	}
	if p.Method == "ip_hash" || p.Method == "hash" || p.Method == "consistent" || p.Method == "random" {
		if i := slices.IndexFunc(p.Members, func(s routes.Member) bool { return s.Backup }); i >= 0 {
			return fault(d, "balancing method %q does not support parameter \"backup\"", p.Method)
		}
	}
	m.config.Pools = append(m.config.Pools, p)
	return nil
}

func member(d *Directive) (s routes.Member, state State, note string, err error) {
	if len(d.Args) == 0 {
		return s, "", "", fault(d, "a server needs an address")
	}
	s.Address, state = d.Args[0], Carried
	if strings.HasPrefix(s.Address, "unix:") {
		state, note = NotCarried, "winglb reaches servers by TCP only: give the server a port; until then it counts as down"
		s.Down = true
	} else if _, _, err := net.SplitHostPort(s.Address); err != nil {
		s.Address = net.JoinHostPort(strings.Trim(s.Address, "[]"), "80")
	}
	for _, a := range d.Args[1:] {
		key, value, has := strings.Cut(a, "=")
		number := func() (int, error) {
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return 0, fault(d, "invalid value %q of %s", value, key)
			}
			return n, nil
		}
		switch {
		case key == "weight" && has:
			if s.Weight, err = number(); err == nil && s.Weight == 0 {
				err = fault(d, "invalid value \"0\" of weight")
			}
		case key == "max_conns" && has:
			s.MaxConns, err = number()
		case key == "max_fails" && has:
			var n int
			n, err = number()
			s.MaxFails = &n
		case key == "fail_timeout" && has:
			s.FailTimeout = value
		case a == "backup":
			s.Backup = true
		case a == "down":
			s.Down = true
		case a == "resolve" || key == "slow_start" || key == "service" || key == "route" || a == "drain":
			state, note = Approximated, cmp.Or(note, a+" is left out: winglb warms servers by what it learns, and looks names up when it starts")
		default:
			err = fault(d, "invalid parameter %q", a)
		}
		if err != nil {
			return s, state, note, err
		}
	}
	return s, state, note, nil
}

func (m *importer) server(d *Directive, in inherited) error {
	m.note(d, Carried, "")
	in, err := m.gather(d.Block, in)
	if err != nil {
		return err
	}
	s := routes.Server{Source: d.At()}
	for _, c := range d.Block {
		r, known, err := m.check(c, "server")
		if err != nil {
			return err
		}
		if !known {
			continue
		}
		switch c.Name {
		case "listen":
			l, state, note, err := listen(c)
			if err != nil {
				return err
			}
			if l.Address != "" {
				s.Listen = append(s.Listen, l)
			}
			m.note(c, state, note)
		case "server_name":
			for _, n := range c.Args {
				s.Names = append(s.Names, strings.ToLower(strings.Replace(n, "~", "~", 1)))
				if strings.HasPrefix(n, "~") {
					s.Names[len(s.Names)-1] = n
				}
			}
			m.note(c, Carried, "")
		case "merge_slashes":
			s.KeepSlashes = c.Args[0] == "off"
			m.note(c, Carried, "")
		case "location":
			l, err := m.location(c, "", in)
			if err != nil {
				return err
			}
			if err := twice(s.Locations, l, c); err != nil {
				return err
			}
			s.Locations = append(s.Locations, l)
		case "return", "rewrite", "set", "break", "if":
			step, ok, err := m.step(c, "server")
			if err != nil {
				return err
			}
			if ok {
				s.Steps = append(s.Steps, step)
			}
		default:
			m.plain(c, r)
		}
	}
	m.config.Servers = append(m.config.Servers, s)
	return nil
}

// twice refuses a location that is there already.
func twice(all []routes.Location, l routes.Location, d *Directive) error {
	for i := range all {
		same := all[i].Modifier == l.Modifier || strings.Trim(all[i].Modifier+l.Modifier, "^~") == "" && !strings.Contains("~ ~*", cmp.Or(all[i].Modifier, "x")) && !strings.Contains("~ ~*", cmp.Or(l.Modifier, "x"))
		if same && all[i].Pattern == l.Pattern && l.Modifier != "~" && l.Modifier != "~*" {
			return fault(d, "duplicate location %q, the first is at %s", l.Pattern, all[i].Source)
		}
	}
	return nil
}

func listen(d *Directive) (l routes.Listen, state State, note string, err error) {
	state = Carried
	at := d.Args[0]
	switch {
	case strings.HasPrefix(at, "unix:"):
		return l, NotCarried, "winglb listens at TCP addresses: give it a port", nil
	case !strings.Contains(at, ":"):
		if strings.Trim(at, "0123456789") == "" {
			l.Address = ":" + at
		} else {
			l.Address = at + ":80"
		}
	case strings.HasPrefix(at, "*:"):
		l.Address = at[1:]
	case strings.HasSuffix(at, "]"):
		l.Address = at + ":80"
	default:
		l.Address = at
	}
	if _, port, err := net.SplitHostPort(l.Address); err != nil {
		return l, state, "", fault(d, "invalid address %q", at)
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return l, state, "", fault(d, "invalid port in %q", at)
	}
	if strings.HasPrefix(l.Address, "[::]:") {
		l.Address = l.Address[4:]
	}
	for _, a := range d.Args[1:] {
		switch a {
		case "default_server", "default":
			l.Default = true
		case "ssl":
			l.TLS = true
		default:
			state, note = Approximated, a+" is an option of the socket, which winglb sets by itself"
		}
	}
	return l, state, note, nil
}

// location reads one; parent is the pattern around it, empty at a server.
func (m *importer) location(d *Directive, parent string, in inherited) (l routes.Location, err error) {
	if in, err = m.gather(d.Block, in); err != nil {
		return l, err
	}
	l.Headers, l.Limits, l.Timeout, l.Tries, l.RetryNonIdempotent = in.headers, in.limits(), in.within, in.tries, in.again
	if in.off {
		l.Tries = 1
	}
	l.Source = d.At()
	switch a := d.Args; {
	case len(a) == 2:
		l.Modifier, l.Pattern = a[0], a[1]
		if !slices.Contains([]string{"=", "^~", "~", "~*"}, l.Modifier) {
			return l, fault(d, "invalid location modifier %q", a[0])
		}
	case strings.HasPrefix(a[0], "@"):
		l.Modifier, l.Pattern = "@", a[0][1:]
	default:
		l.Pattern = a[0]
		for _, mod := range []string{"=", "^~", "~*", "~"} { // may stand without a space
			if rest, ok := strings.CutPrefix(a[0], mod); ok {
				l.Modifier, l.Pattern = mod, rest
				break
			}
		}
	}
	regex := l.Modifier == "~" || l.Modifier == "~*"
	if parent != "" && l.Modifier == "@" {
		return l, fault(d, "named location %q can be on the server level only", d.Args[0])
	}
	if parent != "" && !regex && !strings.HasPrefix(l.Pattern, parent) {
		return l, fault(d, "location %q is outside location %q", l.Pattern, parent)
	}
	m.note(d, Carried, "")
	at := len(m.report.Lines) - 1
	for _, c := range d.Block {
		r, known, err := m.check(c, "location")
		if err != nil {
			return l, err
		}
		if !known {
			continue
		}
		switch c.Name {
		case "location":
			inner := l.Pattern
			if regex {
				inner = ""
			}
			if l.Modifier == "=" || l.Modifier == "@" {
				return l, fault(c, "location %q cannot be inside the exact or named location %q", c.Args[0], l.Pattern)
			}
			k, err := m.location(c, inner, in)
			if err != nil {
				return l, err
			}
			if err := twice(l.Locations, k, c); err != nil {
				return l, err
			}
			l.Locations = append(l.Locations, k)
		case "proxy_pass":
			if l.Pass != "" {
				return l, fault(c, `"proxy_pass" directive is duplicate`)
			}
			if err := m.pass(c, &l); err != nil {
				return l, err
			}
		case "return", "rewrite", "set", "break", "if":
			step, ok, err := m.step(c, "location")
			if err != nil {
				return l, err
			}
			if ok {
				l.Steps = append(l.Steps, step)
			}
		case "try_files":
			last := c.Args[len(c.Args)-1]
			m.plain(c, r)
			switch {
			case strings.HasPrefix(last, "@"):
				l.Steps = append(l.Steps, routes.Step{Action: "named", Args: []string{last[1:]}})
			case strings.HasPrefix(last, "="):
				l.Steps = append(l.Steps, routes.Step{Action: "return", Args: []string{last[1:]}})
			default:
				l.Steps = append(l.Steps, routes.Step{Action: "rewrite", Args: []string{"^", last, "last"}})
			}
		default:
			m.plain(c, r)
		}
	}
	if regex {
		if _, err := routes.Compile(&routes.Config{Servers: []routes.Server{{Locations: []routes.Location{{Modifier: l.Modifier, Pattern: l.Pattern, Pass: "http://x"}}}}}); err != nil {
			m.report.Lines[at].State, m.report.Lines[at].Note = NotCarried, err.Error()+"; write it without look-around and back-references"
			l.Modifier, l.Pattern = "=", "\x00 not carried "+d.At() // no URI has it
		}
	}
	return l, nil
}

func (m *importer) pass(d *Directive, l *routes.Location) error {
	to := d.Args[0]
	scheme, rest, ok := strings.Cut(to, "://")
	if !ok || scheme != "http" && scheme != "https" {
		return fault(d, "invalid URL prefix in %q", to)
	}
	name, _, uri := strings.Cut(rest, "/")
	named := l.Modifier == "~" || l.Modifier == "~*" || l.Modifier == "@"
	if uri && named && !strings.Contains(rest, "$") {
		return fault(d, `"proxy_pass" cannot have URI part in location given by regular expression, or inside named location, or inside "if" statement, or inside "limit_except" block`)
	}
	l.Pass = to
	state, note := Carried, ""
	switch {
	case strings.HasPrefix(name, "unix:"):
		l.Pass, state, note = "", NotCarried, "winglb reaches servers by TCP only: give the server a port"
	case strings.Contains(name, "$"):
		note = "the pool is the one that the variables name; one that is not there is answered 502"
	case m.pools[name] == nil && !m.implicit[name]:
		address := name
		if _, _, err := net.SplitHostPort(name); err != nil {
			address = net.JoinHostPort(strings.Trim(name, "[]"), map[string]string{"http": "80", "https": "443"}[scheme])
		}
		m.implicit[name] = true
		m.config.Pools = append(m.config.Pools, routes.Pool{Name: name, Members: []routes.Member{{Address: address}}, Source: d.At()})
		note = "no upstream has the name: a pool of the one address"
	}
	m.note(d, state, note)
	return nil
}

// step reads one of the rewriting module's; false: it is not carried.
func (m *importer) step(d *Directive, context string) (s routes.Step, ok bool, err error) {
	s = routes.Step{Action: d.Name, Args: d.Args}
	if d.Name == "if" {
		words := strings.TrimSpace(strings.Join(d.Args, " "))
		if !strings.HasPrefix(words, "(") || !strings.HasSuffix(words, ")") {
			return s, false, fault(d, "invalid condition %q", words)
		}
		s.Args = condition(d.Args)
	}
	if d.Name == "return" && len(d.Args) == 2 {
		if _, err := strconv.Atoi(d.Args[0]); err != nil {
			return s, false, fault(d, "invalid return code %q", d.Args[0])
		}
	}
	if d.Name == "set" && !strings.HasPrefix(d.Args[0], "$") {
		return s, false, fault(d, "invalid variable name %q", d.Args[0])
	}
	if d.Name == "if" {
		for _, c := range d.Block {
			if _, _, err := m.peek(c); err != nil {
				return s, false, err
			}
			if !slices.Contains([]string{"return", "rewrite", "set", "break"}, c.Name) {
				m.note(d, NotCarried, fmt.Sprintf("%q in it (line %d) has no exact meaning here: use map, or locations", c.Name, c.Line))
				return s, false, nil
			}
		}
	}
	probe := s
	probe.Steps = nil
	if _, err := routes.Compile(&routes.Config{Servers: []routes.Server{{Steps: []routes.Step{probe}}}}); err != nil {
		text := err.Error()
		if strings.Contains(text, "only PCRE") || d.Name == "if" {
			m.note(d, NotCarried, text[strings.LastIndex(text, "]: ")+3:])
			return s, false, nil
		}
		return s, false, fault(d, "%s", text[strings.LastIndex(text, "]: ")+3:])
	}
	m.note(d, Carried, "")
	for _, c := range d.Block {
		inner, ok, err := m.step(c, "if")
		if err != nil {
			return s, false, err
		}
		if ok {
			s.Steps = append(s.Steps, inner)
		}
	}
	return s, true, nil
}

// peek checks what stands in an if without noting it.
func (m *importer) peek(d *Directive) (rule, bool, error) {
	before := len(m.report.Lines)
	r, known, err := m.check(d, "if")
	m.report.Lines = m.report.Lines[:before]
	return r, known, err
}

// condition takes the brackets off.
func condition(args []string) (out []string) {
	out = slices.Clone(args)
	out[0] = strings.TrimPrefix(out[0], "(")
	n := len(out) - 1
	out[n] = strings.TrimSuffix(out[n], ")")
	return slices.DeleteFunc(out, func(s string) bool { return s == "" && len(out) > 3 })
}

func (m *importer) mapping(d *Directive) error {
	n := len(d.Args)
	name := d.Args[n-1]
	if !strings.HasPrefix(name, "$") {
		return fault(d, "invalid variable name %q", name)
	}
	v := routes.Mapping{Name: name[1:], Kind: map[string]string{"map": "map", "split_clients": "split", "geo": "geo"}[d.Name], From: "$remote_addr"}
	if n == 2 {
		v.From = d.Args[0]
	}
	m.note(d, Carried, "")
	for _, c := range d.Block {
		switch {
		case c.Has:
			return fault(c, "unexpected block in %s", d.Name)
		case len(c.Args) == 0 && c.Name == "hostnames" && d.Name == "map":
			v.Hostnames = true
		case len(c.Args) == 0 && c.Name == "volatile":
		case len(c.Args) != 1:
			return fault(c, "invalid number of the %s parameters", d.Name)
		case c.Name == "default":
			v.Default = c.Args[0]
		case slices.Contains([]string{"include", "ranges", "proxy", "proxy_recursive", "delete"}, c.Name) && d.Name == "geo":
			m.note(c, NotCarried, "clients are known by their own address here")
			continue
		default:
			v.Cases = append(v.Cases, [2]string{c.Name, c.Args[0]})
		}
		m.report.Lines = append(m.report.Lines, Line{c.File, c.Line, c.Name, Carried, ""})
	}
	if _, err := routes.Compile(&routes.Config{Vars: []routes.Mapping{v}}); err != nil {
		if strings.Contains(err.Error(), "only PCRE") {
			m.note(d, NotCarried, err.Error())
			v.Cases = slices.DeleteFunc(v.Cases, func(c [2]string) bool { return strings.HasPrefix(c[0], "~") })
		} else {
			return fault(d, "%v", err)
		}
	}
	m.config.Vars = append(m.config.Vars, v)
	return nil
}
