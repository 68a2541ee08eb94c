package soak

import (
	"fmt"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// firstChanges are those from before the first process.
func (w *world) firstChanges() {
	for _, c := range w.script.Changes {
		if c.At <= 0 {
			w.change(c)
		}
	}
}

// change has discovery know a change of the list. An agent learns nothing in an outage, and all at its end.
func (w *world) change(c drainsearch.Change) {
	if f := w.fault(drainsearch.Outage, 0); w.script.Pushed && f != nil {
		if !w.sleepUntil(start + f.To) {
			return
		}
	}
	h := w.hosts[c.Host]
	w.mu.Lock()
	at := w.now()
	if c.At <= 0 {
		at = start + c.At
	}
	to := h.listed
	to.Phase = c.Phase
	w.mu.Unlock()
	if c.Phase == drainaudit.InService {
		to.StartedMS = time.Now().UnixMilli()
		to.Address = h.restart(c.Moves)
	}
	w.mu.Lock()
	h.listed = to
	revision := w.list.Change(c.Host, to)
	w.audit.Changed(at, to.ID, c.Phase)
	w.note(Event{Host: to.ID, What: fmt.Sprintf("list revision %d: %s", hostlist.FirstRevision+revision, hostlist.PhaseNames[c.Phase])})
	close(w.news)
	w.news = make(chan struct{})
	w.mu.Unlock()
	if c.Phase == drainaudit.Terminated && !w.script.GoneStaysUp {
		h.halt()
	}
}

// revisionAt is the revision that discovery had at a moment of the script.
func (w *world) revisionAt(at time.Duration) (revision int) {
	for _, c := range w.script.Changes {
		if c.At <= at && revision < w.list.Revision() {
			revision++
		}
	}
	return revision
}
