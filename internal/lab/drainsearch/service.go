package drainsearch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/hostlist"
)

// service simulates discovery, or the agents of all balancers, by the protocol page.
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
		w.at(start+f.From, func() { s.applyFault(f) })
	}
	for _, c := range w.script.Changes {
		if start+c.At <= w.now {
			s.applyChange(c)
			continue
		}
		w.at(start+c.At, func() { s.publish(c) })
	}
	return s
}

// publish adds a change to the list. In an outage an agent receives nothing; it receives all changes at the end of it.
func (s *service) publish(c Change) {
	if until, down := s.outageEnd(); s.world.script.Pushed && down {
		s.world.at(until, func() { s.publish(c) })
		return
	}
	s.applyChange(c)
	for _, b := range s.world.balancers {
		for _, number := range slices.Sorted(maps.Keys(b.links)) {
			l := b.links[number]
			if c := s.calls[l]; c != nil && c.answerAt == 0 {
				s.answer(l, c)
			}
		}
	}
}

func (s *service) applyChange(c Change) {
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

// firstPort is the port of the first host; portStep is by how much the port of a host changes when the host returns at
// another address.
const (
	firstPort = 1000
	portStep  = 100
)

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// revisionAt returns the revision that discovery had at a time.
func (s *service) revisionAt(at time.Duration) int {
	n := 0
	for _, c := range s.world.script.Changes {
		if start+c.At <= at && n < s.history.LatestRevision() {
			n++
		}
	}
	return n
}
