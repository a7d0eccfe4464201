// Package siteconf reads the TOML configuration of installations other than the platform's, which uses JSON. The file is
// converted to that JSON, so that the settings have one reader, and to options that the JSON cannot express. Each error is
// one line with file, line, key and what to write instead.
package siteconf

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is an error in the file.
type Error struct {
	File string
	Line int
	Key  string
	Text string // what is wrong and what to write
}

func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Text)
	}
	return fmt.Sprintf("%s: %s", position, e.Text)
}

// Duration is a duration with its unit, such as "20ms".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	if err != nil {
		if _, number := strconv.ParseFloat(string(text), 64); number == nil {
			return fmt.Errorf(`a time needs a unit: write "%sms" or "%ss"`, text, text)
		}
		return fmt.Errorf(`%q is no time: write one such as "250ms" or "20s"`, text)
	}
	if t < 0 {
		return fmt.Errorf("%q is less than no time", text)
	}
	*d = Duration(t)
	return nil
}

func (d Duration) microseconds() int64 { return time.Duration(d).Microseconds() }

// Size is a number of bytes with its unit, such as "192MB".
type Size int64

// UnmarshalText parses a size.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range []struct {
		unit string
		n    float64
	}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}} {
		if number, ok := strings.CutSuffix(string(text), u.unit); ok {
			if n, err := strconv.ParseFloat(strings.TrimSpace(number), 64); err == nil && n >= 0 && n < 1e9 {
				*s = Size(n * u.n)
				return nil
			}
		}
	}
	return fmt.Errorf(`%q is no size: write one such as "192MB"`, text)
}

// Percent is a share, written such as "14%" and stored as a fraction of 1.
type Percent float64

// UnmarshalText parses a percentage.
func (p *Percent) UnmarshalText(text []byte) error {
	number, ok := strings.CutSuffix(string(text), "%")
	n, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(n >= 0 && n <= 100) {
		return fmt.Errorf(`%q is no share: write one from "0%%" to "100%%"`, text)
	}
	*p = Percent(n / 100)
	return nil
}

// Rate is a number per second, written such as "50/s".
type Rate float64

// UnmarshalText parses a rate.
func (r *Rate) UnmarshalText(text []byte) error {
	number, ok := strings.CutSuffix(string(text), "/s")
	n, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(n >= 0 && n < 1e9) {
		return fmt.Errorf(`%q is no rate: write one such as "50/s"`, text)
	}
	*r = Rate(n)
	return nil
}

// File is the decoded file. README.md and deploy/site.sample.toml describe its keys. Errors for values of the wrong type
// contain the names of these types and fields.
type File struct {
	Node      Node       `toml:"node"`
	Limits    Limits     `toml:"limits"`
	Site      Site       `toml:"site"`
	Rules     Rules      `toml:"rules"`
	Attempts  Attempts   `toml:"attempts"`
	Kinds     []Kind     `toml:"kind"`
	Classes   []Class    `toml:"class"`
	Tenants   []Tenant   `toml:"tenant"`
	Control   *Control   `toml:"control"`
	Fronts    []Front    `toml:"front"`
	Members   *Members   `toml:"members"`
	Snapshot  *Snapshot  `toml:"snapshot"`
	Promises  *Promises  `toml:"promises"`
	Gangs     *Gangs     `toml:"gangs"`
	Pipelines *Pipelines `toml:"pipelines"`
	Log       Log        `toml:"log"`

	path  string
	text  []string
	lines map[string]int
}

// Node identifies this dispatcher and holds its addresses.
type Node struct {
	Name      string `toml:"name"`
	Listen    string `toml:"listen"`
	Discovery string `toml:"discovery"`
	Admin     string `toml:"admin"`
	Seed      string `toml:"seed"` // hexadecimal
	Number    int    `toml:"number"`
	Of        int    `toml:"of"`
	Zone      string `toml:"zone"`
}

// Limits holds the machine resources that the dispatcher may use.
type Limits struct {
	Cores   float64 `toml:"cores"`
	Memory  Size    `toml:"memory"`
	Sockets int     `toml:"sockets"`
}

// Site holds properties of a deployment that are the same for all its dispatchers.
type Site struct {
	Zones      []string `toml:"zones" json:"Zones"`
	TellsStart bool     `toml:"tells_start" json:"TellsStart"` // encoders send a callback when a job starts
	Progress   Duration `toml:"progress" json:"Progress"`      // interval of progress callbacks while it runs
	Rated      bool     `toml:"rated" json:"Rated"`            // sizes in the instance list are meaningful
	Grain      Duration `toml:"grain" json:"Grain"`            // timer resolution of the decisions
	Crossing   float64  `toml:"crossing" json:"Crossing"`      // price of sending to another zone, as a fraction of a job's worth
}

// Rules holds the drain grace period and the capacity and overload limits of cold encoders.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace" json:"DrainGrace"`
	ColdFrom     Percent  `toml:"cold_from" json:"ColdFrom"`
	Cold         Duration `toml:"cold" json:"Cold"`
	FallMultiple float64  `toml:"fall_multiple" json:"FallMultiple"`
	FallWindow   Duration `toml:"fall_window" json:"FallWindow"`
}

// Attempts limits the attempts at a command and the connections that they use.
type Attempts struct {
	Most          int      `toml:"most" json:"Most"`
	Open          int      `toml:"open" json:"Open"`
	Copies        bool     `toml:"copies" json:"Copies"`
	Probes        bool     `toml:"probes" json:"Probes"`
	Connect       Duration `toml:"connect" json:"Connect"`
	Idle          Duration `toml:"idle" json:"Idle"`
	MaxRetryAfter Duration `toml:"max_retry_after" json:"MaxRetryAfter"`
}

// Kind is a kind of encoder.
type Kind struct {
	Name  string  `toml:"name" json:"Name"`
	Slots float64 `toml:"slots" json:"Slots"`
}

// Class is one class of commands.
type Class struct {
	Name      string   `toml:"name" json:"Name"`
	Effect    string   `toml:"effect" json:"Effect"` // "repeat", "once"
	Aim       Duration `toml:"aim" json:"Aim"`
	Stretch   float64  `toml:"stretch" json:"Stretch"`
	Deadline  Duration `toml:"deadline" json:"Deadline"`
	Worth     float64  `toml:"worth" json:"Worth"`
	LateWorth Percent  `toml:"late_worth" json:"LateWorth"`
	Kind      string   `toml:"kind" json:"Kind"` // of encoder; empty: any
}

// Tenant is a customer.
type Tenant struct {
	Name string `toml:"name" json:"Name"`
	Rate Rate   `toml:"rate" json:"Rate"`
}

// Control configures the listener for plug-ins and other daemons.
type Control struct {
	Listen  string   `toml:"listen"`
	Senders int      `toml:"senders"`
	Silence Duration `toml:"silence"`
	Lease   Duration `toml:"lease"`
	New     bool     `toml:"new"` // the deployment starts from scratch: no sender can have a place yet, so places are given without waiting
	TLS     *TLS     `toml:"tls"`
}

// Front configures a listener for plain HTTP/1.1 requests, which routes distribute to pools.
type Front struct {
	Listen  string   `toml:"listen"`
	Routes  string   `toml:"routes"` // a TOML file in the format that winglb import nginx -o writes
	Nginx   string   `toml:"nginx"`  // or an nginx file, read at each start and reload
	Within  Duration `toml:"within"` // time limit of a request, over all attempts
	Clients int      `toml:"clients"`
}

// Members configures the sharing of the instance list among dispatchers.
type Members struct {
	Listen   string            `toml:"listen"`   // TCP and UDP
	Join     []string          `toml:"join"`     // addresses of other dispatchers to contact first
	Through  map[string]string `toml:"through"`  // addresses by name, of dispatchers that cannot be reached from here at their own
	Watchers int               `toml:"watchers"` // number of dispatchers per zone that watch discovery
	FanOut   int               `toml:"fan_out"`  // number of peers to which each forwards a change
}

// Snapshot configures the persistent copy of this dispatcher's state.
type Snapshot struct {
	File  string   `toml:"file"`
	Every Duration `toml:"every"`
	Keep  Duration `toml:"keep"` // an older snapshot is not used
}

// Promises configures the replicated record of promised jobs. Each daemon holds replicas of some of its groups. Daemons
// call each other at their control listeners.
type Promises struct {
	Dir     string            `toml:"dir"`     // on a persistent disk, used by this daemon only
	Machine string            `toml:"machine"` // failure domain; empty: the daemon's name
	Zone    string            `toml:"zone"`    // empty: node.zone
	Peers   map[string]string `toml:"peers"`   // the control listeners of all other daemons, by name
	Through map[string]string `toml:"through"` // addresses by name, of daemons that cannot be reached from here at their own
	Groups  uint32            `toml:"groups"`  // the same at all daemons; cannot be changed later
	Copies  int               `toml:"copies"`
	Within  Duration          `toml:"within"` // default start limit: a job is not started later than this after its receipt
	Keep    Duration          `toml:"keep"`   // default time for which the end of a job is kept
	Gone    Duration          `toml:"gone"`   // the replicas of a daemon that is unreachable for this long are moved
	// Repair counts the repairs after a permanently lost majority. Survivors names the daemons left at the last repair.
	Repair    uint32   `toml:"repair"`
	Survivors []string `toml:"survivors"`
}

// TLS names the key files of a listener.
type TLS struct {
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	ClientCA    string   `toml:"client_ca"`
	Names       []string `toml:"names"` // accepted in a client's certificate
}

// Log configures the program's log.
type Log struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// defaults returns the values for keys that the file leaves out.
func defaults() File {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return File{
		Node: Node{Of: 1, Seed: "1"}, Limits: Limits{Cores: 1, Memory: 192 << 20, Sockets: 1024},
		Site:     Site{TellsStart: true, Grain: ms(2)},
		Rules:    Rules{DrainGrace: ms(750), ColdFrom: 0.14, Cold: ms(24_000), FallMultiple: 3, FallWindow: ms(1000)},
		Attempts: Attempts{Most: 3, Open: 1000, Copies: true, Connect: ms(1000), Idle: ms(30_000), MaxRetryAfter: ms(2000)},
	}
}

// Load reads and checks a file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and checks a file's text. Its error names the line, the key and a correction.
func Parse(path string, text []byte) (*File, error) {
	f := defaults()
	var bare []bareNumber
	f.path, f.text = path, strings.Split(string(text), "\n")
	f.lines, bare = keyLines(text)
	for _, n := range bare { // the library would accept them as numbers of the smallest unit
		if correction, ok := units[n.key[strings.LastIndexByte(n.key, '.')+1:]]; ok {
			return nil, f.errorAt(n.key, "it needs a unit, in quotes: "+correction, n.text)
		}
	}
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, f.convertError(err)
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	return &f, nil
}

// convertError converts an error of the TOML library to an [Error].
func (f *File) convertError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		e := unknown.Errors[0]
		row, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		return &Error{f.path, row, key, "no such key" + suggestKey(key)}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			key = f.keyAt(row)
		}
		text := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		if strings.Contains(text, "cannot decode TOML") || strings.Contains(text, "into struct field") || strings.Contains(text, "incompatible types") {
			text = "a value of the wrong type: " + text
		}
		return &Error{f.path, row, key, text}
	}
	return &Error{File: f.path, Text: strings.TrimPrefix(err.Error(), "toml: ")}
}

// keyAt returns the key on a line, or "" if none can be determined.
func (f *File) keyAt(line int) string {
	for key, n := range f.lines {
		if n == line {
			return key
		}
	}
	if line > 0 && line <= len(f.text) {
		if key, _, ok := strings.Cut(f.text[line-1], "="); ok {
			return strings.TrimSpace(key)
		}
	}
	return ""
}

// units maps the keys whose values need a unit to a format for the correction.
var units = func() map[string]string {
	all := map[string]string{"memory": `write "%sMB"`, "cold_from": `write "%s%%"`, "late_worth": `write "%s%%"`, "rate": `write "%s/s"`}
	for _, key := range strings.Fields("aim deadline progress grain drain_grace cold fall_window connect idle max_retry_after silence lease within every keep gone") {
		all[key] = `write "%[1]sms" or "%[1]ss"`
	}
	return all
}()

// bareNumber is a numeric value without quotes.
type bareNumber struct{ key, text string }

// knownKeys lists the parts of the file's keys, for suggestions after a misspelt key.
var knownKeys = strings.Fields(`node limits site rules attempts kind class tenant control log name listen discovery admin seed number of zone cores
memory sockets zones tells_start progress rated grain crossing drain_grace cold_from cold fall_multiple fall_window most open copies probes
connect idle max_retry_after slots effect aim stretch deadline worth late_worth rate senders silence lease new tls front routes nginx within clients members join through watchers fan_out promises gangs pipelines partner sites share hours snapshot file every keep certificate key client_ca names format level`)

// suggestKey returns the suggestion for a misspelt key.
func suggestKey(key string) string {
	last := key[strings.LastIndexByte(key, '.')+1:]
	best, minDistance := "", 3
	for _, w := range knownKeys {
		if d := distance(last, w); d < minDistance {
			best, minDistance = w, d
		}
	}
	if best == "" {
		return "; remove it"
	}
	return fmt.Sprintf("; write %q, or remove it", best)
}

// distance returns the Levenshtein distance.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

// keyLines returns the line of each key, with keys such as "class[1].aim", and the numeric values without quotes.
func keyLines(text []byte) (lines map[string]int, bare []bareNumber) {
	lines = map[string]int{}
	counts := map[string]int{}
	prefix := ""
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key
			lines[key] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
			lines[prefix] = line
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			lines[key] = line
			if v := e.Value(); v.Kind == unstable.Integer || v.Kind == unstable.Float {
				bare = append(bare, bareNumber{key, string(v.Data)})
			}
		}
	}
	return lines, bare
}

// errorAt returns an error at the line of a key or else of the nearest enclosing table.
func (f *File) errorAt(key, format string, args ...any) error {
	line, ok := f.lines[key]
	for parent := key; !ok && strings.Contains(parent, "."); {
		parent = parent[:strings.LastIndexByte(parent, '.')]
		line, ok = f.lines[parent]
	}
	return &Error{f.path, line, key, fmt.Sprintf(format, args...)}
}

// check validates the file and fills in defaults of optional tables. Package wire and package config check the settings
// further.
func (f *File) check() error {
	switch {
	case f.Node.Name == "":
		return f.errorAt("node.name", `missing: write name = "n1"`)
	case f.Node.Listen == "":
		return f.errorAt("node.listen", `missing: write listen = "host:port"`)
	case f.Node.Discovery == "":
		return f.errorAt("node.discovery", `missing: write discovery = "host:port"`)
	case f.Node.Of < 1 || f.Node.Number < 0 || f.Node.Number >= f.Node.Of:
		return f.errorAt("node.number", "%d of %d: dispatchers are numbered from 0, below node.of", f.Node.Number, f.Node.Of)
	case len(f.Site.Zones) == 0:
		return f.errorAt("site.zones", `missing: write zones = ["a"]`)
	case f.zoneIndex(f.Node.Zone) < 0 && f.Node.Zone != "":
		return f.errorAt("node.zone", "%q is none of site.zones", f.Node.Zone)
	case len(f.Classes) == 0:
		return f.errorAt("class", "missing: at least one [[class]] is needed")
	case f.Limits.Memory < 32<<20:
		return f.errorAt("limits.memory", `under "32MB"`)
	}
	seen := map[string]bool{}
	for i, c := range f.Classes {
		at := func(key string) string { return fmt.Sprintf("class[%d].%s", i, key) }
		switch {
		case c.Name == "":
			return f.errorAt(at("name"), "missing")
		case seen[c.Name]:
			return f.errorAt(at("name"), "%q is there twice", c.Name)
		case c.Effect != "repeat" && c.Effect != "once":
			return f.errorAt(at("effect"), `%q: write "repeat" (may run again) or "once" (must not run twice)`, c.Effect)
		case c.Aim == 0:
			return f.errorAt(at("aim"), `missing: write aim = "200ms", the time within which it has its full worth`)
		case c.Deadline < c.Aim:
			return f.errorAt(at("deadline"), "%v is before the aim, %v", time.Duration(c.Deadline), time.Duration(c.Aim))
		case c.Worth <= 0:
			return f.errorAt(at("worth"), "missing: write worth = 1")
		case c.Kind != "" && f.kindIndex(c.Kind) < 0:
			return f.errorAt(at("kind"), "%q is no [[kind]]", c.Kind)
		}
		seen[c.Name] = true
	}
	for i, k := range f.Kinds {
		if k.Name == "" || f.kindIndex(k.Name) != i {
			return f.errorAt(fmt.Sprintf("kind[%d].name", i), "missing, or there twice")
		}
		if f.Control != nil && !(k.Slots > 0) {
			return f.errorAt(fmt.Sprintf("kind[%d].slots", i), "missing: a control listener leases the room of cold encoders, so it must know how many jobs a warm one runs at once")
		}
	}
	for i, t := range f.Tenants {
		if t.Name == "" {
			return f.errorAt(fmt.Sprintf("tenant[%d].name", i), "missing")
		}
	}
	for i := range f.Fronts {
		w := &f.Fronts[i]
		at := func(key string) string { return fmt.Sprintf("front[%d].%s", i, key) }
		w.Within, w.Clients = cmp.Or(w.Within, Duration(time.Minute)), cmp.Or(w.Clients, 256)
		switch {
		case w.Listen == "":
			return f.errorAt(at("listen"), `missing: write listen = "host:port"`)
		case (w.Routes == "") == (w.Nginx == ""):
			return f.errorAt(at("routes"), "one of routes (a TOML file) and nginx (an nginx file) is needed")
		case w.Clients < 1 || w.Clients > 100_000:
			return f.errorAt(at("clients"), "%d: from 1 to 100000 connections", w.Clients)
		}
	}
	if m := f.Members; m != nil {
		m.Watchers, m.FanOut = cmp.Or(m.Watchers, 2), cmp.Or(m.FanOut, 4)
		switch host, port, err := net.SplitHostPort(m.Listen); {
		case err != nil || net.ParseIP(host) == nil || port == "" || port == "0":
			return f.errorAt("members.listen", `%q: write listen = "address:port", the address at which the others reach this dispatcher`, m.Listen)
		case m.Watchers < 1 || m.Watchers > 16:
			return f.errorAt("members.watchers", "%d: from 1 to 16 in each zone", m.Watchers)
		case m.FanOut < 2 || m.FanOut > 32:
			return f.errorAt("members.fan_out", "%d: from 2 to 32", m.FanOut)
		case f.Node.Of > 1 && len(m.Join) == 0:
			return f.errorAt("members.join", `missing: write join = ["host:port"], the addresses of some others`)
		}
	}
	if err := f.checkPromises(); err != nil {
		return err
	}
	if err := f.checkGangs(); err != nil {
		return err
	}
	if err := f.checkPipelines(); err != nil {
		return err
	}
	if w := f.Snapshot; w != nil {
		w.Every, w.Keep = cmp.Or(w.Every, Duration(5*time.Second)), cmp.Or(w.Keep, Duration(24*time.Hour))
		switch {
		case w.File == "":
			return f.errorAt("snapshot.file", `missing: write file = "path", on a disk that lasts`)
		case w.Every < Duration(100*time.Millisecond):
			return f.errorAt("snapshot.every", `%v: at least "100ms"`, time.Duration(w.Every))
		}
	}
	c := f.Control
	if c == nil {
		return nil
	}
	c.Senders = cmp.Or(c.Senders, 64)
	c.Silence = cmp.Or(c.Silence, Duration(500*time.Millisecond))
	c.Lease = cmp.Or(c.Lease, Duration(400*time.Millisecond))
	switch {
	case c.Listen == "":
		return f.errorAt("control.listen", `missing: write listen = "host:port"`)
	case len(f.Kinds) == 0:
		return f.errorAt("kind", "missing: a control listener must know each kind of encoder and its slots")
	case c.Senders < f.Node.Of || c.Senders > 4096:
		return f.errorAt("control.senders", "%d: from node.of to 4096", c.Senders)
	case c.Silence < Duration(100*time.Millisecond) || c.Silence > Duration(600*time.Millisecond):
		return f.errorAt("control.silence", `%v: from "100ms" to "600ms", or a drain might be heard of too late`, time.Duration(c.Silence))
	case c.Lease < Duration(50*time.Millisecond) || c.Lease > Duration(2*time.Second):
		return f.errorAt("control.lease", `%v: from "50ms" to "2s"`, time.Duration(c.Lease))
	}
	if t := c.TLS; t != nil {
		for key, value := range map[string]string{"certificate": t.Certificate, "key": t.Key, "client_ca": t.ClientCA} {
			if value == "" {
				return f.errorAt("control.tls."+key, "missing: the path of a PEM file")
			}
		}
		if len(t.Names) == 0 {
			return f.errorAt("control.tls.names", `missing: the names that clients' certificates may bear, such as ["portal"]`)
		}
	}
	return nil
}

// checkPromises validates [promises] and fills in its defaults.
func (f *File) checkPromises() error {
	p := f.Promises
	if p == nil {
		return nil
	}
	p.Machine, p.Zone = cmp.Or(p.Machine, f.Node.Name), cmp.Or(p.Zone, f.Node.Zone)
	p.Groups, p.Copies, p.Gone = cmp.Or(p.Groups, 16), cmp.Or(p.Copies, 3), cmp.Or(p.Gone, Duration(30*time.Second))
	p.Within, p.Keep = cmp.Or(p.Within, Duration(time.Hour)), cmp.Or(p.Keep, Duration(24*time.Hour))
	switch {
	case p.Within > Duration(24*time.Hour):
		return f.errorAt("promises.within", `%v: at most "24h"`, time.Duration(p.Within))
	case p.Keep > Duration(7*24*time.Hour):
		return f.errorAt("promises.keep", `%v: at most "168h"`, time.Duration(p.Keep))
	case f.Control == nil:
		return f.errorAt("promises", "a [control] table is needed: daemons call each other at its address")
	case p.Dir == "":
		return f.errorAt("promises.dir", `missing: write dir = "path", a folder of this daemon's own on a disk that lasts`)
	case p.Copies != 1 && p.Copies != 3 && p.Copies != 5:
		return f.errorAt("promises.copies", "%d: write 3 or 5; 1 keeps nothing when a disk is lost", p.Copies)
	case p.Groups < 2 || p.Groups > 4096:
		return f.errorAt("promises.groups", "%d: from 2 to 4096, one of them the root's", p.Groups)
	case p.Gone < Duration(5*time.Second):
		return f.errorAt("promises.gone", `%v: at least "5s"`, time.Duration(p.Gone))
	case len(p.Peers)+1 < p.Copies:
		return f.errorAt("promises.peers", "%d daemons with this one, fewer than promises.copies, %d: name all others with their control listeners", len(p.Peers)+1, p.Copies)
	case p.Repair > 0 && len(p.Survivors) == 0:
		return f.errorAt("promises.survivors", "missing: a repair must name all daemons that are left, first who has most of each group")
	case p.Peers[f.Node.Name] != "":
		return f.errorAt("promises.peers", "%q is this daemon itself", f.Node.Name)
	}
	return nil
}

func (f *File) zoneIndex(name string) int { return indexOf(f.Site.Zones, name) }

func indexOf(list []string, name string) int {
	for i, s := range list {
		if s == name {
			return i
		}
	}
	return -1
}

func (f *File) kindIndex(name string) int {
	for i, k := range f.Kinds {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// PlatformJSON returns the file in the JSON form of the platform's PROXY_CONFIG.
func (f *File) PlatformJSON() ([]byte, error) {
	type object = map[string]any
	classes, tenants := []object{}, []object{} // encoded as [], not null
	var kinds []int
	var stretch []float64
	var skus []string
	for _, k := range f.Kinds {
		skus = append(skus, k.Name)
	}
	for _, c := range f.Classes {
		effect := map[string]string{"repeat": "free", "once": "single_shot"}[c.Effect]
		classes = append(classes, object{
			"Name": c.Name, "Effect": effect, "AimUs": c.Aim.microseconds(), "DeadlineUs": c.Deadline.microseconds(), "Points": c.Worth, "LateWorth": float64(c.LateWorth),
		})
		kinds = append(kinds, f.kindIndex(c.Kind))
		stretch = append(stretch, c.Stretch)
	}
	for _, t := range f.Tenants {
		tenants = append(tenants, object{"Name": t.Name, "QuotaPerS": float64(t.Rate)})
	}
	weights := "silent"
	if f.Site.Rated {
		weights = "told"
	}
	a, r := f.Attempts, f.Rules
	settings := object{
		"Balancers": f.Node.Of, "SlotNo": f.Node.Number, "Zone": max(0, f.zoneIndex(f.Node.Zone)), "Zones": f.Site.Zones, "Skus": skus,
		"GranularityUs": f.Site.Grain.microseconds(), "Discovery": "subscribe", "Weights": weights,
		"Deductions": object{"CrossZone": f.Site.Crossing}, "ObjectiveMix": object{"Whole": 1}, "LoadReport": object{"Via": "silent"},
		"Domain":         object{"ClassKind": kinds, "ClassStretch": stretch, "ProgressUs": f.Site.Progress.microseconds(), "TellsStart": f.Site.TellsStart},
		"RequestClasses": classes, "Tenants": tenants,
		"Permissions": object{
			"AttemptsCap": a.Most, "OpenCap": a.Open, "Cancelling": true, "ParallelTries": a.Copies, "Probes": a.Probes,
			"RetryAfter": a.MaxRetryAfter > 0, "MaxRetryAfterUs": a.MaxRetryAfter.microseconds(), "ConnIdleUs": a.Idle.microseconds(), "ConnectTimeoutUs": a.Connect.microseconds(),
		},
		"Rules": object{
			"AnswerSlackUs": 8000, "DrainGraceUs": r.DrainGrace.microseconds(), "ColdFrom": float64(r.ColdFrom), "ColdUs": r.Cold.microseconds(),
			"FallMultiple": r.FallMultiple, "FallUs": r.FallWindow.microseconds(), "MustAskInUs": 10_000_000,
		},
	}
	return json.Marshal(object{
		"name": f.Node.Name, "listen": f.Node.Listen, "discovery": f.Node.Discovery, "admin_addr": f.Node.Admin, "seed": f.Node.Seed,
		"limits":   object{"cores": f.Limits.Cores, "memory_mb": int64(f.Limits.Memory) >> 20, "sockets": f.Limits.Sockets},
		"settings": settings,
	})
}

// Slots returns, for each kind, how many jobs a warm encoder runs at once. The kind "" has one.
func (f *File) Slots() map[string]float64 {
	slots := map[string]float64{"": 1}
	for _, k := range f.Kinds {
		slots[k.Name] = k.Slots
	}
	return slots
}
