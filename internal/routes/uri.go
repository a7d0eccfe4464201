package routes

import (
	"errors"
	"strings"
)

// ErrBadURI is returned for a malformed request target.
var ErrBadURI = errors.New("routes: malformed URI")

// Normalize decodes the path of a target, resolves ".", ".." and, if merge is set, multiple slashes, and splits
// off the arguments. The path begins with a slash.
func Normalize(target string, merge bool) (path, args string, err error) {
	if rest, ok := cutSchemeAndHost(target); ok {
		target = rest
	}
	target, _, _ = strings.Cut(target, "#")
	raw, args, _ := strings.Cut(target, "?")
	if raw == "" || raw[0] != '/' {
		return "", "", ErrBadURI
	}
	out := make([]byte, 0, len(raw))
	for i := 0; i < len(raw); i++ {
		c := raw[i]
		if c == '%' {
			if i+2 >= len(raw) {
				return "", "", ErrBadURI
			}
			hi, lo := hexDigit(raw[i+1]), hexDigit(raw[i+2])
			if hi < 0 || lo < 0 {
				return "", "", ErrBadURI
			}
			c = byte(hi<<4 | lo)
			i += 2
		}
		if c == 0 {
			return "", "", ErrBadURI
		}
		out = append(out, c)
	}
	if path, ok := resolveDots(string(out), merge); ok {
		return path, args, nil
	}
	return "", "", ErrBadURI
}

// cutSchemeAndHost removes the scheme and host from a target in absolute form.
func cutSchemeAndHost(target string) (string, bool) {
	for _, scheme := range []string{"http://", "https://"} {
		if len(target) > len(scheme) && strings.EqualFold(target[:len(scheme)], scheme) {
			rest := target[len(scheme):]
			if i := strings.IndexAny(rest, "/?"); i >= 0 {
				if rest[i] == '?' {
					return "/" + rest[i:], true
				}
				return rest[i:], true
			}
			return "/", true
		}
	}
	return target, false
}

// resolveDots resolves dot segments, and multiple slashes if merge is set, in a decoded path; false: it leads
// above the root.
func resolveDots(path string, merge bool) (string, bool) {
	if !strings.Contains(path, "/.") && (!merge || !strings.Contains(path, "//")) {
		return path, true
	}
	parts := strings.Split(path[1:], "/")
	var out []string
	for i, p := range parts {
		last := i == len(parts)-1
		switch {
		case p == ".":
			if last {
				out = append(out, "")
			}
		case p == "..":
			if len(out) == 0 {
				return "", false
			}
			out = out[:len(out)-1]
			if last {
				out = append(out, "")
			}
		case p == "" && merge && !last:
		default:
			out = append(out, p)
		}
	}
	return "/" + strings.Join(out, "/"), true
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// Escape encodes a decoded path for a request line.
func Escape(path string) string { return escape(path, needsEscape) }

// escapeUnsendable encodes those bytes of a URI that cannot stand in a request line. A URI holds decoded text where
// variables or captures become part of its arguments, or of a pass with variables; nginx sends such text unchanged.
func escapeUnsendable(uri string) string { return escape(uri, unsendable) }

func escape(text string, needed func(byte) bool) string {
	const digits = "0123456789ABCDEF"
	plain := true
	for i := range len(text) {
		plain = plain && !needed(text[i])
	}
	if plain {
		return text
	}
	var s strings.Builder
	for i := range len(text) {
		if c := text[i]; needed(c) {
			s.WriteByte('%')
			s.WriteByte(digits[c>>4])
			s.WriteByte(digits[c&15])
		} else {
			s.WriteByte(c)
		}
	}
	return s.String()
}

// unsendable reports whether a byte would end a request line or its target.
func unsendable(c byte) bool { return c <= ' ' || c == 0x7f }

func needsEscape(c byte) bool {
	return unsendable(c) || c >= 0x80 || c == '#' || c == '%' || c == '?'
}
