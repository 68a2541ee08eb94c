package discovery

import (
	"errors"
	"time"

	"tealtiller/policy"
)

// This file says how old the news of an answer may be, and when an older list is one to be taken after all.

// restartedAfter is how long discovery has to go on telling older lists until it must have started anew.
const restartedAfter = 10 * time.Second

// older takes a failed answer that may have been an older list.
func (w *Watcher) older(now time.Duration, err error) {
	if !errors.Is(err, ErrOlder) {
		return
	}
	if w.olderAt == 0 {
		w.olderAt = now
	}
	if now-w.olderAt >= restartedAfter {
		w.session.Restarted()
	}
}

// promptAnswer is how soon after its call an answer may tell what was news before the call. One that comes later was held
// back until there was news.
const promptAnswer = 100 * time.Millisecond

// toldSince is since when the news of an answer may count as told. After a failed call, and at first, nothing is known.
func (w *Watcher) toldSince(now time.Duration, c *connection) time.Duration {
	switch {
	case w.heardAt == 0 || w.fails > 0:
		return policy.LongAgo
	case now-c.asked < promptAnswer:
		return w.heardAt
	}
	return now
}
