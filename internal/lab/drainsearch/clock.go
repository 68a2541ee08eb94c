package drainsearch

import (
	"time"

	"tealtiller/internal/deadline"
)

// clock is the virtual time of a run with the events that are due.
type clock struct {
	now     time.Duration
	queue   deadline.Queue
	stopped bool
}

// at runs an action at a time, at the earliest now.
func (c *clock) at(when time.Duration, action func()) {
	c.queue.Set(max(when, c.now), func(time.Duration) { action() })
}

// run runs all actions that are due by a time.
func (c *clock) run(last time.Duration) {
	for {
		next, ok := c.queue.Next()
		if !ok || next > last || c.stopped {
			return
		}
		c.now = next
		c.queue.Run(next)
	}
}
