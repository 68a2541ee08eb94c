// Command lab is the laboratory: it plays simulated fleets with scheduled faults, runs proofs that report figures, and
// draws plots. It is a program of its own so that the balancer does not link its dependencies (plots, simulation).
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"tealtiller/internal/lab"
)

// commands are the sub-commands of lab; the name of each field is the name of a command.
type commands struct {
	Run     run         `cmd:"" help:"Play an experiment on loopback sockets against real balancers; JSON goes to --out."`
	Virtual virtual     `cmd:"" help:"Play an experiment in virtual time."`
	Compare compare     `cmd:"" help:"Compare two results of run side by side."`
	Prove   prove       `cmd:"" help:"Run a proof; one JSON line of figures comes last, exit code 1 if a requirement is violated."`
	Soak    soakCommand `cmd:"" help:"Play real processes under faults drawn from a seed, and check them against the rules; exit code 1 if a rule is broken."`
	Count   count       `cmd:"" help:"Count the logs of a fleet by second and desk host; they must be written at the debug level."`
	Site    site        `cmd:"" help:"Generate a deployment that nobody has seen before, from a seed, in the format that the operators' bench reads."`
	Up      up          `cmd:"" help:"Start a small fleet with light load, and print live figures until Ctrl-C."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("lab"), kong.UsageOnError(), kong.Description("The laboratory of tealtiller."))
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	k.FatalIfErrorf(k.Run())
}

// count counts the logs of a fleet.
type count struct {
	Folder string        `arg:"" type:"existingdir" help:"Folder of the logs: for each balancer one file NAME.log, or one folder with a file named log."`
	Warm   time.Duration `default:"22s" help:"How long a desk host is cold after its start."`
	JSON   bool          `name:"json" help:"Print JSON instead of tables."`
}

func (c count) Run(out io.Writer) error {
	counted, err := lab.CountLogs(c.Folder, c.Warm)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(counted)
	}
	return counted.Print(out)
}

// balancerFlags holds the flags of the commands that start balancers.
type balancerFlags struct {
	Binary string `default:"bin/tealtiller" type:"path" help:"Path of the balancer's binary."`
	Seed   uint64 `default:"1" help:"Seed of all random draws."`
}

// run plays an experiment on sockets.
type run struct {
	File    string `arg:"" type:"path" help:"File of the experiment."`
	Out     string `type:"path" help:"File for the result; standard output if not given."`
	NoCells bool   `help:"Play without the cells of the operator's file."`
	Folder  string `type:"path" help:"Folder for the balancers' logs and files; a temporary folder if not given."`
	balancerFlags
}

func (c run) Run(out io.Writer) error {
	exp, err := lab.Load(c.File)
	if err != nil {
		return err
	}
	folder := c.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "lab"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	}
	s, err := lab.NewSocketLab(exp, c.Seed, !c.NoCells, c.Binary, folder)
	if err != nil {
		return err
	}
	defer s.Close()
	outcome := s.Run()
	s.PrintCounters()
	text, err := json.MarshalIndent(outcome, "", "  ")
	if err != nil {
		return err
	}
	if c.Out != "" {
		return os.WriteFile(c.Out, append(text, '\n'), 0o644)
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

// virtual plays an experiment in virtual time.
type virtual struct {
	File    string `arg:"" type:"path" help:"File of the experiment."`
	Seed    uint64 `default:"1" help:"Seed of all random draws."`
	NoCells bool   `help:"Play without cells."`
}

func (c virtual) Run(out io.Writer) error {
	exp, err := lab.Load(c.File)
	if err != nil {
		return err
	}
	if err := exp.CheckVirtual(); err != nil {
		return err
	}
	harm := lab.NewVirtualLab(exp, c.Seed, !c.NoCells).Run()
	harm.WallTime = 0 // so that the same seed gives the same bytes
	return json.NewEncoder(out).Encode(harm)
}

// prove runs one proof.
type prove struct {
	What string `arg:"" enum:"drain,cells,move,size,placement,placement-size,placement-worth,failover" help:"The proof: one of ${enum}."`
	Dir  string `default:"lab" type:"path" help:"Folder of the experiments."`
	Plot string `type:"path" help:"Folder for the plots; none are drawn if not given."`
	balancerFlags
}

func (c prove) Run(out io.Writer) error {
	var v *lab.Verdict
	var comparisons []lab.FaultComparison
	var err error
	switch c.What {
	case "cells":
		v, err = lab.ProveCells(c.Dir, c.Seed, c.Binary)
	case "move":
		v, err = lab.ProveMove(c.Dir, c.Seed, c.Binary)
	case "failover":
		v, err = lab.ProveFailover(c.Dir, c.Seed, c.Binary)
	case "drain":
		v = lab.ProveDrain(c.Seed)
	case "size":
		v, comparisons, err = lab.ProveSize(c.Dir, c.Seed, runtime.NumCPU())
	case "placement":
		v, err = lab.ProvePlacement(c.Seed)
	case "placement-worth":
		v, err = lab.ProvePlacementWorth(c.Dir, c.Seed, c.Binary)
	case "placement-size":
		var all []lab.SolverRun
		v, all = lab.ProvePlacementSize(c.Seed)
		if c.Plot != "" {
			err = lab.PlotPlacement(filepath.Join(c.Plot, "placement-size.svg"), all)
		}
	}
	if err != nil {
		return err
	}
	if c.Plot != "" && comparisons != nil {
		if err := lab.PlotFaultHarm(filepath.Join(c.Plot, "cells-others.svg"), filepath.Join(c.Plot, "cells-stricken.svg"), comparisons); err != nil {
			return err
		}
	}
	if err := json.NewEncoder(out).Encode(v); err != nil {
		return err
	}
	if len(v.Violations) > 0 {
		os.Exit(1)
	}
	return nil
}

// up runs a small fleet to try the balancer out.
type up struct {
	Every time.Duration `default:"2s" help:"Interval between figures."`
	For   time.Duration `default:"24h" help:"Stop after this time."`
	Plan  string        `type:"path" help:"An operator's file; none if not given."`
	balancerFlags
}

func (c up) Run(out io.Writer) error {
	exp := &lab.Experiment{Duration: c.For.String(), Balancers: 1, Hosts: 4, PerCore: 12, Opens: 3, Life: "20s", Flights: 6, Settle: "0s", Pause: "2s"}
	if c.Plan != "" {
		exp.Dir, exp.Operator = filepath.Dir(c.Plan), filepath.Base(c.Plan)
	}
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	s, err := lab.NewSocketLab(exp, c.Seed, c.Plan != "", c.Binary, folder)
	if err != nil {
		return err
	}
	defer s.Close()
	clients, operators := s.Addresses(0)
	fmt.Fprintf(out, "4 simulated desk hosts, discovery and one balancer are running, with about 3 new clients per second.\n"+
		"  client address       %s\n  statistics           http://%s/admin/stats\n  log of the balancer  %s\n\nPaste this to open a connection (Ctrl-C ends it):\n"+
		"  (echo 'OPEN me-1 5c0f c=lookup,t=dyfed-air,d=1200,g=5c0f'; cat) | nc %s\n\n", clients, operators,
		filepath.Join(folder, "n0", "log"), strings.Replace(clients, ":", " ", 1))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		s.Run()
		close(ended)
	}()
	tick := time.NewTicker(c.Every)
	defer tick.Stop()
	for {
		select {
		case <-signals:
			fmt.Fprintln(out, "ending")
			return nil
		case <-ended:
			return nil
		case <-tick.C:
			text, err := s.Stats(0)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, time.Now().Format(time.TimeOnly), figures(text))
		}
	}
}

// figures selects the few statistics of a balancer that fit on one line.
func figures(text string) string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		name, rest, _ := strings.Cut(line, ":")
		value, _, _ := strings.Cut(rest, "|")
		switch name = strings.TrimPrefix(name, "svc."); {
		case name == "pending", name == "members", name == "members_unavailable", name == "upstream_requests",
			strings.HasSuffix(name, ".completed"), strings.HasSuffix(name, ".connections"):
			out = append(out, strings.TrimPrefix(name, "downstream_requests.")+" "+value)
		}
	}
	return strings.Join(out, ", ")
}
