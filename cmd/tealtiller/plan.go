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

type plan struct {
	Make   planMake   `cmd:"" default:"withargs" help:"Make a plan for a fleet; what runs where no other is named."`
	Check  planCheck  `cmd:"" help:"Check plans; exit code 1 if one makes no sense."`
	Diff   planDiff   `cmd:"" help:"Tell what is different between two plans."`
	Gather planGather `cmd:"" help:"Make a fleet of what balancers recorded."`
}

type planMake struct {
	In    string        `required:"" type:"path" help:"The fleet (JSON; docs/placement.md)."`
	Out   string        `type:"path" help:"Where the plan goes; only the tables, if left out."`
	Limit time.Duration `default:"10s" help:"The most time that the search may take."`
	Holds time.Duration `default:"6h" help:"For how long the plan is in full force."`
	Fades time.Duration `default:"1h" help:"Over how long it then gives way to what discovery tells."`
	Seed  uint64        `default:"1" help:"Of all chance in the search."`
	Even  float64       `default:"1.02" help:"Take no host to be fuller than so many times the fleet's mean; 0: up to its limit."`
	Hosts bool          `help:"Place flights on hosts, and plan weights by room, in place of giving each flight to a room's cell."`
	Quiet bool          `help:"No progress on standard error."`
}

func (c planMake) Run(out io.Writer) error {
	if c.Even != 0 && !(c.Even >= 1 && c.Even <= 10) {
		return fmt.Errorf("--even %v: want 0, or 1 to 10", c.Even)
	}
	text, err := os.ReadFile(c.In)
	if err != nil {
		return err
	}
	f, err := placement.ParseFleet(text)
	if err != nil {
		return fmt.Errorf("%s:%w", c.In, err)
	}
	began := time.Now()
	told := began
	whole := f
	if c.Hosts {
		f = placement.LimitUtilisation(f, c.Even)
		whole = f
	} else {
		f = placement.LimitUtilisation(placement.RoomsAsCells(f), c.Even)
	}
	a := placement.Solve(f, placement.SearchLimit{Seed: c.Seed, Stop: func() bool { return time.Since(began) >= c.Limit },
		Progress: func(worth, bound float64, steps int) {
			if now := time.Now(); !c.Quiet && now.Sub(told) >= time.Second {
				told = now
				fmt.Fprintf(os.Stderr, "%3.0f s: worth %.6g, at the most %.6g, %d steps\n", now.Sub(began).Seconds(), worth, bound, steps)
			}
		}})
	made := placement.NewPlan(whole, a, time.Now(), c.Holds, c.Fades)
	printPlan(out, f, a, made)
	if c.Out == "" {
		return nil
	}
	if text, err = json.MarshalIndent(made, "", " "); err != nil {
		return err
	}
	return replace(c.Out, append(text, '\n'))
}

// mostRows is how many hosts are told one by one; of more, those that change most.
const mostRows = 40

func printPlan(out io.Writer, f *placement.Fleet, a *placement.Solution, made *placement.Plan) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	now := placement.CurrentPlacement(f)
	before, after := now.Loads(f), a.Loads(f)
	fmt.Fprintf(w, "found by\t%s\tin %d steps\n", a.Method, a.Steps)
	fmt.Fprintf(w, "worth a second\t%.5g\tat the most %.5g (%.2f%% more); as it stands %.5g\n", a.Total, a.Bound, 100*a.Gap, now.Total)
	fmt.Fprintf(w, "crosses rooms\t%.2f%%\tas it stands %.2f%%\n", percent(a.CrossedWorth, a.ServedWorth), percent(now.CrossedWorth, now.ServedWorth))
	fmt.Fprintf(w, "hosts a flight\t%.3f\tas it stands %.3f\n", ratio(float64(a.FlightHostPairs), float64(len(f.Flights))), ratio(float64(now.FlightHostPairs), float64(len(f.Flights))))
	fmt.Fprintf(w, "not served\t%.2f%%\tof the worth; as it stands %.2f%%\n", percent(a.ShedWorth, a.ShedWorth+a.ServedWorth), percent(now.ShedWorth, now.ShedWorth+now.ServedWorth))
	for _, b := range a.BindingConstraints {
		fmt.Fprintf(w, "full\troom %s\ta further load served there would bring %.3g a second\n", b.Room, b.ShadowPrice)
	}
	for i, s := range made.ShedDemand {
		if i == 8 {
			fmt.Fprintf(w, "shed\t...\t%d more carriers\n", len(made.ShedDemand)-i)
			break
		}
		fmt.Fprintf(w, "shed\tcarrier %s\t%.4g loads, worth %.4g a second\n", s.Carrier, s.Load, s.Worth)
	}
	rooms := map[string][3]float64{}
	hosts := slices.Clone(f.Hosts)
	for _, h := range hosts {
		r := rooms[h.Room]
		rooms[h.Room] = [3]float64{r[0] + h.UsableCapacity(&f.Prices), r[1] + before[h.ID], r[2] + after[h.ID]}
	}
	fmt.Fprintf(w, "\nroom\tserves\tholds\tplanned\tfull\n")
	for _, room := range slices.Sorted(maps.Keys(rooms)) {
		r := rooms[room]
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.0f%%\n", room, r[0], r[1], r[2], percent(r[2], r[0]))
	}
	if len(hosts) > mostRows {
		slices.SortStableFunc(hosts, func(x, y placement.Host) int {
			return int(math.Copysign(1, math.Abs(after[y.ID]-before[y.ID])-math.Abs(after[x.ID]-before[x.ID])))
		})
		fmt.Fprintf(w, "\nthe %d of %d hosts that change most\n", mostRows, len(hosts))
		hosts = hosts[:mostRows]
	}
	fmt.Fprintf(w, "\nhost\troom\tkind\tserves\tholds\tplanned\tfull\n")
	for _, h := range hosts {
		serves := h.UsableCapacity(&f.Prices)
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%.0f%%\n", h.ID, h.Room, h.Kind, serves, before[h.ID], after[h.ID], percent(after[h.ID], serves))
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
func percent(a, b float64) float64 { return 100 * ratio(a, b) }

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
		fmt.Fprintf(out, "%s: good; born %s, by %s, %d hosts, %d flights, now in force to %.0f%%", path, p.Created.Format(time.RFC3339), p.Method,
			len(p.Hosts), len(p.Flights), 100*force)
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

type planDiff struct {
	A string `arg:"" type:"path" help:"A plan."`
	B string `arg:"" type:"path" help:"Another one."`
}

// Run tells by how much the shares of hosts differ: that share of keys goes elsewhere, at the least.
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
		fmt.Fprintf(w, "room %s\t%.1f%% of its keys go to other hosts\n", room, 100*moved)
		all := maps.Clone(x)
		maps.Copy(all, y)
		ids := slices.SortedFunc(maps.Keys(all), func(p, q string) int {
			if d := math.Abs(x[q]-y[q]) - math.Abs(x[p]-y[p]); d != 0 {
				return int(math.Copysign(1, d))
			}
			return 0
		})
		for _, id := range ids[:min(len(ids), mostRows)] {
			if x[id] != y[id] {
				fmt.Fprintf(w, "  %s\t%.2f%%\t%.2f%%\n", id, 100*x[id], 100*y[id])
			}
		}
	}
	moved, only := 0, 0
	for key, cell := range a.Flights {
		if other, there := b.Flights[key]; !there {
			only++
		} else if other != cell {
			moved++
		}
	}
	if len(a.Flights)+len(b.Flights) > 0 {
		fmt.Fprintf(w, "flights\t%d go to another cell, %d are no longer named, %d are new\n", moved, only, len(b.Flights)-len(a.Flights)+only)
	}
	return nil
}

func shares(weights map[string]float64) map[string]float64 {
	all, out := 0.0, map[string]float64{}
	for _, w := range weights {
		all += w
	}
	for id, w := range weights {
		out[id] = w / all
	}
	return out
}
