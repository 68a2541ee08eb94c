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

// Verdict is the figures of a proof, and which of its promises were broken.
type Verdict struct {
	Proof   string
	Seed    uint64
	Figures map[string]any
	Broken  []string
}

// MarshalJSON has all in one object.
func (v *Verdict) MarshalJSON() ([]byte, error) {
	out := map[string]any{"proof": v.Proof, "seed": v.Seed, "broken": append([]string{}, v.Broken...)}
	maps.Copy(out, v.Figures)
	return json.Marshal(out)
}

func (v *Verdict) must(kept bool, format string, args ...any) {
	if !kept {
		v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
	}
}

// rules are those that every run on sockets must keep.
func (v *Verdict) rules(run string, o Outcome) {
	for name, n := range map[string]int{"lost": o.Lost, "doubled": o.Doubled, "two in flight": o.TwoInFlight, "foreign": o.Foreign,
		"sent after a drain": o.LateDrains, "pushed over": o.Fallen, "cut off": o.Cut, "crashed": o.Crashed} {
		v.must(n == 0, "%s: %s: %d", run, name, n)
	}
	v.must(o.MostAttempts <= 6, "%s: %d attempts", run, o.MostAttempts)
	v.must(o.Served > 0, "%s: nothing was served", run)
}

// on plays an experiment on sockets in a folder of its own.
func on(e Experiment, seed uint64, withCells bool, binary string) (o Outcome, s *Sockets, err error) {
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		return o, nil, err
	}
	defer os.RemoveAll(folder)
	if s, err = NewSockets(&e, seed, withCells, binary, folder); err != nil {
		return o, nil, err
	}
	defer s.Close()
	o = s.Run()
	if e.Record {
		s.fleet, s.fleetErr = s.Gather()
	}
	return o, s, nil
}

// ProveCells plays the same seed calm, with one cell in trouble, and with the same trouble without cells. Outside that
// cell nothing may change: no attempt at a foreign host, no more refused or failed, times within a tenth.
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
		o, _, err := on(run.exp, seed, run.cells, binary)
		if err != nil {
			return nil, err
		}
		runs[run.name] = o
		if run.cells { // the contrast may well fail at what cells are for
			v.rules(run.name, o)
		}
		v.Figures[run.name] = o.Cells
	}
	all := func(pick func(Outcome) int) int { return pick(runs["calm"]) + pick(runs["trouble"]) }
	v.Figures["lost"] = all(func(o Outcome) int { return o.Lost })
	v.Figures["doubled"] = all(func(o Outcome) int { return o.Doubled })
	v.Figures["foreign"] = all(func(o Outcome) int { return o.Foreign })
	v.Figures["opens"] = all(func(o Outcome) int { return o.Opens })
	worst, contrast := 0.0, 0.0
	for name, before := range runs["calm"].Cells {
		after, without := runs["trouble"].Cells[name], runs["no_cells"].Cells[name]
		if name == "large" || after == nil || without == nil {
			continue
		}
		v.must(after.Refused <= before.Refused, "cell %s: %d refused, %d in the calm run", name, after.Refused, before.Refused)
		v.must(after.Failed <= before.Failed, "cell %s: %d failed, %d in the calm run", name, after.Failed, before.Failed)
		for _, q := range []float64{50, 99} {
			for what, times := range map[string][3]time.Duration{"set-up": {before.Setup(q), after.Setup(q), without.Setup(q)},
				"line": {before.Line(q), after.Line(q), without.Line(q)}} {
				grown := math.Abs(float64(times[1])/float64(times[0]) - 1)
				worst, contrast = max(worst, grown), max(contrast, float64(times[2])/float64(times[0])-1)
				v.must(grown <= 0.1, "cell %s: %s p%.0f %v, %v in the calm run", name, what, q, times[1], times[0])
			}
		}
	}
	v.Figures["worst_change_others"] = math.Round(worst*1000) / 1000
	v.Figures["worst_change_without_cells"] = math.Round(contrast*1000) / 1000
	return v, nil
}

// ProveMove moves a carrier between cells under load, with a drain and a balancer's restart in its midst.
func ProveMove(dir string, seed uint64, binary string) (*Verdict, error) {
	exp, err := Load(filepath.Join(dir, "move.hcl"))
	if err != nil {
		return nil, err
	}
	v := &Verdict{Proof: "move", Seed: seed, Figures: map[string]any{}}
	o, s, err := on(*exp, seed, true, binary)
	if err != nil {
		return nil, err
	}
	v.rules("move", o)
	worst, atStart, left, there, last := s.Joint()
	m := s.plan.Moves[0]
	v.must(o.MovedTwice == 0, "%d clients were moved more than once", o.MovedTwice)
	v.must(worst <= m.Duration, "a flight stood in both cells for %v, over the span of %v", worst, m.Duration)
	v.must(left == 0, "%d connections are left in the old cell", left)
	v.must(last <= m.Duration, "the last client was moved %v after the start, over the span of %v", last, m.Duration)
	v.must(atStart >= 300, "%d connections stood as the move began: too few to prove it", atStart)
	v.Figures = map[string]any{"lost": o.Lost, "doubled": o.Doubled, "foreign": o.Foreign, "opens": o.Opens, "served": o.Served,
		"refused": o.Refused, "failed": o.Failed, "moves": o.Moves, "followed": o.Followed, "moved_twice": o.MovedTwice, "stood_at_start": atStart, "left_in_old_cell": left,
		"stand_in_new_cell": there, "longest_in_both_s": round(worst), "last_moved_after_s": round(last), "span_s": round(m.Duration),
		"late_drains": o.LateDrains, "cut": o.Cut}
	return v, nil
}

func round(d time.Duration) float64 { return math.Round(d.Seconds()*100) / 100 }

// Sized is one fault at size, with cells and without.
type Sized struct {
	Fault         string
	With, Without Harm
}

// share is the part of the connections that was harmed.
func (t Tally) share() float64 { return float64(t.Harmed) / max(float64(t.Connections), 1) }

// sizeFaults are aimed at the first carrier and its cell; a crash without cells strikes the same hosts.
var sizeFaults = []Fault{
	{Kind: "heavy", At: "12s", For: "20s", Size: 12, Carrier: "air-00"},
	{Kind: "hot-key", At: "12s", For: "20s", Part: 0.25, Carrier: "air-00"},
	{Kind: "crash", At: "12s", For: "12s", Part: 0.25, Cell: "cell-00"},
	{Kind: "errors", At: "12s", For: "15s", Part: 0.25, Size: 0.7, Cell: "cell-00"},
	{Kind: "deploy", At: "12s", For: "20s", Part: 0.9, Cell: "cell-00"},
	{Kind: "drop", At: "12s", For: "1s", Part: 0.5, Carrier: "air-00"},
}

// ProveSize plays each kind of fault in virtual time. Without cells a part of the load is played, on hosts smaller by
// as much: the module's cost of a decision grows with list and connections.
func ProveSize(dir string, seed uint64, workers int) (*Verdict, []Sized, error) {
	exp, err := Load(filepath.Join(dir, "size.hcl"))
	if err != nil {
		return nil, nil, err
	}
	if err := exp.InVirtualTime(); err != nil {
		return nil, nil, err
	}
	began := time.Now()
	out := make([]Sized, len(sizeFaults))
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
				e.Opens, e.PerCore = e.Opens/withoutCells, e.PerCore/withoutCells
			}
			jobs <- func() {
				harm := NewVirtual(&e, seed, with).Run()
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
	changes, moved, least, plain := Churn(exp, seed, 0.1)
	v := &Verdict{Proof: "size", Seed: seed, Figures: map[string]any{}}
	connections := 0
	for _, s := range out {
		connections += s.With.Stricken.Connections + s.With.Others.Connections
		for run, h := range map[string]Harm{"with cells": s.With, "without": s.Without} {
			v.must(h.Lost == 0 && h.Doubled == 0 && h.Foreign == 0, "%s, %s: lost %d, doubled %d, foreign %d", s.Fault, run, h.Lost, h.Doubled, h.Foreign)
		}
		v.must(s.With.Fallen == 0, "%s: %d cold hosts pushed over", s.Fault, s.With.Fallen)
		v.must(s.With.Others.share() <= s.Without.Others.share()+0.002, "%s: more harm to others with cells", s.Fault)
		v.Figures[s.Fault] = map[string]float64{"others_with": round4(s.With.Others.share()), "others_without": round4(s.Without.Others.share()),
			"stricken_with": round4(s.With.Stricken.share()), "stricken_without": round4(s.Without.Stricken.share())}
	}
	v.must(connections >= 900_000, "%d connections", connections)
	v.must(float64(moved) <= 3*float64(changes), "%d hosts moved in %d changes", moved, changes)
	v.Figures["connections"], v.Figures["seconds"] = connections, round(time.Since(began))
	v.Figures["churn"] = map[string]any{"changes": changes, "moved": moved, "least": least, "largest_cell_without_quotas": round4(plain)}
	v.must(time.Since(began) < time.Minute, "it took %v", time.Since(began))
	return v, out, nil
}

// withoutCells is the part of the load that is played without cells, one in so many.
const withoutCells = 2

func round4(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// ProveFailover darkens a room under load (lab/failover.hcl), on 30 balancer processes and on 300: the rules hold throughout, the fleet
// stops sending new attempts into the dark room, and while no room is dark the balancers keep to their own room.
func ProveFailover(dir string, seed uint64, binary string) (*Verdict, error) {
	small, err := Load(filepath.Join(dir, "failover.hcl"))
	if err != nil {
		return nil, err
	}
	// the same darkness on 300 balancers, 24 hosts and 300 OPENs a second, without the freeze: each balancer sees about
	// one OPEN a second of its own, so what it learns alone comes slowly
	large := *small
	large.Balancers, large.Hosts, large.Opens, large.Faults = 300, 24, 300, small.Faults[:1]
	v := &Verdict{Proof: "failover", Seed: seed, Figures: map[string]any{}}
	for _, exp := range []*Experiment{small, &large} {
		o, _, err := on(*exp, seed, false, binary)
		if err != nil {
			return nil, err
		}
		run := fmt.Sprint(exp.Balancers)
		v.rules(run, o)
		quiet := slices.Sorted(slices.Values(o.Quiet))
		v.must(len(quiet) == exp.Balancers, "%s: %d balancers were seen through the darkness", run, len(quiet))
		if len(quiet) == 0 {
			continue
		}
		near := float64(o.Near) / max(float64(o.Sent), 1)
		most := quiet[int(math.Ceil(0.95*float64(len(quiet))))-1]
		dark := span(exp.Faults[0].For)
		v.must(most < dark, "%s: 95%% of the fleet sent into the dark room until %v, the whole darkness", run, most)
		v.must(near >= 0.95, "%s: %.3f of new attempts stayed in their balancer's room while no room was dark, under 0.95", run, near)
		v.Figures["balancers_"+run] = map[string]any{"lost": o.Lost, "doubled": o.Doubled, "two_in_flight": o.TwoInFlight,
			"late_drains": o.LateDrains, "opens": o.Opens, "served": o.Served, "refused": o.Refused, "failed": o.Failed,
			"came_again": o.Again, "near_share": round4(near), "quiet_median_s": round(quiet[len(quiet)/2]), "quiet_95_s": round(most),
			"quiet_max_s": round(quiet[len(quiet)-1]), "dark_s": round(dark)}
	}
	return v, nil
}
