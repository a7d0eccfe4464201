package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/http1"
)

// acceptCall accepts the next call at a listener and reads its request.
func acceptCall(t *testing.T, l net.Listener) net.Conn {
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = http1.ReadRequest(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return c
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func member(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"h:1","locality":"a","flavor":"m2","cell":3,"phase":%q,"size":1.0,"up_since_ms":0}`, id, phase)
}

func list(revision int, complete bool, members ...string) string {
	return chunk(fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`+"\n", revision, complete, strings.Join(members, ",")))
}

// states returns the state of each instance in a list.
func states(l dispatch.InstanceUpdate) map[string]decide.WorkerState {
	all := map[string]decide.WorkerState{}
	for _, m := range l.Instances {
		all[m.ID] = m.State
	}
	return all
}

// next returns the next list that was accepted. It fails the test if the watch is lost.
func (s recordingSink) next(t *testing.T) dispatch.InstanceUpdate {
	t.Helper()
	select {
	case l := <-s.listed:
		return l
	case err := <-s.lost:
		require.FailNow(t, "the watch was lost", err.Error())
	}
	return dispatch.InstanceUpdate{}
}

// Guards against one invalid entry ending the watch at every call, so that the dispatcher receives no updates of any
// other encoder.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	l := listen(t)
	w := NewWatcher(l.Addr().String(), 0, testSettings(1, false))
	s := runWatcher(t, w)
	w.Subscribe()
	c := acceptCall(t, l)
	faults := []string{
		member("s-2", "resting"), `{"host_port":"h:1","phase":"in_service"}`, `null`, `7`,
		strings.Replace(member("s-3", "in_service"), "1.0", `"large"`, 1),
		strings.Replace(member("s-4", "in_service"), `_ms":0`, `_ms":1e300`, 1),
	}
	fmt.Fprint(c, responseHead, list(41, true, append(faults, member("s-1", "in_service"), member("s-5", "terminating"))...))
	require.Equal(t, map[string]decide.WorkerState{"s-1": decide.Ready, "s-5": decide.Draining}, states(s.next(t)))
	require.EqualError(t, <-s.ignored, `list: member 0, "s-2": unknown phase "resting"`)
	require.EqualError(t, <-s.ignored, `list: member 1: no id`)
	for range maxReportedEntries - 2 {
		var entry *EntryError
		require.ErrorAs(t, <-s.ignored, &entry)
	}
	require.EqualError(t, <-s.ignored, `list: 2 more invalid members`)

	// The entry of s-1 is invalid, so s-1 keeps its previous state. s-9 has no previous state.
	fmt.Fprint(c, list(42, true, member("s-1", "resting"), member("s-9", "resting"), member("s-6", "in_service")))
	require.Equal(t, map[string]decide.WorkerState{"s-1": decide.Ready, "s-6": decide.Ready}, states(s.next(t)))
	fmt.Fprint(c, list(43, false, member("s-1", "resting"), member("s-6", "terminating")))
	require.Equal(t, map[string]decide.WorkerState{"s-6": decide.Draining}, states(s.next(t)))
	require.Empty(t, s.lost, "the watch goes on")
}

// An invalid entry in the configuration prevents the start and is named in the error.
func TestFaultyEntryInConfiguredList(t *testing.T) {
	_, err := ParseList([]byte(`{"revision":1,"complete":true,"members":[` + member("s-1", "in_service") + `,` + member("s-2", "resting") + `]}`))
	require.EqualError(t, err, `list: member 1, "s-2": unknown phase "resting"`)
}

// Guards against a list that arrives after a newer one bringing back an encoder that is gone.
func TestOlderListOnSameWatchIsIgnored(t *testing.T) {
	l := listen(t)
	w := NewWatcher(l.Addr().String(), 0, testSettings(1, false))
	s := runWatcher(t, w)
	w.Subscribe()
	c := acceptCall(t, l)
	fmt.Fprint(c, responseHead, list(41, true, member("s-1", "in_service"), member("s-2", "in_service")))
	fmt.Fprint(c, list(43, false, member("s-1", "terminated")))
	fmt.Fprint(c, list(42, true, member("s-1", "in_service"), member("s-2", "in_service")))
	fmt.Fprint(c, list(43, false, member("s-2", "terminating"))) // another part of the same revision
	for _, want := range []map[string]decide.WorkerState{
		{"s-1": decide.Ready, "s-2": decide.Ready}, {"s-1": decide.Gone}, {"s-2": decide.Draining},
	} {
		require.Equal(t, want, states(s.next(t)))
	}
	var older *OlderListError
	require.ErrorAs(t, <-s.ignored, &older)
	require.Equal(t, OlderListError{Revision: 42, Last: 43}, *older)
	require.Empty(t, s.lost)
	c.Close()
	<-s.lost
	w.Subscribe()
	c = acceptCall(t, l) // a new watch may start at a lower revision, since discovery may have restarted
	fmt.Fprint(c, responseHead, list(1, true, member("s-1", "in_service")))
	require.EqualValues(t, 1, s.next(t).Revision)
}

// An older list does not count as an update: its contents are as old as the last accepted list, so the watch is
// reopened in time.
func TestOlderListsDoNotKeepWatchAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatcher("h:1", 0, testSettings(300, false))
		calls := fakeDiscovery(t, w)
		s := runWatcher(t, w)
		w.Subscribe()
		c := <-calls
		c.Write([]byte(responseHead + list(43, true, member("s-1", "in_service"))))
		<-s.listed
		listedAt := time.Now()
		for len(calls) == 0 && time.Since(listedAt) < time.Minute {
			c.Write([]byte(list(42, true, member("s-1", "in_service"))))
			time.Sleep(time.Second)
			synctest.Wait()
		}
		require.LessOrEqual(t, (<-calls).at.Sub(listedAt), 5*time.Second)
		require.Empty(t, s.listed)
	})
}

// Guards against buffering whitespace before a list without a limit until the list comes.
func TestWhitespaceIsNotBuffered(t *testing.T) {
	blanks := strings.Repeat(" \t\r\n", 1<<20)
	w := NewWatcher("h:1", 0, testSettings(1, false))
	body := io.MultiReader(strings.NewReader(blanks), strings.NewReader(drainingList))
	text, err := io.ReadAll(&listReader{body: body, w: w, sink: newHeartbeatDiscarder(), lineEmpty: true})
	require.NoError(t, err)
	require.Equal(t, drainingList, string(bytes.TrimSpace(text)))
	require.Len(t, text, len(drainingList))
}

// heartbeatDiscarder is a sink that accepts any number of heartbeats.
type heartbeatDiscarder struct{ recordingSink }

func newHeartbeatDiscarder() heartbeatDiscarder { return heartbeatDiscarder{newSink()} }

func (heartbeatDiscarder) Heartbeat() {}

// A shortage of descriptors here says nothing about discovery: a new process must not conclude that discovery is
// unreachable. The report of the loss includes the time since the call, whoever requested it.
func TestLocalShortageIsNotUnreachable(t *testing.T) {
	for _, tt := range []struct {
		errno       syscall.Errno
		unreachable bool
	}{
		{syscall.ECONNREFUSED, true}, {syscall.EHOSTUNREACH, true}, {syscall.ETIMEDOUT, true},
		{syscall.EMFILE, false}, {syscall.ENFILE, false}, {syscall.ENOBUFS, false}, {syscall.EADDRNOTAVAIL, false},
	} {
		t.Run(tt.errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWatcher("h:1", 0, testSettings(3, false))
				w.dial = func(context.Context, string, time.Time) (net.Conn, error) {
					time.Sleep(700 * time.Millisecond)
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", tt.errno)}
				}
				s := runWatcher(t, w)
				w.Subscribe()
				for range 3 { // the later ones are made by the clock
					err := <-s.lost
					require.Equal(t, tt.unreachable, errors.Is(err, ErrUnreachable), err)
					require.Equal(t, 700*time.Millisecond, err.(lostWatch).after)
				}
			})
		})
	}
}
