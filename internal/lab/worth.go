package lab

import (
	"fmt"
	"math"
	"path/filepath"
	"time"

	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
)

// worthScenarios are the scenarios in which plans are compared; each is played in virtual time, and the skewed one on
// sockets too.
var worthScenarios = []struct {
	name   string
	skew   float64
	faults []Fault
}{
	{"calm", 0.5, nil},
	{"skewed", 0.62, nil},
	{"deploy", 0.62, []Fault{{Kind: "deploy", At: "20s", For: "25s", Part: 0.9}}},
	{"quarter_lost", 0.62, []Fault{{Kind: "crash", At: "20s", For: "15s", Part: 0.25}}},
}

// planFromRecords makes a plan from the records of a run: by host, or with each flight in the cell of one room. The
// rooms, or hosts, are loaded evenly. With trueCapacities, the real capacities of the hosts replace the estimated ones.
// It also returns the mean relative error of the estimates.
func planFromRecords(f *placement.Fleet, specs []Spec, trueCapacities, byHost bool, born time.Time) (*placement.Plan, float64) {
	meanError := 0.0
	for i := range f.Hosts {
		for _, s := range specs {
			if s.ID != f.Hosts[i].ID {
				continue
			}
			capacity := s.Cores * s.Speed * s.PerCore
			meanError += math.Abs(f.Hosts[i].Capacity/capacity-1) / float64(len(f.Hosts))
			if trueCapacities {
				f.Hosts[i].Capacity, f.Hosts[i].CapacityError = capacity, 0
			}
		}
	}
	g := f
	if !byHost {
		g = placement.RoomsAsCells(f)
	}
	g = placement.LimitUtilisation(g, evenLoadLimit)
	a := placement.Solve(g, placement.SearchLimit{MaxSteps: 300_000, Seed: 1})
	if byHost {
		f = g
	}
	return placement.NewPlan(f, a, born, 24*time.Hour, time.Hour), meanError
}

// evenLoadLimit limits the utilisation of a host or room in a plan, as a multiple of the fleet's mean.
const evenLoadLimit = 1.02

// roomCells is an operator's file with a cell for each room, for plans that assign flights to rooms.
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

// withPlan is an experiment under a plan; if the plan assigns flights to rooms, the experiment gets cells for the
// rooms.
func withPlan(e Experiment, plan *placement.Plan) (Experiment, error) {
	e.PlacementPlan, e.Record = plan, false
	if plan == nil || len(plan.Flights) == 0 {
		return e, nil
	}
	file, err := operator.Parse([]byte(roomCells), "room cells")
	if err != nil {
		return e, err
	}
	e.CellPlan = file.Cells
	e.CellPlan.PlacementCell = plan.Cell
	return e, nil
}

// ProvePlacementWorth plays the scenarios with equal weights, with the weights that discovery lists, and with plans
// made from the records of a preceding run, with true and with estimated capacities.
func ProvePlacementWorth(dir string, seed uint64, binary string) (*Verdict, error) {
	base, err := Load(filepath.Join(dir, "placement.hcl"))
	if err != nil {
		return nil, err
	}
	v := &Verdict{Proof: "placement-worth", Seed: seed, Figures: map[string]any{}}
	born := time.Unix(0, int64(virtualStart))
	for _, scenario := range worthScenarios {
		before := *base
		before.Skew, before.Weights, before.Record = scenario.skew, "equal", true
		recorded := NewVirtualLab(&before, seed, false)
		recorded.Run()
		plans := map[string]*placement.Plan{"equal": nil, "told": nil}
		for _, name := range []string{"plan_true", "plan_estimated", "plan_by_host"} {
			f, err := recorded.records.Fleet(placement.DefaultPrices())
			if err != nil {
				return nil, err
			}
			off := 0.0
			if plans[name], off = planFromRecords(f, recorded.specs, name != "plan_estimated", name == "plan_by_host", born); name == "plan_estimated" {
				v.Figures["capacity_off_"+scenario.name] = round4(off)
				v.check(off <= 0.15, "%s: capacity estimates are wrong by %g on average", scenario.name, off)
			}
		}
		worth := map[string]Worth{}
		for _, weights := range []string{"equal", "told", "plan_true", "plan_estimated", "plan_by_host"} {
			e, err := withPlan(*base, plans[weights])
			if err != nil {
				return nil, err
			}
			e.Skew, e.Faults, e.Weights = scenario.skew, scenario.faults, "equal"
			if weights == "told" {
				e.Weights = "told"
			}
			// other clients than in the recorded run, the same hosts and flights
			h := NewVirtualLab(&e, seed, true).Run()
			worth[weights] = h.Worth
			v.check(h.Lost == 0 && h.Doubled == 0, "%s, %s: lost %d, answered twice %d", scenario.name, weights, h.Lost, h.Doubled)
			v.check(h.OverloadFailures == 0, "%s, %s: %d cold hosts failed from overload", scenario.name, weights, h.OverloadFailures)
			v.Figures[scenario.name+"_"+weights] = worthFigures(h.Worth)
		}
		if scenario.name == "skewed" {
			for _, plan := range []string{"plan_true", "plan_estimated"} {
				v.check(worth[plan].Crossings() <= worth["equal"].Crossings()/2, "%s: crossings %g with %s, %g with equal weights", scenario.name,
					worth[plan].Crossings(), plan, worth["equal"].Crossings())
				v.check(worth[plan].Service() >= worth["equal"].Service()-0.01, "%s: service %g with %s, %g with equal weights", scenario.name,
					worth[plan].Service(), plan, worth["equal"].Service())
			}
		}
	}
	return v, v.worthOnSockets(*base, seed, binary)
}

// worthOnSockets records a run with equal weights against real balancers, and plays it again with the plan made from
// the records.
func (v *Verdict) worthOnSockets(e Experiment, seed uint64, binary string) error {
	e.Skew, e.Weights, e.Record, e.Duration = worthScenarios[1].skew, "equal", true, "45s"
	before, s, err := playOnSockets(e, seed, false, binary)
	if err != nil {
		return err
	}
	v.checkRules("sockets, equal", before)
	v.Figures["sockets_equal"] = worthFigures(before.Worth)
	if s.recordedFleetErr != nil {
		return fmt.Errorf("build fleet from the balancers' records: %w", s.recordedFleetErr)
	}
	plan, off := planFromRecords(s.recordedFleet, s.specs, false, false, time.Now())
	v.Figures["capacity_off_sockets"] = round4(off)
	if e, err = withPlan(e, plan); err != nil {
		return err
	}
	after, _, err := playOnSockets(e, seed, true, binary)
	if err != nil {
		return err
	}
	v.checkRules("sockets, plan", after)
	v.Figures["sockets_plan_estimated"] = worthFigures(after.Worth)
	v.check(after.Worth.Crossings() <= before.Worth.Crossings()/2, "sockets: crossings %g with a plan, %g with equal weights",
		after.Worth.Crossings(), before.Worth.Crossings())
	v.check(after.Worth.Service() >= before.Worth.Service()-0.01, "sockets: service %g with a plan, %g with equal weights",
		after.Worth.Service(), before.Worth.Service())
	return nil
}

func worthFigures(w Worth) map[string]any {
	return map[string]any{"service": round4(w.Service()), "crossings": round4(w.Crossings()), "hosts_a_flight": round4(w.HostsPerFlight()), "moves": w.Moves,
		"placed": w.Placed}
}
