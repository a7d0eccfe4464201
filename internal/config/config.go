// Package config is the one place where the program's configuration is read,
// checked and given defaults.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"caperrelay/decide"
	"caperrelay/internal/dispatch"
	"caperrelay/internal/net/nametable"
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
	Known     dispatch.List // as last held; may be out of date
	Settings  decide.Settings
	Names     wire.Names

	getenv func(string) string
}

// Limits is what the machine allows.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// file is PROXY_CONFIG as it is written.
type file struct {
	Name, Listen, Discovery, Seed string
	Admin                         string `json:"admin_addr"`
	Limits                        struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// Load reads the PROXY_* variables through getenv and the file that PROXY_CONFIG
// names. A variable that is set wins over the file's key. Errors name the faulty key.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG: not set; it names the JSON file of the configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return nil, fmt.Errorf("%s: a JSON %s cannot be a %s", wrong.Field, wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("PROXY_CONFIG: %s: %w", path, err)
	}
	c, err := f.check(getenv)
	if err != nil {
		return nil, err
	}
	c.getenv = getenv
	return c, nil
}

// Reload reads the file anew, while the program runs. Its discovery wins over the variable,
// which still tells the address of the start.
func (c *Config) Reload() (*Config, error) {
	return Load(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return c.getenv(name)
	})
}

// AtRestart names the keys in which another configuration differs and that count from the
// next start on only.
func (c *Config) AtRestart(next *Config) (keys []string) {
	mine, its := c.Settings, next.Settings
	mine.Seed, its.Seed = 0, 0 // new with each start
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"admin_addr", c.Admin == next.Admin}, {"limits", c.Limits == next.Limits},
		{"settings", reflect.DeepEqual(mine, its) && reflect.DeepEqual(c.Names, next.Names)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
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
		if c.Known, err = nametable.ParseList(f.Known); err != nil {
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
