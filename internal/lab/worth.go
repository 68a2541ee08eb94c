package lab

import (
	"fmt"
	"math"
	"path/filepath"
	"time"

	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
)

// worthDays are the days that plans are held against; each is played in virtual time, the skewed one on sockets too.
var worthDays = []struct {
	name   string
	skew   float64
	faults []Fault
}{
	{"calm", 0.5, nil},
	{"skewed", 0.62, nil},
	{"deploy", 0.62, []Fault{{Kind: "deploy", At: "20s", For: "25s", Part: 0.9}}},
	{"quarter_lost", 0.62, []Fault{{Kind: "crash", At: "20s", For: "15s", Part: 0.25}}},
}

// planOf makes a plan of what a day's balancers recorded: each flight in one room's cell, all rooms as full. With truth,
// the hosts' real capacity stands in place of what was estimated.
func planOf(f *placement.Fleet, specs []Spec, truth, byHost bool, born time.Time) (*placement.Plan, float64) {
	off := 0.0
	for i := range f.Hosts {
		for _, s := range specs {
			if s.ID != f.Hosts[i].ID {
				continue
			}
			real := s.Cores * s.Speed * s.PerCore
			off += math.Abs(f.Hosts[i].Capacity/real-1) / float64(len(f.Hosts))
			if truth {
				f.Hosts[i].Capacity, f.Hosts[i].CapacityError = real, 0
			}
		}
	}
	g := f
	if !byHost {
		g = placement.RoomsAsCells(f)
	}
	g = placement.LimitUtilisation(g, evenly)
	a := placement.Solve(g, placement.SearchLimit{MaxSteps: 300_000, Seed: 1})
	if byHost {
		f = g
	}
	return placement.NewPlan(f, a, born, 24*time.Hour, time.Hour), off
}

const evenly = 1.02

// roomCells is a cell for each room, for flights that a plan gives to them.
const roomCells = `cells {
  default = "treforest"
  keep    = "0s"
  cell "treforest" {
    rooms = ["treforest"]
  }
  cell "llandaff" {
    rooms = ["llandaff"]
  }
}
`

// under is an experiment under a plan: where the plan gives flights to rooms, with cells for them.
func under(e Experiment, p *placement.Plan) (Experiment, error) {
	e.Placed, e.Record = p, false
	if p == nil || len(p.Flights) == 0 {
		return e, nil
	}
	file, err := operator.Parse([]byte(roomCells), "room cells")
	if err != nil {
		return e, err
	}
	e.Plan = file.Cells
	e.Plan.PlacementCell = p.Cell
	return e, nil
}

// ProveWorth plays the days with equal weights, with those that discovery tells, and with plans made of a day before
// them that was recorded, with true and with estimated capacities.
func ProveWorth(dir string, seed uint64, binary string) (*Verdict, error) {
	base, err := Load(filepath.Join(dir, "placement.hcl"))
	if err != nil {
		return nil, err
	}
	v := &Verdict{Proof: "placement-worth", Seed: seed, Figures: map[string]any{}}
	born := time.Unix(0, int64(virtualStart))
	for _, day := range worthDays {
		before := *base
		before.Skew, before.Weights, before.Record = day.skew, "equal", true
		recorded := NewVirtual(&before, seed, false)
		recorded.Run()
		plans := map[string]*placement.Plan{"equal": nil, "told": nil}
		for _, name := range []string{"plan_true", "plan_estimated", "plan_by_host"} {
			f, err := recorded.gather.Fleet(placement.DefaultPrices())
			if err != nil {
				return nil, err
			}
			off := 0.0
			if plans[name], off = planOf(f, recorded.specs, name != "plan_estimated", name == "plan_by_host", born); name == "plan_estimated" {
				v.Figures["capacity_off_"+day.name] = round4(off)
				v.must(off <= 0.15, "%s: capacities estimated %g off", day.name, off)
			}
		}
		worth := map[string]Worth{}
		for _, weights := range []string{"equal", "told", "plan_true", "plan_estimated", "plan_by_host"} {
			e, err := under(*base, plans[weights])
			if err != nil {
				return nil, err
			}
			e.Skew, e.Faults, e.Weights = day.skew, day.faults, "equal"
			if weights == "told" {
				e.Weights = "told"
			}
			// the day after: other clients, the same hosts and flights
			h := NewVirtual(&e, seed, true).Run()
			worth[weights] = h.Worth
			v.must(h.Lost == 0 && h.Doubled == 0, "%s, %s: lost %d, doubled %d", day.name, weights, h.Lost, h.Doubled)
			v.must(h.Fallen == 0, "%s, %s: %d cold hosts pushed over", day.name, weights, h.Fallen)
			v.Figures[day.name+"_"+weights] = figuresOf(h.Worth)
		}
		if day.name == "skewed" {
			for _, plan := range []string{"plan_true", "plan_estimated"} {
				v.must(worth[plan].Crossings() <= worth["equal"].Crossings()/2, "%s: crossings %g with %s, %g with equal weights", day.name,
					worth[plan].Crossings(), plan, worth["equal"].Crossings())
				v.must(worth[plan].Service() >= worth["equal"].Service()-0.01, "%s: service %g with %s, %g with equal weights", day.name,
					worth[plan].Service(), plan, worth["equal"].Service())
			}
		}
	}
	return v, v.worthOnSockets(*base, seed, binary)
}

// worthOnSockets records a day with equal weights against real balancers, and plays it again with the plan made of that.
func (v *Verdict) worthOnSockets(e Experiment, seed uint64, binary string) error {
	e.Skew, e.Weights, e.Record, e.Duration = worthDays[1].skew, "equal", true, "45s"
	before, s, err := on(e, seed, false, binary)
	if err != nil {
		return err
	}
	v.rules("sockets, equal", before)
	v.Figures["sockets_equal"] = figuresOf(before.Worth)
	if s.fleetErr != nil {
		return fmt.Errorf("records: %w", s.fleetErr)
	}
	plan, off := planOf(s.fleet, s.specs, false, false, time.Now())
	v.Figures["capacity_off_sockets"] = round4(off)
	if e, err = under(e, plan); err != nil {
		return err
	}
	after, _, err := on(e, seed, true, binary)
	if err != nil {
		return err
	}
	v.rules("sockets, plan", after)
	v.Figures["sockets_plan_estimated"] = figuresOf(after.Worth)
	v.must(after.Worth.Crossings() <= before.Worth.Crossings()/2, "sockets: crossings %g with a plan, %g with equal weights",
		after.Worth.Crossings(), before.Worth.Crossings())
	v.must(after.Worth.Service() >= before.Worth.Service()-0.01, "sockets: service %g with a plan, %g with equal weights",
		after.Worth.Service(), before.Worth.Service())
	return nil
}

func figuresOf(w Worth) map[string]any {
	return map[string]any{"service": round4(w.Service()), "crossings": round4(w.Crossings()), "hosts_a_flight": round4(w.Split()), "moves": w.Moves,
		"placed": w.Placed}
}
