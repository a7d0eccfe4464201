// Package pools selects the member of a pool that a request goes to: by smooth weighted round robin, by hashes or
// by least connections, with backups, failure counting and connection limits. It does no I/O and reads no clock.
// Its rules are those that nginx documents for upstream blocks, so that imported pools behave as they did there;
// the decision module uses the result.
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

// Method is the load balancing method of a pool.
type Method string

// The methods. The empty one is smooth weighted round robin.
const (
	RoundRobin Method = ""
	IPHash     Method = "ip_hash"
	Hash       Method = "hash"
	Consistent Method = "consistent" // as in ketama: consistent hashing, Karger et al. 1997
	LeastConn  Method = "least_conn"
	Random     Method = "random" // the less loaded of two: Mitzenmacher 2001
)

// The limits of a pool.
const (
	maxMembers      = 10_000
	maxWeight       = 65_535
	maxRingPoints   = 4_000_000 // on the ring of a consistent hash
	maxPicks        = 20        // attempts of a method before round robin is used instead
	pointsPerWeight = 160       // points on the ring per unit of weight
)

// Pool is a pool with the state of its members. It must not be used by several goroutines at once.
type Pool struct {
	Name        string
	method      Method
	members     []*Member
	totalWeight int // of the members that are not backups
	points      []point
	rng         *rand.Rand
}

// Member is one member of a pool: a server and its settings.
type Member struct {
	Address     string
	Weight      int
	Backup      bool
	Down        bool
	MaxConns    int // 0: no limit
	MaxFails    int // 0: failures are not counted
	FailTimeout time.Duration

	index           int
	conns           int
	fails           int
	effectiveWeight int
	currentWeight   int
	lastFailure     time.Duration
	failWindowStart time.Duration
}

type point struct {
	hash    uint32
	address string
}

// New validates and compiles a pool. seed is used by the random method.
func New(p *routes.Pool, seed uint64) (*Pool, error) {
	out := &Pool{Name: p.Name, method: Method(p.Method), rng: rand.New(rand.NewPCG(seed, 1))}
	switch out.method {
	case RoundRobin, IPHash, Hash, Consistent, LeastConn, Random:
	default:
		return nil, fmt.Errorf("pool %q: unknown method %q", p.Name, p.Method)
	}
	if len(p.Members) == 0 || len(p.Members) > maxMembers {
		return nil, fmt.Errorf("pool %q: %d members, must be 1 to %d", p.Name, len(p.Members), maxMembers)
	}
	points := 0
	for i, s := range p.Members {
		m := &Member{Address: s.Address, Weight: max(1, s.Weight), Backup: s.Backup, Down: s.Down, MaxConns: s.MaxConns, MaxFails: 1, FailTimeout: 10 * time.Second, index: i}
		if _, _, err := net.SplitHostPort(s.Address); err != nil && !s.Down {
			return nil, fmt.Errorf("pool %q: member %q: %w", p.Name, s.Address, err)
		}
		if s.Weight < 0 || s.Weight > maxWeight || s.MaxConns < 0 {
			return nil, fmt.Errorf("pool %q: member %s: invalid weight %d or max_conns %d", p.Name, s.Address, s.Weight, s.MaxConns)
		}
		if s.MaxFails != nil {
			m.MaxFails = *s.MaxFails
		}
		if s.FailTimeout != "" {
			var err error
			if m.FailTimeout, err = ParseDuration(s.FailTimeout); err != nil {
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
			return nil, fmt.Errorf("pool %q: the total weight of %d is too large for a consistent hash", p.Name, out.totalWeight)
		}
		out.buildRing()
	}
	return out, nil
}

// ParseDuration parses a time in the notation of nginx: a number of seconds, or a number with ms, s, m, h or d.
func ParseDuration(text string) (time.Duration, error) {
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
	return 0, fmt.Errorf("invalid duration %q", text)
}

// Members returns all members.
func (p *Pool) Members() []*Member { return p.members }

// Criteria holds what a selection depends on.
type Criteria struct {
	Key    string       // the hash key
	Remote string       // the client's address
	Tried  map[int]bool // indexes of the members that this request has already been sent to
}

// Pick selects a member and counts a connection to it until Done; false: none is eligible.
func (p *Pool) Pick(now time.Duration, criteria Criteria) (*Member, bool) {
	var m *Member
	if p.totalWeight > 0 { // otherwise all members are backups
		m = p.pickPrimary(now, criteria)
	}
	if m == nil { // the backups have their own round robin
		if p.method == LeastConn {
			m = p.pickLeastConn(now, criteria, true)
		} else {
			m = p.pickRoundRobin(now, criteria, true, nil)
		}
	}
	if m == nil {
		return nil, false
	}
	m.conns++
	return m, true
}

// pickPrimary selects a member that is not a backup, by the pool's method. There must be one, eligible or not.
func (p *Pool) pickPrimary(now time.Duration, criteria Criteria) *Member {
	switch p.method {
	case IPHash:
		return p.pickIPHash(now, criteria)
	case Hash:
		return p.pickHash(now, criteria)
	case Consistent:
		return p.pickConsistent(now, criteria)
	case LeastConn:
		return p.pickLeastConn(now, criteria, false)
	case Random:
		return p.pickRandomTwo(now, criteria)
	}
	return p.pickRoundRobin(now, criteria, false, nil)
}

// eligible reports whether a request may be sent to the member.
func (m *Member) eligible(now time.Duration, criteria Criteria) bool {
	return !m.Down && !criteria.Tried[m.index] && (m.MaxConns == 0 || m.conns < m.MaxConns) &&
		(m.MaxFails == 0 || m.fails < m.MaxFails || now-m.failWindowStart > m.FailTimeout)
}

// pickRoundRobin selects by smooth weighted round robin among the members that accept allows.
func (p *Pool) pickRoundRobin(now time.Duration, criteria Criteria, backup bool, accept func(*Member) bool) (best *Member) {
	total := 0
	for _, m := range p.members {
		if m.Backup != backup || !m.eligible(now, criteria) || accept != nil && !accept(m) {
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

// startFailWindow starts a new period for counting failures if the last one is over.
func (m *Member) startFailWindow(now time.Duration) {
	if now-m.failWindowStart > m.FailTimeout {
		m.failWindowStart = now
	}
}

// Done reports how a request to a member ended.
func (p *Pool) Done(now time.Duration, m *Member, failed bool) {
	m.conns--
	switch {
	case len(p.members) == 1: // a single member is never excluded
		m.fails = 0
	case failed:
		m.fails++
		m.lastFailure, m.failWindowStart = now, now
		if m.MaxFails > 0 {
			m.effectiveWeight = max(0, m.effectiveWeight-m.Weight/m.MaxFails)
		}
	case m.lastFailure < m.failWindowStart: // a trial after fail_timeout succeeded
		m.fails = 0
	}
}

// pickIPHash is ip_hash: it hashes the first three octets of an IPv4 address, or a whole IPv6 address.
func (p *Pool) pickIPHash(now time.Duration, criteria Criteria) *Member {
	address, err := netip.ParseAddr(criteria.Remote)
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
		if m := p.memberAtWeight(int(hash) % p.totalWeight); m.eligible(now, criteria) {
			m.startFailWindow(now)
			return m
		}
	}
	return p.pickRoundRobin(now, criteria, false, nil)
}

// memberAtWeight returns the member at an offset in the sum of the weights of the members that are not backups.
func (p *Pool) memberAtWeight(offset int) *Member {
	for _, m := range p.members {
		if !m.Backup {
			if offset -= m.Weight; offset < 0 {
				return m
			}
		}
	}
	return p.members[len(p.members)-1]
}

// pickHash is hash without consistent: CRC-32 of the key, modulo the total weight. Most keys move when a member is
// removed.
func (p *Pool) pickHash(now time.Duration, criteria Criteria) *Member {
	hash := uint32(0)
	for n := range maxPicks {
		text := criteria.Key
		if n > 0 {
			text = strconv.Itoa(n) + criteria.Key
		}
		hash += crc32.ChecksumIEEE([]byte(text)) >> 16 & 0x7fff
		if m := p.memberAtWeight(int(hash) % p.totalWeight); m.eligible(now, criteria) {
			m.startFailWindow(now)
			return m
		}
	}
	return p.pickRoundRobin(now, criteria, false, nil)
}

// buildRing computes the points of a consistent hash in the same way as the ketama libraries.
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
		var previous [4]byte
		for range m.Weight * pointsPerWeight {
			hash := crc32.Update(base, crc32.IEEETable, previous[:])
			p.points = append(p.points, point{hash, m.Address})
			binary.LittleEndian.PutUint32(previous[:], hash)
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

// pickConsistent selects the first eligible member among the maxPicks points of the ring that start at the
// key's hash; if none is eligible, it falls back to round robin.
func (p *Pool) pickConsistent(now time.Duration, criteria Criteria) *Member {
	hash := crc32.ChecksumIEEE([]byte(criteria.Key))
	start, _ := slices.BinarySearchFunc(p.points, hash, func(x point, h uint32) int {
		switch {
		case x.hash < h:
			return -1
		case x.hash > h:
			return 1
		}
		return 0
	})
	for n := range maxPicks {
		address := p.points[(start+n)%len(p.points)].address
		if m := p.pickRoundRobin(now, criteria, false, func(m *Member) bool { return m.Address == address }); m != nil {
			return m
		}
	}
	return p.pickRoundRobin(now, criteria, false, nil)
}

// pickLeastConn selects the member with the fewest connections per weight; round robin among equals.
func (p *Pool) pickLeastConn(now time.Duration, criteria Criteria, backup bool) *Member {
	var best *Member
	for _, m := range p.members {
		if m.Backup == backup && m.eligible(now, criteria) && (best == nil || m.conns*best.Weight < best.conns*m.Weight) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	conns, weight := best.conns, best.Weight // fixed before round robin updates best
	return p.pickRoundRobin(now, criteria, backup, func(m *Member) bool { return m.conns*weight == conns*m.Weight })
}

// pickRandomTwo draws two members by weight and selects the less loaded one.
func (p *Pool) pickRandomTwo(now time.Duration, criteria Criteria) *Member {
	var first *Member
	for range maxPicks {
		m := p.memberAtWeight(p.rng.IntN(p.totalWeight))
		if !m.eligible(now, criteria) || m == first {
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
	return p.pickRoundRobin(now, criteria, false, nil)
}
