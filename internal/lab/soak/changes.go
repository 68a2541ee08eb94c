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

// change plays a change at its host and has discovery know it. An agent learns nothing in an outage, and all at its end, in
// the order in which it happened.
func (w *world) change(c drainsearch.Change) {
	h := w.hosts[c.Host]
	address, started := "", int64(0)
	if c.Phase == drainaudit.InService {
		address, started = h.restart(c.Moves), time.Now().UnixMilli()
	}
	if f := w.fault(drainsearch.Outage, 0); w.script.Pushed && f != nil {
		if !w.sleepUntil(start + f.To + (c.At-f.From)/inOrder) {
			return
		}
	}
	w.learn(c, address, started)
	if c.Phase == drainaudit.Terminated && !w.script.GoneStaysUp {
		h.halt()
	}
}

// inOrder spreads what an agent learns at the end of an outage over some milliseconds, by when it happened.
const inOrder = 1000

// learn adds a change to the list; a host that is back in service has an address and a start.
func (w *world) learn(c drainsearch.Change, address string, startedMS int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	if c.At <= 0 {
		at = start + c.At
	}
	to := w.hosts[c.Host].listed
	to.Phase = c.Phase
	if c.Phase == drainaudit.InService {
		to.Address, to.StartedMS = address, startedMS
	}
	w.hosts[c.Host].listed = to
	revision := w.list.AddChange(c.Host, to)
	w.audit.Changed(at, to.ID, c.Phase)
	w.note(Event{Host: to.ID, What: fmt.Sprintf("list revision %d: %s", hostlist.FirstRevision+revision, hostlist.PhaseNames[c.Phase])})
	close(w.news)
	w.news = make(chan struct{})
}

// revisionAt is the revision that discovery had at a moment of the script.
func (w *world) revisionAt(at time.Duration) (revision int) {
	for _, c := range w.script.Changes {
		if c.At <= at && revision < w.list.LatestRevision() {
			revision++
		}
	}
	return revision
}
