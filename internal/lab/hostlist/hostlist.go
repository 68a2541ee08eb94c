// Package hostlist encodes the host list for the lab's discovery stand-ins: the initial hosts and a history of changes,
// each of which makes a new revision.
package hostlist

import (
	"fmt"
	"strings"

	"tealtiller/internal/lab/drainaudit"
)

// FirstRevision is the revision on the wire of the list before any change.
const FirstRevision = 41

// Host is an entry of the host list.
type Host struct {
	ID        string
	Address   string
	Phase     drainaudit.Phase
	StartedMS int64 // Unix time in milliseconds; 0 if the host started long ago
}

// PhaseNames are the names of the phases on the wire.
var PhaseNames = map[drainaudit.Phase]string{
	drainaudit.InService: "in_service", drainaudit.Terminating: "terminating", drainaudit.Terminated: "terminated",
}

// entry returns the host as JSON.
func (h *Host) entry() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
		h.ID, h.Address, PhaseNames[h.Phase], h.StartedMS)
}

// History is the host list with all its changes. Revisions count from 0, the list before any change.
type History struct {
	initial      []Host
	entries      []string // of the changes, in order
	changedHosts []int    // index of the host of each change
}

// New returns a history that starts with the given hosts.
func New(hosts []Host) *History { return &History{initial: hosts} }

// AddChange records a new entry for a host and returns the revision that it makes.
func (h *History) AddChange(index int, host Host) (revision int) {
	h.entries = append(h.entries, host.entry())
	h.changedHosts = append(h.changedHosts, index)
	return len(h.entries)
}

// LatestRevision returns the newest revision.
func (h *History) LatestRevision() int { return len(h.entries) }

// FullList returns the answer with the complete list as of a revision.
func (h *History) FullList(revision int) string {
	entries := make([]string, len(h.initial))
	for i := range h.initial {
		entries[i] = h.initial[i].entry()
	}
	for r := range revision {
		entries[h.changedHosts[r]] = h.entries[r]
	}
	var members []string
	for _, e := range entries {
		if !strings.Contains(e, `"terminated"`) {
			members = append(members, e)
		}
	}
	return answerBody(revision, true, members)
}

// Delta returns the answer with the changes since a revision.
func (h *History) Delta(since int) string {
	latest := map[int]string{}
	var order []int
	for r := since; r < len(h.entries); r++ {
		if _, seen := latest[h.changedHosts[r]]; !seen {
			order = append(order, h.changedHosts[r])
		}
		latest[h.changedHosts[r]] = h.entries[r]
	}
	var members []string
	for _, i := range order {
		members = append(members, latest[i])
	}
	return answerBody(len(h.entries), false, members)
}

// DuplicateHostAnswer returns a contradictory answer that has the host of the last change twice, the second time in
// service. There has to be at least one change.
func (h *History) DuplicateHostAnswer() string {
	last := len(h.entries) - 1
	return answerBody(len(h.entries), false, []string{h.entries[last], h.initial[h.changedHosts[last]].entry()})
}

func answerBody(revision int, complete bool, members []string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, FirstRevision+revision, complete, strings.Join(members, ","))
}
