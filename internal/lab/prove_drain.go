package lab

import (
	"runtime"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// The size of a proof of the drain rule: as many sequences as the time holds, and each planted fault found among a few.
const (
	drainSequences = 100_000
	drainTime      = 9 * time.Minute
	plantedAmong   = 2_000
)

// ProveDrain plays sequences of events drawn from a seed in virtual time, and has every first byte of a request judged by
// an auditor that shares no code with the balancer. Then it plants faults, each of which the search has to find.
func ProveDrain(seed uint64) *Verdict {
	v := &Verdict{Proof: "drain", Seed: seed, Figures: map[string]any{}}
	began := time.Now()
	first := seed << 32
	tally := drainsearch.Search(first, drainSequences, runtime.NumCPU(), began.Add(drainTime), drainsearch.Options{})
	for _, f := range tally.Found {
		v.must(false, "seed %d: %v", f.Seed, f.Break)
	}
	for mild, n := range tally.Excused {
		v.must(false, "%d sequences that only a mild reading excuses: %s", n, mild)
	}
	v.must(tally.Sent > 0, "no request was sent")
	for name, planted := range map[string]drainsearch.Options{
		"no_gate": {NoGate: true}, "grace_ignored": {IgnoresGrace: true}, "calls_late": {LateCalls: time.Second},
	} {
		found := drainsearch.Search(first, plantedAmong, runtime.NumCPU(), time.Time{}, planted).Found
		v.must(len(found) > 0, "planted %s: not found among %d sequences", name, plantedAmong)
		v.Figures["planted_"+name] = len(found)
	}
	v.Figures["breaks"], v.Figures["breaks_excused_by_a_mild_reading"] = len(tally.Found), tally.Excused
	v.Figures["sequences"], v.Figures["first_bytes_judged"] = tally.Sequences, tally.Sent
	v.Figures["seconds"] = round(time.Since(began))
	return v
}
