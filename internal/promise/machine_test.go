package promise

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func apply(m *Machine, index uint64, at time.Duration, c Command) Answer {
	a, err := ReadAnswer(m.Apply(index, at, c.Bytes()))
	if err != nil {
		panic(err)
	}
	return a
}

// Checks for any order of commands: an ID keeps its receipt, an end does not change while it is kept, a restored table behaves
// like the original, and the counters match the content.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		receipts, ends := map[string]Receipt{}, map[string]End{}
		at, gen := time.Duration(0), uint64(1)
		for index := uint64(1); index < 30; index++ {
			at += time.Duration(rapid.IntRange(0, 3).Draw(t, "later")) * time.Second
			c := Command{
				Op: rapid.SampledFrom([]Op{OpPromise, OpPromise, OpTakeOwnership, OpIntent, OpIntent, OpNeverRan, OpEnd, OpReport, OpReport, OpForget, OpRead, "other"}).Draw(t, "op"),
				ID: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "id"), Submission: rapid.IntRange(1, 2).Draw(t, "hand"),
				Gen: gen - uint64(rapid.IntRange(0, 1).Draw(t, "stale")), Attempt: rapid.IntRange(0, 1).Draw(t, "n"), Instance: "s-1",
				Index: rapid.SampledFrom([]uint64{0, 1, 2}).Draw(t, "receipt"),
				Kind:  rapid.SampledFrom([]Kind{Done, Failed, Refused}).Draw(t, "kind"), Reason: "for some reason", Result: []byte("result"),
			}
			if e := m.Entry(c.ID); e != nil && c.Index > 0 {
				c.Index = e.Index
			}
			switch c.Op {
			case OpPromise:
				c.SeenIndex = index - 1 - min(index-1, rapid.SampledFrom([]uint64{0, 0, 1, 20}).Draw(t, "under way"))
				c.Job = &Job{Class: "c", Payload: []byte("payload"), StartWithin: time.Hour, Retention: 10 * time.Second}
			case OpTakeOwnership:
				gen++
				c.Gen = gen
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				text, err := m.Snapshot()
				require.NoError(t, err)
				n := New()
				require.NoError(t, n.Restore(text))
				again, err := n.Snapshot()
				require.NoError(t, err)
				require.Equal(t, string(text), string(again))
				require.Equal(t, string(m.Apply(index, at, c.Bytes())), string(n.Apply(index, at, c.Bytes())))
				m = n
				index++
			}
			a := apply(m, index, at, c)
			for id := range receipts {
				if m.Entry(id) == nil {
					delete(receipts, id)
					delete(ends, id)
				}
			}
			if a.Receipt != nil {
				if before, ok := receipts[c.ID]; ok && a.Receipt.Index == index {
					require.Contains(t, ends, c.ID)
					require.LessOrEqual(t, ends[c.ID].At+10*time.Second, at, "its id is free again only then")
					delete(ends, c.ID)
				} else if ok {
					require.Equal(t, before, *a.Receipt)
				}
				receipts[c.ID] = *a.Receipt
			}
			bytes, open := 0, 0
			for id, e := range m.jobs {
				if bytes += e.bytes(); e.End == nil {
					open++
				} else {
					if before, ok := ends[id]; ok {
						require.Equal(t, before, *e.End)
					}
					ends[id] = *e.End
				}
			}
			jobs, o, b := m.Size()
			require.Equal(t, []int{len(m.jobs), open, bytes}, []int{jobs, o, b})
			require.Len(t, m.ended, jobs-open)
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	m := New()
	job := &Job{Class: "c", Payload: make([]byte, MaxPayload), StartWithin: time.Hour, Retention: time.Minute}
	n := 0
	for ; ; n++ {
		a := apply(m, uint64(n+1), 0, Command{Op: OpPromise, ID: fmt.Sprint("j", n), Job: job})
		if !a.OK {
			require.Equal(t, TableFull, a.Code)
			require.Contains(t, a.Text, "promises")
			break
		}
	}
	require.Equal(t, MaxBytes/MaxPayload, n)
	require.True(t, apply(m, 5000, 0, Command{Op: OpPromise, ID: "j0", Job: job}).OK, "it has its receipt already")
	require.True(t, apply(m, 5001, 0, Command{Op: OpTakeOwnership, Gen: 7}).OK)
	require.True(t, apply(m, 5002, 0, Command{Op: OpEnd, ID: "j0", Index: 1, Gen: 7, Kind: Refused, Reason: strings.Repeat("x", 9999)}).OK)
	require.Len(t, m.Entry("j0").End.Reason, MaxReason)
	require.True(t, apply(m, 5003, 0, Command{Op: OpPromise, ID: "fits", Job: job}).OK, "what has ended leaves its payload's room")
	require.Equal(t, NotFound, apply(m, 5004, time.Minute, Command{Op: OpRead, ID: "j0"}).Code, "its retention is over")
	require.Equal(t, TooLate, apply(m, 5005, time.Minute, Command{Op: OpPromise, ID: "j0", Job: job, SeenIndex: 5003}).Code, "it may double the one before")
	require.True(t, apply(m, 5006, time.Minute, Command{Op: OpPromise, ID: "j0", Job: &Job{Class: "c", StartWithin: 1, Retention: 1}, SeenIndex: 5005}).OK)
	for _, garbage := range []string{"", "{", "null", `{"v":9}`, `{"v":1,"op":"promise","id":"a b"}`, `{"v":1,"op":"promise","id":"x","job":{}}`} {
		a, err := ReadAnswer(m.Apply(6000, time.Minute, []byte(garbage)))
		require.NoError(t, err)
		require.Contains(t, []Code{Malformed, NotFound}, a.Code, garbage)
	}
}

// at returns readings of both clocks n milliseconds after the start.
func at(n int) Clocks {
	return Clocks{Mono: time.Duration(n) * time.Millisecond, Unix: time.Duration(n) * time.Millisecond}
}

// ownedTable returns a table with one job and an owner that gets the lease of a term until a time.
func ownedTable(t *testing.T, term uint64, until time.Duration) (m *Machine, o *Owner, take func(Clocks) Submit) {
	m, o = New(), NewOwner(func(string) bool { return false })
	apply(m, 1, 0, Command{Op: OpPromise, ID: "j", Job: &Job{Class: "c", StartWithin: time.Second, Retention: time.Hour}})
	take = func(c Clocks) Submit {
		o.Update(c, m)
		own := o.Actions()[0].(Propose)
		o.ProposalDone(c, own.Seq, apply(m, 2, 0, own.Command), false)
		o.Update(c, m)
		return o.Actions()[0].(Submit)
	}
	o.SetLease(at(0), term, until, true)
	return m, o, take
}

// The same dispatcher regains the lease in the same term: its earlier proposals must not count.
func TestLeaseRegainedInSameTerm(t *testing.T) {
	m, o, take := ownedTable(t, 3, 500*time.Millisecond)
	first := take(at(0))
	o.Answered(at(400), "j", 1, first.Submission, Rejected, "", nil, 0, 0)
	late := o.Actions()[0].(Propose)
	require.Equal(t, OpEnd, late.Op)
	o.Update(at(490), m)
	require.Equal(t, []Action{Abandon{"j", first.Submission}}, o.Actions())
	o.SetLease(at(600), 3, time.Second, true)
	require.Greater(t, take(at(600)).Submission, first.Submission, "the dispatcher may still have the first")
	require.Equal(t, StaleOwner, apply(m, 9, 0, late.Command).Code)
}

// An answer received within the margin of a lease that is later renewed must be accepted: otherwise the job stays
// submitted while nobody runs it.
func TestAnswerNearExpiryOfRenewedLeaseCounts(t *testing.T) {
	m, o, take := ownedTable(t, 3, 500*time.Millisecond)
	first := take(at(0))
	o.Answered(at(490), "j", 1, first.Submission, Rejected, "", nil, 0, 30*time.Second)
	o.SetLease(at(491), 3, time.Minute, true)
	o.Update(at(700), m)
	again := o.Actions()
	require.NotEmpty(t, again)
	require.Greater(t, again[0].(Submit).Submission, first.Submission)
}

// A report within the margin of a lease that is later renewed that an attempt never ran must be accepted: otherwise the
// intent stays.
func TestNeverRanNearExpiryOfRenewedLeaseIsReported(t *testing.T) {
	m, o, take := ownedTable(t, 3, 500*time.Millisecond)
	first := take(at(0))
	o.RequestSend(at(100), "j", first.Submission, 1, "s-1", time.Minute)
	intent := o.Actions()[0].(Propose)
	o.ProposalDone(at(200), intent.Seq, apply(m, 3, 0, intent.Command), false)
	require.IsType(t, AllowSend{}, o.Actions()[0])
	o.NeverRan("j", first.Submission, 1)
	o.SetLease(at(491), 3, time.Minute, true)
	over := o.Actions()
	require.NotEmpty(t, over)
	require.True(t, apply(m, 4, 0, over[0].(Propose).Command).OK)
	require.Empty(t, m.Entry("j").Intents)
}
