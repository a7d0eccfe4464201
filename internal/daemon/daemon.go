// Package daemon runs the dispatcher as the platform starts it: configured by environment variables, until a signal.
package daemon

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"caperrelay/internal/config"
	"caperrelay/internal/program"
)

// Run serves with the configuration that the PROXY_* variables give, until a signal ends the process.
func Run(getenv func(string) string) error {
	signals := Signals()
	c, err := config.Load(getenv)
	if err != nil {
		return err
	}
	logger, err := Logger(getenv("WINGLB_LOG"), getenv("WINGLB_LOG_LEVEL"))
	if err != nil {
		return err
	}
	p, err := program.New(c, logger.With("node", c.Name, "pid", os.Getpid()))
	if err != nil {
		return err
	}
	return p.Run(signals)
}

// Signals returns a channel of the signals that a dispatcher handles.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Logger returns a logger that writes to standard error, one event per line. format is "text" or "json", level "debug",
// "info", "warn" or "error". The defaults are text and info.
func Logger(format, level string) (*slog.Logger, error) {
	o := &slog.HandlerOptions{}
	if level != "" {
		var l slog.Level
		if err := l.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("WINGLB_LOG_LEVEL: %q is none of debug, info, warn, error", level)
		}
		o.Level = l
	}
	switch format {
	case "", "text":
		return slog.New(slog.NewTextHandler(newLineWriter(os.Stderr), o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(newLineWriter(os.Stderr), o)), nil
	}
	return nil, fmt.Errorf("WINGLB_LOG: %q is neither text nor json", format)
}
