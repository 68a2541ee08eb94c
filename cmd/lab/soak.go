package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"tealtiller/internal/lab/soak"
)

// soakCommand plays runs on real processes and checks them.
type soakCommand struct {
	Seeds  int    `default:"1" help:"Number of runs, one for each seed from --seed on."`
	At     int    `default:"4" help:"Number of runs at a time."`
	Kind   string `enum:"mixed,crossings,endings" default:"mixed" help:"Kind of the scripts that are drawn: ${enum}; crossings lets events coincide that rarely do, endings ends established connections in many ways."`
	Script string `type:"existingfile" help:"Play this script, as written to --folder, instead of drawn ones; --seeds is the number of times."`
	Folder string `type:"path" help:"Folder for the script, the logs and the record of each run that broke a rule."`
	Plant  string `enum:",longer_grace,late_calls,more_attempts,longer_window,early_kill,safe_classes" default:"" help:"Plant a fault that the check of the rules must find: one of ${enum}."`
	balancerFlags
}

// soakFigures are the figures of all runs, printed as the last line in JSON.
type soakFigures struct {
	Runs     int            `json:"runs"`
	Broken   int            `json:"broken"`
	Failed   int            `json:"failed"`
	Requests int            `json:"requests"`
	Attempts int            `json:"attempts"`
	Lines    int            `json:"lines"`
	Answers  map[string]int `json:"answers"`
	Rules    map[string]int `json:"rules"`
	LateMS   int64          `json:"late_ms"` // longest scheduling delay of a run's own goroutines
}

// Run plays the runs, and exits with code 1 if a rule was broken or a run failed.
func (c soakCommand) Run(out io.Writer) error {
	plant, err := c.plantedFault()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	figures := soakFigures{Answers: map[string]int{}, Rules: map[string]int{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan bool, max(c.At, 1))
	for i := range c.Seeds {
		slots <- true
		group.Go(func() {
			defer func() { <-slots }()
			seed := c.Seed + uint64(i)
			script, err := c.script(seed)
			if err != nil {
				fmt.Fprintln(out, err)
				return
			}
			run := filepath.Join(folder, fmt.Sprint(i))
			result, err := soak.Play(script, soak.Options{Binary: c.Binary, Folder: run, PlantedFault: plant})
			mu.Lock()
			defer mu.Unlock()
			figures.add(out, seed, result, err)
			if err == nil && len(result.Violations) > 0 && c.Folder != "" {
				if err := saveRun(filepath.Join(c.Folder, fmt.Sprint(seed)), run, script, result); err != nil {
					fmt.Fprintln(out, err)
				}
			}
			_ = os.RemoveAll(run)
		})
	}
	group.Wait()
	if err := json.NewEncoder(out).Encode(figures); err != nil {
		return err
	}
	if figures.Broken > 0 || figures.Failed > 0 {
		os.Exit(1)
	}
	return nil
}

func (c soakCommand) plantedFault() (soak.PlantedFault, error) {
	if c.Plant == "" {
		return soak.NoPlantedFault, nil
	}
	for _, p := range soak.PlantedFaults() {
		if p.String() == c.Plant {
			return p, nil
		}
	}
	return soak.NoPlantedFault, fmt.Errorf("unknown planted fault %q", c.Plant)
}

// script reads the script of the file, if one is given, or draws the script of a seed.
func (c soakCommand) script(seed uint64) (*soak.Script, error) {
	switch {
	case c.Script != "":
	case c.Kind == "crossings":
		return soak.DrawCrossings(seed), nil
	case c.Kind == "endings":
		return soak.DrawEndings(seed), nil
	default:
		return soak.Draw(seed), nil
	}
	text, err := os.ReadFile(c.Script)
	if err != nil {
		return nil, err
	}
	return soak.Parse(text)
}

// add prints the result of a run and counts it.
func (f *soakFigures) add(out io.Writer, seed uint64, result *soak.Result, err error) {
	f.Runs++
	if err != nil {
		f.Failed++
		fmt.Fprintf(out, "seed %d: run failed: %v\n", seed, err)
		return
	}
	f.Requests += result.Requests
	f.Attempts += result.Attempts
	f.Lines += result.Lines
	f.LateMS = max(f.LateMS, result.MaxSchedulingDelay.Milliseconds())
	for _, answer := range slices.Sorted(maps.Keys(result.Answers)) {
		f.Answers[answer] += result.Answers[answer]
	}
	verdict := "no rule broken"
	if len(result.Violations) > 0 {
		f.Broken++
		verdict = fmt.Sprintf("%d BROKEN", len(result.Violations))
	}
	fmt.Fprintf(out, "seed %d: %s; %d requests, %d attempts, %d lines, own scheduling delay at most %v\n",
		seed, verdict, result.Requests, result.Attempts, result.Lines, result.MaxSchedulingDelay)
	for _, b := range result.Violations {
		f.Rules[b.Rule]++
		fmt.Fprintf(out, "  %s\n", b)
	}
}

// saveRun writes the script, the record and the logs of a run to a folder.
func saveRun(folder, run string, script *soak.Script, result *soak.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(script, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "script.json"), text, 0o644); err != nil {
		return err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	defer record.Close()
	for _, e := range result.Events {
		fmt.Fprintln(record, e)
	}
	logs, err := filepath.Glob(filepath.Join(run, "*", "log"))
	if err != nil {
		return err
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			return err
		}
		name := filepath.Base(filepath.Dir(log)) + ".log"
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
