package discovery

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	answerDelay  = 990 * time.Millisecond // delay of the final, successful answer
	maxStaleness = 6 * time.Second        // a change must be known this long after discovery had it
	response503  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// send writes pieces with a pause between them.
func (c call) send(apart time.Duration, pieces ...string) {
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(apart)
		}
		c.Write([]byte(p))
	}
	synctest.Wait()
}

// sendHeartbeats sends heartbeats for a minute and returns the time of the last one.
func (c call) sendHeartbeats() time.Time {
	c.send(2*time.Second, append([]string{responseHead + chunk(drainingList+"\n")}, slices.Repeat([]string{chunk("\n")}, 30)...)...)
	return time.Now()
}

// A change is made right after the last time at which the list was known to be current, or after a call without an
// answer. It is known 6 s later, whenever and however a call or a watch fails. The next answer takes a second, and
// nobody subscribes.
func TestChangeIsKnownWithinSixSeconds(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail func(c call) (current time.Time)
	}{
		{"answered 503", func(c call) time.Time { c.send(0, response503); c.Close(); return c.at }},
		{"answered 503 after a delay", func(c call) time.Time { time.Sleep(2900 * time.Millisecond); c.send(0, response503); return c.at }},
		{"closed at once", func(c call) time.Time { c.Close(); return c.at }},
		{"closed after a delay", func(c call) time.Time { time.Sleep(2900 * time.Millisecond); c.Close(); return c.at }},
		{"silent", func(c call) time.Time { return c.at }},
		{"half a head, then silent", func(c call) time.Time { c.send(0, responseHead[:20]); return c.at }},
		{"a head in small pieces", func(c call) time.Time { c.send(time.Second, strings.Split(responseHead[:5], "")...); return c.at }},
		{"a head, then silent", func(c call) time.Time { c.send(0, responseHead); return c.at }},
		{"a head, then closed", func(c call) time.Time { c.send(0, responseHead); c.Close(); return c.at }},
		{"a late head and an empty line, then closed", func(c call) time.Time {
			time.Sleep(900 * time.Millisecond)
			c.send(0, responseHead+chunk("\n"))
			c.Close()
			return c.at
		}},
		{"half a list, then silent", func(c call) time.Time { c.send(time.Second, responseHead, chunk(drainingList[:60])); return c.at }},
		{"half a list, then closed", func(c call) time.Time {
			c.send(time.Second, responseHead, chunk(drainingList[:60]))
			c.Close()
			return c.at
		}},
		{"a list in small pieces", func(c call) time.Time {
			c.send(time.Second, responseHead, chunk("{"), chunk(" "), chunk(" "), chunk(" "))
			return c.at
		}},
		{"chunk sizes in small pieces", func(c call) time.Time { c.send(time.Second, responseHead, "0", "0", "0", "0"); return c.at }},
		{"a list, then closed", func(c call) time.Time { c.send(0, responseHead+chunk(drainingList)); c.Close(); return c.at }},
		{"a list late and whole, then closed", func(c call) time.Time {
			c.send(2500*time.Millisecond, responseHead+chunk(drainingList[:60]), chunk(drainingList[60:]))
			c.Close()
			return c.at
		}},
		{"a list late and whole, then silent", func(c call) time.Time {
			c.send(2500*time.Millisecond, responseHead+chunk(drainingList[:60]), chunk(drainingList[60:]))
			return c.at
		}},
		{"quiet for a minute, then silent", func(c call) time.Time { return c.sendHeartbeats() }},
		{"quiet for a minute, then closed", func(c call) time.Time {
			current := c.sendHeartbeats()
			time.Sleep(1900 * time.Millisecond)
			c.Close()
			return current
		}},
		{"quiet for a minute, then the body ends", func(c call) time.Time { current := c.sendHeartbeats(); c.send(0, "0\r\n\r\n"); return current }},
		{"quiet for a minute, then half a list and silent", func(c call) time.Time {
			current := c.sendHeartbeats()
			time.Sleep(time.Second)
			c.send(time.Second, chunk("{"), chunk(" "))
			return current
		}},
		{"quiet for a minute, then half a list and closed", func(c call) time.Time {
			current := c.sendHeartbeats()
			time.Sleep(time.Second)
			c.send(time.Second, chunk("{"), chunk(" "))
			c.Close()
			return current
		}},
		{"quiet for a minute, silent, then data again", func(c call) time.Time {
			current := c.sendHeartbeats()
			time.Sleep(3 * time.Second)
			c.send(0, chunk("\n"))
			return current
		}},
		{"quiet for a minute, silent, then data again and closed", func(c call) time.Time {
			current := c.sendHeartbeats()
			time.Sleep(3 * time.Second)
			c.send(0, chunk("\n"))
			c.Close()
			return current
		}},
		{"quiet for a minute, then garbage", func(c call) time.Time { current := c.sendHeartbeats(); c.send(0, chunk("]")); return current }},
	} {
		for _, dispatchers := range []int{3, 300} {
			t.Run(fmt.Sprint(tt.name, " of ", dispatchers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := NewWatcher("h:1", 41, testSettings(dispatchers, false))
					calls := fakeDiscovery(t, w)
					s := runWatcher(t, w)
					w.Subscribe()
					c := <-calls
					for range 3 {
						current := tt.fail(c)
						require.Empty(t, calls, "called again while updates still arrived")
						c = <-calls
						require.LessOrEqual(t, c.at.Sub(current), maxStaleness-answerDelay)
					}
					current := tt.fail(c)
					c = <-calls
					time.Sleep(answerDelay)
					for len(s.listed) > 0 {
						<-s.listed
					}
					c.send(0, responseHead+chunk(drainingList))
					<-s.listed
					require.LessOrEqual(t, time.Since(current), maxStaleness)
				})
			})
		}
	}
}

// A call whose connection is refused or never established counts as a call without an answer.
func TestUnreachableDiscoveryIsCalledAgain(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, tt := range []struct {
		name  string
		takes time.Duration
		err   error
	}{
		{"refused at once", 0, refused},
		{"refused after a while", 2900 * time.Millisecond, refused},
		{"never comes up", time.Hour, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWatcher("h:1", 41, testSettings(300, false))
				calls := fakeDiscovery(t, w)
				dialed, failures := make(chan time.Time, 99), 3
				connect := w.dial
				w.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
					dialed <- time.Now()
					if failures--; failures < 0 {
						return connect(ctx, address, deadline)
					}
					if until := time.Until(deadline); until < tt.takes {
						time.Sleep(until)
						return nil, os.ErrDeadlineExceeded
					}
					time.Sleep(tt.takes)
					return nil, tt.err
				}
				s := runWatcher(t, w)
				w.Subscribe()
				for last := <-dialed; len(calls) == 0; {
					at := <-dialed
					require.LessOrEqual(t, at.Sub(last), maxStaleness-answerDelay)
					require.GreaterOrEqual(t, at.Sub(last), 3*time.Second)
					last = at
					synctest.Wait()
				}
				c := <-calls
				c.send(0, responseHead+chunk(drainingList))
				<-s.listed
				require.Empty(t, s.listed)
			})
		})
	}
}
