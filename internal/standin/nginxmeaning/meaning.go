// Package nginxmeaning is a stand-in for nginx's published meaning: which location a path has, what becomes
// of its URI, which server a consistent hash names, by the plainest means. It shares nothing with the routes
// and pools that are compared with it.
package nginxmeaning

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"regexp"
	"sort"
	"strings"
)

// Place is a location of a drawn file.
type Place struct {
	Modifier, Pattern string
	Pass              string // pool, with a URI after it or not; empty: return 204
	Inner             []*Place
}

func (p *Place) text(depth int) string {
	var b strings.Builder
	pad := strings.Repeat("  ", depth)
	fmt.Fprintf(&b, "%slocation %s %q {\n", pad, p.Modifier, p.Pattern)
	if p.Pass != "" {
		fmt.Fprintf(&b, "%s  proxy_pass http://%s;\n", pad, p.Pass)
	} else {
		fmt.Fprintf(&b, "%s  return 204;\n", pad)
	}
	for _, i := range p.Inner {
		b.WriteString(i.text(depth + 1))
	}
	fmt.Fprintf(&b, "%s}\n", pad)
	return b.String()
}

func (p *Place) is(modifiers ...string) bool {
	for _, m := range modifiers {
		if p.Modifier == m {
			return true
		}
	}
	return false
}

// Chosen is the place for a decoded path, and whether a redirect to it with a slash is owed.
func Chosen(all []*Place, path string) (found *Place, redirect, sure bool) {
	for _, p := range all {
		if p.is("=") && p.Pattern == path {
			return p, false, true
		}
	}
	same := false
	for _, p := range all {
		same = same || p.is("", "^~") && p.Pattern == path
	}
	if !same {
		owed := false
		for _, p := range all {
			owed = owed || p.is("=", "", "^~") && p.Pattern == path+"/" && p.Pass != ""
		}
		for _, modifiers := range [][]string{{"="}, {"", "^~"}} { // of two of one pattern the exact one
			for _, p := range all {
				if owed && p.is(modifiers...) && p.Pattern == path+"/" {
					return p, true, true
				}
			}
		}
	}
	for _, p := range all {
		if p.is("", "^~") && strings.HasPrefix(path, p.Pattern) && (found == nil || len(p.Pattern) > len(found.Pattern)) {
			found = p
		}
	}
	longest := found
	if longest != nil {
		in, redirect, sure := Chosen(longest.Inner, path)
		if sure {
			return in, redirect, true
		}
		if in != nil {
			found = in
		}
	}
	if longest == nil || !longest.is("^~") {
		for _, p := range all {
			if p.is("~", "~*") {
				expression := p.Pattern
				if p.is("~*") {
					expression = "(?i)" + expression
				}
				if regexp.MustCompile(expression).MatchString(path) {
					in, redirect, _ := Chosen(p.Inner, path)
					if in != nil {
						return in, redirect, true
					}
					return p, false, true
				}
			}
		}
	}
	return found, false, false
}

// Decoded is the path as nginx takes it, by the plainest means.
func Decoded(raw string) (string, bool) {
	var out []string
	var b strings.Builder
	for i := 0; i < len(raw); i++ {
		if raw[i] == '%' {
			var n int
			if _, err := fmt.Sscanf(raw[i+1:i+3], "%x", &n); err != nil || n == 0 {
				return "", false
			}
			b.WriteByte(byte(n))
			i += 2
		} else {
			b.WriteByte(raw[i])
		}
	}
	text := b.String()
	for strings.Contains(text, "//") {
		text = strings.ReplaceAll(text, "//", "/")
	}
	trailing := strings.HasSuffix(text, "/") || strings.HasSuffix(text, "/.") || strings.HasSuffix(text, "/..")
	for _, s := range strings.Split(text, "/") {
		switch s {
		case "", ".":
		case "..":
			if len(out) == 0 {
				return "", false
			}
			out = out[:len(out)-1]
		default:
			out = append(out, s)
		}
	}
	text = "/" + strings.Join(out, "/")
	if trailing && text != "/" {
		text += "/"
	}
	return text, true
}

// Draw is the locations of a random server.
func Draw(r *rand.Rand) []*Place { return draw(r, 0, "/") }

func draw(r *rand.Rand, depth int, under string) (all []*Place) {
	words := []string{"a", "b", "ab", "a/b", "static", "x y", "A"}
	seen := map[string]bool{}
	for range 1 + r.IntN(5) {
		p := &Place{Modifier: []string{"", "", "", "=", "^~", "~", "~*"}[r.IntN(7)]}
		if p.is("~", "~*") {
			p.Pattern = []string{`\.mp4$`, `^/a`, `b`, `/x y`, `^/(?<w>[a-z]+)/`, `A$`}[r.IntN(6)]
		} else {
			p.Pattern = under + words[r.IntN(len(words))] + []string{"", "/", "/"}[r.IntN(3)]
			key := strings.ReplaceAll(p.Modifier, "^~", "") + " " + p.Pattern
			if seen[key] {
				continue
			}
			seen[key] = true
		}
		switch r.IntN(4) {
		case 0:
		case 1:
			if !p.is("~", "~*") {
				p.Pass = []string{"p0/b/", "p1/", "p2/c%20d"}[r.IntN(3)]
				break
			}
			fallthrough
		default:
			p.Pass = fmt.Sprint("p", r.IntN(3))
		}
		if depth < 2 && r.IntN(3) == 0 && !p.is("=") {
			within := under
			if !p.is("~", "~*") {
				within = p.Pattern
			}
			p.Inner = draw(r, depth+1, within)
		}
		all = append(all, p)
	}
	return all
}

// Name is the place as it stands in a file.
func (p *Place) Name() string { return strings.TrimSpace(p.Modifier + " " + p.Pattern) }

// File is a server of such locations, with the pools that they name.
func File(all []*Place) string {
	var b strings.Builder
	b.WriteString("upstream p0 { server 127.0.0.1:1; } upstream p1 { server 127.0.0.1:2; } upstream p2 { server 127.0.0.1:3; }\nserver {\n  listen 80;\n  server_name x;\n")
	for _, p := range all {
		b.WriteString(p.text(1))
	}
	b.WriteString("}\n")
	return b.String()
}

// Target is a random one, without its arguments.
func Target(r *rand.Rand) (raw string) {
	for range 1 + r.IntN(4) {
		raw += "/" + []string{"a", "b", "ab", "static", "x%20y", "A", "c.mp4", "..", ".", "", "%2e%2e", "a%2Fb", "é", "%C3%A9", "q%3Fr"}[r.IntN(15)]
	}
	return raw
}

// Upstream is the URI for a place's servers, of a raw target and its decoded path.
func Upstream(p *Place, raw, path, args string) (pool, uri string) {
	pool, rest, has := strings.Cut(p.Pass, "/")
	if has {
		return pool, "/" + rest + Escaped(path[len(p.Pattern):]) + args
	}
	return pool, raw + args
}

// Escaped writes what may not stand in a request line as percent and two digits.
func Escaped(s string) string {
	out := ""
	for _, c := range []byte(s) {
		if strings.IndexByte(" #%?", c) >= 0 || c < 32 || c > 126 {
			out += fmt.Sprintf("%%%02X", c)
		} else {
			out += string(c)
		}
	}
	return out
}

// Ring is the server of a consistent hash: all points in a list, looked through from its start.
func Ring(addresses []string, weights []int, key string) string {
	type spot struct {
		at    uint32
		owner string
	}
	var spots []spot
	for i, a := range addresses {
		host, port, _ := strings.Cut(a, ":")
		previous := []byte{0, 0, 0, 0}
		for range weights[i] * 160 {
			sum := crc32.ChecksumIEEE(append([]byte(host+"\x00"+port), previous...))
			spots = append(spots, spot{sum, a})
			previous = []byte{byte(sum), byte(sum >> 8), byte(sum >> 16), byte(sum >> 24)}
		}
	}
	sort.SliceStable(spots, func(i, j int) bool { return spots[i].at < spots[j].at })
	want := crc32.ChecksumIEEE([]byte(key))
	for _, s := range spots {
		if s.at >= want {
			return s.owner
		}
	}
	return spots[0].owner
}
