package cells

import (
	"fmt"
	"slices"
	"time"
)

// SetPlan replaces the plan; nil, or a plan without cells, turns cells off. Established connections stay where they are
// and remain with the balancer that placed them.
func (f *Fleet) SetPlan(now time.Duration, plan *Plan) {
	if plan.CellCount() == 0 {
		plan = nil
	}
	if plan == nil && f.plan == nil {
		return
	}
	if f.plan == nil {
		for id := range f.listedHosts {
			f.cellOfHost[id] = f.root
		}
	}
	f.applyPlan(plan)
	f.applySettings()
	clear(f.absentHosts)
	f.moveCredit, f.movePaused = map[string]float64{}, map[string]bool{}
	f.reassignHosts(now)
	f.countHostsInService()
	f.removeUnusedCells()
	if plan == nil {
		f.host.Log("cells: off")
		return
	}
	f.host.Log(fmt.Sprintf("cells: plan applied: %d cells, %d moves", len(plan.Cells), len(plan.Moves)))
	f.moveTickAt = 0
	f.scheduleMoves(now, now)
}

// applyPlan creates the cells of a plan, and keeps existing cells whose name is in it.
func (f *Fleet) applyPlan(plan *Plan) {
	f.plan = plan
	if plan == nil {
		f.root.name, f.root.limits = "", Cell{}
		f.cells = []*cell{f.root}
		return
	}
	old := map[string]*cell{}
	for _, c := range f.cells {
		old[c.name] = c
	}
	if !plan.hasCell(f.root.name) {
		f.renameRoot(plan, old)
	}
	f.cells = nil
	for _, config := range plan.Cells {
		c := old[config.Name]
		if c == nil {
			c = f.addCell(config.Name)
		}
		c.limits = config
		f.cells = append(f.cells, c)
	}
}

// renameRoot makes the root the plan's default cell unless that cell exists already. old maps names to the cells of the
// previous plan.
func (f *Fleet) renameRoot(plan *Plan, old map[string]*cell) {
	delete(old, f.root.name)
	f.root.name, f.root.limits = "", Cell{}
	if old[plan.Default] == nil {
		f.root.name = plan.Default
		old[plan.Default] = f.root
	}
}

// removeUnusedCells removes cells that are not in the plan and have no request or connection left.
func (f *Fleet) removeUnusedCells() {
	for number, c := range f.cellsByNumber {
		if c != f.root && c.open == 0 && !slices.Contains(f.cells, c) {
			delete(f.cellsByNumber, number)
		}
	}
}
