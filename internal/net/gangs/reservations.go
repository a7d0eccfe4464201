package gangs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/gang"
)

// applyReservations sets each encoder's reservations in the dispatcher's loop, without the slots of members that the
// loop already counts as its own commands.
func (s *Server) applyReservations(now time.Duration, all []gang.Encoder) {
	ownSlots := map[string]int{}
	s.starterMu.Lock()
	for key, cmd := range s.sent {
		if gangID, ok := s.starter.GangOf(key); ok {
			ownSlots[gangID+"/"+gang.Encoder{ID: cmd.Candidates[0]}.Account()] += int(cmd.Slots)
		}
	}
	s.starterMu.Unlock()
	byResource := map[string][]decide.Reservation{}
	counted := map[gang.Reservation]bool{} // two dispatchers may both report a group as theirs
	for _, held := range s.reservations {
		for _, t := range held {
			own := ownSlots[t.Gang+"/"+t.Resource]
			if counted[t] || t.Until <= now || t.Slots <= own && t.From <= now {
				continue
			}
			if counted[t] = true; t.From <= now {
				t.Slots -= own
			}
			byResource[t.Resource] = append(byResource[t.Resource], decide.Reservation{From: t.From, Until: t.Until, Slots: float64(t.Slots)})
		}
	}
	for _, e := range all {
		reservations := byResource[e.Account()]
		slices.SortFunc(reservations, func(a, b decide.Reservation) int {
			return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Until, b.Until), cmp.Compare(a.Slots, b.Slots))
		})
		if text := fmt.Sprint(e.Slots, reservations); text != s.appliedReservations[e.ID] && (len(reservations) > 0 || s.appliedReservations[e.ID] != "") {
			s.appliedReservations[e.ID] = text
			s.core.SetReservations(e.ID, float64(e.Slots), reservations)
		}
	}
}
