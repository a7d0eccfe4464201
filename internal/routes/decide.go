package routes

import (
	"net"
	"strings"
)

// maxInternalRedirects limits how often a request may be redirected from one location to another, to end loops.
const maxInternalRedirects = 10

// Decide returns how a request is handled.
func (t *Table) Decide(request Request) Decision {
	e := &evaluation{table: t, request: request}
	d := e.decide()
	d.Trace = e.traceLines
	return d
}

func (e *evaluation) decide() Decision {
	l := e.table.listenerFor(e.request.Listen)
	if l == nil {
		e.trace("no listener at %s", e.request.Listen)
		return Decision{Status: 404}
	}
	e.host = strings.ToLower(e.request.Host)
	if host, _, err := net.SplitHostPort(e.host); err == nil {
		e.host = host
	}
	e.host = strings.TrimSuffix(e.host, ".")
	index, re, found := l.hosts.match(e.host)
	if !found {
		index = l.defaultServer
		e.trace("no server is named %q: using the default server of %s", e.host, e.request.Listen)
	} else if re != nil {
		e.setCaptures(re, re.FindStringSubmatch(e.host))
	}
	e.server = l.servers[index]
	if e.host == "" {
		e.host = e.server.name()
	}
	e.trace("server %q %s", e.server.name(), e.server.Source)
	d := Decision{Server: e.server.name()}
	var err error
	if e.path, e.args, err = Normalize(e.request.Target, !e.server.KeepSlashes); err != nil {
		e.trace("malformed URI")
		d.Status = 400
		return d
	}
	if _, done := e.runSteps(e.server.steps, &d); done {
		return d
	}
	for range maxInternalRedirects {
		loc, kind := e.findLocation(e.server.root)
		if kind == slashRedirect {
			d.Location, d.Status, d.Text = loc.String(), 301, Escape(e.path)+"/"
			if e.args != "" {
				d.Text += "?" + e.args
			}
			e.trace("location %s ends in a slash: redirecting to %s", loc, d.Text)
			return d
		}
		if loc == nil {
			e.trace("no location matches %s", e.path)
			d.Status = 404
			return d
		}
		again, done := e.enterLocation(loc, &d)
		if !again || done {
			return d
		}
	}
	e.trace("too many internal redirects")
	d.Status, d.Pool = 500, ""
	return d
}

// listenerFor returns the listener for an address; one without a host accepts what no other does.
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

// matchKind is the result of the search at one level.
type matchKind int

const (
	noMatch       matchKind = iota
	prefixMatch             // a prefix, over which a regular expression may still take precedence
	finalMatch              // nothing takes precedence over it
	slashRedirect           // the path lacks the slash that the location ends in, and a redirect adds it
)

// findLocation selects the location: an exact match, else the longest prefix and the locations nested in it, else
// the first regular expression, unless the prefix excludes these. Nested locations, including regular expressions,
// are tried before the regular expressions of the same level.
func (e *evaluation) findLocation(l *level) (found *location, kind matchKind) {
	if l == nil {
		return nil, noMatch
	}
	if loc := l.exact[e.path]; loc != nil {
		return loc, finalMatch
	}
	if loc := l.slashLocation(e.path); loc != nil {
		return loc, slashRedirect
	}
	best := l.prefixes.longestPrefix(e.path)
	if best != nil {
		nested, kind := e.findLocation(best.nested)
		if kind >= finalMatch {
			return nested, kind
		}
		if found = best; nested != nil {
			found = nested
		}
	}
	if best == nil || best.Modifier != "^~" {
		for _, loc := range l.regex {
			if match := loc.re.FindStringSubmatch(e.path); match != nil {
				e.setCaptures(loc.re, match)
				if nested, kind := e.findLocation(loc.nested); kind == slashRedirect {
					return nested, kind
				} else if nested != nil {
					return nested, finalMatch
				}
				return loc, finalMatch
			}
		}
	}
	if found == nil {
		return nil, noMatch
	}
	return found, prefixMatch
}

// slashLocation returns the location whose pattern is the path plus a slash, the exact one if there are two; nil if
// none of them has a pass, or a prefix location has the path itself.
func (l *level) slashLocation(path string) *location {
	if l.prefixes.get(path) != nil {
		return nil
	}
	exact, prefix := l.exact[path+"/"], l.prefixes.get(path+"/")
	switch redirects := exact != nil && exact.hasPass || prefix != nil && prefix.hasPass; {
	case !redirects:
		return nil
	case exact != nil:
		return exact
	}
	return prefix
}

// enterLocation carries out the directives of a location. again: another location has to be selected.
func (e *evaluation) enterLocation(loc *location, d *Decision) (again, done bool) {
	d.Location = loc.String()
	e.trace("location %s %s", loc, loc.Source)
	e.uriChangedHere = false
	stopped, done := e.runSteps(loc.steps, d)
	if done {
		return false, true
	}
	if e.uriChangedHere && !stopped {
		e.trace("the URI is now %s: selecting a location again", e.path)
		return true, false
	}
	for _, step := range loc.steps {
		if step.action == "named" {
			next := e.server.named[step.name]
			if next == nil {
				d.Status = 500
				return false, true
			}
			if e.namedRedirects++; e.namedRedirects > maxInternalRedirects {
				e.trace("too many internal redirects")
				d.Status = 500
				return false, true
			}
			return e.enterLocation(next, d)
		}
	}
	if !loc.hasPass {
		e.trace("the location has no pass")
		d.Status = 404
		return false, true
	}
	e.proxyPass(loc, d)
	return false, true
}

// proxyPass sets the pool and the URI for its servers.
func (e *evaluation) proxyPass(loc *location, d *Decision) {
	target := loc.pass.eval(e)
	pool, uri, hasURI := strings.Cut(target, "/")
	for _, h := range loc.headers {
		d.Headers = append(d.Headers, [2]string{h.name, h.value.eval(e)})
	}
	for _, l := range loc.Limits {
		if key := e.table.zones[l.Zone].eval(e); key != "" {
			d.Limits = append(d.Limits, KeyedLimit{l, key})
			e.trace("limit zone %s, key %q", l.Zone, key)
		}
	}
	d.Pool, d.Scheme, d.Timeout, d.Tries, d.RetryNonIdempotent = pool, loc.scheme, loc.timeout, loc.Tries, loc.RetryNonIdempotent
	if hasURI {
		uri = "/" + uri
	}
	raw := e.request.Target
	if rest, ok := cutSchemeAndHost(raw); ok {
		raw = rest
	}
	raw, _, _ = strings.Cut(raw, "#")
	switch {
	case loc.hasVariables && hasURI: // as in nginx, a pass with variables and a URI is used unchanged
		d.URI = uri
	case !hasURI && !e.uriChanged: // as the client sent it
		d.URI = raw
	default:
		if d.URI = Escape(e.path); hasURI && !e.rewroteWithBreak { // after a rewrite that ends in break, the URI of the pass is ignored
			d.URI = uri + Escape(strings.TrimPrefix(e.path, loc.Pattern))
		}
		if e.args != "" {
			d.URI += "?" + e.args
		}
	}
	d.URI = escapeUnsendable(d.URI)
	if key, ok := e.table.keys[pool]; ok {
		d.Key = key.eval(e)
	}
	e.trace("passing to pool %s with the URI %s", d.Pool, d.URI)
}

// runSteps carries out rewrite directives in order. stopped: no other location is to be selected; done: the request
// is answered.
func (e *evaluation) runSteps(steps []step, d *Decision) (stopped, done bool) {
	for i := range steps {
		step := &steps[i]
		switch step.action {
		case "break":
			e.rewroteWithBreak = e.rewroteWithBreak || e.uriChangedHere
			return true, false
		case "set":
			if e.variables == nil {
				e.variables = map[string]string{}
			}
			e.variables[step.name] = step.args[0].eval(e)
		case "return":
			d.Status = step.code
			if len(step.args) > 0 {
				d.Text = step.args[0].eval(e)
			}
			e.trace("return %d", step.code)
			return false, true
		case "if":
			if e.conditionHolds(step) {
				e.trace("the if condition on %s is true", step.args[0].eval(e))
				if stopped, done := e.runSteps(step.body, d); stopped || done {
					return stopped, done
				}
			}
		case "rewrite":
			match := step.re.FindStringSubmatch(e.path)
			if match == nil {
				continue
			}
			e.setCaptures(step.re, match)
			replacement := step.args[0].eval(e)
			external := strings.HasPrefix(replacement, "http://") || strings.HasPrefix(replacement, "https://")
			path, args, hasArgs := strings.Cut(replacement, "?")
			if !step.dropArgs && e.args != "" {
				if hasArgs && args != "" {
					args += "&"
				}
				args += e.args
			}
			if external || step.flag == "redirect" || step.flag == "permanent" {
				if d.Status = 302; step.flag == "permanent" {
					d.Status = 301
				}
				if d.Text = path; !external {
					d.Text = Escape(path)
				}
				if args != "" {
					d.Text += "?" + args
				}
				e.trace("redirecting to %s", d.Text)
				return false, true
			}
			if path == "" || path[0] != '/' { // nginx passes such a path on as it is; no location could match it
				path = "/" + path
			}
			e.path, e.args, e.uriChanged, e.uriChangedHere = path, args, true, true
			e.trace("rewritten to %s", path)
			switch step.flag {
			case "last":
				return false, false
			case "break":
				e.rewroteWithBreak = true
				return true, false
			}
		}
	}
	return false, false
}

func (e *evaluation) conditionHolds(step *step) bool {
	value := step.args[0].eval(e)
	switch {
	case step.re != nil:
		match := step.re.FindStringSubmatch(value)
		if match != nil {
			e.setCaptures(step.re, match)
		}
		return (match != nil) != step.negated
	case len(step.args) == 2:
		return (value == step.args[1].eval(e)) != step.negated
	}
	return value != "" && value != "0"
}
