package net

import (
	"context"
	"log/slog"
	"time"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// This file holds the log events and metrics of the host list: the calls to discovery, the age of the list, and
// changes of hosts.

// listStatus is what is known of the host list for the log and the metrics.
type listStatus struct {
	revision    int64
	answeredAt  time.Duration           // when discovery last answered; 0 before the first answer
	staleLogged bool                    // the log has reported that the list is stale
	phases      map[string]policy.State // by host ID, as listed
}

// listStaleAfter is how long after its last answer a failed call to discovery is logged as a stale list. Long polls
// may last longer without any failure, since they end in an answer.
const listStaleAfter = 4 * time.Second

// CallStarted counts and traces a call.
func (w *watch) CallStarted(call discovery.CallStart) {
	w.node.counters.Add("discovery calls")
	w.node.trace("discovery-call", "connection", call.Connection, "address", call.Address, "since", call.Since,
		"wait", call.Wait, "limit", call.Timeout)
}

// traceLease traces a change of the lease on the host list.
func (w *watch) traceLease(now, until time.Duration, cause discovery.LeaseCause) {
	if until == discovery.Unlimited {
		w.node.trace("list-lease", "cause", cause, "limited", false)
		return
	}
	w.node.trace("list-lease", "cause", cause, "limited", true, "lasts", until-now)
}

// CallResent counts a call that is sent again because its connection ended as it was sent.
func (w *watch) CallResent() {
	w.node.counters.Add("discovery calls crossed by the end of their connection")
}

// CallFailed counts a failed call and logs it: at the warning level if operators need to know, else at the debug
// level.
func (w *watch) CallFailed(now time.Duration, failure discovery.CallFailure) {
	w.node.counters.Add("discovery calls failed")
	level := slog.LevelDebug
	if failure.ShouldLog {
		level = slog.LevelWarn
	}
	w.node.log.Log(context.Background(), level, "discovery-call-failed", "reason", failure.Err, "address", failure.Address,
		"connection", failure.Connection, "took", failure.Elapsed, "in_row", failure.Consecutive, "again", failure.Retries, "after", failure.RetryDelay)
	w.noteStale(now, failure)
}

// noteStale logs once per outage that the list may be out of date.
func (w *watch) noteStale(now time.Duration, failure discovery.CallFailure) {
	if w.status.staleLogged || w.sinceAnswer(now) < listStaleAfter {
		return
	}
	w.status.staleLogged = true
	w.node.log.Warn("list-stale", "revision", w.status.revision, "unheard", w.sinceAnswer(now),
		"failed", failure.Consecutive, "address", failure.Address)
}

// noteAnswer counts an answer and logs the changes in it.
func (w *watch) noteAnswer(now time.Duration, list *discovery.List) {
	n, s := w.node, &w.status
	n.counters.Add("discovery answers")
	n.trace("discovery-answer", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	if s.staleLogged {
		n.log.Info("list-current", "revision", list.Revision, "unheard", w.sinceAnswer(now))
	}
	s.revision, s.answeredAt, s.staleLogged = list.Revision, now, false
	s.notePhases(n, list)
}

// notePhases logs each host whose phase has changed.
func (s *listStatus) notePhases(n *Node, list *discovery.List) {
	for _, m := range list.Members {
		if before := s.phases[m.ID]; before != m.State {
			n.log.Info("host-phase", "host", m.ID, "from", phaseNames[before], "to", phaseNames[m.State], "revision", list.Revision)
		}
	}
	if list.Complete {
		s.noteMissing(n, list)
	}
	s.setPhases(list)
}

// noteMissing logs the hosts that a complete list leaves out.
func (s *listStatus) noteMissing(n *Node, list *discovery.List) {
	listed := make(map[string]bool, len(list.Members))
	for _, m := range list.Members {
		listed[m.ID] = true
	}
	for id, before := range s.phases {
		if !listed[id] && before != policy.Gone {
			n.log.Info("host-phase", "host", id, "from", phaseNames[before], "to", phaseNames[policy.Gone], "revision", list.Revision)
		}
	}
}

// setPhases stores the phases of a list.
func (s *listStatus) setPhases(list *discovery.List) {
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

// sinceAnswer is the time since the last answer of discovery, or since the start if there was none.
func (w *watch) sinceAnswer(now time.Duration) time.Duration {
	return now - max(w.status.answeredAt, w.node.startedAt)
}

// phaseNames are the names of phases in the log.
var phaseNames = map[policy.State]string{policy.Gone: "gone", policy.Ready: "in_service", policy.Draining: "terminating"}
