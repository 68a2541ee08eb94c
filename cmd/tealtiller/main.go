// Command tealtiller is a balancer for long-lived TCP connections. Without a sub-command it serves. It is configured
// by the environment: EDGE_CONFIG names the configuration, EDGE_OPERATOR the operator's file.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"tealtiller/internal/discovery"
	"tealtiller/internal/net"
	"tealtiller/internal/operator"
	"tealtiller/internal/settings"
)

// commands are the sub-commands and global flags.
type commands struct {
	LogFormat string     `enum:"text,json" default:"text" env:"EDGE_LOG_FORMAT" help:"Format of the log: ${enum}."`
	LogLevel  slog.Level `default:"info" env:"EDGE_LOG_LEVEL" help:"Lowest level that is logged; debug adds each attempt, report and move."`

	Serve   serve   `cmd:"" default:"withargs" help:"Serve clients; the default sub-command."`
	Check   check   `cmd:"" help:"Check operator's files and report every error; exit code 1 if there is one."`
	Cells   inspect `cmd:"" help:"Print the desk hosts and carriers of each cell, and the progress of each move."`
	Plan    plan    `cmd:"" help:"Plan placement: make a plan, check plans, compare two, gather a fleet from records."`
	Version version `cmd:"" help:"Print the version."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("tealtiller"), kong.UsageOnError(),
		kong.Description("A balancer for long-lived connections, configured by its environment (README.md)."))
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := k.Run(&c); err != nil {
		var all operator.ErrorList
		if errors.As(err, &all) {
			for _, line := range all {
				fmt.Fprintln(os.Stderr, line)
			}
		} else {
			fmt.Fprintf(os.Stderr, "tealtiller: %v\n", err)
		}
		os.Exit(1)
	}
}

// version is the sub-command that prints the version.
type version struct{}

func (version) Run(out io.Writer) error {
	info, _ := debug.ReadBuildInfo()
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Fprintf(out, "tealtiller revision %s, %s\n", revision, info.GoVersion)
	return err
}

// serve is the sub-command that runs the balancer.
type serve struct {
	Operator string `env:"EDGE_OPERATOR" help:"The operator's file; without one, the features configured in it are off."`
}

// Run serves until the node has drained or its listener fails.
func (s serve) Run(c *commands) error {
	options := &slog.HandlerOptions{Level: c.LogLevel}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, options)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(os.Stderr, options)
	}
	// Without this, a log that nobody reads any more would end the process.
	signal.Ignore(syscall.SIGPIPE)
	signals, stop := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	// These have a channel of their own; otherwise they would wait behind other signals, or be dropped if the channel
	// is full.
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	source := settings.NewSource(os.Getenv)
	load := func() (config net.NodeConfig, err error) {
		// The operator's file is read first: source.Load counts the configuration as loaded, which must not happen if
		// the operator's file is refused.
		if s.Operator != "" {
			file, err := operator.Load(s.Operator)
			if err != nil {
				return config, err
			}
			config.CellPlan, config.Placement, config.Failover = file.Cells, file.Placement, file.Failover
		}
		config.Config, err = source.Load()
		return config, err
	}
	config, err := load()
	if err != nil {
		return err
	}
	known := &discovery.List{}
	if len(config.KnownHosts) > 0 {
		if known, err = discovery.Parse(config.KnownHosts); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	// The event loop spends most of its time in a system call. With a single processor for Go code, goroutines woken
	// by the loop would wait until the runtime's monitor takes the processor away from it.
	runtime.GOMAXPROCS(4)
	node := net.NewNode(config, known, os.Stderr, os.Getenv("TMPDIR"), slog.New(handler))
	go func() {
		for range stop {
			node.Drain()
		}
	}()
	go func() {
		for received := range signals {
			if received == syscall.SIGHUP {
				node.Reload(load)
			} else {
				node.DumpMetrics()
			}
		}
	}()
	return node.Run()
}
