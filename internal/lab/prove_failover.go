package lab

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
)

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
