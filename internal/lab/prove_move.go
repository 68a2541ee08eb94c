package lab

import "path/filepath"

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
