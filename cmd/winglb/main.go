// Command winglb is the real dispatcher: it takes commands from service clients and
// has instances do them, as the decision module says.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"caperrelay/internal/config"
	"caperrelay/internal/program"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "winglb:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	p, err := program.New(c, log.New(os.Stderr, fmt.Sprintf("%s[%d] ", c.Name, os.Getpid()), log.LstdFlags|log.Lmicroseconds))
	if err != nil {
		return err
	}
	return p.Run(signals)
}
