// Package wire translates between the simulator's binary frames and the plain
// types of package decide.
package wire

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
	"time"

	"caperrelay/decide"
)

const (
	headerSize = 20
	eventSize  = 40
	actionSize = 16
	entrySize  = 23
	maxFrame   = 1 << 30
)

// Event codes, by the simulator's names.
const (
	evHello, evDirectoryUpdate, evJobIn, evStarted, evReportBack, evLapsed = 16, 17, 18, 19, 20, 21
	evFired, evProbed, evNeighbour, evStop, evDirectory, evStatusNote      = 22, 23, 24, 25, 26, 27
)

// Action codes, by the simulator's names.
const (
	acRelay, acBusy, acRespondError, acCallOff, acNotifyMe, acInspect = 16, 17, 18, 19, 20, 21
	acRelease, acMemoTo, acWriteLog, acTail                           = 22, 23, 24, 26
)

const allPeers = math.MaxUint16

// Hello starts a simulated dispatcher instance.
type Hello struct{ Settings decide.Settings }

// Stop kills a simulated dispatcher instance.
type Stop struct{}

// Item is one message of a batch to an instance: a [Hello], a [Stop] or a
// decide.Event.
type Item struct {
	Instance int
	Message  any
}

// Batch is one frame from the simulator.
type Batch struct {
	Now    time.Duration
	Number uint32
	Items  []Item
}

// Reply holds the actions of one instance.
type Reply struct {
	Instance int
	Actions  []decide.Action
}

// Decoder reads batches. It keeps the worker lists that it was sent, by number, and
// the load report layout from the settings of each instance.
type Decoder struct {
	r           io.Reader
	workerLists map[uint8][]decide.Worker
	layouts     map[int][]string
}

// NewDecoder returns a decoder that reads batches from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, workerLists: map[uint8][]decide.Worker{}, layouts: map[int][]string{}}
}

// Next returns the next batch, or io.EOF at a clean end of input.
func (d *Decoder) Next() (*Batch, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header: %w", err)
	}
	size := int64(binary.BigEndian.Uint32(head[0:]))
	count := int64(binary.BigEndian.Uint32(head[4:]))
	rest := size - (headerSize - 4)
	if rest < 0 || rest > maxFrame || count*eventSize > rest {
		return nil, fmt.Errorf("frame of %d bytes cannot hold %d records", size, count)
	}
	body, err := io.ReadAll(io.LimitReader(d.r, rest))
	if err != nil {
		return nil, fmt.Errorf("frame body: %w", err)
	}
	if int64(len(body)) != rest {
		return nil, fmt.Errorf("frame body: %d bytes of %d: %w", len(body), rest, io.ErrUnexpectedEOF)
	}
	b := &Batch{
		Now:    time.Duration(binary.BigEndian.Uint64(head[8:])) * time.Microsecond,
		Number: binary.BigEndian.Uint32(head[16:]),
		Items:  make([]Item, 0, count),
	}
	tail := body[count*eventSize:]
	for i := range int(count) {
		it, err := d.decodeRecord(body[i*eventSize:(i+1)*eventSize], tail)
		if err != nil {
			return nil, fmt.Errorf("batch %d record %d: %w", b.Number, i, err)
		}
		if it.Message != nil {
			b.Items = append(b.Items, it)
		}
	}
	return b, nil
}

// record is a record with fields at fixed offsets.
type record []byte

func (r record) u16(at int) int           { return int(binary.BigEndian.Uint16(r[at:])) }
func (r record) u32(at int) uint32        { return binary.BigEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64        { return binary.BigEndian.Uint64(r[at:]) }
func (r record) f32(at int) float64       { return float64(math.Float32frombits(r.u32(at))) }
func (r record) us(at int) time.Duration  { return time.Duration(r.u32(at)) * time.Microsecond }
func (r record) us8(at int) time.Duration { return time.Duration(r.u64(at)) * time.Microsecond }

// span returns the part of the tail whose offset and count, in units, are stored at an offset of the record.
func (r record) span(at, unit int, tail []byte) ([]byte, error) {
	from, n := uint64(r.u32(at)), uint64(r.u32(at+4))
	if from+n*uint64(unit) > uint64(len(tail)) {
		return nil, fmt.Errorf("tail of %d bytes has no %d x %d bytes at %d", len(tail), n, unit, from)
	}
	return tail[from : from+n*uint64(unit)], nil
}

func (d *Decoder) decodeRecord(b record, tail []byte) (Item, error) {
	it := Item{Instance: b.u16(1)}
	var err error
	switch code := b[0]; code {
	case evHello:
		var text []byte
		if text, err = b.span(11, 1, tail); err != nil {
			return it, err
		}
		var s decide.Settings
		if s, d.layouts[it.Instance], err = parseSettings(text); err != nil {
			return it, err
		}
		s.Seed = b.u64(3)
		it.Message = Hello{s}
	case evStop:
		it.Message = Stop{}
	case evDirectory:
		it.Instance = 0
		err = d.decodeList(b, tail)
	case evDirectoryUpdate:
		it.Message, err = d.decodeListUpdate(b)
	case evJobIn:
		q := decide.Request{
			ID: b.u32(3), Class: b.u16(7), Tenant: int(b.u32(9)), Key: b.u64(13),
			Budget: b.us(21), Slots: b.f32(29), Memory: b.f32(33),
		}
		if b[37]&1 != 0 {
			q.Work = b.us(25)
		}
		q.Retry = b[37]&2 != 0
		it.Message = q
	case evStarted:
		it.Message = decide.StreamStarted{Request: b.u32(3), Attempt: int(b[7])}
	case evStatusNote:
		switch kind := b[11]; kind {
		case 1:
			it.Message = decide.JobStarted{Request: b.u32(3), Attempt: int(b[16])}
		case 2:
			it.Message = decide.JobProgress{Request: b.u32(3), Attempt: int(b[16]), Share: b.f32(12)}
		}
	case evReportBack:
		out := decide.AttemptEnded{Request: b.u32(3), RequestEnded: b[7] != 0, Attempt: int(b[13])}
		if out.Outcome, err = decodeOutcome(b[12]); err == nil {
			out.Report, err = d.decodeReport(it.Instance, b[22:])
		}
		it.Message = out
	case evLapsed:
		it.Message = decide.RequestCancelled{Request: b.u32(3)}
	case evFired:
		it.Message = decide.TimerFired{Token: b.u64(3)}
	case evProbed:
		out := decide.Probed{Worker: b.u32(3)}
		if out.Outcome, err = decodeOutcome(b[7]); err == nil {
			out.Report, err = d.decodeReport(it.Instance, b[12:])
		}
		it.Message = out
	case evNeighbour:
		var body []byte
		body, err = b.span(7, 1, tail)
		it.Message = decide.PeerMessage{Peer: int(b.u32(3)), Body: body}
	default:
		err = fmt.Errorf("unknown event code %d", code)
	}
	return it, err
}

func (d *Decoder) decodeList(b record, tail []byte) error {
	entries, err := b.span(2, entrySize, tail)
	if err != nil {
		return err
	}
	ws := make([]decide.Worker, 0, len(entries)/entrySize)
	for ; len(entries) > 0; entries = entries[entrySize:] {
		e := record(entries)
		if e[22] > 2 {
			return fmt.Errorf("unknown worker state %d", e[22])
		}
		ws = append(ws, decide.Worker{
			Cell: e.u16(0), Rating: e.f32(2), Started: e.us8(6), Zone: e.u16(14),
			Kind: e.u16(16), ID: e.u32(18), State: decide.WorkerState(e[22]),
		})
	}
	d.workerLists[b[1]] = ws
	return nil
}

func (d *Decoder) decodeListUpdate(b record) (decide.Event, error) {
	mode := b[11]
	if mode == 4 {
		return decide.ListFailed{}, nil
	}
	ws, ok := d.workerLists[b[12]]
	if !ok {
		return nil, fmt.Errorf("directory %d was never given", b[12])
	}
	switch mode {
	case 1:
		return decide.ListDelta{Workers: ws}, nil
	case 2, 3:
		return decide.ListFull{Workers: ws, Cached: mode == 2}, nil
	}
	return nil, fmt.Errorf("unknown list mode %d", mode)
}

func decodeOutcome(code byte) (decide.Outcome, error) {
	if code > 7 {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return decide.Outcome(code), nil
}

func (d *Decoder) decodeReport(instance int, b record) (*decide.Report, error) {
	n := int(b[0])
	if n == 0 {
		return nil, nil
	}
	if n > 4 {
		return nil, fmt.Errorf("load report of %d values", n)
	}
	names := d.layouts[instance]
	return Report(func(yield func(string, float64) bool) {
		for i, name := range names[:min(n, len(names))] {
			if !yield(name, b.f32(1+4*i)) {
				return
			}
		}
	}), nil
}

// reportFields maps the names of load report fields in other specifications to those of the simulator's wire.
var reportFields = map[string]string{
	"inflight": "active", "queue": "waiting", "util": "cpu", "latency_ms": "avg_ms", "qps": "rps", "eps": "err_rps",
}

// ReportField returns the wire's name of a load report field.
func ReportField(name string) string { return cmp.Or(reportFields[name], name) }

// Report builds a load report from fields with the wire's names. Fields that package decide does not use are ignored.
func Report(fields iter.Seq2[string, float64]) *decide.Report {
	r := &decide.Report{Active: -1, Waiting: -1, FreeSlots: -1, FreeMemory: -1}
	for name, v := range fields {
		switch name {
		case "active":
			r.Active = v
		case "waiting":
			r.Waiting = v
		case "x0":
			r.FreeSlots = v
		case "x1":
			r.FreeMemory = v
		}
	}
	return r
}

// AppendReply encodes the reply to a batch.
func AppendReply(buf []byte, number uint32, replies []Reply) []byte {
	start, count := len(buf), uint32(0)
	buf = append(buf, make([]byte, 12)...)
	var tail []byte
	for _, rp := range replies {
		for _, a := range rp.Actions {
			var b [actionSize]byte
			binary.BigEndian.PutUint16(b[1:], uint16(rp.Instance))
			tail = putAction(b[:], a, tail)
			buf = append(buf, b[:]...)
			count++
		}
	}
	buf = append(buf, tail...)
	binary.BigEndian.PutUint32(buf[start:], count)
	binary.BigEndian.PutUint32(buf[start+4:], uint32(len(buf)-start-8))
	binary.BigEndian.PutUint32(buf[start+8:], number)
	return buf
}

func putAction(b []byte, a decide.Action, tail []byte) []byte {
	put := binary.BigEndian
	text := func(at int, s []byte) {
		put.PutUint32(b[at:], uint32(len(tail)))
		put.PutUint32(b[at+4:], uint32(len(s)))
		tail = append(tail, s...)
	}
	switch a := a.(type) {
	case decide.Send:
		b[0] = acRelay
		put.PutUint32(b[3:], a.Request)
		put.PutUint32(b[7:], a.Worker)
		put.PutUint32(b[11:], micros(a.Timeout))
	case decide.Refuse:
		b[0] = acBusy
		put.PutUint32(b[3:], a.Request)
		put.PutUint32(b[7:], micros(a.RetryAfter))
	case decide.FailRequest:
		b[0] = acRespondError
		put.PutUint32(b[3:], a.Request)
	case decide.Cancel:
		b[0] = acCallOff
		put.PutUint32(b[3:], a.Request)
		b[7] = byte(a.Attempt)
	case decide.SetTimer:
		b[0] = acNotifyMe
		put.PutUint64(b[3:], a.Token)
		put.PutUint32(b[11:], micros(a.After))
	case decide.Probe:
		b[0] = acInspect
		put.PutUint32(b[3:], a.Worker)
	case decide.CloseIdle:
		b[0] = acRelease
		put.PutUint32(b[3:], a.Worker)
	case decide.SendToPeers:
		b[0] = acMemoTo
		put.PutUint16(b[3:], allPeers)
		if a.To != decide.Any {
			put.PutUint16(b[3:], uint16(a.To))
		}
		text(5, a.Body)
	case decide.Log:
		b[0] = acWriteLog
		text(3, []byte(a.Text))
	case decide.Subscribe:
		b[0] = acTail
		b[3] = 1
	default:
		panic(fmt.Sprintf("wire: action %T has no code", a))
	}
	return tail
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxInt32))
}
