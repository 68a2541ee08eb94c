package soak

import (
	"sync"
	"time"
)

// jitter measures how late the run's own goroutines are scheduled: what they observe at a time may have happened that
// much earlier. A limit counts as exceeded only by more than that.
type jitter struct {
	mu     sync.Mutex
	delays []delay
}

type delay struct{ at, amount time.Duration }

// The measurement of delays.
const (
	jitterInterval = 5 * time.Millisecond // how often the delay is measured
	minJitter      = 2 * time.Millisecond // shorter delays are not recorded
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

// longest returns the longest delay measured between two times.
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

// around returns how late an event observed at a time may have been observed.
func (j *jitter) around(at time.Duration) time.Duration {
	return idleJitter + j.longest(at-time.Second, at+time.Second)
}

// idleJitter is by how much the clock readings of two goroutines may differ on an idle machine.
const idleJitter = 10 * time.Millisecond
