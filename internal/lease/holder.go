package lease

import "time"

// HeldLease is a lease that a sender holds.
type HeldLease struct {
	Granter  int
	Epoch    uint64 // of the granter's process
	ID       uint64
	Instance string
	Process  int64
	Work     float64
	Until    time.Duration // by the sender's clock
}

// Holder is the sender's side: it selects the granter to ask and tracks how long a granted lease is valid. It is
// not safe for concurrent use.
type Holder struct {
	now      time.Duration
	seq      uint64
	granters []granter
	next     int
	pending  map[uint64]pendingRequest
}

type granter struct {
	up      bool
	epoch   uint64
	retryAt map[string]time.Duration // by instance: earliest time of the next request
}

type pendingRequest struct {
	granter int
	at      time.Duration
	request Request
}

// answerTimeout is how long a grant is waited for; a lease granted later has expired anyway.
const answerTimeout = time.Second

// maxPending bounds the outstanding requests.
const maxPending = 256

// NewHolder returns a holder for this number of granters, none of which is up.
func NewHolder(granters int) *Holder {
	h := &Holder{granters: make([]granter, granters), pending: map[uint64]pendingRequest{}}
	for i := range h.granters {
		h.granters[i].retryAt = map[string]time.Duration{}
	}
	return h
}

// Up reports that a granter can be asked, and the epoch of its process.
func (h *Holder) Up(k int, epoch uint64) {
	h.Down(k)
	h.granters[k].up, h.granters[k].epoch = true, epoch
}

// Down reports that a granter cannot be asked. The leases it granted remain valid until they expire.
func (h *Holder) Down(k int) {
	h.granters[k].up = false
	clear(h.granters[k].retryAt)
	for seq, a := range h.pending {
		if a.granter == k {
			delete(h.pending, seq)
		}
	}
}

func (h *Holder) advance(now time.Duration) { h.now = max(h.now, now) }

// Ask returns the granter to send a request to, and the request. It returns false if there is none to ask now.
func (h *Holder) Ask(now time.Duration, instance string, process int64, work float64) (k int, w Request, ok bool) {
	h.advance(now)
	for seq, a := range h.pending {
		if h.now-a.at >= answerTimeout {
			delete(h.pending, seq)
		}
	}
	if len(h.pending) >= maxPending {
		return 0, Request{}, false
	}
	for range h.granters {
		k = h.next
		h.next = (h.next + 1) % len(h.granters)
		if g := &h.granters[k]; g.up && g.retryAt[instance] <= h.now {
			h.seq++
			w = Request{Seq: h.seq, Instance: instance, Process: process, Work: work}
			h.pending[h.seq] = pendingRequest{k, h.now, w}
			return k, w, true
		}
	}
	return 0, Request{}, false
}

// Granted processes a granter's answer. It returns false if the answer contains no usable lease.
func (h *Holder) Granted(now time.Duration, k int, epoch uint64, g Grant) (HeldLease, bool) {
	h.advance(now)
	a, ok := h.pending[g.Seq]
	if !ok || a.granter != k || h.granters[k].epoch != epoch {
		return HeldLease{}, false
	}
	delete(h.pending, g.Seq)
	if g.ID == 0 {
		if retryAt := h.granters[k].retryAt; len(retryAt) < maxLeases {
			retryAt[a.request.Instance] = h.now + min(g.RetryAfter, 2*time.Second)
		}
		return HeldLease{}, false
	}
	held := HeldLease{Granter: k, Epoch: epoch, ID: g.ID, Instance: a.request.Instance, Process: a.request.Process, Work: a.request.Work, Until: a.at + g.Valid}
	return held, held.Until > h.now
}
