// Package hostlist is the host list as the laboratory's stand-ins for discovery tell it: the hosts at first, and a history
// of changes, one a revision.
package hostlist

import (
	"fmt"
	"strings"

	"tealtiller/internal/lab/drainaudit"
)

// FirstRevision is the number of the list before any change, as discovery tells it.
const FirstRevision = 41

// Host is a host as the list has it.
type Host struct {
	ID        string
	Address   string
	Phase     drainaudit.Phase
	StartedMS int64 // Unix time in milliseconds; 0 for long ago
}

// PhaseNames are the phases as discovery tells them.
var PhaseNames = map[drainaudit.Phase]string{
	drainaudit.InService: "in_service", drainaudit.Terminating: "terminating", drainaudit.Terminated: "terminated",
}

func (h *Host) entry() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
		h.ID, h.Address, PhaseNames[h.Phase], h.StartedMS)
}

// History is the list with all its changes. Revisions count from 0, the list before any change.
type History struct {
	first   []Host
	entries []string // of changes, in order
	changed []int    // the host of each
}

// New makes a history of the hosts at first.
func New(hosts []Host) *History { return &History{first: hosts} }

// Change adds a change of a host, and is the revision that it makes.
func (h *History) Change(index int, to Host) (revision int) {
	h.entries = append(h.entries, to.entry())
	h.changed = append(h.changed, index)
	return len(h.entries)
}

// Revision is the newest one.
func (h *History) Revision() int { return len(h.entries) }

// Whole is the whole list as of a revision.
func (h *History) Whole(revision int) string {
	entries := make([]string, len(h.first))
	for i := range h.first {
		entries[i] = h.first[i].entry()
	}
	for r := range revision {
		entries[h.changed[r]] = h.entries[r]
	}
	var members []string
	for _, e := range entries {
		if !strings.Contains(e, `"terminated"`) {
			members = append(members, e)
		}
	}
	return body(revision, true, members)
}

// Changes is what is new since a revision.
func (h *History) Changes(since int) string {
	latest := map[int]string{}
	var order []int
	for r := since; r < len(h.entries); r++ {
		if _, seen := latest[h.changed[r]]; !seen {
			order = append(order, h.changed[r])
		}
		latest[h.changed[r]] = h.entries[r]
	}
	var members []string
	for _, i := range order {
		members = append(members, latest[i])
	}
	return body(len(h.entries), false, members)
}

// Contradiction is an answer that names the host of the last change twice, in service last; there has to be a change.
func (h *History) Contradiction() string {
	last := len(h.entries) - 1
	return body(len(h.entries), false, []string{h.entries[last], h.first[h.changed[last]].entry()})
}

func body(revision int, complete bool, members []string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, FirstRevision+revision, complete, strings.Join(members, ","))
}
