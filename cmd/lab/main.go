// Command lab is the laboratory: stand-in fleets, faults by schedule, proofs with figures, and plots. What it links
// (plots, simulation) the daemon does not.
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

type commands struct {
	Run     run         `cmd:"" help:"Play an experiment on loopback sockets against real balancers; JSON goes to --out."`
	Virtual virtual     `cmd:"" help:"Play an experiment in virtual time."`
	Compare compare     `cmd:"" help:"Put two results of run side by side."`
	Prove   prove       `cmd:"" help:"Run a proof; one JSON line of figures comes last, exit code 1 if a promise is broken."`
	Soak    soakCommand `cmd:"" help:"Play real processes under faults drawn from a seed, and judge them; exit code 1 if a rule is broken."`
	Count   count       `cmd:"" help:"Count the logs of a whole fleet by second and desk host; they must be written at the debug level."`
	Site    site        `cmd:"" help:"Write a deployment that nobody has looked at, from a seed, as the operators' bench reads it."`
	Up      up          `cmd:"" help:"Start a small fleet with light load, and show live figures until Ctrl-C."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("lab"), kong.UsageOnError(), kong.Description("The laboratory of tealtiller."))
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	k.FatalIfErrorf(k.Run())
}

type count struct {
	Folder string        `arg:"" type:"existingdir" help:"Of the logs: one file NAME.log, or one folder with a file named log, a balancer."`
	Warm   time.Duration `default:"22s" help:"For how long a desk host is cold after its start."`
	JSON   bool          `name:"json" help:"JSON in place of tables."`
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

type binary struct {
	Binary string `default:"bin/tealtiller" type:"path" help:"The balancer."`
	Seed   uint64 `default:"1" help:"Of all chance."`
}

type run struct {
	File    string `arg:"" type:"path" help:"An experiment."`
	Out     string `type:"path" help:"Where the result goes; standard output, if left out."`
	NoCells bool   `help:"Leave the operator's file out."`
	Folder  string `type:"path" help:"Where the balancers' logs and files stay; a folder that is removed, if left out."`
	binary
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
	s, err := lab.NewSockets(exp, c.Seed, !c.NoCells, c.Binary, folder)
	if err != nil {
		return err
	}
	defer s.Close()
	outcome := s.Run()
	s.Report()
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

type virtual struct {
	File    string `arg:"" type:"path" help:"An experiment."`
	Seed    uint64 `default:"1" help:"Of all chance."`
	NoCells bool   `help:"Leave the cells out."`
}

func (c virtual) Run(out io.Writer) error {
	exp, err := lab.Load(c.File)
	if err != nil {
		return err
	}
	if err := exp.InVirtualTime(); err != nil {
		return err
	}
	harm := lab.NewVirtual(exp, c.Seed, !c.NoCells).Run()
	harm.Busy = 0 // the same bytes for the same seed
	return json.NewEncoder(out).Encode(harm)
}

type prove struct {
	What string `arg:"" enum:"drain,cells,move,size,placement,placement-size,placement-worth,failover" help:"One of ${enum}."`
	Dir  string `default:"lab" type:"path" help:"Where the experiments are."`
	Plot string `type:"path" help:"A folder for pictures."`
	binary
}

func (c prove) Run(out io.Writer) error {
	var v *lab.Verdict
	var sized []lab.Sized
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
		v, sized, err = lab.ProveSize(c.Dir, c.Seed, runtime.NumCPU())
	case "placement":
		v, err = lab.ProvePlacement(c.Seed)
	case "placement-worth":
		v, err = lab.ProveWorth(c.Dir, c.Seed, c.Binary)
	case "placement-size":
		var all []lab.SizedPlan
		v, all = lab.ProvePlacementSize(c.Seed)
		if c.Plot != "" {
			err = lab.PlotPlacement(filepath.Join(c.Plot, "placement-size.svg"), all)
		}
	}
	if err != nil {
		return err
	}
	if c.Plot != "" && sized != nil {
		if err := lab.PlotSizes(filepath.Join(c.Plot, "cells-others.svg"), filepath.Join(c.Plot, "cells-stricken.svg"), sized); err != nil {
			return err
		}
	}
	if err := json.NewEncoder(out).Encode(v); err != nil {
		return err
	}
	if len(v.Broken) > 0 {
		os.Exit(1)
	}
	return nil
}

type up struct {
	Every time.Duration `default:"2s" help:"How often the figures are shown."`
	For   time.Duration `default:"24h" help:"End by itself after this."`
	Plan  string        `type:"path" help:"An operator's file; none, if left out."`
	binary
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
	s, err := lab.NewSockets(exp, c.Seed, c.Plan != "", c.Binary, folder)
	if err != nil {
		return err
	}
	defer s.Close()
	clients, operators := s.Addresses(0)
	fmt.Fprintf(out, "4 stand-in desk hosts, discovery and one balancer are up, with about 3 new clients a second.\n"+
		"  clients connect to   %s\n  operators ask        http://%s/admin/stats\n  its log              %s\n\nPaste this to open a connection (Ctrl-C ends it):\n"+
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

// figures is the few of the second address that fit a line.
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
