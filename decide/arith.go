package decide

import "time"

// dropBefore drops the times before from, all at the front.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// hash returns a hash of two numbers (splitmix64).
func hash(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform returns the hash of two numbers, scaled to a number between 0 and 1.
func uniform(a, b uint64) float64 { return (float64(hash(a, b)>>11) + 0.5) / (1 << 53) }

// coprime returns the first number from want up that is coprime to n.
func coprime(want, n int) int {
	for s := max(want, 1); ; s++ {
		a, b := s, n
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return s
		}
	}
}
