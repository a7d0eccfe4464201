package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"caperrelay/decide"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// pad decodes the fields of a record and pads them to its size.
func pad(t testing.TB, size int, s string) []byte {
	b := unhex(t, s)
	return append(b, make([]byte, size-len(b))...)
}

// frame builds a batch of records and a tail.
func frame(records [][]byte, tail []byte) []byte {
	body := bytes.Join(append(append([][]byte{}, records...), tail), nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+16))
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0x805c5a)
	b = binary.BigEndian.AppendUint32(b, 12)
	return append(b, body...)
}

func TestDecodeExamples(t *testing.T) {
	records := [][]byte{
		pad(t, eventSize, "12 0003 5d3a91c4 0000 00000000 91f03b7c55d20a64 0003a980 00002ee0 40000000 00000000 01"),
		pad(t, eventSize, "16 0003 000000000000004d"),
		pad(t, eventSize, "15 0005 0e6f2b19"),
		pad(t, eventSize, "1a 00 00000000 00000002"),
		pad(t, eventSize, "11 0003 0000000000000029 02 00"),
		pad(t, eventSize, "14 0003 5d3a91c4 01 00000000 00 00 00004844 03124a07 04 41680000 3f000000 40400000 3ecccccd"),
	}
	tail := unhex(t, `0000 3f800000 0000000000000000 0000 0000 03124a07 02
		0000 3fc00000 00000000005d1420 0001 0000 2c9011f2 02`)
	d := NewDecoder(bytes.NewReader(frame(records, tail)))
	d.layouts[3] = []string{"avg_ms", "err_rps", "waiting", "x0"}
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 0x805c5a*time.Microsecond || b.Number != 12 {
		t.Errorf("clock %v, batch %d", b.Now, b.Number)
	}
	want := []Item{
		{3, decide.Request{ID: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Budget: 240 * time.Millisecond,
			Work: 12 * time.Millisecond, Slots: 2}},
		{3, decide.TimerFired{Token: 0x4d}},
		{5, decide.RequestCancelled{Request: 0x0e6f2b19}},
		{3, decide.ListFull{Cached: true, Workers: []decide.Worker{
			{ID: 0x03124a07, Rating: 1, State: decide.Ready},
			{ID: 0x2c9011f2, Rating: 1.5, Zone: 1, Started: 0x5d1420 * time.Microsecond, State: decide.Ready},
		}}},
		{3, decide.AttemptEnded{Request: 0x5d3a91c4, RequestEnded: true,
			Report: &decide.Report{Active: -1, Waiting: 3, FreeSlots: float64(float32(0.4)), FreeMemory: -1}}},
	}
	if !reflect.DeepEqual(b.Items, want) {
		t.Errorf("decoded\n%+v\nwant\n%+v", b.Items, want)
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestEmptyBatch(t *testing.T) {
	in := unhex(t, "00000010 00000000 0000000000805c5a 00000001")
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil || len(b.Items) != 0 || b.Number != 1 {
		t.Fatalf("%+v, %v", b, err)
	}
	if got, want := AppendReply(nil, b.Number, nil), unhex(t, "00000000 00000004 00000001"); !bytes.Equal(got, want) {
		t.Errorf("reply %x, want %x", got, want)
	}
}

func TestEncodeExample(t *testing.T) {
	got := AppendReply(nil, 12, []Reply{
		{3, []decide.Action{
			decide.Send{Request: 0x5d3a91c4, Worker: 0x03124a07, Timeout: 80 * time.Millisecond},
			decide.SetTimer{Token: 0x4d, After: 500 * time.Millisecond},
		}},
		{5, []decide.Action{decide.Log{Text: "two servers known"}}},
	})
	want := unhex(t, `00000003 00000045 0000000c
		10 0003 5d3a91c4 03124a07 00013880 00
		14 0003 000000000000004d 0007a120 00
		18 0005 00000000 00000011 0000000000
		74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(got, want) {
		t.Errorf("encoded\n%x\nwant\n%x", got, want)
	}
}

func TestEncodeActions(t *testing.T) {
	tests := []struct {
		a    decide.Action
		want string
	}{
		{decide.Refuse{Request: 7, RetryAfter: time.Second}, "11 0002 00000007 000f4240"},
		{decide.FailRequest{Request: 7}, "12 0002 00000007"},
		{decide.Cancel{Request: 7, Attempt: 2}, "13 0002 00000007 02"},
		{decide.Probe{Worker: 9}, "15 0002 00000009"},
		{decide.CloseIdle{Worker: 9}, "16 0002 00000009"},
		{decide.Subscribe{}, "1a 0002 01"},
		{decide.SendToPeers{To: decide.Any, Body: []byte("hi 7")}, "17 0002 ffff 00000000 00000004"},
		{decide.SendToPeers{To: 300, Body: []byte("hi 7")}, "17 0002 012c 00000000 00000004"},
	}
	for _, tt := range tests {
		got := AppendReply(nil, 1, []Reply{{2, []decide.Action{tt.a}}})
		if want := pad(t, actionSize, tt.want); !bytes.Equal(got[12:28], want) {
			t.Errorf("%T: %x, want %x", tt.a, got[12:28], want)
		}
	}
}

func TestMalformed(t *testing.T) {
	hello := func(text string) []byte {
		r := pad(t, eventSize, "10 0001 0000000000000007 00000000")
		binary.BigEndian.PutUint32(r[15:], uint32(len(text)))
		return frame([][]byte{r}, []byte(text))
	}
	whole := frame([][]byte{pad(t, eventSize, "15 0005 0e6f2b19")}, nil)
	tests := []struct {
		name, want string
		in         []byte
	}{
		{"short header", "header", whole[:7]},
		{"short body", "body", whole[:30]},
		{"too many records", "cannot hold", unhex(t, "00000010 00000009 0000000000000000 00000001")},
		{"unknown event", "unknown event code 99", frame([][]byte{pad(t, eventSize, "63 0005")}, nil)},
		{"unknown outcome", "unknown outcome", frame([][]byte{pad(t, eventSize, "14 0003 00000001 00 00000000 09")}, nil)},
		{"tail too short", "tail", frame([][]byte{pad(t, eventSize, "1a 00 00000000 00000002")}, nil)},
		{"list never given", "never given", frame([][]byte{pad(t, eventSize, "11 0003 0000000000000029 02 05")}, nil)},
		{"settings no object", "settings", hello("[1, 2]")},
		{"settings no JSON", "settings", hello("{")},
		{"settings null", "settings", hello("null")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewDecoder(bytes.NewReader(tt.in)).Next()
			if err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) ||
				!strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestSettings(t *testing.T) {
	s, fields, err := parseSettings([]byte(`{"Balancers": 4, "SlotNo": 2, "Unknown": {"x": [1]}, "Discovery": "subscribe",
		"ObjectiveMix": {"Whole": 0.5, "WorstTenant": 0.2, "Punctual": 0.3, "MissAllowed": 0.01},
		"Rules": {"GoneIsAdvice": true}, "Domain": {"ClassKind": [-1, 1], "ClassStretch": [1.75, 2], "TellsStart": true, "ProgressUs": 2000000},
		"LoadReport": {"Fields": ["waiting", "x0"], "Via": "piggyback"},
		"RequestClasses": [{"AimUs": 120000, "Effect": "free", "KeyScope": "all"},
			{"Effect": "guarded", "KeyScope": "cell", "MemorySpanUs": 7500000}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.DispatcherCount != 4 || s.DispatcherIndex != 2 || !s.Subscribe || !s.ReportsFreeSlots || !s.ReportsStart ||
		!s.Rules.GoneIsAdvisory || s.Goal != (decide.Goal{Whole: 0.5, WorstTenant: 0.2, Punctual: 0.3, MissAllowed: 0.01}) ||
		s.ProgressInterval != 2*time.Second || !reflect.DeepEqual(fields, []string{"waiting", "x0"}) {
		t.Errorf("settings %+v, fields %v", s, fields)
	}
	want := []decide.Class{
		{Aim: 120 * time.Millisecond, Stretch: 1.75, Kind: decide.Any},
		{Effect: decide.Keyed, Scope: decide.ScopeCell, DedupWindow: 7500 * time.Millisecond, Stretch: 2, Kind: 1},
	}
	if !reflect.DeepEqual(s.Classes, want) {
		t.Errorf("classes %+v, want %+v", s.Classes, want)
	}
}

func TestAttemptBudget(t *testing.T) {
	const class = `"RequestClasses": [{"Effect": "free", "KeyScope": "all"}]`
	tests := []struct {
		rules string
		want  *decide.AttemptBudget
	}{
		{`{}`, nil},
		{`{"SpareAttempts": 1, "ExtraPerRequest": 0.15, "BudgetSpanUs": 10000000}`,
			&decide.AttemptBudget{Spare: 1, PerRequest: 0.15, Window: 10 * time.Second}},
		{`{"BudgetSpanUs": 10000000}`, &decide.AttemptBudget{Window: 10 * time.Second}},
		{`{"SpareAttempts": 1}`, &decide.AttemptBudget{Spare: 1}}, // decide.New rejects it
	}
	for _, tt := range tests {
		s, _, err := parseSettings([]byte(`{"Rules": ` + tt.rules + `, ` + class + `}`))
		if err != nil || !reflect.DeepEqual(s.Rules.Budget, tt.want) {
			t.Errorf("%s: %+v, %v", tt.rules, s.Rules.Budget, err)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(unhex(f, "00000010 00000000 0000000000805c5a 00000001"))
	f.Add(frame([][]byte{pad(f, eventSize, "15 0005 0e6f2b19")}, nil))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
