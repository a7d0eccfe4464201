// Package nginx parses nginx configuration files and converts them to routes and pools, with a report that states
// for each directive whether winglb supports it. Files are read only through the interface Files.
package nginx

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Directive is one directive of a configuration file.
type Directive struct {
	Name     string
	Args     []string
	Block    []*Directive // nil: ended by a semicolon, or an empty block
	HasBlock bool         // it has a block, possibly empty
	File     string
	Line     int
}

// Position returns the position as file:line.
func (d *Directive) Position() string { return fmt.Sprintf("%s:%d", d.File, d.Line) }

// Error is an error at a position of a configuration file.
type Error struct {
	File string
	Line int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Files reads files and expands the patterns of include directives. Paths are slash-separated; relative
// paths of includes are resolved against the folder of the main file.
type Files interface {
	Read(path string) ([]byte, error)
	Glob(pattern string) ([]string, error)
}

// Limits on the size of a configuration.
const (
	maxFiles      = 1000
	maxTextBytes  = 64 << 20
	maxDirectives = 2_000_000
	maxDepth      = 64
)

type parser struct {
	files      Files
	main       string
	directives int
	textBytes  int
	filesRead  int
}

// Parse parses a file and all files that it includes.
func Parse(files Files, main string) ([]*Directive, error) {
	p := &parser{files: files, main: main}
	return p.parseFile(main, nil, "", 0)
}

// parseFile parses one file. stack lists the files through which it is included.
func (p *parser) parseFile(name string, stack []string, from string, line int) ([]*Directive, error) {
	if slices.Contains(stack, name) {
		return nil, &Error{from, line, fmt.Sprintf("%s includes itself, through %s", name, strings.Join(append(stack, name), " > "))}
	}
	if p.filesRead++; p.filesRead > maxFiles {
		return nil, &Error{from, line, fmt.Sprintf("more than %d files", maxFiles)}
	}
	text, err := p.files.Read(name)
	if err != nil {
		if from == "" {
			return nil, err
		}
		return nil, &Error{from, line, fmt.Sprintf("include: %v", err)}
	}
	if p.textBytes += len(text); p.textBytes > maxTextBytes {
		return nil, &Error{name, 1, fmt.Sprintf("more than %d MB of text in all", maxTextBytes>>20)}
	}
	l := &lexer{file: name, text: string(text), line: 1}
	all, err := p.parseBlock(l, append(slices.Clone(stack), name), 0, 0)
	return all, err
}

// parseBlock parses directives up to the end of the file (startLine is 0) or of the block that starts at startLine.
func (p *parser) parseBlock(l *lexer, stack []string, startLine, depth int) (all []*Directive, err error) {
	if depth > maxDepth {
		return nil, &Error{l.file, l.line, "blocks are nested too deep"}
	}
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch {
		case t.kind == endOfFile && startLine == 0:
			return all, nil
		case t.kind == endOfFile:
			return nil, &Error{l.file, l.line, fmt.Sprintf(`the file ends before the "}" of the block that began on line %d`, startLine)}
		case t.kind == close && startLine == 0:
			return nil, &Error{l.file, t.line, `unmatched "}"`}
		case t.kind == close:
			return all, nil
		case t.kind != word:
			return nil, &Error{l.file, t.line, fmt.Sprintf("unexpected %q", t.text)}
		}
		d := &Directive{Name: t.text, File: l.file, Line: t.line}
		if p.directives++; p.directives > maxDirectives {
			return nil, &Error{l.file, t.line, fmt.Sprintf("more than %d directives", maxDirectives)}
		}
	args:
		for {
			t, err := l.next()
			if err != nil {
				return nil, err
			}
			switch t.kind {
			case word:
				d.Args = append(d.Args, t.text)
			case semicolon:
				break args
			case open:
				d.HasBlock = true
				if d.Block, err = p.parseBlock(l, stack, t.line, depth+1); err != nil {
					return nil, err
				}
				break args
			case endOfFile:
				return nil, &Error{l.file, d.Line, fmt.Sprintf(`%q is not ended by ";"`, d.Name)}
			case close:
				return nil, &Error{l.file, t.line, fmt.Sprintf(`unexpected "}": %q on line %d is not ended by ";"`, d.Name, d.Line)}
			}
		}
		if d.Name != "include" {
			all = append(all, d)
			continue
		}
		if len(d.Args) != 1 || d.HasBlock {
			return nil, &Error{d.File, d.Line, "include needs one path"}
		}
		included, err := p.include(d, stack)
		if err != nil {
			return nil, err
		}
		all = append(all, included...)
	}
}

// include parses the files that an include directive names.
func (p *parser) include(d *Directive, stack []string) (all []*Directive, err error) {
	pattern := d.Args[0]
	if !path.IsAbs(pattern) {
		pattern = path.Join(path.Dir(p.main), pattern)
	}
	names := []string{pattern}
	if strings.ContainsAny(pattern, "*?[") {
		if names, err = p.files.Glob(pattern); err != nil {
			return nil, &Error{d.File, d.Line, fmt.Sprintf("include %s: %v", d.Args[0], err)}
		}
		slices.Sort(names)
	}
	for _, name := range names {
		more, err := p.parseFile(name, stack, d.File, d.Line)
		if err != nil {
			return nil, err
		}
		all = append(all, more...)
	}
	return all, nil
}

// tokenKind is the kind of a token.
type tokenKind int

const (
	word tokenKind = iota
	open
	close
	semicolon
	endOfFile
)

type token struct {
	kind tokenKind
	text string
	line int
}

type lexer struct {
	file, text string
	pos, line  int
}

// next returns the next token and skips white space and comments.
func (l *lexer) next() (token, error) {
	for l.pos < len(l.text) {
		switch c := l.text[l.pos]; c {
		case '\n':
			l.line++
			l.pos++
		case ' ', '\t', '\r':
			l.pos++
		case '#':
			if i := strings.IndexByte(l.text[l.pos:], '\n'); i >= 0 {
				l.pos += i
			} else {
				l.pos = len(l.text)
			}
		case '{':
			l.pos++
			return token{open, "{", l.line}, nil
		case '}':
			l.pos++
			return token{close, "}", l.line}, nil
		case ';':
			l.pos++
			return token{semicolon, ";", l.line}, nil
		case '"', '\'':
			return l.quoted(c)
		default:
			return l.bare()
		}
	}
	return token{endOfFile, "", l.line}, nil
}

// quoted reads a quoted string, in which a backslash escapes the quote and itself.
func (l *lexer) quoted(q byte) (token, error) {
	startLine := l.line
	var b strings.Builder
	for l.pos++; l.pos < len(l.text); l.pos++ {
		switch c := l.text[l.pos]; {
		case c == q:
			l.pos++
			if l.pos < len(l.text) && !strings.ContainsRune(" \t\r\n;{)", rune(l.text[l.pos])) {
				return token{}, &Error{l.file, l.line, fmt.Sprintf("unexpected %q after a quoted string", l.text[l.pos])}
			}
			if l.pos < len(l.text) && l.text[l.pos] == ')' { // the end of the condition of an if
				l.pos++
				return token{word, b.String() + ")", startLine}, nil
			}
			return token{word, b.String(), startLine}, nil
		case c == '\\' && l.pos+1 < len(l.text):
			l.pos++
			b.WriteString(unescape(l.text[l.pos]))
			if l.text[l.pos] == '\n' {
				l.line++
			}
		default:
			if c == '\n' {
				l.line++
			}
			b.WriteByte(c)
		}
	}
	return token{}, &Error{l.file, startLine, "unterminated quoted string"}
}

// unescape returns the meaning of a backslash and a byte. Most pairs are kept, since regular expressions need them.
func unescape(c byte) string {
	switch c {
	case '"', '\'', '\\':
		return string(c)
	case 't':
		return "\t"
	case 'r':
		return "\r"
	case 'n':
		return "\n"
	}
	return `\` + string(c)
}

// bare reads an unquoted word.
func (l *lexer) bare() (token, error) {
	startLine := l.line
	var b strings.Builder
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		switch {
		case c == '\\' && l.pos+1 < len(l.text):
			b.WriteString(unescape(l.text[l.pos+1]))
			if l.text[l.pos+1] == '\n' {
				l.line++
			}
			l.pos += 2
			continue
		case c == '$' && l.pos+1 < len(l.text) && l.text[l.pos+1] == '{':
			i := strings.IndexByte(l.text[l.pos:], '}')
			if i < 0 {
				return token{}, &Error{l.file, l.line, `unterminated "${"`}
			}
			b.WriteString(l.text[l.pos : l.pos+i+1])
			l.pos += i + 1
			continue
		case strings.IndexByte(" \t\r\n;{", c) >= 0:
			return token{word, b.String(), startLine}, nil
		}
		b.WriteByte(c)
		l.pos++
	}
	return token{word, b.String(), startLine}, nil
}
