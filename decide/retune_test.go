package decide

import (
	"slices"
	"testing"
	"time"
)

// Settings change while requests are in hand: those keep their class, what comes goes by the new
// one, and the number of attempts binds both.
func TestRetune(t *testing.T) {
	s := site(1, true, false, false)
	w := fleet(t, s, 4)
	_, before := w.place(0)
	s.Classes = slices.Clone(s.Classes)
	s.Classes[0].Effect = Unsafe // stricter
	s.Classes[1].Left = true
	s.Classes = append(s.Classes, Class{Aim: 50 * ms, Deadline: time.Second, Worth: 1, Effect: Safe, Kind: Any})
	if err := w.d.Retune(s); err != nil {
		t.Fatal(err)
	}
	w.s = s
	_, after := w.place(0)
	to, fresh := w.place(3)
	if to == 0 {
		t.Fatal("a new class finds no worker")
	}
	w.handle(w.end(after, 0, Reset, nil))
	if !after.answered || len(after.tries) != 1 {
		t.Error("what came since is repeated though it must not be")
	}
	w.s.Classes = slices.Clone(s.Classes)
	w.s.Classes[0].Effect = Safe // what the one in hand is held against
	w.handle(w.end(before, 0, Reset, nil))
	if before.answered || len(before.tries) != 2 {
		t.Error("what was in hand has lost its class")
	}
	w.s = s
	s.Limits.Attempts = 1
	if err := w.d.Retune(s); err != nil {
		t.Fatal(err)
	}
	w.handle(w.end(fresh, 0, Reset, nil))
	if !fresh.answered || len(fresh.tries) != 1 {
		t.Error("it had more attempts than are allowed now")
	}
	s.Classes = s.Classes[:3]
	if w.d.Retune(s) == nil {
		t.Error("a class has lost its number")
	}
	if s.Limits.Attempts = 0; w.d.Retune(s) == nil || w.d.s.Limits.Attempts != 1 {
		t.Error("settings that cannot be followed count")
	}
}
