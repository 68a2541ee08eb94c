package lab

import (
	"path/filepath"
	"sync"
	"time"
)

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
