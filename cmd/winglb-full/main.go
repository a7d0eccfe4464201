// Command winglb-full has all sub-commands of winglb. bin/winglb executes it for all but a plain serve, which keeps
// the daemon small on small machines.
package main

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"

	"github.com/alecthomas/kong"

	"caperrelay/internal/daemon"
	"caperrelay/internal/demo"
	"caperrelay/internal/full"
	"caperrelay/internal/nginx"
	"caperrelay/internal/prove"
	"caperrelay/internal/rig"
	"caperrelay/internal/siteconf"
)

type commands struct {
	Serve   serve          `name:"serve" cmd:"" help:"Run a dispatcher: by a TOML file, or by the PROXY_* variables as the platform starts it."`
	Check   check          `name:"check" cmd:"" help:"Read a TOML file and say what is wrong with it, one line a fault."`
	Demo    demoCommand    `name:"demo" cmd:"" help:"Run stand-in encoders, discovery, a daemon and a small load on this machine, and sum up."`
	Import  importCommand  `name:"import" cmd:"" help:"Take over another program's configuration."`
	Members membersCommand `name:"members" cmd:"" help:"Ask dispatchers who lives, and who watches the list service."`
	Lists   listsCommand   `name:"lists" cmd:"" help:"Ask dispatchers which list each has, from whom and how old it is."`
	Routes  routesCommand  `name:"routes" cmd:"" help:"Look at routes."`
	Prove   proveCommand   `name:"prove" cmd:"" help:"Run one of the measurements behind make prove-NAME."`
	Version version        `name:"version" cmd:"" help:"Print the version."`
	Rig     rigRole        `name:"rig" cmd:"" hidden:""`
}

type serve struct {
	Config string `name:"config" short:"c" type:"path" help:"TOML file; deploy/site.sample.toml tells its keys."`
}

func (s *serve) Run() error {
	if s.Config == "" {
		return daemon.Run(os.Getenv)
	}
	return full.Serve(s.Config, os.Getenv)
}

type check struct {
	File string `name:"file" arg:"" help:"TOML file."`
}

func (c *check) Run() error {
	s, err := full.Load(c.File, func(string) string { return "" })
	if err != nil {
		return err
	}
	fmt.Printf("%s: ok: %s listens at %s, %d classes, %d kinds of encoder", c.File, s.Config.Name, s.Config.Listen, len(s.File.Classes), len(s.File.Kinds))
	if s.File.Control != nil {
		fmt.Printf(", plug-ins at %s", s.File.Control.Listen)
	}
	fmt.Println()
	p, _, err := full.Pipelines(s.File)
	if p == nil || err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(p.Pipelines)) {
		fmt.Println(p.Pipelines[name])
	}
	return nil
}

type demoCommand struct {
	Seconds  int  `name:"seconds" default:"10" help:"How long the load lasts, 4 to 120."`
	Encoders int  `name:"encoders" default:"8" help:"How many stand-in encoders there are, 3 to 64."`
	Portals  int  `name:"portals" default:"4" help:"How many portal processes call through the plug-in, 0 to 40."`
	JSON     bool `name:"json" help:"Print the summary as one JSON object."`
}

func (d *demoCommand) Run() error {
	return demo.Run(demo.Options{Seconds: d.Seconds, Encoders: d.Encoders, Portals: d.Portals, JSON: d.JSON, Command: rigCommand})
}

// rigCommand returns the command for one of a rig's processes.
func rigCommand(role, file string) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	if role == "daemon" {
		return exec.Command(self, "serve", "--config", file)
	}
	return exec.Command(self, "rig", role, file)
}

type rigRole struct {
	Role string `name:"role" arg:""`
	File string `name:"file" arg:""`
}

func (r *rigRole) Run() error {
	switch r.Role {
	case "portal":
		return rig.Portal(r.File, os.Stdout)
	case "busy":
		rig.Spin()
	}
	return fmt.Errorf("unknown role %q", r.Role)
}

type proveCommand struct {
	Name string `name:"name" arg:"" enum:"plugin,memory,import,coldstart,deployments,promise,rerun,gang" help:"Which: plugin, memory, import, coldstart, deployments, promise, rerun or gang."`

	Seed  uint64 `name:"seed" default:"1" help:"Of deployments: the seed of the drawing."`
	Drawn int    `name:"drawn" default:"40" help:"Of deployments: how many are drawn."`
	Only  int    `name:"only" default:"-1" help:"Of deployments: replay this one alone, from 0."`
	Tell  bool   `name:"tell" help:"Of deployments: with what dispatchers log."`
	Small bool   `name:"small" help:"Of deployments: instead, a table of one small deployment by ways of cancelling, days and start notes."`

	Plays  int `name:"plays" default:"1" help:"Of rerun: how many plays; the last line has the sums over all."`
	AtOnce int `name:"at-once" default:"1" help:"Of rerun: how many of them at one time."`
	Busy   int `name:"busy" default:"0" help:"Of rerun: processes beside them that keep a processor busy each."`
}

func (p *proveCommand) Run() error {
	o := prove.Options{Command: rigCommand, Progress: os.Stderr}
	switch p.Name {
	case "memory":
		return prove.Memory(o)
	case "gang":
		return prove.Gang(o)
	case "import":
		return prove.Import(o)
	case "rerun":
		return prove.Reruns{Plays: p.Plays, AtOnce: p.AtOnce, Busy: p.Busy}.Run(o)
	case "coldstart":
		return prove.ColdStart(o)
	case "promise":
		return prove.Promise(o)
	case "deployments":
		return prove.Deployments{Seed: p.Seed, Drawn: p.Drawn, Only: p.Only, Tell: p.Tell, Small: p.Small}.Run(o)
	}
	return prove.Plugin(o)
}

type version struct{}

func (version) Run() error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("winglb %s %s %s/%s\n", revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("winglb"), kong.Description("Dispatches jobs to encoders: a daemon, and a plug-in for gRPC clients."), kong.UsageOnError())
	err := k.Run()
	if err == nil {
		return
	}
	switch e := err.(type) {
	case exitError:
		fmt.Fprintln(os.Stderr, "winglb:", e)
		os.Exit(e.code)
	case *siteconf.Error, *nginx.Error: // formatted as file:line: message, for editors
		fmt.Fprintln(os.Stderr, e)
		os.Exit(1)
	}
	fmt.Fprintln(os.Stderr, "winglb:", err)
	os.Exit(1)
}
