package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"tealtiller/internal/placement"
)

// Size and requirements of the proof of placement.
const (
	placementCases  = 600
	maxGap          = 0.02
	minExactShare   = 0.8
	exactNodeBudget = 60_000
	solverSteps     = 400_000
)

type placementResult struct {
	gap, worthError              float64 // gap to the best placement; relative error of the worth that the solver reports
	proved, calledExact          bool    // the best worth is known; the solver reported its solution as exact
	falselyFeasible, boundTooLow bool    // the solver reported an infeasible solution as feasible; its bound is below the best worth
	hosts, flights               int
}

// ProvePlacement solves random small fleets and compares the solutions with those of the reference.
func ProvePlacement(seed uint64) (*Verdict, error) {
	began := time.Now()
	out := make([]placementResult, placementCases)
	jobs, done := make(chan int), sync.WaitGroup{}
	for range runtime.NumCPU() {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := range jobs {
				out[i] = placementCase(seed, i)
			}
		}()
	}
	for i := range out {
		jobs <- i
	}
	close(jobs)
	done.Wait()

	v := &Verdict{Proof: "placement", Seed: seed, Figures: map[string]any{}}
	worst, mean, exact, proved, worthError, falselyFeasible, boundsTooLow, calledExact, largest := 0.0, 0.0, 0, 0, 0.0, 0, 0, 0, 0
	for i, r := range out {
		worst, mean, worthError = math.Max(worst, r.gap), mean+r.gap/float64(len(out)), math.Max(worthError, r.worthError)
		if r.gap <= 1e-7 {
			exact++
		}
		for n, yes := range map[*int]bool{&proved: r.proved, &falselyFeasible: r.falselyFeasible, &boundsTooLow: r.boundTooLow, &calledExact: r.calledExact, &largest: r.hosts == 6 && r.flights >= 15} {
			if yes {
				*n++
			}
		}
		v.check(!r.calledExact || r.gap <= 1e-7, "case %d: reported as exact, but with a gap of %g", i, r.gap)
	}
	share := float64(exact) / float64(len(out))
	v.check(worst <= maxGap, "worst gap %g", worst)
	v.check(share >= minExactShare, "share of optimal solutions %g", share)
	v.check(falselyFeasible == 0, "%d infeasible solutions reported as feasible", falselyFeasible)
	v.check(boundsTooLow == 0, "%d bounds below the best worth", boundsTooLow)
	v.check(worthError <= 1e-6, "a reported worth is wrong by %g", worthError)
	v.Figures = map[string]any{"cases": len(out), "worst_gap": worst, "mean_gap": mean, "exactly_optimal": share, "best_proved": proved,
		"called_exact": calledExact, "largest_cases": largest, "called_feasible_wrongly": falselyFeasible, "bounds_too_low": boundsTooLow, "worth_told_off_by": worthError,
		"seconds": roundSeconds(time.Since(began))}
	return v, nil
}

// placementCase solves one case. Every third case is small enough to enumerate all placements.
func placementCase(seed uint64, i int) (r placementResult) {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	hosts, flights := 6, 20
	if i%3 == 0 {
		hosts, flights = 3, 4
	}
	f := DrawPlacementCase(rng, hosts, flights)
	r.hosts, r.flights = len(f.Hosts), len(f.Flights)
	a := placement.Solve(f, placement.SearchLimit{MaxSteps: solverSteps, Seed: seed})
	worth, feasible := EvaluateSolution(f, a)
	scale := math.Max(math.Abs(worth), 1e-9)
	r.worthError = math.Abs(worth-a.Total) / scale
	r.falselyFeasible = a.Feasible && !feasible
	r.calledExact = a.Method == placement.Exact
	best, upperBound := 0.0, 0.0
	if i%3 == 0 {
		best = EnumerateBest(f)
		upperBound, r.proved = best, true
	} else {
		best, upperBound, r.proved = SearchBest(f, worth, exactNodeBudget)
		if !r.proved && upperBound > (1+maxGap/2)*best {
			best, upperBound, r.proved = SearchBest(f, worth, 10*exactNodeBudget)
		}
	}
	r.gap = math.Max(upperBound/math.Max(worth, 1e-9)-1, 0)
	r.boundTooLow = a.Bound < best-1e-6*scale
	return r
}

func (r placementResult) String() string {
	return fmt.Sprintf("%d hosts, %d flights: gap %.5f, best known %v, reported as exact %v", r.hosts, r.flights, r.gap, r.proved, r.calledExact)
}

// DrawPlacementFleet draws a fleet of any size: two rooms, two kinds of hosts, flights of different loads of which
// about two thirds of the clients arrive in the first room, and a demand given as a share of the hosts' capacity.
func DrawPlacementFleet(seed uint64, hosts, flightsPerHost int, demand float64) *placement.Fleet {
	rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
	f := &placement.Fleet{Prices: placement.DefaultPrices()}
	capacity, rooms := 0.0, roomNames
	for i := range hosts {
		h := placement.Host{ID: fmt.Sprintf("h%05d", i), Room: rooms[i%2], Kind: "full-speed", Capacity: 180 * (0.85 + 0.25*rng.Float64())}
		if i/2%2 == 1 {
			h.Kind, h.Capacity = "slow-clock", 180*(0.51+0.18*rng.Float64())
		}
		f.Hosts = append(f.Hosts, h)
		capacity += h.UsableCapacity(&f.Prices)
	}
	n := hosts * flightsPerHost
	total := capacity*demand - f.Prices.PerHostOverhead*float64(n)
	for i := range n {
		load, worth, first := total/float64(n)*(0.3+0.7*rng.ExpFloat64()), 0.9+0.4*rng.Float64(), 0.65
		if rng.IntN(2) == 0 {
			first = 1 - math.Floor(rng.Float64()+0.35)
		}
		fl := placement.Flight{ID: rng.Uint64(), Carrier: Carriers[i%len(Carriers)].Name}
		for r, share := range []float64{first, 1 - first} {
			if share > 0 {
				fl.Parts = append(fl.Parts, placement.Part{Room: rooms[r], Load: load * share, Worth: load * share * worth})
			}
		}
		f.Flights = append(f.Flights, fl)
	}
	return f
}

// SolverRun is one run of the solver.
type SolverRun struct {
	Hosts         int
	Demand        float64
	Limit, Took   time.Duration
	Gap           float64
	Method        placement.Method
	Shed, Crossed float64 // shares of worth
}

// ProvePlacementSize solves fleets of 10, 100 and 1,000 hosts with 20 flights per host, each under several time limits.
func ProvePlacementSize(seed uint64) (*Verdict, []SolverRun) {
	v := &Verdict{Proof: "placement-size", Seed: seed, Figures: map[string]any{}}
	var runs []SolverRun
	for _, demand := range []float64{0.7, 0.95, 1.2} {
		for _, hosts := range []int{10, 100, 1000} {
			f := DrawPlacementFleet(seed, hosts, 20, demand)
			before := 0.0
			for _, limit := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
				began := time.Now()
				stop := began.Add(limit - time.Duration(len(f.Flights))*solverStopTime)
				a := placement.Solve(f, placement.SearchLimit{Seed: seed, Stop: func() bool { return time.Now().After(stop) }})
				s := SolverRun{hosts, demand, limit, time.Since(began), a.Gap, a.Method, a.ShedWorth / (a.ShedWorth + a.ServedWorth), a.CrossedWorth / a.ServedWorth}
				runs = append(runs, s)
				name := fmt.Sprintf("hosts_%d_demand_%g_limit_%v", hosts, demand, limit)
				v.Figures[name] = map[string]any{"ms": math.Round(s.Took.Seconds() * 1e3), "gap": round4(a.Gap), "method": a.Method, "shed": round4(s.Shed),
					"crossed": round4(s.Crossed)}
				// Half of the limit is allowed on top, for a machine that has other work.
				v.check(s.Took <= limit*3/2, "%s: took %v", name, s.Took)
				v.check(a.Total >= before-1e-9*math.Abs(before), "%s: worth less than under a shorter limit", name)
				v.check(a.Total <= a.Bound*(1+1e-9), "%s: worth %g, above the bound %g", name, a.Total, a.Bound)
				if limit >= time.Second {
					v.check(a.Gap <= map[bool]float64{true: 0.01, false: 0.05}[demand < 1], "%s: gap %g", name, a.Gap)
				}
				before = a.Total * 0.995 // random draws may make a longer run slightly worse
			}
		}
	}
	return v, runs
}

// solverStopTime is the time per flight that the solver takes after it is told to stop, to finish the current step and
// to write the solution.
const solverStopTime = 3 * time.Microsecond / 2
