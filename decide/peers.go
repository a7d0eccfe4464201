package decide

import (
	"encoding/binary"
	"math"
	"time"
)

// The text of a message between dispatchers: a byte that tells whether it is
// whole, then a worker's ID and this dispatcher's slots and memory there and
// what others were last reported to hold there, in eighths.
const (
	loadBytes     = 7
	maxLoadsBytes = 256 - loadBytes
	unknownLoad   = 255 // where no report came
)

type peerLoad struct {
	worker     uint32
	load       [2]uint8
	othersLoad uint8
}

func newLoads(whole bool) []byte {
	if whole {
		return []byte{1}
	}
	return []byte{0}
}

func appendLoad(body []byte, worker uint32, load [2]uint8, rest uint8) []byte {
	return append(binary.BigEndian.AppendUint32(body, worker), load[0], load[1], rest)
}

func parseLoads(body []byte) (whole bool, loads []peerLoad, ok bool) {
	if len(body) < 1 || (len(body)-1)%loadBytes != 0 {
		return false, nil, false
	}
	for b := body[1:]; len(b) > 0; b = b[loadBytes:] {
		loads = append(loads, peerLoad{binary.BigEndian.Uint32(b), [2]uint8{b[4], b[5]}, b[6]})
	}
	return body[0] == 1, loads, true
}

func (d *Dispatcher) peerMessage(e PeerSaid) {
	whole, loads, ok := parseLoads(e.Body)
	if !ok {
		return
	}
	p := d.peers[e.Peer]
	if p == nil {
		p = &peer{load: map[uint32][2]uint8{}}
		d.peers[e.Peer] = p
	}
	p.lastMessage, d.mayHaveRoom = d.now, true
	if whole {
		d.forgetPeer(p)
	}
	for _, l := range loads {
		d.peerSum(l.worker).replace(p.load[l.worker], l.load)
		p.load[l.worker] = l.load
		if w := d.workers[l.worker]; w != nil && l.othersLoad != unknownLoad {
			w.foreignSlots, w.foreignAt = float64(l.othersLoad)/8, d.now
		}
	}
}

// forgetPeer takes back what a peer has told.
func (d *Dispatcher) forgetPeer(p *peer) {
	for id, l := range p.load {
		d.peerSum(id).replace(l, [2]uint8{})
	}
	clear(p.load)
}

// peerSum is the sum of what the peers have told of a worker.
func (d *Dispatcher) peerSum(id uint32) *loadSum {
	if d.peerSums[id] == nil {
		d.peerSums[id] = &loadSum{}
	}
	return d.peerSums[id]
}

// loadMessage is this dispatcher's load where it has changed, or all of it, as far as it fits.
func (d *Dispatcher) loadMessage(whole bool) []byte {
	d.loadChanged = false
	body := newLoads(whole)
	for _, w := range d.fleet {
		if whole { // a whole message clears what the peers hold; what does not fit follows in the next
			d.fullLoadSentAt, w.sentLoad = d.now, [2]uint8{}
		}
		load := [2]uint8{uint8(min(8*w.ownSlots, 255)), uint8(min(math.Ceil(8*w.ownMemory), 255))}
		if load == w.sentLoad {
			continue
		}
		rest := uint8(unknownLoad)
		if w.foreignUnsent {
			rest = uint8(min(math.Round(8*w.foreignSlots), unknownLoad-1))
		}
		if len(body) > maxLoadsBytes {
			d.loadChanged = true
			break
		}
		w.sentLoad, w.foreignUnsent = load, false
		body = appendLoad(body, w.ID, load, rest)
	}
	return body
}

func (d *Dispatcher) peerInterval() time.Duration { return d.settings.Rules.MustAskIn / 2 }

// peerGroup is the number of the group of dispatchers that tell each other of their load and so
// can share one order of workers: with hundreds, telling all would cost more than the jobs.
func (d *Dispatcher) peerGroup() int {
	if d.sharesLoad() {
		return d.settings.Dispatcher % d.peerGroups()
	}
	return d.settings.Dispatcher
}

func (d *Dispatcher) peerGroups() int {
	return (d.settings.Dispatchers + peerGroupSize - 1) / peerGroupSize
}
