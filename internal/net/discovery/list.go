// Package discovery keeps the instance list up to date by watching discovery, or the local agent that pushes the
// list, for changes.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

var phases = map[string]decide.WorkerState{
	"in_service": decide.Ready, "terminating": decide.Draining, "terminated": decide.Gone,
}

// latestStart is the latest valid start time of an encoder in Unix milliseconds: the end of the year 9999.
const latestStart = 253_402_300_799_999

// listJSON is a list as encoded by discovery.
type listJSON struct {
	Revision int64             `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
}

// memberJSON is one entry of a list.
type memberJSON struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	GRPC     string  `json:"grpc"` // extension for plug-ins
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// EntryError reports an invalid entry of a list.
type EntryError struct {
	Index int    // in the list, from 0
	ID    string // empty if it cannot be read
	Err   error
}

func (e *EntryError) Error() string {
	if e.ID == "" {
		return fmt.Sprintf("list: member %d: %v", e.Index, e.Err)
	}
	return fmt.Sprintf("list: member %d, %q: %v", e.Index, e.ID, e.Err)
}

func (e *EntryError) Unwrap() error { return e.Err }

// ParseList decodes a list in discovery's format. One invalid entry makes the whole list invalid.
func ParseList(text []byte) (dispatch.InstanceUpdate, error) {
	l, invalid, err := readList(text)
	if err == nil && len(invalid) > 0 {
		err = invalid[0]
	}
	if err != nil {
		return dispatch.InstanceUpdate{}, err
	}
	return l, nil
}

// readList decodes a list. It returns the valid entries, and an error for each invalid one.
func readList(text []byte) (dispatch.InstanceUpdate, []*EntryError, error) {
	var in listJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return dispatch.InstanceUpdate{}, nil, fmt.Errorf("list: %w", err)
	}
	if in.Members == nil { // prevents another JSON object from being taken for an empty list
		return dispatch.InstanceUpdate{}, nil, errors.New("list: JSON object has no members array")
	}
	l := dispatch.InstanceUpdate{Revision: in.Revision, Complete: in.Complete}
	var invalid []*EntryError
	for i, text := range in.Members {
		m, err := readMember(text)
		if err != nil {
			invalid = append(invalid, &EntryError{Index: i, ID: m.ID, Err: err})
			continue
		}
		l.Instances = append(l.Instances, m)
	}
	return l, invalid, nil
}

// readMember decodes an entry. For an invalid one, it returns the ID if that can be read.
func readMember(text []byte) (dispatch.Instance, error) {
	var in memberJSON
	err := json.Unmarshal(text, &in) // continues after a value of the wrong type
	invalid := dispatch.Instance{ID: in.ID}
	state, known := phases[in.Phase]
	switch {
	case err != nil:
		return invalid, err
	case in.ID == "":
		return invalid, errors.New("no id")
	case !known:
		return invalid, fmt.Errorf("unknown phase %q", in.Phase)
	case in.UpSince > latestStart:
		return invalid, fmt.Errorf("up_since_ms %g is out of range", in.UpSince)
	}
	m := dispatch.Instance{
		ID: in.ID, Address: in.HostPort, GRPC: in.GRPC, Zone: in.Locality, Kind: in.Flavor, Cell: in.Cell, State: state, Size: in.Size,
	}
	if in.UpSince > 0 {
		m.Started = time.UnixMicro(int64(in.UpSince * 1000))
	}
	return m, nil
}

// keepUnreadable adds the previous state of instances whose entries in a complete list are invalid: the list shows
// that they still exist.
func keepUnreadable(l dispatch.InstanceUpdate, invalid []*EntryError, before map[string]dispatch.Instance) dispatch.InstanceUpdate {
	if !l.Complete {
		return l
	}
	for _, f := range invalid {
		if m, listed := before[f.ID]; listed {
			l.Instances = append(l.Instances, m)
		}
	}
	return l
}
