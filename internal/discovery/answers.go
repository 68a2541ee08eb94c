package discovery

import (
	"errors"
	"time"
)

// This file handles the answers of discovery.

// feed handles data of an answer, or the end of its connection.
func (w *Watcher) feed(now time.Duration, c *connection, data []byte, ended bool) {
	list, keep, err := c.exchange.Feed(w.session, data, ended)
	if err == nil && list == nil && ended {
		err = errAnswerTruncated
	}
	if err != nil {
		if !c.overdue {
			w.noteOlderList(now, err)
		}
		kind := FailureRefused
		if errors.Is(err, ErrUnreadable) {
			kind = FailureUnreadable
		}
		w.callFailed(now, c, err, kind)
		return
	}
	if list != nil {
		w.handleList(now, c, list, keep)
	}
}

// handleList handles a received list. The watch continues on the connection whose call was answered first, even if that
// call is overdue. Another open call stays open, because its answer may be newer; its connection closes after that.
func (w *Watcher) handleList(now time.Duration, c *connection, list *List, keep bool) {
	list.NotifiedAt = w.notifiedSince(now, c)
	current := w.current()
	concurrent := current != nil && current != c
	laterCallAnswered := concurrent && w.answeredAt > c.calledAt // a call that was made later has been answered before
	w.listReceived, w.answeredAt, w.olderListSince = true, now, 0
	w.deadlines.Stop(c.timeout)
	w.deadlines.Stop(w.retry)
	c.awaitingAnswer = false
	w.CallAnswered()
	w.watching = true
	switch {
	case laterCallAnswered, concurrent && !keep:
		w.drop(c)
	case concurrent:
		w.markOverdue(now, current)
		w.sendCall(now, c)
	case keep:
		w.sendCall(now, c)
	default:
		w.drop(c)
		w.dial(now)
	}
	w.observer.ListReceived(now, list)
	w.renewLease(now)
}
