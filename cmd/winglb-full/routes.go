package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"caperrelay/internal/full"
	"caperrelay/internal/nginx"
	"caperrelay/internal/routes"
)

type importCommand struct {
	Nginx importNginx `name:"nginx" cmd:"" help:"Make routes and pools of an nginx file, and say of each directive what became of it."`
}

type importNginx struct {
	File   string `name:"file" arg:"" help:"The main file; includes are found from its folder."`
	Output string `name:"output" short:"o" help:"Write the routes here, as TOML."`
	Report string `name:"report" enum:"text,json" default:"text" help:"Form of the report: text or json."`
	Strict bool   `name:"strict" help:"End with 2 where something was approximated or not carried."`
}

// exitError is an error with its own exit code.
type exitError struct {
	code int
	error
}

func (c *importNginx) Run() error {
	config, report, err := full.ImportNginx(c.File)
	if err != nil {
		return err
	}
	if c.Output != "" {
		var text bytes.Buffer
		fmt.Fprintf(&text, "# Made of %s by winglb import nginx.\n\n", c.File)
		if err := toml.NewEncoder(&text).Encode(config); err != nil {
			return err
		}
		if err := os.WriteFile(c.Output, text.Bytes(), 0o644); err != nil {
			return err
		}
	}
	carried, approximated, notCarried := report.Count(nginx.Carried), report.Count(nginx.Approximated), report.Count(nginx.NotCarried)
	if c.Report == "json" {
		text, err := json.MarshalIndent(struct {
			*nginx.Report
			Carried      int `json:"carried"`
			Approximated int `json:"approximated"`
			NotCarried   int `json:"not_carried"`
			Servers      int `json:"servers"`
			Pools        int `json:"pools"`
		}{report, carried, approximated, notCarried, len(config.Servers), len(config.Pools)}, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	} else {
		for _, l := range report.Lines {
			note := l.Note
			if note != "" {
				note = ": " + note
			}
			fmt.Printf("%s:%d: %s: %s%s\n", l.File, l.Line, l.Directive, l.State, note)
		}
		fmt.Printf("%d directives: %d carried, %d approximated, %d not carried; %d servers, %d pools\n", len(report.Lines), carried, approximated, notCarried, len(config.Servers), len(config.Pools))
	}
	if c.Strict && approximated+notCarried > 0 {
		return exitError{2, fmt.Errorf("%d directives are approximated and %d not carried", approximated, notCarried)}
	}
	return nil
}

type routesCommand struct {
	Explain explain `name:"explain" cmd:"" help:"Say what becomes of a request: server, location, URI and pool, and why."`
}

type explain struct {
	Nginx  string   `name:"nginx" help:"An nginx file." xor:"from" required:""`
	Routes string   `name:"routes" help:"Routes as TOML." xor:"from" required:""`
	Listen string   `name:"listen" default:":80" help:"The address that the request comes to."`
	Host   string   `name:"host" help:"Its Host."`
	Method string   `name:"method" default:"GET" help:"Its method."`
	Remote string   `name:"remote" default:"127.0.0.1" help:"The client's address."`
	Header []string `name:"header" help:"A header field, as Name: value."`
	TLS    bool     `name:"tls" help:"It came by TLS."`
	JSON   bool     `name:"json" help:"Print one JSON object."`
	URI    string   `name:"uri" arg:"" help:"Its target, such as /a?b=c."`
}

func (c *explain) Run() error {
	config := &routes.Config{}
	if c.Nginx != "" {
		var err error
		if config, _, err = full.ImportNginx(c.Nginx); err != nil {
			return err
		}
	} else {
		var err error
		if config, err = full.ReadRoutes(c.Routes); err != nil {
			return err
		}
	}
	t, err := routes.Compile(config)
	if err != nil {
		return err
	}
	d := t.Decide(routes.Request{
		Listen: c.Listen, TLS: c.TLS, Host: c.Host, Method: c.Method, Target: c.URI, Remote: c.Remote,
		Header: func(name string) string {
			for _, h := range c.Header {
				if k, v, _ := strings.Cut(h, ":"); strings.EqualFold(k, name) {
					return strings.TrimSpace(v)
				}
			}
			if strings.EqualFold(name, "Host") {
				return c.Host
			}
			return ""
		},
	})
	var pool *routes.Pool
	for i := range config.Pools {
		if config.Pools[i].Name == d.Pool {
			pool = &config.Pools[i]
		}
	}
	if c.JSON {
		out := map[string]any{"server": d.Server, "location": d.Location, "pool": d.Pool, "upstream_uri": d.URI, "why": d.Trace}
		if d.Status != 0 {
			out["status"] = d.Status
		}
		if d.Text != "" {
			out["text"] = d.Text
		}
		if pool != nil {
			out["members"] = eligible(pool)
		}
		text, err := json.Marshal(out)
		if err != nil {
			return err
		}
		fmt.Println(string(text))
		return nil
	}
	for _, w := range d.Trace {
		fmt.Println(w)
	}
	if d.Status != 0 {
		fmt.Printf("answered here: %d %s\n", d.Status, d.Text)
	}
	if pool != nil {
		for _, m := range eligible(pool) {
			fmt.Printf("  %s: %s\n", m.Address, m.Why)
		}
	}
	return nil
}

type member struct {
	Address  string `json:"address"`
	Eligible bool   `json:"eligible"`
	Why      string `json:"why"`
}

// eligible lists the members of a pool, and which of them get requests while all members are healthy.
func eligible(p *routes.Pool) (all []member) {
	for _, m := range p.Members {
		weight := max(1, m.Weight)
		switch {
		case m.Down:
			all = append(all, member{m.Address, false, "down"})
		case m.Backup:
			all = append(all, member{m.Address, false, "backup: only while no other is eligible"})
		default:
			all = append(all, member{m.Address, true, fmt.Sprintf("weight %d", weight)})
		}
	}
	return all
}
