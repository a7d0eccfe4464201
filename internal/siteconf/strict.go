package siteconf

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Strict is another file of the operator's, read as strictly as the main one: each fault has file, line, key and mend.
type Strict struct{ file File }

// ReadStrict reads a text into a struct. units has the keys whose values are no bare numbers, and what to write
// instead, with a verb for the number; words has the keys that there are, for guesses.
func ReadStrict(path string, text []byte, into any, units map[string]string, words []string) (*Strict, error) {
	s := &Strict{File{path: path, text: strings.Split(string(text), "\n")}}
	var bare []bareNumber
	s.file.lines, bare = lines(text)
	for _, n := range bare {
		if mend, ok := units[n.key[strings.LastIndexByte(n.key, '.')+1:]]; ok {
			return nil, s.At(n.key, "it needs a unit, in quotes: "+mend, n.text)
		}
	}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(into); err != nil {
		fault := s.file.fault(err)
		if e, ok := fault.(*Error); ok && strings.HasPrefix(e.Text, "no such key") {
			e.Text = "no such key" + Nearest(e.Key[strings.LastIndexByte(e.Key, '.')+1:], words, "; remove it")
		}
		return nil, fault
	}
	return s, nil
}

// At is a fault at a key, such as "class[1].aim". Array tables are counted over the whole file.
func (s *Strict) At(key, format string, args ...any) error { return s.file.at(key, format, args...) }

// Line is where a key stands; 0: nowhere.
func (s *Strict) Line(key string) int { return s.file.lines[key] }

// Nearest guesses which word was meant, as a mend; none is near: otherwise.
func Nearest(word string, words []string, otherwise string) string {
	best, least := "", 3
	for _, w := range words {
		if d := distance(word, w); d < least {
			best, least = w, d
		}
	}
	if best == "" {
		return otherwise
	}
	return fmt.Sprintf("; write %q", best)
}
