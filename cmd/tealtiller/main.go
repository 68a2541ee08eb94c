// Command tealtiller is a balancer for long-lived connections on real sockets. It is told all it needs by the
// environment: EDGE_CONFIG names its configuration.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"tealtiller/internal/net"
	"tealtiller/internal/poolconfig"
	"tealtiller/internal/settings"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "tealtiller: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := settings.Load(os.Getenv)
	if err != nil {
		return err
	}
	known := &poolconfig.List{}
	if len(cfg.Known) > 0 {
		if known, err = poolconfig.Parse(cfg.Known); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	// The loop sits in a system call most of the time. With one processor for Go code, what it wakes would
	// wait until the runtime's monitor takes that processor away from it.
	runtime.GOMAXPROCS(4)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(cfg.MemoryMB << 20 * 3 / 4)
	}
	node := net.NewNode(cfg, known, os.Stderr)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				node.Report()
			} else {
				node.Drain()
			}
		}
	}()
	return node.Run()
}
