package net

import (
	"context"
	"log/slog"
	"time"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// This file is what the log and the figures tell of the host list: its calls, its age, and the changes of hosts.

// listStatus is what is known of the host list, for the log and the figures.
type listStatus struct {
	revision int64
	heardAt  time.Duration           // when discovery last answered; 0 before the first answer
	stale    bool                    // the log has told that the list is stale
	phases   map[string]policy.State // by host, as listed
}

// listStaleAfter is how long discovery may stay unheard, from its last answer to a failed call, until the log tells so. A call
// that waits for news lasts longer without any trouble; it ends in an answer.
const listStaleAfter = 4 * time.Second

// CallStarted counts a call and traces it.
func (w *watch) CallStarted(call discovery.CallStart) {
	w.node.count.Add("discovery calls")
	w.node.trace("discovery-call", "connection", call.Connection, "address", call.Address, "since", call.Since,
		"wait", call.Wait, "limit", call.Timeout)
}

// CallResent counts a call that is made again.
func (w *watch) CallResent() {
	w.node.count.Add("discovery calls crossed by the end of their connection")
}

// CallFailed counts a call that failed and logs it: a notable one for the operator, each for who traces.
func (w *watch) CallFailed(now time.Duration, failure discovery.CallFailure) {
	w.node.count.Add("discovery calls failed")
	level := slog.LevelDebug
	if failure.ShouldLog {
		level = slog.LevelWarn
	}
	w.node.log.Log(context.Background(), level, "discovery-call-failed", "reason", failure.Err, "address", failure.Address,
		"connection", failure.Connection, "took", failure.Elapsed, "in_row", failure.Consecutive, "again", failure.Retries, "after", failure.RetryDelay)
	w.noteStale(now, failure)
}

// noteStale logs, once until the next answer, that the list may be out of date.
func (w *watch) noteStale(now time.Duration, failure discovery.CallFailure) {
	if w.status.stale || w.unheard(now) < listStaleAfter {
		return
	}
	w.status.stale = true
	w.node.log.Warn("list-stale", "revision", w.status.revision, "unheard", w.unheard(now), "failed", failure.Consecutive, "address", failure.Address)
}

// noteAnswer counts an answer and logs what it changes.
func (w *watch) noteAnswer(now time.Duration, list *discovery.List) {
	n, s := w.node, &w.status
	n.count.Add("discovery answers")
	n.trace("discovery-answer", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	if s.stale {
		n.log.Info("list-current", "revision", list.Revision, "unheard", w.unheard(now))
	}
	s.revision, s.heardAt, s.stale = list.Revision, now, false
	s.notePhases(n, list)
}

// notePhases logs each host whose phase an answer changes.
func (s *listStatus) notePhases(n *Node, list *discovery.List) {
	for _, m := range list.Members {
		if before := s.phases[m.ID]; before != m.State {
			n.log.Info("host-phase", "host", m.ID, "from", phaseNames[before], "to", phaseNames[m.State], "revision", list.Revision)
		}
	}
	if list.Complete {
		s.noteMissing(n, list)
	}
	s.take(list)
}

// noteMissing logs the hosts that a whole list leaves out.
func (s *listStatus) noteMissing(n *Node, list *discovery.List) {
	named := make(map[string]bool, len(list.Members))
	for _, m := range list.Members {
		named[m.ID] = true
	}
	for id, before := range s.phases {
		if !named[id] && before != policy.Gone {
			n.log.Info("host-phase", "host", id, "from", phaseNames[before], "to", phaseNames[policy.Gone], "revision", list.Revision)
		}
	}
}

// take keeps the phases of a list.
func (s *listStatus) take(list *discovery.List) {
	if list.Complete {
		s.phases = make(map[string]policy.State, len(list.Members))
	}
	for _, m := range list.Members {
		if m.State == policy.Gone {
			delete(s.phases, m.ID)
			continue
		}
		s.phases[m.ID] = m.State
	}
}

// unheard is for how long discovery has not answered; since the start, if it has not yet.
func (w *watch) unheard(now time.Duration) time.Duration {
	return now - max(w.status.heardAt, w.node.began)
}

// phaseNames are the phases as the log tells them.
var phaseNames = map[policy.State]string{policy.Gone: "gone", policy.Ready: "in_service", policy.Draining: "terminating"}
