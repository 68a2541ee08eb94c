package drainsearch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// FailingScript is a script that breaks the rule under any reading of the pages.
type FailingScript struct {
	Seed      uint64
	Script    *Script
	Violation *drainaudit.Violation
}

// Result is the outcome of a search.
type Result struct {
	Sequences      int
	Sent           int // first bytes judged
	FailingScripts []FailingScript
	Excused        map[string]int // by lenient reading: sequences with a violation that this reading would allow
}

// Broken returns how many sequences broke the rule, those included that a lenient reading would allow.
func (t *Result) Broken() (n int) {
	n = len(t.FailingScripts)
	for _, count := range t.Excused {
		n += count
	}
	return n
}

// maxFound is how many failing scripts a search collects before it ends.
const maxFound = 20

// Search plays the sequences of consecutive seeds from the first one on, on several goroutines. It ends early at a point
// in real time, unless that is zero, or when it has collected maxFound failing scripts.
func Search(first uint64, sequences, workers int, until time.Time, options Options) Result {
	var next, sent, played atomic.Int64
	var mu sync.Mutex
	var found []FailingScript
	excused := map[string]int{}
	enough := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(found) >= maxFound
	}
	worker := func() {
		for !enough() && (until.IsZero() || time.Now().Before(until)) {
			n := next.Add(1) - 1
			if n >= int64(sequences) {
				return
			}
			seed := first + uint64(n)
			script := Draw(seed)
			violation, judged := Play(script, options)
			played.Add(1)
			sent.Add(int64(judged))
			if violation == nil {
				continue
			}
			mu.Lock()
			if excuse := violation.Excuse(); excuse != "" {
				excused[excuse]++
			} else {
				found = append(found, FailingScript{seed, script, violation})
			}
			mu.Unlock()
		}
	}
	var group sync.WaitGroup
	for range workers {
		group.Go(worker)
	}
	group.Wait()
	slices.SortFunc(found, func(a, b FailingScript) int { return int(a.Seed) - int(b.Seed) })
	return Result{Sequences: int(played.Load()), Sent: int(sent.Load()), FailingScripts: found, Excused: excused}
}

// Shrink removes events from a script, one part after the other, as long as the rest still breaks the rule.
func Shrink(s *Script, options Options) *Script {
	for reduced := true; reduced; {
		reduced = false
		for _, candidate := range reductions(s) {
			if violation, _ := Play(candidate, options); violation != nil {
				s, reduced = candidate, true
				break
			}
		}
	}
	return s
}

// reductions returns copies of a script, each without a half or a single one of the events of one kind.
func reductions(s *Script) (out []*Script) {
	add := func(remove func(*Script)) {
		c := *s
		remove(&c)
		out = append(out, &c)
	}
	for _, r := range rangesToRemove(len(s.Requests)) {
		add(func(c *Script) { c.Requests = withoutRange(s.Requests, r) })
	}
	for _, r := range rangesToRemove(len(s.Holds)) {
		add(func(c *Script) { c.Holds = withoutRange(s.Holds, r) })
	}
	for _, r := range rangesToRemove(len(s.Faults)) {
		add(func(c *Script) { c.Faults = withoutRange(s.Faults, r) })
	}
	for _, r := range rangesToRemove(len(s.Restarts)) {
		add(func(c *Script) { c.Restarts = withoutRange(s.Restarts, r) })
	}
	for _, r := range rangesToRemove(len(s.Reloads)) {
		add(func(c *Script) { c.Reloads = withoutRange(s.Reloads, r) })
	}
	for _, r := range rangesToRemove(len(s.Changes)) {
		add(func(c *Script) { c.Changes = withoutRange(s.Changes, r) })
	}
	return out
}

// rangesToRemove returns the ranges to leave out of n events: the halves first, then single events.
func rangesToRemove(n int) (out [][2]int) {
	if n > 3 {
		out = append(out, [2]int{0, n / 2}, [2]int{n / 2, n})
	}
	for i := range n {
		out = append(out, [2]int{i, i + 1})
	}
	return out
}

func withoutRange[T any](all []T, r [2]int) []T { return slices.Delete(slices.Clone(all), r[0], r[1]) }
