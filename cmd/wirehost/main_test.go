package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settings = `{"Balancers": 1, "Permissions": {"AttemptsCap": 3},
	"RequestClasses": [{"AimUs": 100000, "DeadlineUs": 1000000, "Effect": "free"}]}`

// batch encodes a frame of records with these codes, four for each instance.
func batch(codes ...byte) []byte { return batchOf(settings, codes...) }

// budget returns the settings with a budget of attempts.
func budget(rules string) string {
	return strings.Replace(settings, "{", `{"Rules": `+rules+`, `, 1)
}

// mix returns the settings with a mix of objectives.
func mix(goal string) string {
	return strings.Replace(settings, "{", `{"ObjectiveMix": `+goal+`, `, 1)
}

func batchOf(settings string, codes ...byte) []byte {
	var records []byte
	for i, code := range codes {
		r := make([]byte, 40)
		r[0] = code
		r[2] = byte(1 + i/4)
		if code == 16 {
			binary.BigEndian.PutUint32(r[15:], uint32(len(settings)))
		}
		records = append(records, r...)
	}
	body := append(records, settings...)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+16))
	b = binary.BigEndian.AppendUint32(b, uint32(len(codes)))
	b = binary.BigEndian.AppendUint64(b, 1000)
	b = binary.BigEndian.AppendUint32(b, 1)
	return append(b, body...)
}

func TestRun(t *testing.T) {
	tests := []struct {
		name    string
		in      []byte
		wantErr string
	}{
		{"nothing", nil, ""},
		{"a job without workers is held", batch(16, 18), ""},
		{"stop and hello in one batch", batch(16, 18, 25, 16), ""},
		{"an event before its hello", batch(18), "before its hello"},
		{"a truncated frame", batch(16)[:50], "body"},
		{"a budget of attempts", batchOf(budget(`{"SpareAttempts": 0, "BudgetSpanUs": 1000}`), 16), ""},
		{"a negative budget", batchOf(budget(`{"SpareAttempts": -1, "BudgetSpanUs": 1000}`), 16), "attempt budget"},
		{"a budget without its window", batchOf(budget(`{"ExtraPerRequest": 0.1}`), 16), "window"},
		{"a punctual part", batchOf(mix(`{"Punctual": 0.3, "MissAllowed": 0.01}`), 16), ""},
		{"a punctual part that allows no miss", batchOf(mix(`{"Punctual": 0.3}`), 16), "MissAllowed"},
		{"a negative share of misses", batchOf(mix(`{"MissAllowed": -0.1}`), 16), "Punctual 0 and MissAllowed -0.1 must be between 0 and 1"},
		{"a punctual part above one", batchOf(mix(`{"Punctual": 2, "MissAllowed": 0.1}`), 16), "Punctual 2 and MissAllowed 0.1 must be between 0 and 1"},
		{"a punctual part that is no number", batchOf(mix(`{"Punctual": "x"}`), 16), "settings"},
		{"gone as advice", batchOf(budget(`{"GoneIsAdvice": true}`), 16), ""},
		{"a budget that is no number", batchOf(budget(`{"SpareAttempts": "x"}`), 16), "settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(bytes.NewReader(tt.in), &out)
			if tt.wantErr == "" && err != nil || tt.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tt.wantErr)) {
				t.Fatalf("error %v, want %q", err, tt.wantErr)
			}
			if tt.wantErr == "" && len(tt.in) > 0 && out.Len() < 12 {
				t.Errorf("reply of %d bytes", out.Len())
			}
		})
	}
}
