package drainsearch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/hostlist"
)

// service is discovery, or the agents of all balancers, after the protocol page.
type service struct {
	world   *world
	hosts   []hostlist.Host
	history *hostlist.History
	ports   []int // of the hosts
	calls   map[*link]*call
}

func newService(w *world) *service {
	s := &service{world: w, calls: map[*link]*call{}}
	for i := range w.script.Hosts {
		s.hosts = append(s.hosts, hostlist.Host{ID: fmt.Sprintf("s-%d", i), Address: address(firstPort + i)})
		s.ports = append(s.ports, firstPort+i)
	}
	s.history = hostlist.New(slices.Clone(s.hosts))
	for _, f := range w.script.Faults {
		if f.Kind == Outage {
			w.audit.Outage(start+f.From, start+f.To)
		}
		w.at(start+f.From, func() { s.strikes(f) })
	}
	for _, c := range w.script.Changes {
		if start+c.At <= w.now {
			s.change(c)
			continue
		}
		w.at(start+c.At, func() { s.learn(c) })
	}
	return s
}

// learn has a change known. An agent learns nothing in an outage, and all at its end.
func (s *service) learn(c Change) {
	if until, down := s.downUntil(); s.world.script.Pushed && down {
		s.world.at(until, func() { s.learn(c) })
		return
	}
	s.change(c)
	for _, b := range s.world.balancers {
		for _, number := range slices.Sorted(maps.Keys(b.links)) {
			l := b.links[number]
			if c := s.calls[l]; c != nil && c.answerAt == 0 {
				s.answer(l, c)
			}
		}
	}
}

func (s *service) change(c Change) {
	h := &s.hosts[c.Host]
	h.Phase = c.Phase
	if c.Phase == drainaudit.InService {
		h.StartedMS = (start + c.At).Milliseconds()
		if c.Moves {
			s.ports[c.Host] += portStep
			h.Address = address(s.ports[c.Host])
		}
	}
	revision := s.history.AddChange(c.Host, *h)
	at := max(start+c.At, s.world.now)
	if start+c.At < start {
		at = start + c.At
	}
	s.world.audit.Changed(at, h.ID, c.Phase)
	s.world.explain("discovery has revision %d: %s %s", revision, h.ID, hostlist.PhaseNames[c.Phase])
}

// The ports of hosts: the first one's, and how far one that comes back elsewhere moves.
const firstPort, portStep = 1000, 100

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// revisionAt is the revision that discovery had at a moment.
func (s *service) revisionAt(at time.Duration) int {
	n := 0
	for _, c := range s.world.script.Changes {
		if start+c.At <= at && n < s.history.LatestRevision() {
			n++
		}
	}
	return n
}
