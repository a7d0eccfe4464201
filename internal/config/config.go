// Package config reads the program's configuration, checks it and fills in defaults.
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

// Defaults and minimums of the limits.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 128
	defaultConnect  = time.Second
	defaultIdle     = 30 * time.Second
)

// Config is the configuration that a dispatcher starts with.
type Config struct {
	Name      string
	Listen    string // address for clients and callbacks
	Discovery string // address of the discovery service
	Admin     string // address of the operators' interface; empty: none
	Dir       string // directory for files that successive processes of one dispatcher share
	Limits    Limits
	Known     dispatch.InstanceUpdate // the last known instance list; may be out of date
	Settings  decide.Settings
	Names     wire.Names

	Document []byte // the settings as JSON

	getenv func(string) string
	read   func() ([]byte, error)
	adjust func(*decide.Settings)
	text   []byte // of the configuration in force
}

// Limits holds the machine resources that the dispatcher may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// file is the JSON form of the file that PROXY_CONFIG names.
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
// names. A variable that is set overrides the file's key. Errors name the invalid key.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG: not set; it names the JSON file of the configuration")
	}
	return LoadFrom(getenv, nil, func() ([]byte, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			err = fmt.Errorf("PROXY_CONFIG: %w", err)
		}
		return text, err
	})
}

// LoadFrom is like Load, but gets the file's text from read, which each reload calls again. If adjust is not nil, it sets
// settings that the text cannot express.
func LoadFrom(getenv func(string) string, adjust func(*decide.Settings), read func() ([]byte, error)) (*Config, error) {
	text, err := read()
	if err != nil {
		return nil, err
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return nil, fmt.Errorf("%s: a JSON %s cannot be a %s", typeErr.Field, typeErr.Value, typeErr.Type)
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

// Reload reads the file again while the program runs. The file's discovery address overrides the variable, which
// still holds the address of the program's start. A file that lacks a key of the configuration in force is rejected,
// as it may be only partly written.
func (c *Config) Reload() (*Config, error) {
	next, err := LoadFrom(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return c.getenv(name)
	}, c.adjust, c.read)
	if err != nil {
		return nil, err
	}
	var updated, current map[string]any
	if err := errors.Join(json.Unmarshal(next.text, &updated), json.Unmarshal(c.text, &current)); err != nil {
		return nil, err
	}
	for _, key := range []string{"known", "admin_addr"} { // optional
		delete(current, key)
	}
	return next, checkKeysKept(updated, current, "")
}

// SetInForce records that next is in force from now on.
func (c *Config) SetInForce(next *Config) { c.text = next.text }

// checkKeysKept returns an error that names a key of current which updated lacks. Each element of a list must have the
// keys that all elements of the current list have in common.
func checkKeysKept(updated, current any, path string) error {
	switch current := current.(type) {
	case map[string]any:
		updated, ok := updated.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(current)) {
			name := strings.TrimPrefix(path+"."+key, ".")
			if value, found := updated[key]; !ok || !found {
				return fmt.Errorf("%s: missing", name)
			} else if err := checkKeysKept(value, current[key], name); err != nil {
				return err
			}
		}
	case []any:
		updated, ok := updated.([]any)
		if !ok {
			return fmt.Errorf("%s: not a list", path)
		}
		for i, value := range updated {
			if err := checkKeysKept(value, commonKeys(current), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys returns an object with the keys that all elements of list have, or nil if an element is not an object.
func commonKeys(list []any) any {
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

// KeysChangedAtRestart returns the keys whose values differ in next and take effect only at the next start.
func (c *Config) KeysChangedAtRestart(next *Config) (keys []string) {
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

// checkSettings rejects settings that a dispatcher cannot work with.
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

// check validates the file and merges it with the variables and the defaults.
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
	case l.MemoryMB < minMemoryMB:
		return nil, fmt.Errorf("limits.memory_mb: %d is under the least, %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: %d is under the least, %d", l.Sockets, minSockets)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Names, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, err // it already names the settings key
	}
	c.Document = f.Settings
	if err := checkSettings(c.Settings, c.Names); err != nil {
		return nil, err
	}
	// With real connections a pushed instance list arrives through a watch, too: on the agent of this machine.
	c.Settings.Subscribe = true
	// With zero values each connection would fail at once, or be closed as soon as it is idle.
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

// address returns the host and port that variable holds, or else the file's value.
func address(key, variable string, getenv func(string) string, fileValue string) (string, error) {
	a := cmp.Or(getenv(variable), fileValue)
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

func orDefault[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}
