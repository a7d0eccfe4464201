package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// oracle is the documented bucket in integer thousandths of a request and milliseconds, for one key.
type oracle struct{ excess, last, rate int64 }

func (o *oracle) take(nowMs, burst, delay int64, nodelay, first bool) (waitMs int64, ok bool) {
	if first {
		o.last = nowMs
		return 0, true
	}
	e := o.excess - o.rate*(nowMs-o.last)/1000 + 1000
	if e < 0 {
		e = 0
	}
	if e > burst*1000 {
		return 0, false
	}
	o.excess, o.last = e, nowMs
	if !nodelay && e > delay*1000 {
		return (e - delay*1000) * 1000 / o.rate, true
	}
	return 0, true
}

// Random requests are admitted, delayed and refused as by the documented bucket, up to rounding to whole
// thousandths.
func TestMatchesDocumentedBucket(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	differ, all := 0, 0
	for range 200 {
		rate := []int64{500, 1000, 2000, 10_000, 50_000}[r.IntN(5)] // thousandths per second
		burst, delay, nodelay := int64(r.IntN(6)), int64(r.IntN(3)), r.IntN(3) == 0
		z, err := NewRate(float64(rate)/1000, 10)
		require.NoError(t, err)
		o := &oracle{rate: rate}
		now := int64(0)
		for n := range 200 {
			now += int64(r.IntN(1500 * 1000 / int(rate)))
			wait, ok := z.Take(time.Duration(now)*ms, "k", Burst{float64(burst), float64(delay), nodelay})
			want, wantOK := o.take(now, burst, delay, nodelay, n == 0)
			// Each step starts from the oracle's state; otherwise rounding errors would accumulate.
			k := z.buckets["k"].Value.(*bucket)
			k.excess, k.last = float64(o.excess)/1000, time.Duration(o.last)*ms
			if all++; ok != wantOK {
				differ++ // at a boundary
			} else if ok {
				require.InDelta(t, float64(want), float64(wait)/1e6, 2+2000/float64(rate))
			}
		}
	}
	require.Less(t, float64(differ)/float64(all), 0.002)
}

// A steady flow at the rate passes; at twice the rate half is refused; a burst is delayed.
func TestRateIsEnforced(t *testing.T) {
	z, err := NewRate(10, 10)
	require.NoError(t, err)
	for n := range 100 {
		_, ok := z.Take(time.Duration(n)*100*ms, "steady", Burst{})
		require.True(t, ok)
	}
	passed := 0
	for n := range 1000 {
		if _, ok := z.Take(time.Duration(n)*50*ms, "double", Burst{}); ok {
			passed++
		}
	}
	require.InDelta(t, 500, passed, 2)
	for n := range 8 {
		wait, ok := z.Take(time.Hour, "burst", Burst{Burst: 5, Delay: 2})
		require.Equal(t, n < 6, ok, n)
		if ok {
			require.Equal(t, time.Duration(max(0, n-2))*100*ms, wait)
		}
	}
}

// When there are too many keys, the least recently seen are evicted, and memory stays bounded.
func TestKeysAreBounded(t *testing.T) {
	z, err := NewRate(1, 100)
	require.NoError(t, err)
	for n := range 10_000 {
		z.Take(0, fmt.Sprint(n), Burst{})
		z.Take(0, "often", Burst{Burst: 1e9})
	}
	require.Equal(t, 100, z.Keys())
	require.Equal(t, 100, z.lru.Len())
	_, ok := z.Take(0, "often", Burst{})
	require.False(t, ok, "a key seen often must be kept")
	c, err := NewConns(2)
	require.NoError(t, err)
	for range 2 {
		require.True(t, c.Enter("a", 2))
	}
	require.True(t, c.Enter("b", 1))
	require.False(t, c.Enter("a", 2))
	require.False(t, c.Enter("c", 1), "no room for another key")
	c.Leave("a")
	require.True(t, c.Enter("a", 2))
	for range 3 {
		c.Leave("a")
		c.Leave("b")
	}
	require.Zero(t, c.Keys())
	_, err = NewRate(0, 1)
	require.Error(t, err)
	_, err = NewConns(0)
	require.Error(t, err)
}
