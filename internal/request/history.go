package request

import (
	"hash/fnv"
	"slices"
)

// idHistory is the set of the client ids that were used last, as hashes. It forgets the oldest ones.
type idHistory struct {
	known map[uint64]bool
	ring  []uint64 // the hashes in known; in order of their addition, from oldest on
	first int      // the place of the oldest one in ring once that is full
}

// maxHistory is the largest number of ids in a history. At a hundred requests a second it covers five minutes.
const maxHistory = 32768

func newIDHistory() idHistory { return idHistory{known: map[uint64]bool{}} }

// hashID returns the hash of a client id, which is the same in all processes.
func hashID(clientID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(clientID))
	return hash.Sum64()
}

func (h *idHistory) contains(hash uint64) bool { return h.known[hash] }

func (h *idHistory) add(hash uint64) {
	if h.known[hash] {
		return
	}
	h.known[hash] = true
	if len(h.ring) < maxHistory {
		h.ring = append(h.ring, hash)
		return
	}
	delete(h.known, h.ring[h.first])
	h.ring[h.first] = hash
	h.first = (h.first + 1) % maxHistory
}

// newest returns up to n hashes that were added last, the oldest of them first.
func (h *idHistory) newest(n int) []uint64 {
	all := slices.Concat(h.ring[h.first:], h.ring[:h.first])
	return all[max(len(all)-n, 0):]
}

// IsOpen reports whether a request with this client id is open. Callers check it because the desk hosts refuse a second
// request with an id that they already hold, and the module would take such refusals for faults of the hosts.
func (t *Table) IsOpen(clientID string) bool {
	_, ok := t.openByClientID[clientID]
	return ok
}

// MayHaveRun reports whether an earlier request with this client id was written to a host, here or in the process
// before this one. Clients use an id once, and it must not run twice.
func (t *Table) MayHaveRun(clientID string) bool { return t.history.contains(hashID(clientID)) }

// UsedIDs returns the hashes of up to n client ids for the process that takes over: of all open requests, which may
// still be written, and of those that may have run last.
func (t *Table) UsedIDs(n int) []uint64 {
	var open []uint64
	for clientID := range t.openByClientID {
		open = append(open, hashID(clientID))
	}
	open = open[:min(len(open), n)]
	return append(t.history.newest(n-len(open)), open...)
}

// AddUsedIDs adds the hashes that UsedIDs has returned in the process before this one.
func (t *Table) AddUsedIDs(hashes []uint64) {
	for _, hash := range hashes {
		t.history.add(hash)
	}
}
