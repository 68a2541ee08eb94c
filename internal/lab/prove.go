package lab

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
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

func roundSeconds(d time.Duration) float64 { return math.Round(d.Seconds()*100) / 100 }

func round4(x float64) float64 { return math.Round(x*1e4) / 1e4 }
