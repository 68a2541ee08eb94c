package lab

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Verdict is the figures of a proof and the requirements that it found violated.
type Verdict struct {
	Proof      string
	Seed       uint64
	Figures    map[string]any
	Violations []string
}

// MarshalJSON writes the verdict and its figures as one flat object.
func (v *Verdict) MarshalJSON() ([]byte, error) {
	out := map[string]any{"proof": v.Proof, "seed": v.Seed, "broken": append([]string{}, v.Violations...)}
	maps.Copy(out, v.Figures)
	return json.Marshal(out)
}

// check records a violation unless a requirement holds.
func (v *Verdict) check(holds bool, format string, args ...any) {
	if !holds {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// checkRules checks the rules that every run on sockets must keep.
func (v *Verdict) checkRules(run string, o Outcome) {
	for name, n := range map[string]int{"lost": o.Lost, "answered twice": o.Doubled, "two in flight": o.TwoInFlight, "foreign cell": o.Foreign,
		"sent after a drain": o.LateDrains, "cold hosts overloaded": o.OverloadFailures, "cut off": o.Cut, "crashed": o.Crashed} {
		v.check(n == 0, "%s: %s: %d", run, name, n)
	}
	v.check(o.MaxAttempts <= 6, "%s: %d attempts", run, o.MaxAttempts)
	v.check(o.Served > 0, "%s: no client was served", run)
}

// playOnSockets plays an experiment on sockets in a temporary folder.
func playOnSockets(e Experiment, seed uint64, withCells bool, binary string) (o Outcome, s *SocketLab, err error) {
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		return o, nil, err
	}
	defer os.RemoveAll(folder)
	if s, err = NewSocketLab(&e, seed, withCells, binary, folder); err != nil {
		return o, nil, err
	}
	defer s.Close()
	o = s.Run()
	if e.Record {
		s.recordedFleet, s.recordedFleetErr = s.GatherRecords()
	}
	return o, s, nil
}

// ProveCells plays the same seed without faults, with faults in one cell, and with the same faults but no cells. The
// faults must not affect the other cells: no attempt at a host of a foreign cell, no more refused or failed clients,
// and durations within a tenth.
func ProveCells(dir string, seed uint64, binary string) (*Verdict, error) {
	exp, err := Load(filepath.Join(dir, "cells.hcl"))
	if err != nil {
		return nil, err
	}
	calm := *exp
	calm.Faults = nil
	v := &Verdict{Proof: "cells", Seed: seed, Figures: map[string]any{}}
	runs := map[string]Outcome{}
	for _, run := range []struct {
		name  string
		exp   Experiment
		cells bool
	}{{"calm", calm, true}, {"trouble", *exp, true}, {"no_cells", *exp, false}} {
		o, _, err := playOnSockets(run.exp, seed, run.cells, binary)
		if err != nil {
			return nil, err
		}
		runs[run.name] = o
		if run.cells { // the run without cells may break the rules that cells are for
			v.checkRules(run.name, o)
		}
		v.Figures[run.name] = o.Cells
	}
	sum := func(pick func(Outcome) int) int { return pick(runs["calm"]) + pick(runs["trouble"]) }
	v.Figures["lost"] = sum(func(o Outcome) int { return o.Lost })
	v.Figures["doubled"] = sum(func(o Outcome) int { return o.Doubled })
	v.Figures["foreign"] = sum(func(o Outcome) int { return o.Foreign })
	v.Figures["opens"] = sum(func(o Outcome) int { return o.Opens })
	worst, contrast := 0.0, 0.0
	for name, before := range runs["calm"].Cells {
		after, without := runs["trouble"].Cells[name], runs["no_cells"].Cells[name]
		if name == "large" || after == nil || without == nil {
			continue
		}
		v.check(after.Refused <= before.Refused, "cell %s: %d refused, %d in the calm run", name, after.Refused, before.Refused)
		v.check(after.Failed <= before.Failed, "cell %s: %d failed, %d in the calm run", name, after.Failed, before.Failed)
		for _, q := range []float64{50, 99} {
			for what, times := range map[string][3]time.Duration{"set-up": {before.SetupQuantile(q), after.SetupQuantile(q), without.SetupQuantile(q)},
				"line": {before.LineQuantile(q), after.LineQuantile(q), without.LineQuantile(q)}} {
				grown := math.Abs(float64(times[1])/float64(times[0]) - 1)
				worst, contrast = max(worst, grown), max(contrast, float64(times[2])/float64(times[0])-1)
				v.check(grown <= 0.1, "cell %s: %s p%.0f %v, %v in the calm run", name, what, q, times[1], times[0])
			}
		}
	}
	v.Figures["worst_change_others"] = math.Round(worst*1000) / 1000
	v.Figures["worst_change_without_cells"] = math.Round(contrast*1000) / 1000
	return v, nil
}

// ProveMove moves a carrier between cells under load; a drain and a restart of a balancer occur during the move.
func ProveMove(dir string, seed uint64, binary string) (*Verdict, error) {
	exp, err := Load(filepath.Join(dir, "move.hcl"))
	if err != nil {
		return nil, err
	}
	v := &Verdict{Proof: "move", Seed: seed, Figures: map[string]any{}}
	o, s, err := playOnSockets(*exp, seed, true, binary)
	if err != nil {
		return nil, err
	}
	v.checkRules("move", o)
	longestInBoth, atStart, inOldCell, inNewCell, lastMove := s.MoveFigures()
	m := s.plan.Moves[0]
	v.check(o.MovedTwice == 0, "%d clients were moved more than once", o.MovedTwice)
	v.check(longestInBoth <= m.Duration, "a flight had connections in both cells for %v, longer than the move's %v", longestInBoth, m.Duration)
	v.check(inOldCell == 0, "%d connections remained in the old cell", inOldCell)
	v.check(lastMove <= m.Duration, "the last client was moved %v after the start, later than the move's %v", lastMove, m.Duration)
	v.check(atStart >= 300, "%d connections were established when the move began, want at least 300", atStart)
	v.Figures = map[string]any{"lost": o.Lost, "doubled": o.Doubled, "foreign": o.Foreign, "opens": o.Opens, "served": o.Served,
		"refused": o.Refused, "failed": o.Failed, "moves": o.Moves, "followed": o.PlanMoves, "moved_twice": o.MovedTwice, "stood_at_start": atStart, "left_in_old_cell": inOldCell,
		"stand_in_new_cell": inNewCell, "longest_in_both_s": roundSeconds(longestInBoth), "last_moved_after_s": roundSeconds(lastMove), "span_s": roundSeconds(m.Duration),
		"late_drains": o.LateDrains, "cut": o.Cut}
	return v, nil
}

func roundSeconds(d time.Duration) float64 { return math.Round(d.Seconds()*100) / 100 }

// FaultComparison is the harm of one fault with cells and without.
type FaultComparison struct {
	Fault         string
	With, Without Harm
}

// share is the share of the connections that were harmed.
func (t Tally) share() float64 { return float64(t.Harmed) / max(float64(t.Connections), 1) }

// sizeFaults target the first carrier and its cell; a crash hits the same hosts without cells.
var sizeFaults = []Fault{
	{Kind: "heavy", At: "12s", For: "20s", Size: 12, Carrier: "air-00"},
	{Kind: "hot-key", At: "12s", For: "20s", Part: 0.25, Carrier: "air-00"},
	{Kind: "crash", At: "12s", For: "12s", Part: 0.25, Cell: "cell-00"},
	{Kind: "errors", At: "12s", For: "15s", Part: 0.25, Size: 0.7, Cell: "cell-00"},
	{Kind: "deploy", At: "12s", For: "20s", Part: 0.9, Cell: "cell-00"},
	{Kind: "drop", At: "12s", For: "1s", Part: 0.5, Carrier: "air-00"},
}

// ProveSize plays each kind of fault in virtual time. Without cells, a fraction of the load is played on hosts that are
// smaller by the same factor, because the cost of a decision grows with the list and the connections.
func ProveSize(dir string, seed uint64, workers int) (*Verdict, []FaultComparison, error) {
	exp, err := Load(filepath.Join(dir, "size.hcl"))
	if err != nil {
		return nil, nil, err
	}
	if err := exp.CheckVirtual(); err != nil {
		return nil, nil, err
	}
	began := time.Now()
	out := make([]FaultComparison, len(sizeFaults))
	jobs, done := make(chan func()), sync.WaitGroup{}
	for range workers {
		done.Add(1)
		go func() {
			defer done.Done()
			for job := range jobs {
				job()
			}
		}()
	}
	for _, with := range []bool{false, true} {
		for i, f := range sizeFaults {
			e := *exp
			e.Faults = []Fault{f}
			out[i].Fault = f.Kind
			if !with {
				e.Opens, e.PerCore = e.Opens/loadDivisorWithoutCells, e.PerCore/loadDivisorWithoutCells
			}
			jobs <- func() {
				harm := NewVirtualLab(&e, seed, with).Run()
				if with {
					out[i].With = harm
				} else {
					out[i].Without = harm
				}
			}
		}
	}
	close(jobs)
	done.Wait()
	changes, moved, required, unevenness := Churn(exp, seed, 0.1)
	v := &Verdict{Proof: "size", Seed: seed, Figures: map[string]any{}}
	connections := 0
	for _, s := range out {
		connections += s.With.Targeted.Connections + s.With.Others.Connections
		for run, h := range map[string]Harm{"with cells": s.With, "without": s.Without} {
			v.check(h.Lost == 0 && h.Doubled == 0 && h.Foreign == 0, "%s, %s: lost %d, answered twice %d, foreign cell %d", s.Fault, run, h.Lost, h.Doubled, h.Foreign)
		}
		v.check(s.With.OverloadFailures == 0, "%s: %d cold hosts failed from overload", s.Fault, s.With.OverloadFailures)
		v.check(s.With.Others.share() <= s.Without.Others.share()+0.002, "%s: the other carriers are harmed more with cells than without", s.Fault)
		v.Figures[s.Fault] = map[string]float64{"others_with": round4(s.With.Others.share()), "others_without": round4(s.Without.Others.share()),
			"stricken_with": round4(s.With.Targeted.share()), "stricken_without": round4(s.Without.Targeted.share())}
	}
	v.check(connections >= 900_000, "%d connections, want at least 900000", connections)
	v.check(float64(moved) <= 3*float64(changes), "%d hosts changed their cell in %d changes of the list", moved, changes)
	v.Figures["connections"], v.Figures["seconds"] = connections, roundSeconds(time.Since(began))
	v.Figures["churn"] = map[string]any{"changes": changes, "moved": moved, "least": required, "largest_cell_without_quotas": round4(unevenness)}
	v.check(time.Since(began) < time.Minute, "took %v, want less than a minute", time.Since(began))
	return v, out, nil
}

// loadDivisorWithoutCells divides the load that is played without cells.
const loadDivisorWithoutCells = 2

func round4(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// ProveFailover makes a room unresponsive under load (lab/failover.hcl), with 30 balancer processes and with 300. The
// rules must hold throughout, the fleet must stop sending new attempts to the dark room, and while no room is dark the
// balancers must prefer their own room.
func ProveFailover(dir string, seed uint64, binary string) (*Verdict, error) {
	small, err := Load(filepath.Join(dir, "failover.hcl"))
	if err != nil {
		return nil, err
	}
	// The same dark room with 300 balancers, 24 hosts and 300 OPENs per second, without the freeze: each balancer receives
	// about one OPEN per second, so it learns only slowly from its own traffic.
	large := *small
	large.Balancers, large.Hosts, large.Opens, large.Faults = 300, 24, 300, small.Faults[:1]
	v := &Verdict{Proof: "failover", Seed: seed, Figures: map[string]any{}}
	for _, exp := range []*Experiment{small, &large} {
		o, _, err := playOnSockets(*exp, seed, false, binary)
		if err != nil {
			return nil, err
		}
		run := fmt.Sprint(exp.Balancers)
		v.checkRules(run, o)
		lastDarkAttempts := slices.Sorted(slices.Values(o.LastDarkAttempts))
		v.check(len(lastDarkAttempts) == exp.Balancers, "%s: attempts into the dark room were recorded for %d balancers", run, len(lastDarkAttempts))
		if len(lastDarkAttempts) == 0 {
			continue
		}
		near := float64(o.Near) / max(float64(o.Sent), 1)
		percentile95 := lastDarkAttempts[int(math.Ceil(0.95*float64(len(lastDarkAttempts))))-1]
		dark := parsedDuration(exp.Faults[0].For)
		v.check(percentile95 < dark, "%s: 95%% of the fleet stopped sending to the dark room only after %v, as long as it was dark", run, percentile95)
		v.check(near >= 0.95, "%s: %.3f of new attempts stayed in their balancer's room while no room was dark, want at least 0.95", run, near)
		v.Figures["balancers_"+run] = map[string]any{"lost": o.Lost, "doubled": o.Doubled, "two_in_flight": o.TwoInFlight,
			"late_drains": o.LateDrains, "opens": o.Opens, "served": o.Served, "refused": o.Refused, "failed": o.Failed,
			"came_again": o.Reopened, "near_share": round4(near), "quiet_median_s": roundSeconds(lastDarkAttempts[len(lastDarkAttempts)/2]), "quiet_95_s": roundSeconds(percentile95),
			"quiet_max_s": roundSeconds(lastDarkAttempts[len(lastDarkAttempts)-1]), "dark_s": roundSeconds(dark)}
	}
	return v, nil
}
