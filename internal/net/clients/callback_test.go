package clients

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/dispatch"
)

const typicalCallback = `{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"..."}`

// FuzzCallback checks that whatever parseFast accepts is parsed as by encoding/json.
func FuzzCallback(f *testing.F) {
	for _, s := range []string{
		typicalCallback, `{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"running","share":0.4}`, ` { "id" : "a" , "share" : 1 } `,
		`{}`, `{"id":"a","id":"b"}`, `{"ID":"a"}`, `{"share":01}`, `{"share":1e3}`, `{"result":null}`, `{"result":{"a":1}}`, `{"id":"\u0041"}`,
		`{"id":"é"}`, `{"id":"a",}`, `{,"id":"a"}`, `{"id":"a"}x`, `{"share":1}}`, `{"share":.5}`, `{"share":1.}`, `{"id":"a" "from":"b"}`, `{"id"}`, `[]`, `"`, `{"`, `{"id":"a","result":"}"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var fast, want callback
		if !fast.parseFast(body) {
			return
		}
		require.NoError(t, json.Unmarshal(body, &want), "%q", body)
		require.Equal(t, want, fast, "%q", body)
	})
}

// Typical callbacks must be parsed by parseFast, or it saves nothing.
func TestTypicalCallbackIsParsedFast(t *testing.T) {
	var c callback
	require.True(t, c.parseFast([]byte(typicalCallback)))
	require.Equal(t, callback{ID: "9b1f03aa5c7e2d41", From: "s-0badcafe", State: "done", Result: json.RawMessage(`"..."`)}, c)
	require.True(t, c.parseFast([]byte(`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"running","share":0.4}`)))
	c = callback{}
	require.True(t, c.parseFast([]byte(`{"id":"9b","from":"s-0","load":{"x0":6.04,"cpu":0.1},"state":"failed"}`)))
	require.Equal(t, callback{ID: "9b", From: "s-0", State: "failed", Load: json.RawMessage(`{"x0":6.04,"cpu":0.1}`)}, c)
	require.NoError(t, c.parse([]byte(`{"id":"\u0061","result":{"a":1}}`)))
	require.Equal(t, callback{ID: "a", Result: json.RawMessage(`{"a":1}`)}, c)
	require.Error(t, c.parse([]byte(`{"id":1}`)))
}

// Guards against answering a callback that was not persisted: the instance would not send it again.
func TestUnpersistedCallbackIsNotAnswered(t *testing.T) {
	for _, persisted := range []bool{false, true} {
		c, _, dial := serve(t, 2, 0)
		c.persist = func(dispatch.Callback) bool { return persisted }
		nc := dial()
		fmt.Fprintf(nc, "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(typicalCallback), typicalCallback)
		text, err := io.ReadAll(nc)
		require.NoError(t, err)
		require.Equal(t, persisted, strings.HasPrefix(string(text), "HTTP/1.1 204 "), "%q", text)
		require.Equal(t, "9b1f03aa5c7e2d41", (<-c.callbacks).ID)
	}
}

func BenchmarkCallback(b *testing.B) {
	for name, read := range map[string]func([]byte, *callback) error{
		"fast": func(t []byte, c *callback) error { return c.parse(t) },
		"json": func(t []byte, c *callback) error { return json.Unmarshal(t, c) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				var c callback
				if err := read([]byte(typicalCallback), &c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
