package load

import "slices"

// order is a load by time.
func order(load []Arrival) []Arrival {
	all := slices.Clone(load)
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}
