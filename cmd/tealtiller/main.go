// Command tealtiller is a balancer for long-lived connections on real sockets. It is told all it needs by the
// environment: EDGE_CONFIG names its configuration.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	source := settings.NewSource(os.Getenv)
	cfg, err := source.Load()
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
	node := net.NewNode(cfg, known, os.Stderr, os.Getenv("TMPDIR"))
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGHUP:
				node.Reload(source.Load)
			case syscall.SIGUSR1:
				node.Report()
			default:
				node.Drain()
			}
		}
	}()
	return node.Run()
}
