// Command tealtiller is a balancer for long-lived connections on real sockets. Without a sub-command it serves. It
// is told all it needs by the environment: EDGE_CONFIG names its configuration, EDGE_OPERATOR the operator's own file.
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

type commands struct {
	LogFormat string     `enum:"text,json" default:"text" env:"EDGE_LOG_FORMAT" help:"How the log is written: ${enum}."`
	LogLevel  slog.Level `default:"info" env:"EDGE_LOG_LEVEL" help:"The least that is logged: debug adds each attempt, report and move."`

	Serve   serve   `cmd:"" default:"withargs" help:"Serve clients; what runs where no sub-command is named."`
	Check   check   `cmd:"" help:"Check operator's files and tell every error; exit code 1 if there is one."`
	Cells   inspect `cmd:"" help:"Print which desk host and carrier is in which cell, and what each move would do."`
	Plan    plan    `cmd:"" help:"Work out placement ahead: make a plan, check it, compare two, gather a fleet from records."`
	Version version `cmd:"" help:"Print the version."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("tealtiller"), kong.UsageOnError(),
		kong.Description("A balancer for long-lived connections. Its environment tells it all it needs (README.md)."))
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

type serve struct {
	Operator string `env:"EDGE_OPERATOR" help:"The operator's own file; without one all in it is off."`
}

// Run serves until the node has drained or its listener fails.
func (s serve) Run(c *commands) error {
	options := &slog.HandlerOptions{Level: c.LogLevel}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, options)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(os.Stderr, options)
	}
	signal.Ignore(syscall.SIGPIPE) // danger: a log that nobody reads any more would end the process
	signals, stop := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT) // danger: behind others it would wait, or find no place and be lost
	source := settings.NewSource(os.Getenv)
	load := func() (t net.NodeConfig, err error) {
		// The operator's file first: a configuration that was read counts as taken.
		if s.Operator != "" {
			file, err := operator.Load(s.Operator)
			if err != nil {
				return t, err
			}
			t.CellPlan, t.Placement, t.Failover = file.Cells, file.Placement, file.Failover
		}
		t.Config, err = source.Load()
		return t, err
	}
	terms, err := load()
	if err != nil {
		return err
	}
	known := &discovery.List{}
	if len(terms.KnownHosts) > 0 {
		if known, err = discovery.Parse(terms.KnownHosts); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	// The loop sits in a system call most of the time. With one processor for Go code, what it wakes would
	// wait until the runtime's monitor takes that processor away from it.
	runtime.GOMAXPROCS(4)
	node := net.NewNode(terms, known, os.Stderr, os.Getenv("TMPDIR"), slog.New(handler))
	go func() {
		for range stop {
			node.Drain()
		}
	}()
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				node.Reload(load)
			} else {
				node.DumpMetrics()
			}
		}
	}()
	return node.Run()
}
