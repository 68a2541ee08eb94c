package drainsearch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tealtiller/internal/lab/drainaudit"
)

// Found is a script that breaks the rule.
type Found struct {
	Seed   uint64
	Script *Script
	Break  *drainaudit.Violation
}

// Tally is what a search has played.
type Tally struct {
	Sequences int
	Sent      int // first bytes judged
	Found     []Found
	Excused   map[string]int // sequences with a break that a reading milder than the pages would excuse, by its name
}

// Broken is how many sequences broke the rule, by whatever reading.
func (t *Tally) Broken() (n int) {
	n = len(t.Found)
	for _, some := range t.Excused {
		n += some
	}
	return n
}

// mostFound is how many scripts that break the rule by any reading a search keeps; it ends with the last.
const mostFound = 20

// Search plays the sequences of so many seeds from a first one on, in so many goroutines, until a moment of real time;
// a zero one is no bound.
func Search(first uint64, sequences, workers int, until time.Time, options Options) Tally {
	var next, sent, played atomic.Int64
	var mu sync.Mutex
	var found []Found
	excused := map[string]int{}
	enough := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(found) >= mostFound
	}
	work := func() {
		for !enough() && (until.IsZero() || time.Now().Before(until)) {
			n := next.Add(1) - 1
			if n >= int64(sequences) {
				return
			}
			seed := first + uint64(n)
			script := Draw(seed)
			broken, judged := Play(script, options)
			played.Add(1)
			sent.Add(int64(judged))
			if broken == nil {
				continue
			}
			mu.Lock()
			if mild := broken.Excuse(); mild != "" {
				excused[mild]++
			} else {
				found = append(found, Found{seed, script, broken})
			}
			mu.Unlock()
		}
	}
	var group sync.WaitGroup
	for range workers {
		group.Go(work)
	}
	group.Wait()
	slices.SortFunc(found, func(a, b Found) int { return int(a.Seed) - int(b.Seed) })
	return Tally{Sequences: int(played.Load()), Sent: int(sent.Load()), Found: found, Excused: excused}
}

// Shrink leaves out of a script what the break does not need, one part after the other, as long as it still breaks.
func Shrink(s *Script, options Options) *Script {
	for smaller := true; smaller; {
		smaller = false
		for _, without := range parts(s) {
			if broken, _ := Play(without, options); broken != nil {
				s, smaller = without, true
				break
			}
		}
	}
	return s
}

// parts is a script without a half, or one, of the events of each kind.
func parts(s *Script) (out []*Script) {
	add := func(with func(*Script)) {
		c := *s
		with(&c)
		out = append(out, &c)
	}
	for _, r := range cuts(len(s.Requests)) {
		add(func(c *Script) { c.Requests = cut(s.Requests, r) })
	}
	for _, r := range cuts(len(s.Holds)) {
		add(func(c *Script) { c.Holds = cut(s.Holds, r) })
	}
	for _, r := range cuts(len(s.Faults)) {
		add(func(c *Script) { c.Faults = cut(s.Faults, r) })
	}
	for _, r := range cuts(len(s.Restarts)) {
		add(func(c *Script) { c.Restarts = cut(s.Restarts, r) })
	}
	for _, r := range cuts(len(s.Reloads)) {
		add(func(c *Script) { c.Reloads = cut(s.Reloads, r) })
	}
	for _, r := range cuts(len(s.Changes)) {
		add(func(c *Script) { c.Changes = cut(s.Changes, r) })
	}
	return out
}

// cuts is the ranges to leave out: halves first, then single ones.
func cuts(n int) (out [][2]int) {
	if n > 3 {
		out = append(out, [2]int{0, n / 2}, [2]int{n / 2, n})
	}
	for i := range n {
		out = append(out, [2]int{i, i + 1})
	}
	return out
}

func cut[T any](all []T, r [2]int) []T { return slices.Delete(slices.Clone(all), r[0], r[1]) }
