// Package http1 reads and writes HTTP/1.1 messages of bounded size. It is independent of their purpose.
package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Limits of what a peer may send, so that no read is unbounded.
const (
	MaxLine   = 8 << 10 // also the minimum buffer size of a reader
	MaxFields = 64
	MaxHead   = 16 << 10
	MaxBody   = 64 << 10
)

// MalformedError is an error in a received message, with the status to answer the sender with.
type MalformedError struct {
	Status int
	Text   string
}

func (m *MalformedError) Error() string { return fmt.Sprintf("malformed message: %s", m.Text) }

func malformed(status int, format string, args ...any) error {
	return &MalformedError{Status: status, Text: fmt.Sprintf(format, args...)}
}

// Field is one header line.
type Field struct{ Name, Value string }

// fieldJSON is the JSON form of a field that is sent to another process. JSON strings hold valid UTF-8 only, which a
// field's value need not be.
type fieldJSON struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
	Raw   []byte `json:"Raw,omitempty"` // the value, if it is not valid UTF-8
}

// MarshalJSON encodes a field without loss, whatever bytes its value holds.
func (f Field) MarshalJSON() ([]byte, error) {
	t := fieldJSON{Name: f.Name, Value: f.Value}
	if !utf8.ValidString(f.Value) {
		t.Raw = []byte(f.Value)
	}
	return json.Marshal(t)
}

// UnmarshalJSON decodes a field, also from older processes, which don't send Raw.
func (f *Field) UnmarshalJSON(text []byte) error {
	var t fieldJSON
	if err := json.Unmarshal(text, &t); err != nil {
		return err
	}
	if *f = (Field{t.Name, t.Value}); t.Raw != nil {
		f.Value = string(t.Raw)
	}
	return nil
}

// Header is a message's header lines in the order received.
type Header []Field

// Get returns the value of the first field of that name, or "".
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Present reports whether there is a field of that name, even an empty one.
func (h Header) Present(name string) bool {
	return slices.ContainsFunc(h, func(f Field) bool { return strings.EqualFold(f.Name, name) })
}

// Conflicts reports whether fields of that name have different values.
func (h Header) Conflicts(name string) bool {
	first := h.Get(name)
	return slices.ContainsFunc(h, func(f Field) bool { return strings.EqualFold(f.Name, name) && f.Value != first })
}

// HasToken reports whether a field of that name contains the token in its comma-separated list.
func (h Header) HasToken(name, token string) bool {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			for part := range strings.SplitSeq(f.Value, ",") {
				if strings.EqualFold(strings.TrimSpace(part), token) {
					return true
				}
			}
		}
	}
	return false
}

// Request is a complete request.
type Request struct {
	Method string `json:"Method"`
	Target string `json:"Target"`
	Header Header `json:"Header"`
	Body   []byte `json:"Body"`
	Close  bool   `json:"Close"` // the sender wants the connection closed after the answer
}

// Response is a complete response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// ReadRequest reads one request. It returns io.EOF if the connection ends before the first byte. If the sender
// expects 100 Continue before it sends the body, onContinue is called to send it.
func ReadRequest(r *bufio.Reader, onContinue func() error) (*Request, error) {
	line, err := readLine(r, true)
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || !IsVisible(target) {
		return nil, malformed(400, "request line")
	}
	q := &Request{Method: method, Target: target}
	if q.Header, err = readHeader(r); err != nil {
		return nil, err
	}
	if q.Close, err = wantsClose(version, q.Header); err != nil {
		return nil, err
	}
	f, err := parseFraming(q.Header)
	if err != nil {
		return nil, err
	}
	if f.length > MaxBody {
		return nil, malformed(413, "body of %d bytes", f.length)
	}
	if q.Header.HasToken("Expect", "100-continue") && (f.chunked || f.length > 0) && onContinue != nil {
		if err := onContinue(); err != nil {
			return nil, err
		}
	}
	if !f.chunked && f.length < 0 {
		return q, nil
	}
	q.Body, err = readBody(r, f)
	return q, err
}

// ReadResponse reads one response to a request of that method, skipping 1xx responses.
func ReadResponse(r *bufio.Reader, method string) (*Response, error) {
	p, f, err := readResponseHead(r)
	if err != nil {
		return nil, err
	}
	if method == "HEAD" || p.Status == 204 || p.Status == 304 {
		return p, nil
	}
	if !f.chunked && f.length < 0 { // the body ends with the connection
		p.Close = true
		p.Body, err = io.ReadAll(io.LimitReader(r, MaxBody+1))
		if err == nil && len(p.Body) > MaxBody {
			err = malformed(502, "body without an end")
		}
		return p, err
	}
	p.Body, err = readBody(r, f)
	return p, err
}

// ReadStream reads a response's head and returns a reader of its body.
func ReadStream(r *bufio.Reader) (*Response, io.Reader, error) {
	p, f, err := readResponseHead(r)
	if err != nil {
		return nil, nil, err
	}
	switch {
	case f.chunked:
		return p, &chunkedReader{r: r}, nil
	case f.length >= 0:
		return p, io.LimitReader(r, f.length), nil
	}
	return p, r, nil
}

func readResponseHead(r *bufio.Reader) (*Response, framing, error) {
	for range 8 { // bounds the number of interim responses
		line, err := readLine(r, true)
		if err != nil {
			return nil, framing{}, err
		}
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 {
			return nil, framing{}, malformed(502, "status line")
		}
		p := &Response{Status: status}
		if p.Header, err = readHeader(r); err != nil {
			return nil, framing{}, err
		}
		if p.Close, err = wantsClose(version, p.Header); err != nil {
			return nil, framing{}, err
		}
		if status >= 200 {
			f, err := parseFraming(p.Header)
			return p, f, err
		}
	}
	return nil, framing{}, malformed(502, "interim responses without end")
}

// readLine reads a line without its line ending. If atStart is set, no part of the message has been read yet: up to
// two empty lines are skipped, and an end of the connection is io.EOF.
func readLine(r *bufio.Reader, atStart bool) (string, error) {
	for skipped := 0; ; skipped++ {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || len(line) > MaxLine:
			return "", malformed(431, "line over %d bytes", MaxLine)
		case errors.Is(err, io.EOF) && !(atStart && len(line) == 0):
			return "", io.ErrUnexpectedEOF
		case err != nil:
			return "", err
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
		if len(line) == 0 && atStart && skipped < 2 {
			continue
		}
		return string(line), nil
	}
}

func readHeader(r *bufio.Reader) (Header, error) {
	var h Header
	for size := 0; ; {
		line, err := readLine(r, false)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || strings.IndexFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 127 }) >= 0 {
			return nil, malformed(400, "header line")
		}
		if size += len(line); len(h) >= MaxFields || size > MaxHead {
			return nil, malformed(431, "header over %d lines or %d bytes", MaxFields, MaxHead)
		}
		h = append(h, Field{name, value})
	}
}

func wantsClose(version string, h Header) (bool, error) {
	switch {
	case h.HasToken("Connection", "close"):
		return true, nil
	case version == "HTTP/1.1":
		return false, nil
	case version == "HTTP/1.0":
		return !h.HasToken("Connection", "keep-alive"), nil
	}
	return false, malformed(400, "version")
}

// framing is how the end of a body is determined: by chunks, by its length, or, if length is negative, not stated.
type framing struct {
	chunked bool
	length  int64
}

func parseFraming(h Header) (framing, error) {
	f := framing{length: -1}
	for _, v := range h {
		switch {
		case strings.EqualFold(v.Name, "Content-Length"):
			n, err := strconv.ParseUint(v.Value, 10, 62)
			if err != nil || f.length >= 0 && f.length != int64(n) {
				return f, malformed(400, "content length")
			}
			f.length = int64(n)
		case strings.EqualFold(v.Name, "Transfer-Encoding"):
			if !strings.EqualFold(v.Value, "chunked") || f.chunked {
				return f, malformed(400, "transfer encoding")
			}
			f.chunked = true
		}
	}
	if f.chunked && f.length >= 0 { // otherwise two readers could see different bodies (request smuggling)
		return f, malformed(400, "content length beside chunks")
	}
	return f, nil
}

func readBody(r *bufio.Reader, f framing) ([]byte, error) {
	if f.chunked {
		body, err := io.ReadAll(io.LimitReader(&chunkedReader{r: r}, MaxBody+1))
		if err == nil && len(body) > MaxBody {
			err = malformed(413, "body over %d bytes", MaxBody)
		}
		return body, err
	}
	if f.length > MaxBody {
		return nil, malformed(413, "body of %d bytes", f.length)
	}
	body := make([]byte, f.length)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return body, nil
}

// chunkedReader reads a chunked body including its trailer.
type chunkedReader struct {
	r         *bufio.Reader
	remaining int64 // of the current chunk
	any       bool  // a chunk has been read, at least in part
	finished  bool
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.finished {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
		if c.finished {
			return 0, io.EOF
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *chunkedReader) nextChunk() error {
	if c.any {
		if line, err := readLine(c.r, false); err != nil {
			return err
		} else if line != "" {
			return malformed(400, "chunk end")
		}
	}
	c.any = true
	line, err := readLine(c.r, false)
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return malformed(400, "chunk size")
	}
	if c.remaining = int64(n); n == 0 {
		c.finished = true
		_, err := readHeader(c.r)
		return err
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 127 || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// IsVisible reports whether s consists of visible ASCII only and is not empty.
func IsVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 127 {
			return false
		}
	}
	return s != ""
}

// AppendRequest appends a complete request to buf. It adds the Content-Length. Bytes of the target that would end it are
// percent-encoded, since callers may pass text that did not come in a request line.
func AppendRequest(buf []byte, method, target string, h Header, body []byte) []byte {
	buf = append(append(buf, method...), ' ')
	buf = append(appendTarget(buf, target), " HTTP/1.1\r\n"...)
	return appendHeaderAndBody(buf, h, body, method == "GET" || method == "DELETE")
}

// AppendResponse appends a complete response to buf. It adds the Content-Length.
func AppendResponse(buf []byte, status int, h Header, body []byte) []byte {
	buf = append(strconv.AppendInt(append(buf, "HTTP/1.1 "...), int64(status), 10), ' ')
	buf = append(append(buf, reasonPhrases[status]...), "\r\n"...)
	return appendHeaderAndBody(buf, h, body, status == 204)
}

func appendTarget(buf []byte, target string) []byte {
	const digits = "0123456789ABCDEF"
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c == 127 {
			buf = append(buf, '%', digits[c>>4], digits[c&15])
		} else {
			buf = append(buf, c)
		}
	}
	return buf
}

// appendValue appends a field's value with a space in place of each byte that would end its line.
func appendValue(buf []byte, value string) []byte {
	start := len(buf)
	buf = append(buf, value...)
	for i, c := range buf[start:] {
		if c == '\r' || c == '\n' || c == 0 {
			buf[start+i] = ' '
		}
	}
	return buf
}

func appendHeaderAndBody(buf []byte, h Header, body []byte, noBody bool) []byte {
	for _, f := range h {
		buf = append(append(buf, f.Name...), ": "...)
		buf = append(appendValue(buf, f.Value), "\r\n"...)
	}
	if !noBody || len(body) > 0 {
		buf = append(strconv.AppendInt(append(buf, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	return append(append(buf, "\r\n"...), body...)
}

var reasonPhrases = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
}
