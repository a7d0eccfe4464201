package operators

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeHandler is healthy and supports little else.
type fakeHandler struct{}

func (fakeHandler) Health() error   { return nil }
func (fakeHandler) Figures() string { return "proxy.loads=0\n" }
func (fakeHandler) Show(what string) string {
	return map[string]string{"members": "{}"}[what]
}
func (fakeHandler) Quiesce() error         { return errors.New("not\nnow") }
func (fakeHandler) Resume() error          { return nil }
func (fakeHandler) Uncordon(string) error  { return nil }
func (fakeHandler) Cordon(id string) error { return errors.New(id + " is not known") }

func serve(t *testing.T) func() net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go New(fakeHandler{}, slog.New(slog.DiscardHandler)).Serve(l)
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
}

func ask(t *testing.T, c net.Conn, text string) string {
	if text != "" {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the answer is not lost with a reset")
	return string(answer)
}

// Each command gets its answer, and invalid ones an error.
func TestCommands(t *testing.T) {
	dial := serve(t)
	for text, want := range map[string]string{
		"members\n": "{}\nEND\n", "health\n": "OK\n", "health\r\n": "OK\n", "counters\n": "proxy.loads=0\nEND\n", "quiesce\n": "ERR not now\n",
		"resume\nhealth\n": "OK\n", "cordon s-1\n": "ERR s-1 is not known\n",
		"uncordon s-1\n": "OK\n", "cordon\n": "ERR wrong number of words\n", "health now\n": "ERR wrong number of words\n", "\n": "ERR an empty call\n",
		"reboot\n":                          "ERR no such call: health, counters, cordon ID, uncordon ID, quiesce, resume\n",
		strings.Repeat("x", 9000) + "\n":    "ERR the line is too long\n",
		"health" + strings.Repeat(" ", 500): "ERR the line is too long\n",
	} {
		require.Equal(t, want, ask(t, dial(), text), text[:min(len(text), 20)])
	}
	half := dial()
	io.WriteString(half, "resum")
	require.NoError(t, half.(*net.TCPConn).CloseWrite())
	require.Equal(t, "ERR no whole call came\n", ask(t, half, ""))
}

// Guards against callers that never finish their line and occupy all slots: the longest waiting one is disconnected.
func TestSilentCallersAreDisconnected(t *testing.T) {
	dial := serve(t)
	var silent []net.Conn
	for range maxCallers {
		silent = append(silent, dial())
		io.WriteString(silent[len(silent)-1], "hea")
	}
	require.Equal(t, "OK\n", ask(t, dial(), "health\n"))
	require.Equal(t, "ERR the call did not come in time\n", ask(t, silent[0], ""))
	require.Equal(t, "OK\n", ask(t, silent[maxCallers-1], "lth\n"), "the last caller still gets its answer")
}
