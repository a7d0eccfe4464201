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

// Line reports how one directive was imported.
type Line struct {
	File      string `json:"file"`
	Line      int    `json:"line"`
	Directive string `json:"directive"`
	State     State  `json:"state"`
	Note      string `json:"note,omitempty"`
}

// Report has one line for each directive, in the order of the file.
type Report struct {
	Lines []Line `json:"lines"`
}

// Count returns the number of directives in a state.
func (r *Report) Count(s State) (n int) {
	for _, l := range r.Lines {
		if l.State == s {
			n++
		}
	}
	return n
}

type importer struct {
	report        Report
	config        routes.Config
	upstreams     map[string]*Directive
	vars          map[string]bool
	implicitPools map[string]bool
	zones         map[string]bool
}

// Import converts the directives of a file to routes and pools. It returns an error if nginx would reject the file.
func Import(all []*Directive) (*routes.Config, *Report, error) {
	m := &importer{upstreams: map[string]*Directive{}, vars: map[string]bool{}, implicitPools: map[string]bool{}, zones: map[string]bool{}}
	context := "main"
	if !slices.ContainsFunc(all, func(d *Directive) bool { return d.Name == "http" || d.Name == "events" }) {
		context = "http" // a fragment that is meant to be included in http
	}
	if err := m.declareNames(all); err != nil {
		return nil, nil, err
	}
	if err := m.importTop(all, context, inherited{}); err != nil {
		return nil, nil, err
	}
	if _, err := routes.Compile(&m.config); err != nil {
		return nil, nil, err
	}
	return &m.config, &m.report, nil
}

// errorAt returns an error at the position of a directive.
func errorAt(d *Directive, format string, args ...any) error {
	return &Error{d.File, d.Line, fmt.Sprintf(format, args...)}
}

// declareNames collects upstreams, zones and variables, which directives may use before their definition.
func (m *importer) declareNames(all []*Directive) error {
	for _, d := range all {
		switch d.Name {
		case "http":
			if err := m.declareNames(d.Block); err != nil {
				return err
			}
		case "upstream":
			if len(d.Args) == 1 {
				if first := m.upstreams[d.Args[0]]; first != nil {
					return errorAt(d, "duplicate upstream %q, the first is at %s", d.Args[0], first.Position())
				}
				m.upstreams[d.Args[0]] = d
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

// check returns the rule of a directive and whether it is known. Like nginx it rejects a directive in the wrong
// context or with the wrong number of arguments.
func (m *importer) check(d *Directive, context string) (rule, bool, error) {
	r, known := rules[d.Name]
	if !known {
		m.addLine(d, NotCarried, "winglb does not know it: see what it is for, and leave it in front or out")
		return r, false, nil
	}
	if !slices.Contains(strings.Fields(r.contexts), context) {
		return r, false, errorAt(d, "%q directive is not allowed here: it stands in %s, and may in %s", d.Name, context, strings.ReplaceAll(r.contexts, " ", ", "))
	}
	if len(d.Args) < r.min || r.max >= 0 && len(d.Args) > r.max {
		return r, false, errorAt(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
	}
	if block := r.block && !(d.Name == "server" && context == "upstream"); block != d.HasBlock {
		if block {
			return r, false, errorAt(d, `directive %q has no opening "{"`, d.Name)
		}
		return r, false, errorAt(d, `directive %q is not terminated by ";"`, d.Name)
	}
	return r, true, nil
}

// addLine adds a line to the report.
func (m *importer) addLine(d *Directive, s State, note string) {
	m.report.Lines = append(m.report.Lines, Line{d.File, d.Line, d.Name, s, note})
	if d.HasBlock && s == NotCarried { // the directives in its block are not carried either
		for _, inner := range d.Block {
			m.addLine(inner, NotCarried, fmt.Sprintf("with %q, line %d", d.Name, d.Line))
		}
	}
}

// reportByRule reports a directive with the state of its rule, except where the state depends on the arguments.
func (m *importer) reportByRule(d *Directive, r rule) {
	if d.Name == "proxy_next_upstream" {
		for _, a := range d.Args {
			if strings.HasPrefix(a, "http_") || a == "invalid_header" {
				m.addLine(d, Approximated, a+" is not looked at: what a server answers is passed on as it is")
				return
			}
		}
	}
	m.addLine(d, r.state, r.note)
}

// inherited holds the settings that a block inherits. A header or limit of its own replaces all inherited ones of
// that kind.
type inherited struct {
	headers            [][2]string
	rateLimits         []routes.Limit
	connLimits         []routes.Limit
	dryRun             bool
	readTimeout        string
	tries              int // value of proxy_next_upstream_tries
	noRetry            bool
	retryNonIdempotent bool
}

// limits returns the limits of a location.
func (i inherited) limits() (all []routes.Limit) {
	for _, l := range i.rateLimits {
		l.DryRun = i.dryRun
		all = append(all, l)
	}
	return append(all, i.connLimits...)
}

// applyInherited returns the inherited settings out with those of a block applied.
func (m *importer) applyInherited(block []*Directive, out inherited) (inherited, error) {
	var headers [][2]string
	var rates, conns []routes.Limit
	for _, d := range block {
		switch d.Name {
		case "proxy_set_header":
			if len(d.Args) != 2 {
				return out, errorAt(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
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
					return out, errorAt(d, "invalid parameter %q", a)
				}
			}
			if !m.zones[l.Zone] {
				return out, errorAt(d, "zero size shared memory zone %q", l.Zone)
			}
			rates = append(rates, l)
		case "limit_conn":
			if len(d.Args) != 2 {
				return out, errorAt(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
			}
			n, err := strconv.Atoi(d.Args[1])
			if err != nil || n < 1 || n > 65535 {
				return out, errorAt(d, "invalid number of connections %q", d.Args[1])
			}
			if !m.zones[d.Args[0]] {
				return out, errorAt(d, "zero size shared memory zone %q", d.Args[0])
			}
			conns = append(conns, routes.Limit{Zone: d.Args[0], MaxConcurrent: n})
		case "proxy_next_upstream":
			out.noRetry, out.retryNonIdempotent = false, false
			for _, a := range d.Args {
				switch a {
				case "off":
					out.noRetry = true
				case "non_idempotent":
					out.retryNonIdempotent = true
				case "error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504", "http_403", "http_404", "http_429":
				default:
					return out, errorAt(d, "invalid value %q", a)
				}
			}
		case "proxy_next_upstream_tries":
			n := 0
			if len(d.Args) == 1 {
				var err error
				if n, err = strconv.Atoi(d.Args[0]); err != nil || n < 0 {
					return out, errorAt(d, "invalid number %q", d.Args[0])
				}
			}
			out.tries = n
		case "proxy_read_timeout":
			if len(d.Args) != 1 {
				return out, errorAt(d, "invalid number of arguments in %q directive: %d", d.Name, len(d.Args))
			}
			t, err := pools.ParseDuration(d.Args[0])
			if err != nil || t <= 0 {
				return out, errorAt(d, "invalid value %q of %q", d.Args[0], d.Name)
			}
			out.readTimeout = t.String()
		case "limit_req_dry_run":
			out.dryRun = len(d.Args) == 1 && d.Args[0] == "on"
		}
	}
	if headers != nil {
		out.headers = headers
	}
	if rates != nil {
		out.rateLimits = rates
	}
	if conns != nil {
		out.connLimits = conns
	}
	return out, nil
}

// importZone imports a limit_req_zone or limit_conn_zone.
func (m *importer) importZone(d *Directive) error {
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
				return errorAt(d, "invalid zone size %q", value)
			}
			z.Name, z.MaxKeys = name, int(min(max(1, n*unit/128), 1e6)) // one state takes 128 bytes in nginx
		case "rate":
			number, per, found := value, 1.0, false
			if number, found = strings.CutSuffix(value, "r/s"); !found {
				if number, found = strings.CutSuffix(value, "r/m"); found {
					per = 60
				}
			}
			n, err := strconv.Atoi(number)
			if err != nil || !found || n < 1 {
				return errorAt(d, "invalid rate %q", a)
			}
			z.Rate = float64(n) / per
		case "sync":
		default:
			return errorAt(d, "invalid parameter %q", a)
		}
	}
	if z.Name == "" || (d.Name == "limit_req_zone") != (z.Rate > 0) {
		return errorAt(d, "%q needs a zone, and limit_req_zone also a rate", d.Name)
	}
	m.config.Zones = append(m.config.Zones, z)
	m.addLine(d, Carried, "")
	return nil
}

// importTop imports the directives of the main or http context.
func (m *importer) importTop(all []*Directive, context string, in inherited) error {
	in, err := m.applyInherited(all, in)
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
			m.reportByRule(d, r)
			err = m.importTop(d.Block, "http", in)
		case "upstream":
			err = m.importUpstream(d)
		case "server":
			err = m.importServer(d, in)
		case "limit_req_zone", "limit_conn_zone":
			err = m.importZone(d)
		case "map", "split_clients", "geo":
			err = m.importMapping(d)
		default:
			m.reportByRule(d, r)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// importUpstream imports an upstream block.
func (m *importer) importUpstream(d *Directive) error {
	m.addLine(d, Carried, "")
	p := routes.Pool{Name: d.Args[0], Source: d.Position()}
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
			member, state, note, err := parseMember(c)
			if err != nil {
				return err
			}
			p.Members = append(p.Members, member)
			m.addLine(c, state, note)
		case "ip_hash", "least_conn", "random":
			p.Method = c.Name
			if c.Name == "random" && len(c.Args) > 0 && (c.Args[0] != "two" || len(c.Args) > 1 && c.Args[1] != "least_conn") {
				m.addLine(c, Approximated, "random two, by least connections")
				continue
			}
			m.addLine(c, Carried, "")
		case "hash":
			p.Method, p.Key = "hash", c.Args[0]
			if len(c.Args) == 2 {
				if c.Args[1] != "consistent" {
					return errorAt(c, "invalid parameter %q", c.Args[1])
				}
				p.Method = "consistent"
			}
			m.addLine(c, Carried, "")
		default:
			m.reportByRule(c, r)
		}
	}
	if len(p.Members) == 0 {
		return errorAt(d, "no servers are inside upstream %q", p.Name)
	}
	if p.Method == "ip_hash" || p.Method == "hash" || p.Method == "consistent" || p.Method == "random" {
		if i := slices.IndexFunc(p.Members, func(s routes.Member) bool { return s.Backup }); i >= 0 {
			return errorAt(d, "balancing method %q does not support parameter \"backup\"", p.Method)
		}
	}
	m.config.Pools = append(m.config.Pools, p)
	return nil
}

// parseMember parses a server directive of an upstream.
func parseMember(d *Directive) (s routes.Member, state State, note string, err error) {
	if len(d.Args) == 0 {
		return s, "", "", errorAt(d, "a server needs an address")
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
				return 0, errorAt(d, "invalid value %q of %s", value, key)
			}
			return n, nil
		}
		switch {
		case key == "weight" && has:
			if s.Weight, err = number(); err == nil && s.Weight == 0 {
				err = errorAt(d, "invalid value \"0\" of weight")
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
			err = errorAt(d, "invalid parameter %q", a)
		}
		if err != nil {
			return s, state, note, err
		}
	}
	return s, state, note, nil
}

// importServer imports a server block.
func (m *importer) importServer(d *Directive, in inherited) error {
	m.addLine(d, Carried, "")
	in, err := m.applyInherited(d.Block, in)
	if err != nil {
		return err
	}
	s := routes.Server{Source: d.Position()}
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
			l, state, note, err := parseListen(c)
			if err != nil {
				return err
			}
			if l.Address != "" {
				s.Listen = append(s.Listen, l)
			}
			m.addLine(c, state, note)
		case "server_name":
			for _, n := range c.Args {
				s.Names = append(s.Names, strings.ToLower(strings.Replace(n, "~", "~", 1)))
				if strings.HasPrefix(n, "~") {
					s.Names[len(s.Names)-1] = n
				}
			}
			m.addLine(c, Carried, "")
		case "merge_slashes":
			s.KeepSlashes = c.Args[0] == "off"
			m.addLine(c, Carried, "")
		case "location":
			l, err := m.importLocation(c, "", in)
			if err != nil {
				return err
			}
			if err := checkDuplicate(s.Locations, l, c); err != nil {
				return err
			}
			s.Locations = append(s.Locations, l)
		case "return", "rewrite", "set", "break", "if":
			step, ok, err := m.importStep(c, "server")
			if err != nil {
				return err
			}
			if ok {
				s.Steps = append(s.Steps, step)
			}
		default:
			m.reportByRule(c, r)
		}
	}
	m.config.Servers = append(m.config.Servers, s)
	return nil
}

// checkDuplicate returns an error if a location is defined already.
func checkDuplicate(all []routes.Location, l routes.Location, d *Directive) error {
	for i := range all {
		same := all[i].Modifier == l.Modifier || strings.Trim(all[i].Modifier+l.Modifier, "^~") == "" && !strings.Contains("~ ~*", cmp.Or(all[i].Modifier, "x")) && !strings.Contains("~ ~*", cmp.Or(l.Modifier, "x"))
		if same && all[i].Pattern == l.Pattern && l.Modifier != "~" && l.Modifier != "~*" {
			return errorAt(d, "duplicate location %q, the first is at %s", l.Pattern, all[i].Source)
		}
	}
	return nil
}

// parseListen parses a listen directive.
func parseListen(d *Directive) (l routes.Listen, state State, note string, err error) {
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
		return l, state, "", errorAt(d, "invalid address %q", at)
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return l, state, "", errorAt(d, "invalid port in %q", at)
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

// importLocation imports a location block. parent is the pattern of the enclosing location, empty directly in a server.
func (m *importer) importLocation(d *Directive, parent string, in inherited) (l routes.Location, err error) {
	if in, err = m.applyInherited(d.Block, in); err != nil {
		return l, err
	}
	l.Headers, l.Limits, l.Timeout, l.Tries, l.RetryNonIdempotent = in.headers, in.limits(), in.readTimeout, in.tries, in.retryNonIdempotent
	if in.noRetry {
		l.Tries = 1
	}
	l.Source = d.Position()
	switch a := d.Args; {
	case len(a) == 2:
		l.Modifier, l.Pattern = a[0], a[1]
		if !slices.Contains([]string{"=", "^~", "~", "~*"}, l.Modifier) {
			return l, errorAt(d, "invalid location modifier %q", a[0])
		}
	case strings.HasPrefix(a[0], "@"):
		l.Modifier, l.Pattern = "@", a[0][1:]
	default:
		l.Pattern = a[0]
		for _, mod := range []string{"=", "^~", "~*", "~"} { // nginx accepts a modifier without a space
			if rest, ok := strings.CutPrefix(a[0], mod); ok {
				l.Modifier, l.Pattern = mod, rest
				break
			}
		}
	}
	regex := l.Modifier == "~" || l.Modifier == "~*"
	if parent != "" && l.Modifier == "@" {
		return l, errorAt(d, "named location %q can be on the server level only", d.Args[0])
	}
	if parent != "" && !regex && !strings.HasPrefix(l.Pattern, parent) {
		return l, errorAt(d, "location %q is outside location %q", l.Pattern, parent)
	}
	m.addLine(d, Carried, "")
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
				return l, errorAt(c, "location %q cannot be inside the exact or named location %q", c.Args[0], l.Pattern)
			}
			k, err := m.importLocation(c, inner, in)
			if err != nil {
				return l, err
			}
			if err := checkDuplicate(l.Locations, k, c); err != nil {
				return l, err
			}
			l.Locations = append(l.Locations, k)
		case "proxy_pass":
			if l.Pass != "" {
				return l, errorAt(c, `"proxy_pass" directive is duplicate`)
			}
			if err := m.importProxyPass(c, &l); err != nil {
				return l, err
			}
		case "return", "rewrite", "set", "break", "if":
			step, ok, err := m.importStep(c, "location")
			if err != nil {
				return l, err
			}
			if ok {
				l.Steps = append(l.Steps, step)
			}
		case "try_files":
			last := c.Args[len(c.Args)-1]
			m.reportByRule(c, r)
			switch {
			case strings.HasPrefix(last, "@"):
				l.Steps = append(l.Steps, routes.Step{Action: "named", Args: []string{last[1:]}})
			case strings.HasPrefix(last, "="):
				l.Steps = append(l.Steps, routes.Step{Action: "return", Args: []string{last[1:]}})
			default:
				l.Steps = append(l.Steps, routes.Step{Action: "rewrite", Args: []string{"^", last, "last"}})
			}
		default:
			m.reportByRule(c, r)
		}
	}
	if regex {
		if _, err := routes.Compile(&routes.Config{Servers: []routes.Server{{Locations: []routes.Location{{Modifier: l.Modifier, Pattern: l.Pattern, Pass: "http://x"}}}}}); err != nil {
			m.report.Lines[at].State, m.report.Lines[at].Note = NotCarried, err.Error()+"; write it without look-around and back-references"
			l.Modifier, l.Pattern = "=", "\x00 not carried "+d.Position() // matches no URI
		}
	}
	return l, nil
}

// importProxyPass imports a proxy_pass directive.
func (m *importer) importProxyPass(d *Directive, l *routes.Location) error {
	to := d.Args[0]
	scheme, rest, ok := strings.Cut(to, "://")
	if !ok || scheme != "http" && scheme != "https" {
		return errorAt(d, "invalid URL prefix in %q", to)
	}
	name, _, uri := strings.Cut(rest, "/")
	named := l.Modifier == "~" || l.Modifier == "~*" || l.Modifier == "@"
	if uri && named && !strings.Contains(rest, "$") {
		return errorAt(d, `"proxy_pass" cannot have URI part in location given by regular expression, or inside named location, or inside "if" statement, or inside "limit_except" block`)
	}
	l.Pass = to
	state, note := Carried, ""
	switch {
	case strings.HasPrefix(name, "unix:"):
		l.Pass, state, note = "", NotCarried, "winglb reaches servers by TCP only: give the server a port"
	case strings.Contains(name, "$"):
		note = "the pool is the one that the variables name; one that is not there is answered 502"
	case m.upstreams[name] == nil && !m.implicitPools[name]:
		address := name
		if _, _, err := net.SplitHostPort(name); err != nil {
			address = net.JoinHostPort(strings.Trim(name, "[]"), map[string]string{"http": "80", "https": "443"}[scheme])
		}
		m.implicitPools[name] = true
		m.config.Pools = append(m.config.Pools, routes.Pool{Name: name, Members: []routes.Member{{Address: address}}, Source: d.Position()})
		note = "no upstream has the name: a pool of the one address"
	}
	m.addLine(d, state, note)
	return nil
}

// importStep imports a directive of the rewrite module. ok is false if it is not carried.
func (m *importer) importStep(d *Directive, context string) (s routes.Step, ok bool, err error) {
	s = routes.Step{Action: d.Name, Args: d.Args}
	if d.Name == "if" {
		words := strings.TrimSpace(strings.Join(d.Args, " "))
		if !strings.HasPrefix(words, "(") || !strings.HasSuffix(words, ")") {
			return s, false, errorAt(d, "invalid condition %q", words)
		}
		s.Args = conditionArgs(d.Args)
	}
	if d.Name == "return" && len(d.Args) == 2 {
		if _, err := strconv.Atoi(d.Args[0]); err != nil {
			return s, false, errorAt(d, "invalid return code %q", d.Args[0])
		}
	}
	if d.Name == "set" && !strings.HasPrefix(d.Args[0], "$") {
		return s, false, errorAt(d, "invalid variable name %q", d.Args[0])
	}
	if d.Name == "if" {
		for _, c := range d.Block {
			if _, _, err := m.checkQuietly(c); err != nil {
				return s, false, err
			}
			if !slices.Contains([]string{"return", "rewrite", "set", "break"}, c.Name) {
				m.addLine(d, NotCarried, fmt.Sprintf("%q in it (line %d) has no exact meaning here: use map, or locations", c.Name, c.Line))
				return s, false, nil
			}
		}
	}
	probe := s
	probe.Steps = nil
	if _, err := routes.Compile(&routes.Config{Servers: []routes.Server{{Steps: []routes.Step{probe}}}}); err != nil {
		text := err.Error()
		if strings.Contains(text, "only PCRE") || d.Name == "if" {
			m.addLine(d, NotCarried, text[strings.LastIndex(text, "]: ")+3:])
			return s, false, nil
		}
		return s, false, errorAt(d, "%s", text[strings.LastIndex(text, "]: ")+3:])
	}
	m.addLine(d, Carried, "")
	for _, c := range d.Block {
		inner, ok, err := m.importStep(c, "if")
		if err != nil {
			return s, false, err
		}
		if ok {
			s.Steps = append(s.Steps, inner)
		}
	}
	return s, true, nil
}

// checkQuietly checks a directive in an if block without adding to the report.
func (m *importer) checkQuietly(d *Directive) (rule, bool, error) {
	before := len(m.report.Lines)
	r, known, err := m.check(d, "if")
	m.report.Lines = m.report.Lines[:before]
	return r, known, err
}

// conditionArgs removes the parentheses of the condition of an if.
func conditionArgs(args []string) (out []string) {
	out = slices.Clone(args)
	out[0] = strings.TrimPrefix(out[0], "(")
	n := len(out) - 1
	out[n] = strings.TrimSuffix(out[n], ")")
	return slices.DeleteFunc(out, func(s string) bool { return s == "" && len(out) > 3 })
}

// importMapping imports a map, split_clients or geo block.
func (m *importer) importMapping(d *Directive) error {
	n := len(d.Args)
	name := d.Args[n-1]
	if !strings.HasPrefix(name, "$") {
		return errorAt(d, "invalid variable name %q", name)
	}
	v := routes.Mapping{Name: name[1:], Kind: map[string]string{"map": "map", "split_clients": "split", "geo": "geo"}[d.Name], From: "$remote_addr"}
	if n == 2 {
		v.From = d.Args[0]
	}
	m.addLine(d, Carried, "")
	for _, c := range d.Block {
		switch {
		case c.HasBlock:
			return errorAt(c, "unexpected block in %s", d.Name)
		case len(c.Args) == 0 && c.Name == "hostnames" && d.Name == "map":
			v.Hostnames = true
		case len(c.Args) == 0 && c.Name == "volatile":
		case len(c.Args) != 1:
			return errorAt(c, "invalid number of the %s parameters", d.Name)
		case c.Name == "default":
			v.Default = c.Args[0]
		case slices.Contains([]string{"include", "ranges", "proxy", "proxy_recursive", "delete"}, c.Name) && d.Name == "geo":
			m.addLine(c, NotCarried, "clients are known by their own address here")
			continue
		default:
			v.Cases = append(v.Cases, [2]string{c.Name, c.Args[0]})
		}
		m.report.Lines = append(m.report.Lines, Line{c.File, c.Line, c.Name, Carried, ""})
	}
	if _, err := routes.Compile(&routes.Config{Vars: []routes.Mapping{v}}); err != nil {
		if strings.Contains(err.Error(), "only PCRE") {
			m.addLine(d, NotCarried, err.Error())
			v.Cases = slices.DeleteFunc(v.Cases, func(c [2]string) bool { return strings.HasPrefix(c[0], "~") })
		} else {
			return errorAt(d, "%v", err)
		}
	}
	m.config.Vars = append(m.config.Vars, v)
	return nil
}
