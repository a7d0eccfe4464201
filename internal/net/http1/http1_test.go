package http1

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), MaxLine) }

func TestMalformedRequests(t *testing.T) {
	for text, status := range map[string]int{
		"POST /api\r\n\r\n":                                                                           400,
		"POST /api HTTP/2.0\r\n\r\n":                                                                  400,
		"PO(T /api HTTP/1.1\r\n\r\n":                                                                  400,
		"POST /a\x01i HTTP/1.1\r\n\r\n":                                                               400,
		"POST /api HTTP/1.1\r\nno colon\r\n\r\n":                                                      400,
		"POST /api HTTP/1.1\r\nA : b\r\n\r\n":                                                         400,
		"POST /api HTTP/1.1\r\nA: b\x00\r\n\r\n":                                                      400,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                               400,
		"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n":                                               400,
		"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n":                                            413,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab":                         400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                  400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                                          400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                                 400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                            400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000): 413,
		"POST /" + strings.Repeat("x", MaxLine) + " HTTP/1.1\r\n\r\n":                                 431,
		"POST / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n":                      431,
	} {
		_, err := ReadRequest(newReader(text), nil)
		var m *MalformedError
		require.ErrorAs(t, err, &m, text[:min(len(text), 80)])
		require.Equal(t, status, m.Status, text[:min(len(text), 80)])
	}
}

func TestTruncatedMessages(t *testing.T) {
	whole := "POST /api HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	_, err := ReadRequest(newReader(""), nil)
	require.ErrorIs(t, err, io.EOF)
	for n := 1; n < len(whole); n++ {
		_, err := ReadRequest(newReader(whole[:n]), nil)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, whole[:n])
	}
	q, err := ReadRequest(newReader(whole), nil)
	require.NoError(t, err)
	require.Equal(t, "abc", string(q.Body))
}

func TestBodiesAndConnections(t *testing.T) {
	r := newReader("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\nok" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n" +
		"HTTP/1.1 204 No Content\r\nConnection: keep-alive, Close\r\n\r\n" + "HTTP/1.0 200 OK\r\n\r\nto the end")
	for _, want := range []struct {
		status int
		body   string
		close  bool
	}{{202, "ok", false}, {200, "abc", false}, {204, "", true}, {200, "to the end", true}} {
		p, err := ReadResponse(r, "POST")
		require.NoError(t, err)
		require.Equal(t, want.status, p.Status)
		require.Equal(t, want.body, string(p.Body))
		require.Equal(t, want.close, p.Close)
	}
}

// FuzzRead guards against panics and unbounded reads, and checks that a request that is written again is read as
// before.
func FuzzRead(f *testing.F) {
	f.Add("POST /api HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 1\r\n\r\nx")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		if p, err := ReadResponse(newReader(text), "GET"); err == nil {
			require.LessOrEqual(t, len(p.Body), MaxBody)
		}
		q, err := ReadRequest(newReader(text), nil)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(q.Body), MaxBody)
		var h Header
		for _, v := range q.Header {
			if !strings.EqualFold(v.Name, "Content-Length") && !strings.EqualFold(v.Name, "Transfer-Encoding") {
				h = append(h, v)
			}
		}
		again, err := ReadRequest(newReader(string(AppendRequest(nil, q.Method, q.Target, h, q.Body))), nil)
		var m *MalformedError
		if errors.As(err, &m) && m.Status == 431 {
			return // a line just under the limit
		}
		require.NoError(t, err)
		require.Equal(t, q.Target, again.Target)
		require.Equal(t, string(q.Body), string(again.Body))
	})
}

// A header is passed to another process without loss, and is accepted from one that doesn't send Raw.
func TestHeaderJSON(t *testing.T) {
	for _, value := range []string{"plain", "", "with \"quotes\" \\ and \ttabs", "caf\xe9 \xff\xfe", "caf\u00e9"} {
		text, err := json.Marshal(Request{Method: "POST", Header: Header{{"K", value}}})
		require.NoError(t, err)
		var q Request
		require.NoError(t, json.Unmarshal(text, &q))
		require.Equal(t, Header{{"K", value}}, q.Header)
	}
	var h Header
	require.NoError(t, json.Unmarshal([]byte(`[{"Name":"K","Value":"v"}]`), &h))
	require.Equal(t, Header{{"K", "v"}}, h)
}

// Guards against text that did not come in a line of a message ending one: whatever the caller passes is read back as one
// message, and what may stand in a line is unchanged.
func TestWrittenMessagesKeepTheirLines(t *testing.T) {
	const text = "/a b\r\nX: y\n\x00\t\x7fé%20#"
	r := newReader(string(AppendRequest(nil, "GET", text, Header{{"Host", "h"}, {"X-A", "v\r\nX-B: w\x00"}}, nil)))
	q, err := ReadRequest(r, nil)
	require.Error(t, err, "é is no visible ASCII")
	require.Nil(t, q)
	r = newReader(string(AppendRequest(nil, "GET", strings.ReplaceAll(text, "é", ""), Header{{"Host", "h"}, {"X-A", "v\r\nX-B: w\x00é"}}, nil)))
	q, err = ReadRequest(r, nil)
	require.NoError(t, err)
	require.Equal(t, "/a%20b%0D%0AX:%20y%0A%00%09%7F%20#", q.Target)
	require.Equal(t, Header{{"Host", "h"}, {"X-A", "v  X-B: w é"}}, q.Header)
	require.Zero(t, r.Buffered())
	r = newReader(string(AppendResponse(nil, 302, Header{{"Location", "/x\r\n\r\nbody"}}, nil)))
	p, err := ReadResponse(r, "GET")
	require.NoError(t, err)
	require.Equal(t, "/x    body", p.Header.Get("Location"))
	require.Zero(t, r.Buffered())
}
