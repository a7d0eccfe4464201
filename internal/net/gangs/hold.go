package gangs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/gang"
)

// applyReservations tells the loop what is held of each encoder, but for members that it has itself: those count as they are.
func (s *Server) applyReservations(now time.Duration, all []gang.Encoder) {
	mine := map[string]int{}
	s.startsMu.Lock()
	for key, cmd := range s.sent {
		if t, ok := s.starter.GangOf(key); ok {
			mine[t+"/"+gang.Encoder{ID: cmd.Candidates[0]}.Account()] += int(cmd.Slots)
		}
	}
	s.startsMu.Unlock()
	spans := map[string][]decide.Reservation{}
	once := map[gang.Reservation]bool{} // two may say that they lead a group
	for _, held := range s.reservations {
		for _, t := range held {
			own := mine[t.Gang+"/"+t.Resource]
			if once[t] || t.Until <= now || t.Slots <= own && t.From <= now {
				continue
			}
			if once[t] = true; t.From <= now {
				t.Slots -= own
			}
			spans[t.Resource] = append(spans[t.Resource], decide.Reservation{From: t.From, Until: t.Until, Slots: float64(t.Slots)})
		}
	}
	for _, e := range all {
		what := spans[e.Account()]
		slices.SortFunc(what, func(a, b decide.Reservation) int {
			return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Until, b.Until), cmp.Compare(a.Slots, b.Slots))
		})
		if text := fmt.Sprint(e.Slots, what); text != s.appliedReservations[e.ID] && (len(what) > 0 || s.appliedReservations[e.ID] != "") {
			s.appliedReservations[e.ID] = text
			s.core.SetReservations(e.ID, float64(e.Slots), what)
		}
	}
}
