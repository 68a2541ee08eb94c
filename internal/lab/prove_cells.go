package lab

import (
	"math"
	"path/filepath"
	"time"
)

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
