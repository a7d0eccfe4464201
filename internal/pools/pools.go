// Package pools knows which member of a pool a request would go to: by weights in smooth rotation, by
// hashes, by least connections, with backups, failures and bounds of connections. It does no I/O and reads
// no clock. Its rules are those that nginx documents for upstream blocks, so that imported pools mean what
// they meant; what is done with the answer is the decision module's.
package pools

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"caperrelay/internal/routes"
)

// Method is how a member is chosen.
type Method string

// The methods. None is smooth weighted round robin.
const (
	RoundRobin Method = ""
	IPHash     Method = "ip_hash"
	Hash       Method = "hash"
	Consistent Method = "consistent" // ketama: Consistent hashing, Karger et al. 1997
	LeastConn  Method = "least_conn"
	Random     Method = "random" // the less busy of two: Mitzenmacher 2001
)

// The bounds of a pool.
const (
	maxMembers      = 10_000
	maxWeight       = 65_535
	maxRingPoints   = 4_000_000 // of a consistent hash
	maxPicks        = 20        // of a hash before the rotation takes over
	pointsPerWeight = 160       // of a unit of weight
)

// Pool is one pool and what it knows of its members. It is not safe for more than one goroutine.
type Pool struct {
	Name        string
	method      Method
	members     []*Member
	totalWeight int // weight of those that are no backup
	points      []point
	rng         *rand.Rand
}

// Member is one server of it.
type Member struct {
	Address     string
	Weight      int
	Backup      bool
	Down        bool
	MaxConns    int // 0: no bound
	MaxFails    int // 0: failures do not count
	FailTimeout time.Duration

	index           int
	conns           int
	fails           int
	effectiveWeight int
	currentWeight   int
	lastFailure     time.Duration // of the last failure
	checked         time.Duration
}

type point struct {
	hash    uint32
	address string
}

// New checks and compiles a pool. seed is for the random method.
func New(p *routes.Pool, seed uint64) (*Pool, error) {
	out := &Pool{Name: p.Name, method: Method(p.Method), rng: rand.New(rand.NewPCG(seed, 1))}
	switch out.method {
	case RoundRobin, IPHash, Hash, Consistent, LeastConn, Random:
	default:
		return nil, fmt.Errorf("pool %q: no method %q", p.Name, p.Method)
	}
	if len(p.Members) == 0 || len(p.Members) > maxMembers {
		return nil, fmt.Errorf("pool %q: %d members, 1 to %d", p.Name, len(p.Members), maxMembers)
	}
	points := 0
	for i, s := range p.Members {
		m := &Member{Address: s.Address, Weight: max(1, s.Weight), Backup: s.Backup, Down: s.Down, MaxConns: s.MaxConns, MaxFails: 1, FailTimeout: 10 * time.Second, index: i}
		if _, _, err := net.SplitHostPort(s.Address); err != nil && !s.Down {
			return nil, fmt.Errorf("pool %q: member %q: %w", p.Name, s.Address, err)
		}
		if s.Weight < 0 || s.Weight > maxWeight || s.MaxConns < 0 {
			return nil, fmt.Errorf("pool %q: member %s: weight %d, max_conns %d", p.Name, s.Address, s.Weight, s.MaxConns)
		}
		if s.MaxFails != nil {
			m.MaxFails = *s.MaxFails
		}
		if s.FailTime != "" {
			var err error
			if m.FailTimeout, err = Span(s.FailTime); err != nil {
				return nil, fmt.Errorf("pool %q: member %s: %w", p.Name, s.Address, err)
			}
		}
		m.effectiveWeight = m.Weight
		out.members = append(out.members, m)
		if !m.Backup {
			out.totalWeight += m.Weight
			points += m.Weight * pointsPerWeight
		}
	}
	if out.method == Consistent {
		if points > maxRingPoints {
			return nil, fmt.Errorf("pool %q: weights of %d in all are too many for a consistent hash", p.Name, out.totalWeight)
		}
		out.buildRing()
	}
	return out, nil
}

// Span reads a time as nginx writes it: a number of seconds, or with ms, s, m, h, d.
func Span(text string) (time.Duration, error) {
	if n, err := strconv.Atoi(text); err == nil && n >= 0 && n < 1e9 {
		return time.Duration(n) * time.Second, nil
	}
	if n := len(text); n > 1 && text[n-1] == 'd' {
		if days, err := strconv.Atoi(text[:n-1]); err == nil && days >= 0 && days < 1e5 {
			return time.Duration(days) * 24 * time.Hour, nil
		}
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return d, nil
	}
	return 0, fmt.Errorf("%q is no time", text)
}

// Members is all of them.
func (p *Pool) Members() []*Member { return p.members }

// Ask is what a choice goes by.
type Ask struct {
	Key    string       // of a hash
	Remote string       // the client's address
	Tried  map[int]bool // members that this request has been at
}

// Pick chooses a member, which counts as taken until Done; false: none is eligible.
func (p *Pool) Pick(now time.Duration, a Ask) (*Member, bool) {
	var m *Member
	switch p.method {
	case IPHash:
		m = p.pickIPHash(now, a)
	case Hash:
		m = p.pickHash(now, a)
	case Consistent:
		m = p.pickConsistent(now, a)
	case LeastConn:
		m = p.pickLeastConn(now, a, false)
	case Random:
		m = p.pickRandomTwo(now, a)
	default:
		m = p.pickRoundRobin(now, a, false, nil)
	}
	if m == nil { // backups, in a rotation of their own
		if p.method == LeastConn {
			m = p.pickLeastConn(now, a, true)
		} else {
			m = p.pickRoundRobin(now, a, true, nil)
		}
	}
	if m == nil {
		return nil, false
	}
	m.conns++
	return m, true
}

// eligible tells whether a member may have a request.
func (m *Member) eligible(now time.Duration, a Ask) bool {
	return !m.Down && !a.Tried[m.index] && (m.MaxConns == 0 || m.conns < m.MaxConns) &&
		(m.MaxFails == 0 || m.fails < m.MaxFails || now-m.checked > m.FailTimeout)
}

// pickRoundRobin is smooth weighted round robin among members that only accepts.
func (p *Pool) pickRoundRobin(now time.Duration, a Ask, backup bool, only func(*Member) bool) (best *Member) {
	total := 0
	for _, m := range p.members {
		if m.Backup != backup || !m.eligible(now, a) || only != nil && !only(m) {
			continue
		}
		m.currentWeight += m.effectiveWeight
		total += m.effectiveWeight
		if m.effectiveWeight < m.Weight {
			m.effectiveWeight++
		}
		if best == nil || m.currentWeight > best.currentWeight {
			best = m
		}
	}
	if best != nil {
		best.currentWeight -= total
		best.startFailWindow(now)
	}
	return best
}

// startFailWindow begins the next time of failures.
func (m *Member) startFailWindow(now time.Duration) {
	if now-m.checked > m.FailTimeout {
		m.checked = now
	}
}

// Done says how a request to a member ended.
func (p *Pool) Done(now time.Duration, m *Member, failed bool) {
	m.conns--
	switch {
	case len(p.members) == 1: // there is no other: it is never left out
		m.fails = 0
	case failed:
		m.fails++
		m.lastFailure, m.checked = now, now
		if m.MaxFails > 0 {
			m.effectiveWeight = max(0, m.effectiveWeight-m.Weight/m.MaxFails)
		}
	case m.lastFailure < m.checked: // a trial after the time has gone well
		m.fails = 0
	}
}

// pickIPHash is ip_hash: an IPv4 client's first three octets, an IPv6 client's whole address.
func (p *Pool) pickIPHash(now time.Duration, a Ask) *Member {
	address, err := netip.ParseAddr(a.Remote)
	bytes := []byte{0, 0, 0}
	if err == nil {
		if bytes = address.Unmap().AsSlice(); len(bytes) == 4 {
			bytes = bytes[:3]
		}
	}
	hash := uint32(89)
	for range maxPicks {
		for _, b := range bytes {
			hash = (hash*113 + uint32(b)) % 6271
		}
		if m := p.memberAtWeight(int(hash) % p.totalWeight); m.eligible(now, a) {
			m.startFailWindow(now)
			return m
		}
	}
	return p.pickRoundRobin(now, a, false, nil)
}

// memberAtWeight is the member in whose part of all weights a number lies.
func (p *Pool) memberAtWeight(w int) *Member {
	for _, m := range p.members {
		if !m.Backup {
			if w -= m.Weight; w < 0 {
				return m
			}
		}
	}
	return p.members[len(p.members)-1]
}

// pickHash is hash: by CRC-32 over weights. A server that leaves moves most keys.
func (p *Pool) pickHash(now time.Duration, a Ask) *Member {
	hash := uint32(0)
	for n := range maxPicks {
		text := a.Key
		if n > 0 {
			text = strconv.Itoa(n) + a.Key
		}
		hash += crc32.ChecksumIEEE([]byte(text)) >> 16 & 0x7fff
		if m := p.memberAtWeight(int(hash) % p.totalWeight); m.eligible(now, a) {
			m.startFailWindow(now)
			return m
		}
	}
	return p.pickRoundRobin(now, a, false, nil)
}

// buildRing lays out the points of a consistent hash, as ketama libraries do.
func (p *Pool) buildRing() {
	for _, m := range p.members {
		if m.Backup {
			continue
		}
		host, port, err := net.SplitHostPort(m.Address)
		if err != nil {
			host, port = m.Address, ""
		}
		base := crc32.ChecksumIEEE([]byte(host + "\x00" + port))
		var before [4]byte
		for range m.Weight * pointsPerWeight {
			hash := crc32.Update(base, crc32.IEEETable, before[:])
			p.points = append(p.points, point{hash, m.Address})
			binary.LittleEndian.PutUint32(before[:], hash)
		}
	}
	slices.SortStableFunc(p.points, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	p.points = slices.CompactFunc(p.points, func(a, b point) bool { return a.hash == b.hash })
}

// pickConsistent is the member at the first point from the key's on that is eligible.
func (p *Pool) pickConsistent(now time.Duration, a Ask) *Member {
	hash := crc32.ChecksumIEEE([]byte(a.Key))
	i, _ := slices.BinarySearchFunc(p.points, hash, func(x point, h uint32) int {
		switch {
		case x.hash < h:
			return -1
		case x.hash > h:
			return 1
		}
		return 0
	})
	for n := range maxPicks {
		at := p.points[(i+n)%len(p.points)].address
		if m := p.pickRoundRobin(now, a, false, func(m *Member) bool { return m.Address == at }); m != nil {
			return m
		}
	}
	return p.pickRoundRobin(now, a, false, nil)
}

// pickLeastConn is the member with the least connections for its weight; of equals, the rotation's.
func (p *Pool) pickLeastConn(now time.Duration, a Ask, backup bool) *Member {
	var best *Member
	for _, m := range p.members {
		if m.Backup == backup && m.eligible(now, a) && (best == nil || m.conns*best.Weight < best.conns*m.Weight) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	conns, weight := best.conns, best.Weight // best moves with the rotation
	return p.pickRoundRobin(now, a, backup, func(m *Member) bool { return m.conns*weight == conns*m.Weight })
}

// pickRandomTwo draws two by their weights, and takes the less busy.
func (p *Pool) pickRandomTwo(now time.Duration, a Ask) *Member {
	var first *Member
	for range maxPicks {
		m := p.memberAtWeight(p.rng.IntN(p.totalWeight))
		if !m.eligible(now, a) || m == first {
			continue
		}
		if first == nil {
			first = m
			continue
		}
		if m.conns*first.Weight < first.conns*m.Weight {
			first = m
		}
		first.startFailWindow(now)
		return first
	}
	if first != nil {
		first.startFailWindow(now)
		return first
	}
	return p.pickRoundRobin(now, a, false, nil)
}
