package lab

import (
	"runtime"
	"time"

	"tealtiller/internal/lab/drainsearch"
)

// Limits of a proof of the drain rule: as many sequences as the time allows, and the number of sequences in which each
// planted fault must be found.
const (
	drainSequences   = 100_000
	drainTimeLimit   = 9 * time.Minute
	plantedSequences = 2_000
)

// ProveDrain plays sequences of events drawn from a seed in virtual time, and has the first byte of every request
// checked by an auditor that shares no code with the balancer. Then it plants faults, each of which the search must
// find.
func ProveDrain(seed uint64) *Verdict {
	v := &Verdict{Proof: "drain", Seed: seed, Figures: map[string]any{}}
	began := time.Now()
	first := seed << 32
	tally := drainsearch.Search(first, drainSequences, runtime.NumCPU(), began.Add(drainTimeLimit), drainsearch.Options{})
	for _, f := range tally.FailingScripts {
		v.check(false, "seed %d: %v", f.Seed, f.Violation)
	}
	for mild, n := range tally.Excused {
		v.check(false, "%d sequences excused only by a mild reading: %s", n, mild)
	}
	v.check(tally.Sent > 0, "no request was sent")
	for name, planted := range map[string]drainsearch.Options{
		"no_gate": {SkipLastCheck: true}, "grace_ignored": {IgnoresGrace: true}, "calls_late": {LateCalls: time.Second},
	} {
		found := drainsearch.Search(first, plantedSequences, runtime.NumCPU(), time.Time{}, planted).FailingScripts
		v.check(len(found) > 0, "planted fault %s: not found among %d sequences", name, plantedSequences)
		v.Figures["planted_"+name] = len(found)
	}
	v.Figures["breaks"], v.Figures["breaks_excused_by_a_mild_reading"] = len(tally.FailingScripts), tally.Excused
	v.Figures["sequences"], v.Figures["first_bytes_judged"] = tally.Sequences, tally.Sent
	v.Figures["seconds"] = roundSeconds(time.Since(began))
	return v
}
