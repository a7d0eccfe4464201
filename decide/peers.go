package decide

import (
	"encoding/binary"
	"math"
	"time"
)

// A load message between dispatchers is a byte that is 1 if the message replaces all that the peers know of this
// dispatcher's load, then an entry for each worker: its ID, this dispatcher's slots and memory there, and the slots
// used there by others as of the last report, each in eighths.
const (
	loadBytes     = 7               // size of an entry
	maxLoadsBytes = 256 - loadBytes // no entry is added to a longer message
	unknownLoad   = 255             // others' load, where there was no report
)

// peerLoad is a worker's entry in a load message.
type peerLoad struct {
	worker     uint32
	load       [2]uint8
	othersLoad uint8
}

// newLoads returns a load message without entries; whole: it replaces all earlier ones.
func newLoads(whole bool) []byte {
	if whole {
		return []byte{1}
	}
	return []byte{0}
}

// appendLoad appends an entry to a load message.
func appendLoad(body []byte, worker uint32, load [2]uint8, othersLoad uint8) []byte {
	return append(binary.BigEndian.AppendUint32(body, worker), load[0], load[1], othersLoad)
}

// parseLoads parses a load message; whole: it replaces all earlier ones; ok is false if it is malformed.
func parseLoads(body []byte) (whole bool, loads []peerLoad, ok bool) {
	if len(body) < 1 || (len(body)-1)%loadBytes != 0 {
		return false, nil, false
	}
	for b := body[1:]; len(b) > 0; b = b[loadBytes:] {
		loads = append(loads, peerLoad{binary.BigEndian.Uint32(b), [2]uint8{b[4], b[5]}, b[6]})
	}
	return body[0] == 1, loads, true
}

// peerMessage applies a peer's load message.
func (d *Dispatcher) peerMessage(e PeerMessage) {
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

// forgetPeer removes the load that a peer has reported.
func (d *Dispatcher) forgetPeer(p *peer) {
	for id, l := range p.load {
		d.peerSum(id).replace(l, [2]uint8{})
	}
	clear(p.load)
}

// peerSum returns the load at a worker that the peers report, all together.
func (d *Dispatcher) peerSum(id uint32) *loadSum {
	if d.peerSums[id] == nil {
		d.peerSums[id] = &loadSum{}
	}
	return d.peerSums[id]
}

// loadMessage returns a message with this dispatcher's load where it has changed, or all of it, as far as it
// fits.
func (d *Dispatcher) loadMessage(whole bool) []byte {
	d.loadChanged = false
	body := newLoads(whole)
	for _, w := range d.fleet {
		if whole { // a whole message replaces the load that the peers have; what does not fit follows in the next
			d.fullLoadSentAt, w.sentLoad = d.now, [2]uint8{}
		}
		load := [2]uint8{uint8(min(8*w.ownSlots, 255)), uint8(min(math.Ceil(8*w.ownMemory), 255))}
		if load == w.sentLoad {
			continue
		}
		othersLoad := uint8(unknownLoad)
		if w.foreignUnsent {
			othersLoad = uint8(min(math.Round(8*w.foreignSlots), unknownLoad-1))
		}
		if len(body) > maxLoadsBytes {
			d.loadChanged = true
			break
		}
		w.sentLoad, w.foreignUnsent = load, false
		body = appendLoad(body, w.ID, load, othersLoad)
	}
	return body
}

// peerInterval returns the time between two messages that replace the earlier ones; a peer that is silent for three of
// them is forgotten.
func (d *Dispatcher) peerInterval() time.Duration { return d.settings.Rules.SubscribeWithin / 2 }

// peerGroup returns the number of the group of dispatchers that report their load to each other and so can
// share one order of workers. With hundreds of dispatchers, messages to all would cost more than the jobs.
func (d *Dispatcher) peerGroup() int {
	if d.sharesLoad() {
		return d.settings.DispatcherIndex % d.peerGroups()
	}
	return d.settings.DispatcherIndex
}

// peerGroups returns the number of those groups.
func (d *Dispatcher) peerGroups() int {
	return (d.settings.DispatcherCount + peerGroupSize - 1) / peerGroupSize
}
