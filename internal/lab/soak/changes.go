package soak

import (
	"fmt"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// applyInitialChanges applies the changes from before the first process starts.
func (w *world) applyInitialChanges() {
	for _, c := range w.script.Changes {
		if c.At <= 0 {
			w.applyChange(c)
		}
	}
}

// applyChange applies a change to its host and publishes it to discovery. In an outage an agent receives nothing; it
// receives all changes at the end of it, in the order in which they happened.
func (w *world) applyChange(c drainsearch.Change) {
	h := w.hosts[c.Host]
	address, started := "", int64(0)
	if c.Phase == drainaudit.InService {
		address, started = h.restart(c.Moves), time.Now().UnixMilli()
	}
	if f := w.fault(drainsearch.Outage, 0); w.script.Pushed && f != nil {
		if !w.sleepUntil(start + f.To + (c.At-f.From)/outageSpread) {
			return
		}
	}
	w.publish(c, address, started)
	if c.Phase == drainaudit.Terminated && !w.script.GoneStaysUp {
		h.stop()
	}
}

// outageSpread is by how much the spacing of changes shrinks when an agent receives them at the end of an outage: they
// arrive within some milliseconds and stay in order.
const outageSpread = 1000

// publish adds a change to the list; the address and the start time apply to a host that returns to service.
func (w *world) publish(c drainsearch.Change, address string, startedMS int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	if c.At <= 0 {
		at = start + c.At
	}
	entry := w.hosts[c.Host].listed
	entry.Phase = c.Phase
	if c.Phase == drainaudit.InService {
		entry.Address, entry.StartedMS = address, startedMS
	}
	w.hosts[c.Host].listed = entry
	revision := w.list.AddChange(c.Host, entry)
	w.audit.Changed(at, entry.ID, c.Phase)
	w.recordEvent(Event{Host: entry.ID, What: fmt.Sprintf("list revision %d: %s", hostlist.FirstRevision+revision, hostlist.PhaseNames[c.Phase])})
	close(w.listChanged)
	w.listChanged = make(chan struct{})
}

// revisionAt returns the revision that discovery had at a time of the script.
func (w *world) revisionAt(at time.Duration) (revision int) {
	for _, c := range w.script.Changes {
		if c.At <= at && revision < w.list.LatestRevision() {
			revision++
		}
	}
	return revision
}
