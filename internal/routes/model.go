// Package routes decides how a plain HTTP request is handled: by which virtual host and location, with which URI,
// and by which pool. It does no I/O. The order of selection is the one that nginx documents, so that imported
// files keep their meaning: see docs/import-design.md.
package routes

import "time"

// Config holds routes as they are configured, by hand or by the importer.
type Config struct {
	Servers []Server  `toml:"server"`
	Pools   []Pool    `toml:"pool,omitempty"`
	Vars    []Mapping `toml:"var,omitempty"`
	Zones   []Zone    `toml:"zone,omitempty"`
}

// Server is a virtual host.
type Server struct {
	Listen      []Listen   `toml:"listen,omitempty"`
	Names       []string   `toml:"names,omitempty"` // exact, *.x, .x, x.*, ~regex
	Steps       []Step     `toml:"step,omitempty"`
	Locations   []Location `toml:"location,omitempty"`
	KeepSlashes bool       `toml:"keep_slashes,omitempty"` // does not merge // into /
	Source      string     `toml:"source,omitempty"`
}

// Listen is an address that a server listens on.
type Listen struct {
	Address string `toml:"address"` // host:port, or :port for all addresses
	Default bool   `toml:"default,omitempty"`
	TLS     bool   `toml:"tls,omitempty"`
}

// Location is a location of a server, or nested in another location.
type Location struct {
	Modifier           string      `toml:"modifier,omitempty"` // "", "=", "^~", "~", "~*", "@"
	Pattern            string      `toml:"pattern"`
	Steps              []Step      `toml:"step,omitempty"`
	Pass               string      `toml:"pass,omitempty"`    // scheme://pool[URI], with variables
	Headers            [][2]string `toml:"headers,omitempty"` // names and values, with variables, for the pool's servers; empty value: not passed on
	Limits             []Limit     `toml:"limit,omitempty"`
	Timeout            string      `toml:"within,omitempty"`     // of a request with all its attempts, such as "30s"; empty: that of the front
	Tries              int         `toml:"tries,omitempty"`      // servers that a request may be sent to; 0: as many as the decision module allows
	RetryNonIdempotent bool        `toml:"repeat_all,omitempty"` // requests that may have been processed may be sent again, whatever their method
	Locations          []Location  `toml:"location,omitempty"`
	Source             string      `toml:"source,omitempty"`
}

// String returns the location as it is written in a file.
func (l *Location) String() string {
	switch l.Modifier {
	case "":
		return l.Pattern
	case "@":
		return "@" + l.Pattern
	}
	return l.Modifier + " " + l.Pattern
}

// Step is a directive of the rewrite module; they are carried out in order.
type Step struct {
	Action string   `toml:"do"` // "rewrite", "return", "set", "if", "break", "named" (continue in a named location)
	Args   []string `toml:"args,omitempty"`
	Steps  []Step   `toml:"step,omitempty"` // the body of an if
}

// Pool is a group of servers.
type Pool struct {
	Name    string   `toml:"name"`
	Method  string   `toml:"method,omitempty"` // "", "ip_hash", "hash", "consistent", "least_conn", "random"
	Key     string   `toml:"key,omitempty"`
	Members []Member `toml:"member,omitempty"`
	Source  string   `toml:"source,omitempty"`
}

// Member is a server of a pool.
type Member struct {
	Address     string `toml:"address"`
	Weight      int    `toml:"weight,omitempty"`
	Backup      bool   `toml:"backup,omitempty"`
	Down        bool   `toml:"down,omitempty"`
	MaxConns    int    `toml:"max_conns,omitempty"`
	MaxFails    *int   `toml:"max_fails,omitempty"`
	FailTimeout string `toml:"fail_timeout,omitempty"`
}

// Mapping is a variable whose value depends on another value.
type Mapping struct {
	Name      string      `toml:"name"`
	Kind      string      `toml:"kind"` // "map", "split", "geo"
	From      string      `toml:"from"`
	Cases     [][2]string `toml:"cases"` // pattern and value
	Default   string      `toml:"default,omitempty"`
	Hostnames bool        `toml:"hostnames,omitempty"`
}

// Zone counts requests per key, for limits; Key is a text with variables. Requests with an empty key are not counted.
type Zone struct {
	Name    string  `toml:"name"`
	Key     string  `toml:"key"`
	Rate    float64 `toml:"rate,omitempty"` // requests per second; 0: the zone counts concurrent requests
	MaxKeys int     `toml:"keys"`           // the number of keys that are kept
}

// Limit applies a zone to a location.
type Limit struct {
	Zone          string  `toml:"zone"`
	Burst         float64 `toml:"burst,omitempty"`
	Delay         float64 `toml:"delay,omitempty"`
	NoDelay       bool    `toml:"nodelay,omitempty"`
	MaxConcurrent int     `toml:"most,omitempty"` // concurrent requests
	DryRun        bool    `toml:"dry_run,omitempty"`
}

// KeyedLimit is a Limit with the key of a request.
type KeyedLimit struct {
	Limit
	Key string
}

// Request holds the properties of a request that routes depend on.
type Request struct {
	Listen string // the address that it was received on
	TLS    bool
	Host   string
	Method string
	Target string // as the client sent it
	Remote string // the client's address, without port
	Header func(name string) string
}

// Decision is how a request is handled.
type Decision struct {
	Server             string      // the first name of the virtual host
	Location           string      // as it is written in the file; empty: none
	Pool               string      // empty: the dispatcher answers itself
	Scheme             string      // of the pool's servers
	URI                string      // for the pool's servers
	Key                string      // the hash key of the pool, if it has one
	Headers            [][2]string // for the pool's servers, replacing the client's headers of these names; empty value: not passed on
	Limits             []KeyedLimit
	Timeout            time.Duration // time limit of the request; 0: that of the front
	Tries              int           // servers that it may be sent to; 0: as many as the decision module allows
	RetryNonIdempotent bool          // it may be sent again although it may have been processed
	Status             int           // of an answer that the dispatcher gives itself
	Text               string        // the body of that answer, or the target of its redirect
	Trace              []string      // a line for each step of the decision
}
