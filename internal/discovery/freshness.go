package discovery

import (
	"errors"
	"time"

	"tealtiller/policy"
)

// This file decides since when the changes of an answer may count as notified, and when an older list is accepted after
// all.

// restartDetectionTime is how long discovery must have sent only older lists before it is taken to have restarted.
const restartDetectionTime = 10 * time.Second

// noteOlderList handles a failed answer that may contain an older list.
func (w *Watcher) noteOlderList(now time.Duration, err error) {
	if !errors.Is(err, ErrOlderRevision) {
		return
	}
	if w.olderListSince == 0 {
		w.olderListSince = now
	}
	if now-w.olderListSince >= restartDetectionTime {
		w.session.ForgetRevision()
	}
}

// promptAnswerWindow is how soon after its call an answer may report changes that are older than the call. An answer
// that comes later was held back until there was a change.
const promptAnswerWindow = 100 * time.Millisecond

// notifiedSince returns since when the changes of an answer may count as notified. At first, and after a failed call,
// this is unknown.
func (w *Watcher) notifiedSince(now time.Duration, c *connection) time.Duration {
	switch {
	case w.answeredAt == 0 || w.failures > 0:
		return policy.LongAgo
	case now-c.calledAt < promptAnswerWindow:
		return w.answeredAt
	}
	return now
}
