package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
)

// plan groups the sub-commands for placement plans.
type plan struct {
	Make   planMake   `cmd:"" default:"withargs" help:"Make a plan for a fleet; the default."`
	Check  planCheck  `cmd:"" help:"Check plans; exit code 1 if one is invalid."`
	Diff   planDiff   `cmd:"" help:"Show the differences between two plans."`
	Gather planGather `cmd:"" help:"Derive a fleet from the records of balancers."`
}

// planMake makes a plan.
type planMake struct {
	In    string        `required:"" type:"path" help:"The fleet (JSON; docs/placement.md)."`
	Out   string        `type:"path" help:"File for the plan; without it, only the tables are printed."`
	Limit time.Duration `default:"10s" help:"Time limit of the search."`
	Holds time.Duration `default:"6h" help:"How long the plan is in full force."`
	Fades time.Duration `default:"1h" help:"How long it then takes to fade out in favour of the weights from discovery."`
	Seed  uint64        `default:"1" help:"Seed of the search's random numbers."`
	Even  float64       `default:"1.02" help:"Limit of a host's utilisation, as a multiple of the fleet's mean; 0: only the host's own limit."`
	Hosts bool          `help:"Place flights on hosts and plan weights by room, instead of assigning each flight to a room's cell."`
	Quiet bool          `help:"Print no progress on standard error."`
}

func (c planMake) Run(out io.Writer) error {
	if c.Even != 0 && !(c.Even >= 1 && c.Even <= 10) {
		return fmt.Errorf("--even %v: must be 0, or from 1 to 10", c.Even)
	}
	text, err := os.ReadFile(c.In)
	if err != nil {
		return err
	}
	fleet, err := placement.ParseFleet(text)
	if err != nil {
		return fmt.Errorf("%s:%w", c.In, err)
	}
	started := time.Now()
	lastProgress := started
	planned := fleet
	if c.Hosts {
		fleet = placement.LimitUtilisation(fleet, c.Even)
		planned = fleet
	} else {
		fleet = placement.LimitUtilisation(placement.RoomsAsCells(fleet), c.Even)
	}
	solution := placement.Solve(fleet, placement.SearchLimit{Seed: c.Seed, Stop: func() bool { return time.Since(started) >= c.Limit },
		Progress: func(worth, bound float64, steps int) {
			if now := time.Now(); !c.Quiet && now.Sub(lastProgress) >= time.Second {
				lastProgress = now
				fmt.Fprintf(os.Stderr, "%3.0f s: worth %.6g, upper bound %.6g, %d steps\n", now.Sub(started).Seconds(), worth, bound, steps)
			}
		}})
	made := placement.NewPlan(planned, solution, time.Now(), c.Holds, c.Fades)
	printPlan(out, fleet, solution, made)
	if c.Out == "" {
		return nil
	}
	if text, err = json.MarshalIndent(made, "", " "); err != nil {
		return err
	}
	return replace(c.Out, append(text, '\n'))
}

// maxRows limits the number of hosts printed, to those that change most.
const maxRows = 40

// printPlan prints the solution compared with the current placement, by room and by host.
func printPlan(out io.Writer, fleet *placement.Fleet, solution *placement.Solution, made *placement.Plan) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	current := placement.CurrentPlacement(fleet)
	before, after := current.Loads(fleet), solution.Loads(fleet)
	fmt.Fprintf(w, "found by\t%s\tin %d steps\n", solution.Method, solution.Steps)
	fmt.Fprintf(w, "worth per second\t%.5g\tupper bound %.5g (%.2f%% more); currently %.5g\n",
		solution.Total, solution.Bound, 100*solution.Gap, current.Total)
	fmt.Fprintf(w, "crosses rooms\t%.2f%%\tcurrently %.2f%%\n", percent(solution.CrossedWorth, solution.ServedWorth),
		percent(current.CrossedWorth, current.ServedWorth))
	fmt.Fprintf(w, "hosts per flight\t%.3f\tcurrently %.3f\n", ratio(float64(solution.FlightHostPairs), float64(len(fleet.Flights))),
		ratio(float64(current.FlightHostPairs), float64(len(fleet.Flights))))
	fmt.Fprintf(w, "not served\t%.2f%%\tof the worth; currently %.2f%%\n", percent(solution.ShedWorth, solution.ShedWorth+solution.ServedWorth),
		percent(current.ShedWorth, current.ShedWorth+current.ServedWorth))
	for _, b := range solution.BindingConstraints {
		fmt.Fprintf(w, "full\troom %s\tone more load served there would be worth %.3g per second\n", b.Room, b.ShadowPrice)
	}
	for i, s := range made.ShedDemand {
		if i == 8 {
			fmt.Fprintf(w, "shed\t...\t%d more carriers\n", len(made.ShedDemand)-i)
			break
		}
		fmt.Fprintf(w, "shed\tcarrier %s\t%.4g loads, worth %.4g per second\n", s.Carrier, s.Load, s.Worth)
	}
	rooms := map[string][3]float64{}
	hosts := slices.Clone(fleet.Hosts)
	for _, h := range hosts {
		r := rooms[h.Room]
		rooms[h.Room] = [3]float64{r[0] + h.UsableCapacity(&fleet.Prices), r[1] + before[h.ID], r[2] + after[h.ID]}
	}
	fmt.Fprintf(w, "\nroom\tcapacity\tcurrent\tplanned\tutilisation\n")
	for _, room := range slices.Sorted(maps.Keys(rooms)) {
		r := rooms[room]
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.0f%%\n", room, r[0], r[1], r[2], percent(r[2], r[0]))
	}
	if len(hosts) > maxRows {
		slices.SortStableFunc(hosts, func(x, y placement.Host) int {
			return int(math.Copysign(1, math.Abs(after[y.ID]-before[y.ID])-math.Abs(after[x.ID]-before[x.ID])))
		})
		fmt.Fprintf(w, "\nthe %d of %d hosts with the largest changes\n", maxRows, len(hosts))
		hosts = hosts[:maxRows]
	}
	fmt.Fprintf(w, "\nhost\troom\tkind\tcapacity\tcurrent\tplanned\tutilisation\n")
	for _, h := range hosts {
		capacity := h.UsableCapacity(&fleet.Prices)
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%.0f%%\n",
			h.ID, h.Room, h.Kind, capacity, before[h.ID], after[h.ID], percent(after[h.ID], capacity))
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
func percent(a, b float64) float64 { return 100 * ratio(a, b) }

// planCheck checks plans.
type planCheck struct {
	Files []string `arg:"" type:"path" name:"plan" help:"Plans."`
}

func (c planCheck) Run(out io.Writer) error {
	var all operator.ErrorList
	for _, path := range c.Files {
		p, err := readPlan(path)
		if err != nil {
			all = append(all, err.Error())
			continue
		}
		force, next := p.Force(time.Duration(time.Now().UnixNano()))
		fmt.Fprintf(out, "%s: valid; created %s, method %s, %d hosts, %d flights, currently %.0f%% in force",
			path, p.Created.Format(time.RFC3339), p.Method, len(p.Hosts), len(p.Flights), 100*force)
		if next > 0 {
			fmt.Fprintf(out, ", until %s", time.Unix(0, int64(next)).UTC().Format(time.RFC3339))
		}
		fmt.Fprintln(out)
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

func readPlan(path string) (*placement.Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := placement.ParsePlan(text)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return p, nil
}

// planDiff compares two plans.
type planDiff struct {
	A string `arg:"" type:"path" help:"A plan."`
	B string `arg:"" type:"path" help:"Another one."`
}

// Run prints how much the shares of hosts differ: at least that share of the keys moves to other hosts.
func (c planDiff) Run(out io.Writer) error {
	a, err := readPlan(c.A)
	if err != nil {
		return err
	}
	b, err := readPlan(c.B)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "inputs\t%s\t%s\nworth\t%.5g\t%.5g\n", a.InputsHash, b.InputsHash, a.Value, b.Value)
	rooms := map[string]bool{}
	for _, p := range []*placement.Plan{a, b} {
		for room := range p.RoomWeights {
			rooms[room] = true
		}
	}
	for _, room := range slices.Sorted(maps.Keys(rooms)) {
		x, y := shares(a.RoomWeights[room]), shares(b.RoomWeights[room])
		moved := 0.0
		for id := range x {
			moved += math.Max(x[id]-y[id], 0)
		}
		fmt.Fprintf(w, "room %s\t%.1f%% of its keys move to other hosts\n", room, 100*moved)
		all := maps.Clone(x)
		maps.Copy(all, y)
		ids := slices.SortedFunc(maps.Keys(all), func(p, q string) int {
			if d := math.Abs(x[q]-y[q]) - math.Abs(x[p]-y[p]); d != 0 {
				return int(math.Copysign(1, d))
			}
			return 0
		})
		for _, id := range ids[:min(len(ids), maxRows)] {
			if x[id] != y[id] {
				fmt.Fprintf(w, "  %s\t%.2f%%\t%.2f%%\n", id, 100*x[id], 100*y[id])
			}
		}
	}
	moved, removed := 0, 0
	for key, cell := range a.Flights {
		if other, present := b.Flights[key]; !present {
			removed++
		} else if other != cell {
			moved++
		}
	}
	if len(a.Flights)+len(b.Flights) > 0 {
		fmt.Fprintf(w, "flights\t%d move to another cell, %d are no longer in the plan, %d are new\n", moved, removed, len(b.Flights)-len(a.Flights)+removed)
	}
	return nil
}

// shares normalises weights to a sum of 1.
func shares(weights map[string]float64) map[string]float64 {
	total, out := 0.0, map[string]float64{}
	for _, w := range weights {
		total += w
	}
	for id, w := range weights {
		out[id] = w / total
	}
	return out
}
