// Package routes decides what becomes of a plain HTTP request: which virtual host, which location, what its
// URI becomes, and which pool gets it. It does no I/O. Its order of choice is nginx's as published, so
// that imported files mean what they meant: see docs/import-design.md.
package routes

import "time"

// Config is routes as they are written, by hand or by the importer.
type Config struct {
	Servers []Server  `toml:"server"`
	Pools   []Pool    `toml:"pool,omitempty"`
	Vars    []Mapping `toml:"var,omitempty"`
	Zones   []Zone    `toml:"zone,omitempty"`
}

// Server is a virtual host.
type Server struct {
	Listen    []Listen   `toml:"listen,omitempty"`
	Names     []string   `toml:"names,omitempty"` // exact, *.x, .x, x.*, ~regex
	Steps     []Step     `toml:"step,omitempty"`
	Locations []Location `toml:"location,omitempty"`
	Keep      bool       `toml:"keep_slashes,omitempty"` // does not merge // into /
	Source    string     `toml:"source,omitempty"`
}

// Listen is an address that a server is reached at.
type Listen struct {
	Address string `toml:"address"` // host:port, or :port for any
	Default bool   `toml:"default,omitempty"`
	TLS     bool   `toml:"tls,omitempty"`
}

// Location is one of a server, or of another.
type Location struct {
	Modifier  string      `toml:"modifier,omitempty"` // "", "=", "^~", "~", "~*", "@"
	Pattern   string      `toml:"pattern"`
	Steps     []Step      `toml:"step,omitempty"`
	Pass      string      `toml:"pass,omitempty"`    // scheme://pool[URI], with variables
	Headers   [][2]string `toml:"headers,omitempty"` // for the pool's servers: names and values with variables; empty: not passed on
	Limits    []Limit     `toml:"limit,omitempty"`
	Within    string      `toml:"within,omitempty"`     // of a request, all attempts, as "30s"; empty: the front's
	Tries     int         `toml:"tries,omitempty"`      // servers that a request may go to; 0: as many as the module allows
	RepeatAll bool        `toml:"repeat_all,omitempty"` // what may have run may be sent again, whatever its method
	Locations []Location  `toml:"location,omitempty"`
	Source    string      `toml:"source,omitempty"`
}

// String is the location as it stands in a file.
func (l *Location) String() string {
	switch l.Modifier {
	case "":
		return l.Pattern
	case "@":
		return "@" + l.Pattern
	}
	return l.Modifier + " " + l.Pattern
}

// Step is one of the rewriting module's directives, done in order.
type Step struct {
	Do    string   `toml:"do"` // "rewrite", "return", "set", "if", "break", "named"
	Args  []string `toml:"args,omitempty"`
	Steps []Step   `toml:"step,omitempty"` // of an if
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
	Address  string `toml:"address"`
	Weight   int    `toml:"weight,omitempty"`
	Backup   bool   `toml:"backup,omitempty"`
	Down     bool   `toml:"down,omitempty"`
	MaxConns int    `toml:"max_conns,omitempty"`
	MaxFails *int   `toml:"max_fails,omitempty"`
	FailTime string `toml:"fail_timeout,omitempty"`
}

// Mapping is a variable whose value another one chooses.
type Mapping struct {
	Name  string      `toml:"name"`
	Kind  string      `toml:"kind"` // "map", "split", "geo"
	From  string      `toml:"from"`
	Cases [][2]string `toml:"cases"` // pattern and value
	Other string      `toml:"default,omitempty"`
	Hosts bool        `toml:"hostnames,omitempty"`
}

// Zone is what limits count by: a key with variables; an empty one is not counted.
type Zone struct {
	Name string  `toml:"name"`
	Key  string  `toml:"key"`
	Rate float64 `toml:"rate,omitempty"` // requests a second; 0: it counts requests at one time
	Keys int     `toml:"keys"`           // that are remembered
}

// Limit is a zone's at a location.
type Limit struct {
	Zone    string  `toml:"zone"`
	Burst   float64 `toml:"burst,omitempty"`
	Delay   float64 `toml:"delay,omitempty"`
	NoDelay bool    `toml:"nodelay,omitempty"`
	Most    int     `toml:"most,omitempty"` // listenerFor one time
	DryRun  bool    `toml:"dry_run,omitempty"`
}

// Limited is a Limit with the key of a request.
type Limited struct {
	Limit
	Key string
}

// Request is what routes look at.
type Request struct {
	Listen string // the address it came to
	TLS    bool
	Host   string
	Method string
	Target string // as the client wrote it
	Remote string // the client's address, without its port
	Header func(name string) string
}

// Decision is what becomes of a request.
type Decision struct {
	Server    string      // the first name of the virtual host
	Location  string      // as it stands in the file; empty: none
	Pool      string      // empty: it is answered here
	Scheme    string      // of the pool's servers
	URI       string      // for the pool's servers
	Key       string      // of the pool's hash, if it has one
	Headers   [][2]string // for the pool's servers, in place of the client's of the same names; empty: none
	Limits    []Limited
	Within    time.Duration // of the request; 0: the front's
	Tries     int           // servers that it may go to; 0: as many as the module allows
	RepeatAll bool          // it may be sent again though it may have run
	Status    int           // of an answer given here
	Text      string        // its body, or where it redirects to
	Why       []string      // step by step
}
