// Package config is the one place where the program's configuration is read,
// checked and given defaults.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/discovery"
	"caperrelay/internal/wire"
)

// Defaults and floors of the limits, for a configuration that names none.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastMemoryMB   = 32
	leastSockets    = 128
	defaultConnect  = time.Second
	defaultIdle     = 30 * time.Second
)

// Config is all that a dispatcher is told at its start.
type Config struct {
	Name      string
	Listen    string // service clients and call-backs come here
	Discovery string // the name table's peer
	Admin     string // operators call here; empty: nowhere
	Dir       string // for what processes of one dispatcher leave each other
	Limits    Limits
	Known     dispatch.InstanceUpdate // as last held; may be out of date
	Settings  decide.Settings
	Names     wire.Names

	Document []byte // the settings' text

	getenv func(string) string
	read   func() ([]byte, error)
	adjust func(*decide.Settings)
	text   []byte // of the file that counts
}

// Limits is what the machine allows.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// file is PROXY_CONFIG as it is written.
type file struct {
	Name      string `json:"Name"`
	Listen    string `json:"Listen"`
	Discovery string `json:"Discovery"`
	Seed      string `json:"Seed"`
	Admin     string `json:"admin_addr"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"Limits"`
	Known    json.RawMessage `json:"Known"`
	Settings json.RawMessage `json:"Settings"`
}

// Load reads the PROXY_* variables through getenv and the file that PROXY_CONFIG
// names. A variable that is set wins over the file's key. Errors name the faulty key.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG: not set; it names the JSON file of the configuration")
	}
	return LoadBy(getenv, nil, func() ([]byte, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			err = fmt.Errorf("PROXY_CONFIG: %w", err)
		}
		return text, err
	})
}

// LoadBy is Load of a text that comes from elsewhere, at each reload anew. adjust adds what the text has
// no word for to the settings; nil: nothing.
func LoadBy(getenv func(string) string, adjust func(*decide.Settings), read func() ([]byte, error)) (*Config, error) {
	text, err := read()
	if err != nil {
		return nil, err
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return nil, fmt.Errorf("%s: a JSON %s cannot be a %s", wrong.Field, wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("PROXY_CONFIG: %s: %w", getenv("PROXY_CONFIG"), err)
	}
	c, err := f.check(getenv)
	if err != nil {
		return nil, err
	}
	c.getenv, c.read, c.adjust, c.text = getenv, read, adjust, text
	if adjust != nil {
		adjust(&c.Settings)
	}
	return c, nil
}

// Reload reads the file anew, while the program runs. Its discovery wins over the variable,
// which still tells the address of the start. A file that lacks a key which the one that counts
// has is taken for unfinished.
func (c *Config) Reload() (*Config, error) {
	next, err := LoadBy(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return c.getenv(name)
	}, c.adjust, c.read)
	if err != nil {
		return nil, err
	}
	var has, had map[string]any
	if err := errors.Join(json.Unmarshal(next.text, &has), json.Unmarshal(c.text, &had)); err != nil {
		return nil, err
	}
	for _, key := range []string{"known", "admin_addr"} { // may be left out
		delete(had, key)
	}
	return next, lacks(has, had, "")
}

// Running says that another configuration counts from now on.
func (c *Config) Running(next *Config) { c.text = next.text }

// lacks names a key that one value has and the other has not. Elements of an array must have the
// keys that all elements had.
func lacks(has, had any, at string) error {
	switch had := had.(type) {
	case map[string]any:
		has, ok := has.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(had)) {
			name := strings.TrimPrefix(at+"."+key, ".")
			if value, found := has[key]; !ok || !found {
				return fmt.Errorf("%s: missing", name)
			} else if err := lacks(value, had[key], name); err != nil {
				return err
			}
		}
	case []any:
		has, ok := has.([]any)
		if !ok {
			return fmt.Errorf("%s: no list", at)
		}
		for i, value := range has {
			if err := lacks(value, common(had), fmt.Sprintf("%s[%d]", at, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// common is an object with the keys that all of a list's elements have, nil if those are no objects.
func common(list []any) any {
	var keys map[string]any
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if keys == nil {
			keys = maps.Clone(object)
		}
		maps.DeleteFunc(keys, func(key string, _ any) bool { _, found := object[key]; return !found })
	}
	if keys == nil {
		return nil
	}
	return keys
}

// AtRestart names the keys in which another configuration differs and that count from the
// next start on only.
func (c *Config) AtRestart(next *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"admin_addr", c.Admin == next.Admin}, {"limits", c.Limits == next.Limits},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// checkSettings refuses what no dispatcher can go by.
func checkSettings(s decide.Settings, n wire.Names) error {
	if s.Limits.MaxAttempts < 1 {
		return fmt.Errorf("settings.Permissions.AttemptsCap: %d is no number of attempts", s.Limits.MaxAttempts)
	}
	if len(s.Classes) == 0 {
		return errors.New("settings.RequestClasses: missing")
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("settings.RequestClasses[%d]", i)
		if name := n.Classes[i]; name == "" || slices.Index(n.Classes, name) != i {
			return fmt.Errorf("%s.Name: %q is missing or taken", key, name)
		}
		if c.Deadline <= 0 {
			return fmt.Errorf("%s.DeadlineUs: %d is no time", key, c.Deadline.Microseconds())
		}
		if c.Aim < 0 {
			return fmt.Errorf("%s.AimUs: %d is no time", key, c.Aim.Microseconds())
		}
	}
	return nil
}

func (f *file) check(getenv func(string) string) (*Config, error) {
	c := &Config{
		Name: cmp.Or(getenv("PROXY_NAME"), f.Name), Dir: cmp.Or(getenv("TMPDIR"), os.TempDir()),
		Limits: Limits{
			Cores: orDefault(f.Limits.Cores, 1), MemoryMB: orDefault(f.Limits.MemoryMB, defaultMemoryMB),
			Sockets: orDefault(f.Limits.Sockets, defaultSockets),
		},
	}
	if c.Name == "" {
		return nil, errors.New("name: missing (PROXY_NAME or the key name)")
	}
	var err error
	if c.Listen, err = address("listen", "PROXY_LISTEN", getenv, f.Listen); err != nil {
		return nil, err
	}
	if c.Discovery, err = address("discovery", "PROXY_DISCOVERY", getenv, f.Discovery); err != nil {
		return nil, err
	}
	if getenv("PROXY_ADMIN_ADDR") != "" || f.Admin != "" {
		if c.Admin, err = address("admin_addr", "PROXY_ADMIN_ADDR", getenv, f.Admin); err != nil {
			return nil, err
		}
	}
	switch l := c.Limits; {
	case !(l.Cores > 0):
		return nil, fmt.Errorf("limits.cores: %v is no number of cores", l.Cores)
	case l.MemoryMB < leastMemoryMB:
		return nil, fmt.Errorf("limits.memory_mb: %d is under the least, %d", l.MemoryMB, leastMemoryMB)
	case l.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %d is under the least, %d", l.Sockets, leastSockets)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Names, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, err // it names settings itself
	}
	c.Document = f.Settings
	if err := checkSettings(c.Settings, c.Names); err != nil {
		return nil, err
	}
	// On sockets a list that is pushed comes by a watch too: of the agent on this machine.
	c.Settings.Subscribe = true
	// Without these every connection would fail at once, or be closed as soon as it is idle.
	limits := &c.Settings.Limits
	limits.ConnectTimeout = cmp.Or(limits.ConnectTimeout, defaultConnect)
	limits.ConnIdle = cmp.Or(limits.ConnIdle, defaultIdle)
	if f.Seed == "" {
		return nil, errors.New("seed: missing")
	}
	if c.Settings.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Known) > 0 {
		if c.Known, err = discovery.ParseList(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

func address(key, variable string, getenv func(string) string, inFile string) (string, error) {
	a := cmp.Or(getenv(variable), inFile)
	if a == "" {
		return "", fmt.Errorf("%s: missing (%s or the key %s)", key, variable, key)
	}
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return "", fmt.Errorf("%s: %q is no host:port", key, a)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
		return "", fmt.Errorf("%s: %q needs a host and a numeric port, not %q and %d", key, a, host, n)
	}
	return a, nil
}

func orDefault[T any](p *T, d T) T {
	if p == nil {
		return d
	}
	return *p
}
