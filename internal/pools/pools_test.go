package pools

import (
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/routes"
	"caperrelay/internal/standin/nginxmeaning"
)

func newPool(t testing.TB, method, key string, members ...routes.Member) *Pool {
	p, err := New(&routes.Pool{Name: "p", Method: method, Key: key, Members: members}, 1)
	require.NoError(t, err)
	return p
}

func member(n int, weight int) routes.Member {
	return routes.Member{Address: fmt.Sprintf("127.0.0.1:%d", n), Weight: weight}
}

// pickPort returns the port of the next member selected; its request ends at once.
func pickPort(p *Pool, now time.Duration, a Criteria, failed bool) string {
	m, ok := p.Pick(now, a)
	if !ok {
		return ""
	}
	p.Done(now, m, failed)
	return m.Address[strings.LastIndexByte(m.Address, ':')+1:]
}

// The documented example of smooth weighted round robin: weights 5, 1 and 1.
func TestSmoothRoundRobin(t *testing.T) {
	p := newPool(t, "", "", member(1, 5), member(2, 1), member(3, 1))
	got := ""
	for range 14 {
		got += pickPort(p, 0, Criteria{}, false)
	}
	require.Equal(t, "11213111121311", got)
}

// Shares follow the weights to within 2% over 10,000 requests, with weights of an uneven sum; max_conns is kept,
// and backups get nothing while a member that is no backup is eligible.
func TestWeightSharesAndBackups(t *testing.T) {
	backup := member(9, 100)
	backup.Backup = true
	p := newPool(t, "", "", member(1, 7), member(2, 3), member(3, 3), member(4, 1), backup)
	requests := map[string]int{}
	for range 10_000 {
		requests[pickPort(p, 0, Criteria{}, false)]++
	}
	for address, weight := range map[string]int{"1": 7, "2": 3, "3": 3, "4": 1} {
		require.InDelta(t, float64(weight)/14, float64(requests[address])/10_000, 0.02)
	}
	require.Zero(t, requests["9"])

	limited := member(1, 5)
	limited.MaxConns = 2
	p = newPool(t, "", "", limited, member(2, 1), backup)
	var selected []*Member
	for range 7 {
		m, ok := p.Pick(0, Criteria{})
		require.True(t, ok)
		require.NotEqual(t, "127.0.0.1:9", m.Address)
		selected = append(selected, m)
	}
	n := 0
	for _, m := range selected {
		if m.Address == "127.0.0.1:1" {
			n++
		}
	}
	require.Equal(t, 2, n, "max_conns exceeded")
}

// A member that is no backup and fails max_fails times within fail_timeout gets no requests until fail_timeout has
// passed; while all such members are excluded the backup serves; a successful trial readmits one.
func TestFailuresAndRecovery(t *testing.T) {
	lenient, backup := member(1, 5), member(9, 1)
	maxFails := 2
	lenient.MaxFails, lenient.FailTimeout, backup.Backup = &maxFails, "5s", true
	p := newPool(t, "", "", lenient, member(2, 1), backup)
	now := time.Minute
	for _, m := range p.members[:2] {
		for m.eligible(now, Criteria{}) {
			m.conns++
			p.Done(now, m, true)
		}
	}
	for range 20 {
		require.Equal(t, "9", pickPort(p, now, Criteria{}, false))
	}
	now += 5*time.Second + 1
	require.Equal(t, "1", pickPort(p, now, Criteria{}, true), "one trial after fail_timeout")
	require.Equal(t, "9", pickPort(p, now, Criteria{}, false), "excluded again after the failed trial")
	now += 5*time.Second + 1
	requests := map[string]int{}
	for range 600 {
		requests[pickPort(p, now, Criteria{}, false)]++
		now += time.Millisecond
	}
	require.Zero(t, requests["9"])
	require.InDelta(t, 500, requests["1"], 30, "its weight recovers step by step: %v", requests)
	require.Equal(t, "", pickPort(newPool(t, "", "", routes.Member{Address: "a:1", Down: true}), 0, Criteria{}, false))
	require.Equal(t, "2", pickPort(p, now, Criteria{Tried: map[int]bool{0: true}}, false), "a member that was tried is not selected again")
}

// The consistent hash selects the oracle's server for every key; when a server is removed, only its keys move.
func TestConsistentHash(t *testing.T) {
	addresses, weights := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:8080", "10.0.0.4:80"}, []int{1, 2, 1, 3}
	var members []routes.Member
	for i, a := range addresses {
		members = append(members, routes.Member{Address: a, Weight: weights[i]})
	}
	p := newPool(t, "consistent", "$request_uri", members...)
	reduced := append([]routes.Member{}, members...)
	reduced[1].Down = true
	reducedPool := newPool(t, "consistent", "$request_uri", reduced...)
	moved, keysOf := 0, map[string]int{}
	for n := range 3000 {
		key := "/lecture/" + strconv.Itoa(n)
		m, _ := p.Pick(0, Criteria{Key: key})
		require.Equal(t, nginxmeaning.Ring(addresses, weights, key), m.Address)
		keysOf[m.Address]++
		remaining, ok := reducedPool.Pick(0, Criteria{Key: key})
		require.True(t, ok)
		require.NotEqual(t, "10.0.0.2:80", remaining.Address)
		if remaining.Address != m.Address {
			require.Equal(t, "10.0.0.2:80", m.Address, "a key of a remaining server moved")
			moved++
		}
	}
	require.Equal(t, keysOf["10.0.0.2:80"], moved)
	require.InDelta(t, 3.0/7, float64(keysOf["10.0.0.4:80"])/3000, 0.08)
}

// ip_hash uses the first three octets of an IPv4 address, and the same server serves a client while it is there.
func TestIPHash(t *testing.T) {
	p := newPool(t, "ip_hash", "", member(1, 1), member(2, 2), member(3, 1))
	oracle := func(octets [3]byte) string {
		h := 89
		for _, o := range octets {
			h = (h*113 + int(o)) % 6271
		}
		return []string{"1", "2", "2", "3"}[h%4]
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		o := [3]byte{byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))}
		want := oracle(o)
		for range 2 {
			got := pickPort(p, 0, Criteria{Remote: fmt.Sprintf("%d.%d.%d.%d", o[0], o[1], o[2], r.IntN(256))}, false)
			require.Equal(t, want, got)
		}
	}
	require.NotEmpty(t, pickPort(p, 0, Criteria{Remote: "no address"}, false))
	require.NotEmpty(t, pickPort(p, 0, Criteria{Remote: "2001:db8::1"}, false))
}

// hash selects the server whose share of the weights contains the CRC-32 of the key.
func TestHash(t *testing.T) {
	p := newPool(t, "hash", "$arg_k", member(1, 3), member(2, 1))
	share := 0
	for n := range 4000 {
		key := fmt.Sprint("k", n)
		want := "2"
		if (crc32.ChecksumIEEE([]byte(key))>>16&0x7fff)%4 < 3 {
			want = "1"
			share++
		}
		require.Equal(t, want, pickPort(p, 0, Criteria{Key: key}, false))
	}
	require.InDelta(t, 0.75, float64(share)/4000, 0.03)
}

// least_conn selects the least loaded member per weight; random selects the less loaded of two.
func TestLeastConnAndRandom(t *testing.T) {
	p := newPool(t, "least_conn", "", member(1, 2), member(2, 1))
	for range 30 {
		_, ok := p.Pick(0, Criteria{})
		require.True(t, ok)
	}
	require.Equal(t, []int{20, 10}, []int{p.members[0].conns, p.members[1].conns})
	p = newPool(t, "random", "", member(1, 1), member(2, 1), member(3, 1), member(4, 1))
	for range 4000 {
		_, ok := p.Pick(0, Criteria{})
		require.True(t, ok)
	}
	for _, m := range p.members {
		require.Less(t, math.Abs(float64(m.conns)-1000), 20.0, "two choices keep the load even")
	}
}

// Invalid pools are rejected, and durations are parsed as nginx does.
func TestInvalidPoolsAndDurations(t *testing.T) {
	for want, p := range map[string]routes.Pool{
		"unknown method \"best\"": {Method: "best", Members: []routes.Member{member(1, 1)}},
		"0 members, must be":      {},
		"missing port":            {Members: []routes.Member{{Address: "a"}}},
		"invalid weight":          {Members: []routes.Member{member(1, 70_000)}},
		"invalid duration":        {Members: []routes.Member{{Address: "a:1", FailTimeout: "soon"}}},
	} {
		_, err := New(&p, 1)
		require.ErrorContains(t, err, want)
	}
	for text, want := range map[string]time.Duration{"10": 10 * time.Second, "500ms": 500 * time.Millisecond, "2m": 2 * time.Minute, "1d": 24 * time.Hour} {
		d, err := ParseDuration(text)
		require.NoError(t, err)
		require.Equal(t, want, d)
	}
}

// Guards against a pool whose members are all backups ending the process: it is served by them, whatever its method.
func TestPoolOfBackups(t *testing.T) {
	for _, method := range []Method{"", IPHash, Hash, Consistent, LeastConn, Random} {
		backup := member(1, 1)
		backup.Backup = true
		p := newPool(t, string(method), "$uri", backup)
		for key := range 20 {
			m, ok := p.Pick(0, Criteria{Key: string(rune('a' + key)), Remote: "10.0.0.1"})
			require.True(t, ok, method)
			p.Done(0, m, false)
		}
	}
}
