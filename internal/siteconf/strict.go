package siteconf

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// StrictFile is another TOML file of the operator, read as strictly as the main one: each error has file, line, key and a
// correction.
type StrictFile struct{ file File }

// ReadStrict decodes a text into a struct. units maps the keys whose values need a unit to a format for the correction,
// with a verb for the number. words lists the known keys, for suggestions.
func ReadStrict(path string, text []byte, into any, units map[string]string, words []string) (*StrictFile, error) {
	s := &StrictFile{File{path: path, text: strings.Split(string(text), "\n")}}
	var bare []bareNumber
	s.file.lines, bare = keyLines(text)
	for _, n := range bare {
		if correction, ok := units[n.key[strings.LastIndexByte(n.key, '.')+1:]]; ok {
			return nil, s.At(n.key, "it needs a unit, in quotes: "+correction, n.text)
		}
	}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(into); err != nil {
		fileErr := s.file.convertError(err)
		if e, ok := fileErr.(*Error); ok && strings.HasPrefix(e.Text, "no such key") {
			e.Text = "no such key" + SuggestNearest(e.Key[strings.LastIndexByte(e.Key, '.')+1:], words, "; remove it")
		}
		return nil, fileErr
	}
	return s, nil
}

// At returns an error at a key such as "class[1].aim". Array tables are numbered over the whole file.
func (s *StrictFile) At(key, format string, args ...any) error {
	return s.file.errorAt(key, format, args...)
}

// Line returns the line of a key, or 0 if the file does not have it.
func (s *StrictFile) Line(key string) int { return s.file.lines[key] }

// SuggestNearest returns a suggestion of the word closest to a misspelt one, or otherwise if none is close.
func SuggestNearest(word string, words []string, otherwise string) string {
	best, minDistance := "", 3
	for _, w := range words {
		if d := distance(word, w); d < minDistance {
			best, minDistance = w, d
		}
	}
	if best == "" {
		return otherwise
	}
	return fmt.Sprintf("; write %q", best)
}
