package rig_test

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"caperrelay/internal/gang"
	"caperrelay/internal/replica"
	"caperrelay/internal/rig"
	"caperrelay/internal/standin/link"
	gangv1 "caperrelay/proto/winglb/gang/v1"
)

// gathered is a town of five daemons, n0, n2 and n4 at site a and the others at b, whose encoders a partner lends.
type gathered struct {
	*town
	callers []gangv1.GangsClient
	sizes   map[string]int // of gangs
}

const (
	skewMost = 250 * time.Millisecond
	offMost  = 500*time.Millisecond + 60*time.Millisecond // of the machine that the story runs on
)

func gather(t *testing.T) *gathered {
	w := &gathered{town: founded(t, five, time.Millisecond, func(o *rig.Options) { o.Lean, o.Promises, o.Encoders = false, true, 4 }), sizes: map[string]int{}}
	for n := range five {
		f, err := os.OpenFile(w.Daemon(n).File(), os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = fmt.Fprint(f, "[gangs]\n[[gangs.partner]]\nname = \"tuk\"\nsites = [\"b\"]\nslots = 7\n")
		require.NoError(t, err)
		require.NoError(t, f.Close())
		conn, err := grpc.NewClient(w.Daemon(n).Control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		w.callers = append(w.callers, gangv1.NewGangsClient(conn))
	}
	w.start(0, five)
	w.serves(0, five)
	return w
}

// call asks daemons in turn until one answers.
func (w *gathered) call(do func(context.Context, gangv1.GangsClient) (*gangv1.Gang, error)) (g *gangv1.Gang) {
	w.Helper()
	var err error
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		for _, c := range w.callers {
			ctx, cancel := context.WithTimeout(w.Context(), 3*time.Second)
			g, err = do(ctx, c)
			if cancel(); err == nil {
				return g
			}
		}
	}
	w.Fatalf("no daemon answers: %v", err)
	return nil
}

// submit asks for a gang with members of so many slots at each site, not before a while.
func (w *gathered) submit(id, class string, after, window, work time.Duration, slots map[string]int) {
	w.Helper()
	now := time.Now()
	q := &gangv1.SubmitRequest{Id: id, NotBeforeUs: uint64(now.Add(after).UnixMicro()), LatestStartUs: uint64(now.Add(after + window).UnixMicro())}
	for _, site := range []string{"a", "b"} {
		q.Members = append(q.Members, &gangv1.Member{
			Site: site, Slots: uint32(slots[site]), Class: class, WorkUs: uint64(work.Microseconds()),
			Target: fmt.Sprintf("/api?work_us=%d&class=%s%s", work.Microseconds(), class, map[bool]string{true: "&once=1"}[class == "publish"]),
		})
	}
	w.sizes[id] = len(q.Members)
	w.call(func(ctx context.Context, c gangv1.GangsClient) (*gangv1.Gang, error) { return c.Submit(ctx, q) })
}

func (w *gathered) look(id string) *gangv1.Gang {
	w.Helper()
	return w.call(func(ctx context.Context, c gangv1.GangsClient) (*gangv1.Gang, error) {
		return c.Await(ctx, &gangv1.AwaitRequest{Id: id, Seen: "none"})
	})
}

func (w *gathered) until(id string, states ...string) (g *gangv1.Gang) {
	w.Helper()
	w.await(fmt.Sprint(id, " is ", states), func() bool { g = w.look(id); return slices.Contains(states, g.State) })
	return g
}

func (w *gathered) end(id string) *gangv1.Gang { w.Helper(); return w.until(id, string(gang.Ended)) }

// at waits for a moment before or after a gang's start, which is set; until then it may be moved.
func (w *gathered) at(id string, after time.Duration) {
	w.Helper()
	g := w.until(id, "held", "going", "running")
	time.Sleep(time.Until(time.UnixMicro(int64(g.StartUs)).Add(after)))
}

// leader is the daemon that acts for gangs' homes in a group.
func (w *gathered) leader(state string) (who int) {
	w.Helper()
	w.await("one acts for a gang that is "+state, func() bool {
		who = slices.IndexFunc(all(five), func(n int) bool { return w.Daemon(n).Figure("gangs."+state) > 0 })
		return who >= 0
	})
	return who
}

var gangJob = regexp.MustCompile(`^gang-(.+)-(\d+)-(\d+)$`)

// together checks by encoders' own word that in each round of each gang all members ran, and began within the skew, or
// those that ran were called off in time; and that members that must not run twice did not.
func (w *gathered) together() (started int) {
	w.Helper()
	type round struct {
		began, ended []time.Time
	}
	rounds, ran := map[string]*round{}, map[string]int{}
	for _, a := range w.Host.Ledger.Attempts() {
		m := gangJob.FindStringSubmatch(a.Job)
		if m == nil || a.Started.IsZero() {
			continue
		}
		key := m[1] + " " + m[2]
		if rounds[key] == nil {
			rounds[key] = &round{}
		}
		r := rounds[key]
		r.began, r.ended = append(r.began, a.Started), append(r.ended, a.Ended)
		if ran[m[1]+m[3]]++; a.Once {
			require.Equal(w, 1, ran[m[1]+m[3]], "%s ran twice", a.Job)
		}
	}
	for key, r := range rounds {
		id := key[:len(key)-2]
		first := slices.MinFunc(r.began, time.Time.Compare)
		if len(r.began) == w.sizes[id] {
			started++
			require.LessOrEqual(w, slices.MaxFunc(r.began, time.Time.Compare).Sub(first), skewMost, key)
			continue
		}
		for _, end := range r.ended {
			require.False(w, end.IsZero(), "%s: %d of %d run", key, len(r.began), w.sizes[id])
			require.LessOrEqual(w, end.Sub(first), offMost, "%s: %d of %d ran", key, len(r.began), w.sizes[id])
		}
	}
	return started
}

// ids is names of gangs whose home is one group.
func ids(n int, like string) (all []string) {
	home := replica.GroupOf("gang/"+like, 6)
	for i := 0; len(all) < n; i++ {
		if id := like + strconv.Itoa(i); replica.GroupOf("gang/"+id, 6) == home {
			all = append(all, id)
		}
	}
	return all
}

var small = map[string]int{"a": 1, "b": 1}

// Gangs over two sites start together. Two that each want most of both sites at once go one after the other, both in
// their windows; a third that wants more than is lent does not start.
func TestGangsTakeTurns(t *testing.T) {
	w := gather(t)
	big := map[string]int{"a": 4, "b": 4}
	for _, id := range []string{"w", "x", "y", "z"} { // two at a time: of b 7 slots are lent
		w.submit(id, "publish", 0, 15*time.Second, 400*time.Millisecond, big)
	}
	for _, id := range []string{"w", "x", "y", "z"} {
		g := w.end(id)
		require.Equal(t, gang.Completed, g.Verdict, g)
	}
	w.submit("much", "publish", 0, 2*time.Second, time.Second, map[string]int{"a": 1, "b": 8})
	require.Equal(t, gang.NotStarted, w.end("much").Verdict)
	require.Equal(t, 4, w.together())
	w.rules()
}

// Whoever acts for four gangs' home is killed, and its machine's disk lost, while one waits for its window, one is held,
// one has its dispatchers armed, and one is about to start; and once more one is killed right after a start.
func TestGangsCoordinatorKilled(t *testing.T) {
	w := gather(t)
	four := ids(5, "k")
	for i, id := range four[:4] {
		w.submit(id, []string{"preview", "publish"}[i%2], 2*time.Second+time.Duration(i*i)*350*time.Millisecond, 20*time.Second, 600*time.Millisecond, small)
	}
	w.at(four[0], -60*time.Millisecond)
	killed := w.leader("held")
	w.Daemon(killed).Kill()
	require.NoError(t, w.Daemon(killed).Forget())
	for _, id := range four[1:4] {
		g := w.end(id)
		require.Equal(t, gang.Completed, g.Verdict, g)
	}
	t.Log("about to start:", w.end(four[0]))
	require.NoError(t, w.Daemon(killed).Start())
	w.serves(killed, killed+1)

	w.submit(four[4], "preview", time.Second, 20*time.Second, 800*time.Millisecond, small)
	w.until(four[4], "held")
	who := w.leader("held")
	w.at(four[4], 20*time.Millisecond)
	w.Daemon(who).Kill()
	require.NoError(t, w.Daemon(who).Start()) // the other's copies are not all made anew yet: two of three may be gone
	t.Log("right after its start:", w.end(four[4]))
	w.together()
}

// A site is cut off, one way and both, while gangs are planned, armed and started; what is called off and may be
// repeated runs once the cut is healed.
func TestGangsSiteCutOff(t *testing.T) {
	w := gather(t)
	a, b := []string{"n0", "n2", "n4"}, []string{"n1", "n3"}
	oneWay := func(cut bool) {
		for _, from := range b {
			for _, to := range a {
				w.net.Set(link.Way{From: from, To: to}, link.Weather{Cut: cut})
			}
		}
	}
	both := func(cut bool) { w.net.Cut(cut, a, b) }
	for i, cut := range []func(bool){oneWay, both} {
		var again, once []string
		for j, when := range []time.Duration{-15, 60, 300, 900} { // milliseconds after the cut at which they are to start
			c, o := fmt.Sprintf("c%d-%d", i, j), fmt.Sprintf("o%d-%d", i, j)
			w.submit(c, "preview", 1500*time.Millisecond+when*time.Millisecond, 30*time.Second, 300*time.Millisecond, small)
			if again = append(again, c); j > 0 { // of b 7 slots are lent
				w.submit(o, "publish", 1500*time.Millisecond+when*time.Millisecond, 8*time.Second, 300*time.Millisecond, small)
				once = append(once, o)
			}
		}
		w.at(again[0], 15*time.Millisecond)
		cut(true)
		time.Sleep(900 * time.Millisecond) // longer than any start takes
		cut(false)
		for _, id := range again {
			g := w.end(id)
			require.Contains(t, []string{gang.Completed, gang.DiedAfterStart}, g.Verdict, g)
			t.Log(i, g)
		}
		for _, id := range once {
			g := w.end(id)
			require.False(t, g.Verdict == gang.NotStarted && g.Why == "", g)
			t.Log(i, g)
		}
	}
	w.together()
}

// An encoder drains in the last 100 ms: its gang is called off and planned anew elsewhere. One that drains before has
// its hold moved. A partner lends less while holds stand: the younger gang gives way, the older keeps its start.
func TestGangsMoveAndGiveWay(t *testing.T) {
	w := gather(t)
	w.submit("late", "preview", time.Second, 20*time.Second, 300*time.Millisecond, small)
	w.at("late", -80*time.Millisecond)
	first := w.look("late").Encoders[1]
	w.drain(w.encoder(first))
	g := w.end("late")
	require.Equal(t, gang.Completed, g.Verdict, g)

	w.submit("early", "publish", 2500*time.Millisecond, 20*time.Second, 300*time.Millisecond, small)
	g = w.until("early", "held")
	w.drain(w.encoder(g.Encoders[0]))
	start := g.StartUs
	g = w.end("early")
	require.Equal(t, gang.Completed, g.Verdict, g)
	require.EqualValues(t, 1, g.Moves)
	require.Equal(t, start, g.StartUs, "it keeps its start")

	w.submit("older", "publish", 3*time.Second, time.Second, 1500*time.Millisecond, map[string]int{"a": 1, "b": 2})
	w.until("older", "held")
	w.submit("younger", "publish", 3*time.Second, 500*time.Millisecond, 1500*time.Millisecond, map[string]int{"a": 1, "b": 2})
	w.until("younger", "held")
	_, err := w.callers[0].Lend(t.Context(), &gangv1.LendRequest{Partner: "tuk", Slots: 3})
	require.NoError(t, err)
	require.Equal(t, gang.NotStarted, w.end("younger").Verdict)
	require.Equal(t, gang.Completed, w.end("older").Verdict)
	w.together()
	w.rules()
}

// encoder is one's number.
func (w *gathered) encoder(id string) int {
	for i, e := range w.Host.Encoders() {
		if e.ID() == id {
			return i
		}
	}
	w.Fatalf("no encoder %s", id)
	return -1
}
