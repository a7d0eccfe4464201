// Package daemon runs the dispatcher as the platform starts it: by its environment, until a signal.
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

// Run serves by the PROXY_* variables of an environment until a signal to end comes.
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

// Signals is the signals that a dispatcher obeys.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Logger writes events to standard error, one a line: format is "text" or "json", level "debug",
// "info", "warn" or "error"; empty ones are text and info.
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
		return slog.New(slog.NewTextHandler(newLines(os.Stderr), o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(newLines(os.Stderr), o)), nil
	}
	return nil, fmt.Errorf("WINGLB_LOG: %q is neither text nor json", format)
}
