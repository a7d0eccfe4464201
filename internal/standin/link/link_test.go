package link

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever the weather, a stream's pieces leave in the order that they came in and not before, a datagram leaves
// never, once or twice, and both follow from the seed.
func TestWeather(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, name))
		}
		share := func(name string) float64 { return rapid.Float64Range(0, 1).Draw(t, name) }
		w := Weather{Delay: span("delay"), Tail: span("tail"), Rate: rapid.IntRange(0, 1<<20).Draw(t, "rate"), Loss: share("loss"), Duplicate: share("dup"), Reorder: share("reorder")}
		made := func() *direction { return &direction{rng: rand.New(rand.NewPCG(1, 2))} }
		a, b, now, last := made(), made(), time.Unix(1000, 0), time.Time{}
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, pieceSize), 1, 30).Draw(t, "sizes") {
			now = now.Add(span("gap"))
			at := a.piece(w, now, size)
			require.Equal(t, at, b.piece(w, now, size))
			require.False(t, at.Before(now.Add(w.Delay)) || at.Before(last))
			last = at
			copies := a.datagram(w, now, size)
			require.Equal(t, copies, b.datagram(w, now, size))
			require.LessOrEqual(t, len(copies), 2)
			for _, at := range copies {
				require.False(t, at.Before(now.Add(w.Delay)))
			}
		}
		require.Empty(t, made().datagram(Weather{Cut: true}, now, 1))
	})
}

// echo answers on each connection with what it reads.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// A direction that is cut says nothing, to connections that are open and to new ones, until it heals; then all
// arrives that was sent. A reset breaks what is open, and the timeline has it all.
func TestCutHealAndReset(t *testing.T) {
	n := New(1)
	t.Cleanup(n.Close)
	there, back := Way{"n1", "list"}, Way{"list", "n1"}
	address, err := n.TCP(there, echo(t))
	require.NoError(t, err)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	ask := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	got := func(c net.Conn, want string) {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		b := make([]byte, len(want))
		_, err := io.ReadFull(c, b)
		require.NoError(t, err)
		require.Equal(t, want, string(b))
	}
	silent := func(c net.Conn) {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		require.ErrorContains(t, err, "timeout")
	}
	c := dial()
	ask(c, "one")
	got(c, "one")
	for _, w := range []Way{there, back} { // one way each
		n.Set(w, Weather{Cut: true})
		ask(c, "two")
		silent(c)
		n.Set(w, Weather{Delay: time.Millisecond})
		got(c, "two")
	}
	n.Cut(true, []string{"n1"}, []string{"list"})
	late := dial()
	ask(late, "three")
	silent(late)
	n.Cut(false, []string{"n1"}, []string{"list"})
	got(late, "three")
	require.Equal(t, 2, n.Reset(there))
	for _, c := range []net.Conn{c, late} {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err := c.Read(make([]byte, 1))
		require.ErrorContains(t, err, "reset")
	}
	require.Eventually(t, func() bool { return n.Open(there) == 0 }, 20*time.Second, time.Millisecond)
	require.Equal(t, 9, strings.Count(n.Timeline(), "\n"))
	require.Contains(t, n.Timeline(), "n1>list  reset of 2 connections")
}

// Datagrams are lost and doubled by their way's weather, and answers find their sender.
func TestDatagrams(t *testing.T) {
	n := New(1)
	t.Cleanup(n.Close)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	w := Way{"n1", "n2"}
	address, err := n.UDP(w, peer.LocalAddr().String())
	require.NoError(t, err)
	c, err := net.Dial("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	b := make([]byte, 100)
	n.Set(w, Weather{Loss: 1})
	c.Write([]byte("lost"))
	require.NoError(t, eventually(func() bool { n.mu.Lock(); defer n.mu.Unlock(); return len(n.timeline) == 1 }))
	n.Set(w, Weather{Loss: 0, Duplicate: 1})
	for {
		c.Write([]byte("twice"))
		peer.SetReadDeadline(time.Now().Add(20 * time.Second))
		size, from, err := peer.ReadFrom(b)
		require.NoError(t, err)
		if string(b[:size]) == "lost" { // it came before the weather
			continue
		}
		require.Equal(t, "twice", string(b[:size]))
		size, _, err = peer.ReadFrom(b)
		require.NoError(t, err)
		require.Equal(t, "twice", string(b[:size]))
		_, err = peer.WriteTo([]byte("back"), from)
		require.NoError(t, err)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		size, err = c.Read(b)
		require.NoError(t, err)
		require.Equal(t, "back", string(b[:size]))
		return
	}
}

func eventually(what func() bool) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if what() {
			return nil
		}
	}
	return io.ErrNoProgress
}
