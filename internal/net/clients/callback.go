package clients

import (
	"bytes"
	"encoding/json"
	"strconv"

	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

var callbackStates = map[string]dispatch.JobState{
	"started": dispatch.Started, "running": dispatch.Running, "done": dispatch.Done,
	"failed": dispatch.Errored, "returned": dispatch.Returned, "lost": dispatch.Lost,
}

// handleCallback processes an instance's callback. It returns false if the connection is to be closed or has been
// passed to another process.
func (c *conn) handleCallback(q *http1.Request) bool {
	var in callback
	if err := in.parse(q.Body); err != nil {
		return c.reply(400, nil, "no call-back\n", q.Close)
	}
	state, ok := callbackStates[in.State]
	if !ok { // unknown states, perhaps of later encoders, are ignored
		return c.reply(204, nil, "", q.Close)
	}
	cb := in.toDispatch(state)
	cb.Report = c.server.reports.ParseObject(in.Load)
	if state == dispatch.Returned {
		cb.Connection = c.id
	}
	if !c.deliver(q, cb) || !c.server.core.PersistCallback(cb) {
		return false
	}
	return c.reply(204, nil, "", q.Close)
}

// deliver passes a callback to the core. It returns false if a newer process has the connection and will read and
// answer the callback: this process could die before it has forwarded a callback that the instance takes for
// received.
func (c *conn) deliver(q *http1.Request, cb dispatch.Callback) bool {
	s := c.server
	s.callbacks.RLock()
	defer s.callbacks.RUnlock()
	if s.HandedOver() && c.passUnread(q) {
		return false
	}
	s.core.HandleCallback(cb)
	return true
}

// passUnread passes the connection to the newer process as if the callback on it had not been read. It returns false
// if no process takes over any more.
func (c *conn) passUnread(q *http1.Request) bool {
	var h http1.Header
	if q.Close {
		h = http1.Header{{Name: "Connection", Value: "close"}}
	}
	unread := http1.AppendRequest(nil, q.Method, q.Target, h, q.Body)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.passOn(PassedConn{Received: unread})
}

// toDispatch converts a callback, except for its load report.
func (c *callback) toDispatch(state dispatch.JobState) dispatch.Callback {
	cb := dispatch.Callback{ID: c.ID, From: c.From, State: state, Share: c.Share, Result: c.Result}
	if plain, rest, ok := plainString(c.Result); ok && len(rest) == 0 { // a string result is its text; any other JSON value stays as it is
		cb.Result = plain
	} else if c.Result != nil {
		var text *string
		if json.Unmarshal(c.Result, &text) == nil && text != nil {
			cb.Result = []byte(*text)
		}
	}
	// A job that is done without a result has nothing to serve, so its attempt counts as failed.
	if noResult := len(c.Result) == 0 || string(c.Result) == "null"; noResult && state == dispatch.Done {
		cb.State = dispatch.Errored
	}
	return cb
}

// callback is the body of an instance's callback request.
type callback struct {
	ID     string          `json:"id"`
	From   string          `json:"from"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"` // the instance's load report
}

// parse parses a body. Nearly all bodies are one flat object of plain strings and numbers, perhaps with a flat object
// of loads. Parsing them with encoding/json took a twelfth of the CPU time that a command costs, so only other bodies
// are parsed with it.
func (c *callback) parse(body []byte) error {
	if c.parseFast(body) {
		return nil
	}
	*c = callback{}
	return json.Unmarshal(body, c)
}

// parseFast parses a plain body. If it returns false the body is not plain, and the contents of c are meaningless.
func (c *callback) parseFast(b []byte) bool {
	b = bytes.Trim(b, " \t\r\n")
	if len(b) < 2 || b[0] != '{' || b[len(b)-1] != '}' {
		return false
	}
	b = b[1 : len(b)-1]
	seen := 0
	for first := true; ; first = false {
		b = bytes.TrimLeft(b, " \t\r\n")
		if len(b) == 0 {
			return true
		}
		if !first {
			if b[0] != ',' {
				return false
			}
			b = bytes.TrimLeft(b[1:], " \t\r\n")
		}
		key, rest, ok := plainString(b)
		if !ok {
			return false
		}
		b = bytes.TrimLeft(rest, " \t\r\n")
		if len(b) == 0 || b[0] != ':' {
			return false
		}
		b = bytes.TrimLeft(b[1:], " \t\r\n")
		var field int
		switch string(key) {
		case "id":
			field = 1
		case "from":
			field = 2
		case "state":
			field = 4
		case "share":
			field = 8
		case "result":
			field = 16
		case "load":
			field = 32
		default: // also a name in other case, which encoding/json would match
			return false
		}
		if seen&field != 0 {
			return false
		}
		seen |= field
		if field == 8 {
			n := bytes.IndexAny(b, ",} \t\r\n")
			if n < 0 {
				n = len(b)
			}
			if !isPlainNumber(b[:n]) {
				return false
			}
			share, err := strconv.ParseFloat(string(b[:n]), 64)
			if err != nil {
				return false
			}
			c.Share, b = share, b[n:]
			continue
		}
		if field == 32 {
			end := bytes.IndexByte(b, '}') + 1
			if b[0] != '{' || end == 0 || !json.Valid(b[:end]) { // valid when cut there, so the object ends there
				return false
			}
			c.Load, b = b[:end], b[end:]
			continue
		}
		value, rest, ok := plainString(b)
		if !ok {
			return false
		}
		switch field {
		case 1:
			c.ID = string(value)
		case 2:
			c.From = string(value)
		case 4:
			c.State = string(value)
		case 16:
			c.Result = b[:len(value)+2]
		}
		b = rest
	}
}

// plainString parses a JSON string of plain ASCII without escapes.
func plainString(b []byte) (value, rest []byte, ok bool) {
	if len(b) < 2 || b[0] != '"' {
		return nil, nil, false
	}
	for i, x := range b[1:] {
		switch {
		case x == '"':
			return b[1 : i+1], b[i+2:], true
		case x < ' ' || x == '\\' || x >= 0x7f:
			return nil, nil, false
		}
	}
	return nil, nil, false
}

// isPlainNumber reports whether b is a plain JSON number: digits, optionally followed by a point and more digits.
func isPlainNumber(b []byte) bool {
	integer, fraction, hasPoint := bytes.Cut(b, []byte{'.'})
	digits := func(b []byte) bool {
		for _, x := range b {
			if x < '0' || x > '9' {
				return false
			}
		}
		return len(b) > 0 && len(b) < 18
	}
	return digits(integer) && (len(integer) == 1 || integer[0] != '0') && (!hasPoint || digits(fraction))
}
