package cells

import (
	"fmt"
	"slices"
	"time"
)

// SetPlan takes another plan from now on; nil, or one without cells, is none. Established connections go on where they
// are, and end with the module that placed them.
func (f *Fleet) SetPlan(now time.Duration, plan *Plan) {
	if plan.CellCount() == 0 {
		plan = nil
	}
	if plan == nil && f.plan == nil {
		return
	}
	if f.plan == nil {
		for id := range f.listed {
			f.owners[id] = f.root
		}
	}
	f.arrange(plan)
	f.adopt()
	clear(f.left)
	f.credit, f.paused = map[string]float64{}, map[string]bool{}
	f.deal(now)
	f.countHosts()
	f.retire()
	if plan == nil {
		f.host.Log("cells: off")
		return
	}
	f.host.Log(fmt.Sprintf("cells: a plan of %d cells and %d moves is in force", len(plan.Cells), len(plan.Moves)))
	f.tickAt = 0
	f.scheduleMoves(now, now)
}

// arrange makes the cells of a plan, keeping those that have a name in it.
func (f *Fleet) arrange(plan *Plan) {
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
	for _, want := range plan.Cells {
		c := old[want.Name]
		if c == nil {
			c = f.add(want.Name)
		}
		c.limits = want
		f.cells = append(f.cells, c)
	}
}

// renameRoot has the root serve as the plan's default cell, where no other one does already; old are the cells before.
func (f *Fleet) renameRoot(plan *Plan, old map[string]*cell) {
	delete(old, f.root.name)
	f.root.name, f.root.limits = "", Cell{}
	if old[plan.Default] == nil {
		f.root.name = plan.Default
		old[plan.Default] = f.root
	}
}

// retire forgets cells that are in no plan once nothing of theirs is left.
func (f *Fleet) retire() {
	for number, c := range f.numbers {
		if c != f.root && c.open == 0 && !slices.Contains(f.cells, c) {
			delete(f.numbers, number)
		}
	}
}
