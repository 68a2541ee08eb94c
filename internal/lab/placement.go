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
	a := placement.Solve(f, placement.Limit{Steps: solverSteps, Seed: seed})
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
