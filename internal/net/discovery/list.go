// Package discovery speaks to discovery: it keeps the name table, the list of
// instances, by a watch on its changes.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
)

var states = map[string]decide.WorkerState{
	"in_service": decide.Ready, "terminating": decide.Draining, "terminated": decide.Gone,
}

// ParseList reads a list in discovery's form.
func ParseList(text []byte) (dispatch.List, error) {
	var in struct {
		Revision int64 `json:"revision"`
		Complete bool  `json:"complete"`
		Members  []struct {
			ID       string  `json:"id"`
			HostPort string  `json:"host_port"`
			GRPC     string  `json:"grpc"` // an addition of ours, for plug-ins
			Locality string  `json:"locality"`
			Flavor   string  `json:"flavor"`
			Cell     int     `json:"cell"`
			Phase    string  `json:"phase"`
			Size     float64 `json:"size"`
			UpSince  float64 `json:"up_since_ms"`
		} `json:"members"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return dispatch.List{}, fmt.Errorf("list: %w", err)
	}
	if in.Members == nil { // guards against taking some other object for an empty table
		return dispatch.List{}, errors.New("list: an object without members")
	}
	l := dispatch.List{Revision: in.Revision, Complete: in.Complete}
	for _, m := range in.Members {
		state, ok := states[m.Phase]
		if m.ID == "" {
			return dispatch.List{}, errors.New("list: a member has no id")
		}
		if !ok {
			return dispatch.List{}, fmt.Errorf("list: member %q has the unknown phase %q", m.ID, m.Phase)
		}
		line := dispatch.Member{
			ID: m.ID, Address: m.HostPort, GRPC: m.GRPC, Zone: m.Locality, Kind: m.Flavor, Cell: m.Cell, State: state, Size: m.Size,
		}
		if m.UpSince > 0 {
			line.Started = time.UnixMicro(int64(m.UpSince * 1000))
		}
		l.Members = append(l.Members, line)
	}
	return l, nil
}
