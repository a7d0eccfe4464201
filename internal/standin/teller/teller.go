// Package teller is the control side of a daemon without the daemon: it tells plug-ins of encoders that a test
// or a measurement has, by the real server.
package teller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/control"
	"caperrelay/internal/siteconf"
	"caperrelay/internal/wire"
)

// Site is its settings: previews may be repeated, publishes must not run twice.
const Site = `
[node]
name = "n0"
listen = "127.0.0.1:1"
discovery = "127.0.0.1:1"
[site]
zones = ["a"]
[[kind]]
name = "m2"
slots = 8
[[class]]
name = "preview"
effect = "repeat"
aim = "2s"
deadline = "10s"
worth = 1
[[class]]
name = "publish"
effect = "once"
aim = "2s"
deadline = "10s"
worth = 5
`

type noCore struct{}

func (noCore) AddLease(dispatch.Lease) {}

// New returns one that listens and tells of encoders at such addresses, s-1 and on, warm and ready.
func New(addresses ...string) (*control.Server, error) {
	f, err := siteconf.Parse("site.toml", []byte(Site))
	if err != nil {
		return nil, err
	}
	text, err := f.PlatformJSON()
	if err != nil {
		return nil, err
	}
	var whole struct {
		Settings json.RawMessage `json:"Settings"`
	}
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, err
	}
	s, _, err := wire.ParseSettings(whole.Settings)
	if err != nil {
		return nil, err
	}
	c, err := control.New(control.Options{
		Listen: "127.0.0.1:0", Daemons: 1, Senders: 8, Silence: 500 * time.Millisecond, Life: 400 * time.Millisecond, New: true, Slots: f.Slots(),
	}, s, noCore{}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	c.SetSettings(s, whole.Settings)
	c.Listed(Members(1, decide.Ready, addresses...))
	return c, c.Open()
}

// Members is a whole list of such encoders in a state.
func Members(revision int64, state decide.WorkerState, addresses ...string) dispatch.InstanceUpdate {
	l := dispatch.InstanceUpdate{Revision: revision, Complete: true}
	for i, a := range addresses {
		l.Instances = append(l.Instances, dispatch.Instance{ID: fmt.Sprint("s-", i+1), GRPC: a, Zone: "a", Kind: "m2", State: state, Size: 1})
	}
	return l
}
