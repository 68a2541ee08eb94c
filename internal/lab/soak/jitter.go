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

type delay struct{ at, by time.Duration }

// jitterTick is how often the delay is measured, jitterLeast what is worth keeping.
const (
	jitterTick  = 5 * time.Millisecond
	jitterLeast = 2 * time.Millisecond
)

func newJitter(w *world) *jitter {
	j := &jitter{}
	w.group.Go(func() {
		for {
			due := w.now() + jitterTick
			if !w.sleep(jitterTick) {
				return
			}
			if by := w.now() - due; by > jitterLeast {
				j.mu.Lock()
				j.delays = append(j.delays, delay{due, by})
				j.mu.Unlock()
			}
		}
	})
	return j
}

// worst is the longest delay measured between two moments.
func (j *jitter) worst(from, to time.Duration) (most time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range j.delays {
		if from <= d.at && d.at <= to {
			most = max(most, d.by)
		}
	}
	return most
}

// about is how late what was seen at a moment may have been seen.
func (j *jitter) about(at time.Duration) time.Duration {
	return measured + j.worst(at-time.Second, at+time.Second)
}

// measured is what two readings of different goroutines may differ by on an idle machine.
const measured = 10 * time.Millisecond
