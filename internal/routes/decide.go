package routes

import (
	"net"
	"strings"
)

// maxInternalRedirects is how often a request may be taken from one location to another before it is a loop.
const maxInternalRedirects = 10

// Decide tells what becomes of a request.
func (t *Table) Decide(q Request) Decision {
	s := &evaluation{table: t, request: q}
	d := s.decide()
	d.Why = s.why
	return d
}

func (s *evaluation) decide() Decision {
	l := s.table.listenerFor(s.request.Listen)
	if l == nil {
		s.trace("nothing listens at %s", s.request.Listen)
		return Decision{Status: 404}
	}
	s.host = strings.ToLower(s.request.Host)
	if h, _, err := net.SplitHostPort(s.host); err == nil {
		s.host = h
	}
	s.host = strings.TrimSuffix(s.host, ".")
	n, re, found := l.hosts.match(s.host)
	if !found {
		n = l.defaultServer
		s.trace("no server has the name %q: the default of %s", s.host, s.request.Listen)
	} else if re != nil {
		s.setCaptures(re, re.FindStringSubmatch(s.host))
	}
	s.server = l.servers[n]
	if s.host == "" {
		s.host = s.server.name()
	}
	s.trace("server %q %s", s.server.name(), s.server.Source)
	d := Decision{Server: s.server.name()}
	var err error
	if s.path, s.args, err = Normalise(s.request.Target, !s.server.Keep); err != nil {
		s.trace("the URI is malformed")
		d.Status = 400
		return d
	}
	if _, done := s.runSteps(s.server.steps, &d); done {
		return d
	}
	for range maxInternalRedirects {
		loc, how := s.findLocation(s.server.root)
		if how == slashRedirect {
			d.Location, d.Status, d.Text = loc.String(), 301, Escape(s.path)+"/"
			if s.args != "" {
				d.Text += "?" + s.args
			}
			s.trace("location %s ends in a slash: redirected to %s", loc, d.Text)
			return d
		}
		if loc == nil {
			s.trace("no location has %s", s.path)
			d.Status = 404
			return d
		}
		again, done := s.enterLocation(loc, &d)
		if !again || done {
			return d
		}
	}
	s.trace("the locations lead in a circle")
	d.Status, d.Pool = 500, ""
	return d
}

// listenerFor finds a listening address; one without a host takes what no other does.
func (t *Table) listenerFor(address string) *listener {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	var any *listener
	for _, l := range t.listeners {
		if l.port == port && l.host == host && host != "" {
			return l
		}
		if l.port == port && l.host == "" {
			any = l
		}
	}
	return any
}

// matchKind is how far the search at a level came.
type matchKind int

const (
	noMatch       matchKind = iota
	prefixMatch             // a prefix, which a regular expression may yet win over
	finalMatch              // nothing wins over it
	slashRedirect           // the path lacks the slash that the location ends in: a redirect is owed
)

// findLocation chooses the location: an exact one, else the longest prefix and what is nested there, else the first
// regular expression, unless the prefix forbids those. What is nested is tried, its regular expressions too,
// before the regular expressions beside.
func (s *evaluation) findLocation(l *level) (found *location, how matchKind) {
	if l == nil {
		return nil, noMatch
	}
	if c := l.exact[s.path]; c != nil {
		return c, finalMatch
	}
	if c := l.slashLocation(s.path); c != nil {
		return c, slashRedirect
	}
	best := l.prefixes.longestPrefix(s.path)
	if best != nil {
		inner, how := s.findLocation(best.nested)
		if how >= finalMatch {
			return inner, how
		}
		if found = best; inner != nil {
			found = inner
		}
	}
	if best == nil || best.Modifier != "^~" {
		for _, c := range l.regex {
			if m := c.re.FindStringSubmatch(s.path); m != nil {
				s.setCaptures(c.re, m)
				if inner, how := s.findLocation(c.nested); how == slashRedirect {
					return inner, how
				} else if inner != nil {
					return inner, finalMatch
				}
				return c, finalMatch
			}
		}
	}
	if found == nil {
		return nil, noMatch
	}
	return found, prefixMatch
}

// slashLocation is the location that passes on and ends in a slash, which the path is but for that; nil where there is
// none, or another has the path itself.
func (l *level) slashLocation(path string) *location {
	if l.prefixes.get(path) != nil {
		return nil
	}
	exact, inclusive := l.exact[path+"/"], l.prefixes.get(path+"/")
	switch owed := exact != nil && exact.hasPass || inclusive != nil && inclusive.hasPass; {
	case !owed:
		return nil
	case exact != nil:
		return exact
	}
	return inclusive
}

// enterLocation does what a location says. again: another is to be looked for.
func (s *evaluation) enterLocation(loc *location, d *Decision) (again, done bool) {
	d.Location = loc.String()
	s.trace("location %s %s", loc, loc.Source)
	s.uriChangedHere = false
	broke, done := s.runSteps(loc.steps, d)
	if done {
		return false, true
	}
	if s.uriChangedHere && !broke {
		s.trace("the URI became %s", s.path)
		return true, false
	}
	for _, c := range loc.steps {
		if c.action == "named" {
			next := s.server.named[c.name]
			if next == nil {
				d.Status = 500
				return false, true
			}
			return s.enterLocation(next, d)
		}
	}
	if !loc.hasPass {
		s.trace("nothing is passed on from here")
		d.Status = 404
		return false, true
	}
	s.proxyPass(loc, d)
	return false, true
}

// proxyPass names the pool and the URI for its servers.
func (s *evaluation) proxyPass(loc *location, d *Decision) {
	to := loc.pass.eval(s)
	pool, uri, has := strings.Cut(to, "/")
	for _, h := range loc.headers {
		d.Headers = append(d.Headers, [2]string{h.name, h.value.eval(s)})
	}
	for _, l := range loc.Limits {
		if key := s.table.zones[l.Zone].eval(s); key != "" {
			d.Limits = append(d.Limits, Limited{l, key})
			s.trace("limit %s of %q", l.Zone, key)
		}
	}
	d.Pool, d.Scheme, d.Within, d.Tries, d.RepeatAll = pool, loc.scheme, loc.timeout, loc.Tries, loc.RepeatAll
	if has {
		uri = "/" + uri
	}
	raw := s.request.Target
	if rest, ok := cutSchemeAndHost(raw); ok {
		raw = rest
	}
	raw, _, _ = strings.Cut(raw, "#")
	switch {
	case loc.hasVariables && has: // as it stands
		d.URI = uri
	case !has && !s.uriChanged: // as the client wrote it
		d.URI = raw
	default:
		if d.URI = Escape(s.path); has && !s.rewroteWithBreak { // a rewrite that ends in break has it ignored
			d.URI = uri + Escape(strings.TrimPrefix(s.path, loc.Pattern))
		}
		if s.args != "" {
			d.URI += "?" + s.args
		}
	}
	if key, ok := s.table.keys[pool]; ok {
		d.Key = key.eval(s)
	}
	s.trace("pool %s gets %s", d.Pool, d.URI)
}

// runSteps does rewriting directives in order. broke: no other location is to be looked for; done: it is answered.
func (s *evaluation) runSteps(all []step, d *Decision) (broke, done bool) {
	for i := range all {
		c := &all[i]
		switch c.action {
		case "break":
			s.rewroteWithBreak = s.rewroteWithBreak || s.uriChangedHere
			return true, false
		case "set":
			if s.variables == nil {
				s.variables = map[string]string{}
			}
			s.variables[c.name] = c.args[0].eval(s)
		case "return":
			d.Status = c.code
			if len(c.args) > 0 {
				d.Text = c.args[0].eval(s)
			}
			s.trace("return %d", c.code)
			return false, true
		case "if":
			if s.conditionHolds(c) {
				s.trace("the condition on %s holds", c.args[0].eval(s))
				if broke, done := s.runSteps(c.body, d); broke || done {
					return broke, done
				}
			}
		case "rewrite":
			m := c.re.FindStringSubmatch(s.path)
			if m == nil {
				continue
			}
			s.setCaptures(c.re, m)
			to := c.args[0].eval(s)
			away := strings.HasPrefix(to, "http://") || strings.HasPrefix(to, "https://")
			path, args, has := strings.Cut(to, "?")
			if !c.dropArgs && s.args != "" {
				if has && args != "" {
					args += "&"
				}
				args += s.args
			}
			if away || c.flag == "redirect" || c.flag == "permanent" {
				if d.Status = 302; c.flag == "permanent" {
					d.Status = 301
				}
				if d.Text = path; !away {
					d.Text = Escape(path)
				}
				if args != "" {
					d.Text += "?" + args
				}
				s.trace("redirected to %s", d.Text)
				return false, true
			}
			if path == "" || path[0] != '/' { // nginx passes it on as it is; nobody can find it
				path = "/" + path
			}
			s.path, s.args, s.uriChanged, s.uriChangedHere = path, args, true, true
			s.trace("rewritten to %s", path)
			switch c.flag {
			case "last":
				return false, false
			case "break":
				s.rewroteWithBreak = true
				return true, false
			}
		}
	}
	return false, false
}

func (s *evaluation) conditionHolds(c *step) bool {
	v := c.args[0].eval(s)
	switch {
	case c.re != nil:
		m := c.re.FindStringSubmatch(v)
		if m != nil {
			s.setCaptures(c.re, m)
		}
		return (m != nil) != c.negated
	case len(c.args) == 2:
		return (v == c.args[1].eval(s)) != c.negated
	}
	return v != "" && v != "0"
}
