package soak

import (
	"sync"
	"time"
)

// jitter measures how late the run's own goroutines are: what they saw at a moment may have happened so much earlier. A
// limit counts as missed only by more than that.
type jitter struct {
	mu     sync.Mutex
	delays []delay
}

type delay struct{ at, amount time.Duration }

// jitterTick is how often the delay is measured, jitterLeast what is worth keeping.
const (
	jitterInterval = 5 * time.Millisecond
	minJitter      = 2 * time.Millisecond
)

func newJitter(w *world) *jitter {
	j := &jitter{}
	w.group.Go(func() {
		for {
			due := w.now() + jitterInterval
			if !w.sleep(jitterInterval) {
				return
			}
			if amount := w.now() - due; amount > minJitter {
				j.mu.Lock()
				j.delays = append(j.delays, delay{due, amount})
				j.mu.Unlock()
			}
		}
	})
	return j
}

// longest is the longest delay measured between two moments.
func (j *jitter) longest(from, to time.Duration) (longest time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range j.delays {
		if from <= d.at && d.at <= to {
			longest = max(longest, d.amount)
		}
	}
	return longest
}

// around is how late what was seen at a moment may have been seen.
func (j *jitter) around(at time.Duration) time.Duration {
	return idleJitter + j.longest(at-time.Second, at+time.Second)
}

// idleJitter is what two readings of different goroutines may differ by on an idle machine.
const idleJitter = 10 * time.Millisecond
