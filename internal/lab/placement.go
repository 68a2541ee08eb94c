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

// What the proof of placement promises.
const (
	placementCases = 600
	worstGap       = 0.02
	shareExact     = 0.8
	exactNodes     = 60_000
	solverSteps    = 400_000
)

type placementResult struct {
	gap, wrong     float64 // against the best; the solver's word for its own worth against the other opinion
	proved, called bool    // the best is known; the solver called its answer exact
	lied, under    bool    // called feasible what is not; a bound under the best
	hosts, flights int
}

// ProvePlacement solves random small fleets and holds the answers against the other opinion.
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
	worst, mean, exact, proved, wrong, lied, under, called, largest := 0.0, 0.0, 0, 0, 0.0, 0, 0, 0, 0
	for i, r := range out {
		worst, mean, wrong = math.Max(worst, r.gap), mean+r.gap/float64(len(out)), math.Max(wrong, r.wrong)
		if r.gap <= 1e-7 {
			exact++
		}
		for n, yes := range map[*int]bool{&proved: r.proved, &lied: r.lied, &under: r.under, &called: r.called, &largest: r.hosts == 6 && r.flights >= 15} {
			if yes {
				*n++
			}
		}
		v.must(!r.called || r.gap <= 1e-7, "case %d: called exact with a gap of %g", i, r.gap)
	}
	share := float64(exact) / float64(len(out))
	v.must(worst <= worstGap, "worst gap %g", worst)
	v.must(share >= shareExact, "%g exactly optimal", share)
	v.must(lied == 0, "%d infeasible answers called feasible", lied)
	v.must(under == 0, "%d bounds under the best", under)
	v.must(wrong <= 1e-6, "an answer's worth was told %g off", wrong)
	v.Figures = map[string]any{"cases": len(out), "worst_gap": worst, "mean_gap": mean, "exactly_optimal": share, "best_proved": proved,
		"called_exact": called, "largest_cases": largest, "called_feasible_wrongly": lied, "bounds_too_low": under, "worth_told_off_by": wrong,
		"seconds": round(time.Since(began))}
	return v, nil
}

// placementCase solves one case. Every third is small enough to look at every placement.
func placementCase(seed uint64, i int) (r placementResult) {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	hosts, flights := 6, 20
	if i%3 == 0 {
		hosts, flights = 3, 4
	}
	f := PlacementCase(rng, hosts, flights)
	r.hosts, r.flights = len(f.Hosts), len(f.Flights)
	a := placement.Solve(f, placement.SearchLimit{MaxSteps: solverSteps, Seed: seed})
	worth, feasible := WorthOf(f, a)
	scale := math.Max(math.Abs(worth), 1e-9)
	r.wrong = math.Abs(worth-a.Total) / scale
	r.lied = a.Feasible && !feasible
	r.called = a.Method == placement.Exact
	best, most := 0.0, 0.0
	if i%3 == 0 {
		best = Enumerate(f)
		most, r.proved = best, true
	} else {
		best, most, r.proved = Exact(f, worth, exactNodes)
		if !r.proved && most > (1+worstGap/2)*best {
			best, most, r.proved = Exact(f, worth, 10*exactNodes)
		}
	}
	r.gap = math.Max(most/math.Max(worth, 1e-9)-1, 0)
	r.under = a.Bound < best-1e-6*scale
	return r
}

func (r placementResult) String() string {
	return fmt.Sprintf("%d hosts, %d flights: gap %.5f, best known %v, called exact %v", r.hosts, r.flights, r.gap, r.proved, r.called)
}

// PlacementFleet draws a fleet of any size: two rooms, two kinds, flights of unlike size of which two thirds arrive in
// the first room, and demand as a share of what the hosts serve.
func PlacementFleet(seed uint64, hosts, each int, demand float64) *placement.Fleet {
	rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
	f := &placement.Fleet{Prices: placement.DefaultPrices()}
	serves, rooms := 0.0, bothRooms
	for i := range hosts {
		h := placement.Host{ID: fmt.Sprintf("h%05d", i), Room: rooms[i%2], Kind: "full-speed", Capacity: 180 * (0.85 + 0.25*rng.Float64())}
		if i/2%2 == 1 {
			h.Kind, h.Capacity = "slow-clock", 180*(0.51+0.18*rng.Float64())
		}
		f.Hosts = append(f.Hosts, h)
		serves += h.UsableCapacity(&f.Prices)
	}
	n := hosts * each
	total := serves*demand - f.Prices.PerHostOverhead*float64(n)
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

// SizedPlan is one solver's run.
type SizedPlan struct {
	Hosts         int
	Demand        float64
	Limit, Took   time.Duration
	Gap           float64
	Method        placement.Method
	Shed, Crossed float64 // shares of worth
}

// ProvePlacementSize solves fleets of 10, 100 and 1,000 hosts with 20 flights a host, each under several limits.
func ProvePlacementSize(seed uint64) (*Verdict, []SizedPlan) {
	v := &Verdict{Proof: "placement-size", Seed: seed, Figures: map[string]any{}}
	var all []SizedPlan
	for _, demand := range []float64{0.7, 0.95, 1.2} {
		for _, hosts := range []int{10, 100, 1000} {
			f := PlacementFleet(seed, hosts, 20, demand)
			before := 0.0
			for _, limit := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
				began := time.Now()
				stop := began.Add(limit - time.Duration(len(f.Flights))*solverTail)
				a := placement.Solve(f, placement.SearchLimit{Seed: seed, Stop: func() bool { return time.Now().After(stop) }})
				s := SizedPlan{hosts, demand, limit, time.Since(began), a.Gap, a.Method, a.ShedWorth / (a.ShedWorth + a.ServedWorth), a.CrossedWorth / a.ServedWorth}
				all = append(all, s)
				name := fmt.Sprintf("hosts_%d_demand_%g_limit_%v", hosts, demand, limit)
				v.Figures[name] = map[string]any{"ms": math.Round(s.Took.Seconds() * 1e3), "gap": round4(a.Gap), "method": a.Method, "shed": round4(s.Shed),
					"crossed": round4(s.Crossed)}
				// Half of the limit is left for a machine that does other things beside.
				v.must(s.Took <= limit*3/2, "%s: took %v", name, s.Took)
				v.must(a.Total >= before-1e-9*math.Abs(before), "%s: worth less than with less time", name)
				v.must(a.Total <= a.Bound*(1+1e-9), "%s: worth %g, over the bound %g", name, a.Total, a.Bound)
				if limit >= time.Second {
					v.must(a.Gap <= map[bool]float64{true: 0.01, false: 0.05}[demand < 1], "%s: gap %g", name, a.Gap)
				}
				before = a.Total * 0.995 // chance may have it a little worse
			}
		}
	}
	return v, all
}

// solverTail is what the solver takes a flight after it was told to stop: the step under way, and writing the answer.
const solverTail = 3 * time.Microsecond / 2
