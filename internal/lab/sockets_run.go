package lab

import (
	"cmp"
	"slices"
	"time"
)

// Run plays the experiment and tells what was seen.
func (s *Sockets) Run() Outcome {
	s.began = time.Now()
	for i := range s.exp.carriers() {
		s.startCarrier(i)
	}
	for _, f := range s.exp.Faults {
		if f.Kind != "hot-key" {
			s.startFault(f)
		}
	}
	if s.plan.CellCount() > 0 && len(s.plan.Moves) > 0 {
		go s.watchMove(time.Unix(0, int64(s.plan.Moves[0].Start)))
	}
	s.sleepUntil(s.began.Add(span(s.exp.Duration)))
	s.audit.closing(s)
	s.stop()
	s.clients.Wait()
	return s.audit.outcome(s)
}

// startCarrier has the clients of a carrier come.
func (s *Sockets) startCarrier(i int) {
	s.mu.Lock()
	seed := s.rng.Uint64()
	s.mu.Unlock()
	all := s.exp.arrivals(seed, i)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	s.clients.Add(1)
	go func() {
		defer s.clients.Done()
		for _, a := range all {
			if !s.sleepUntil(s.began.Add(a.at)) {
				return
			}
			s.clients.Add(1)
			go s.client(a)
		}
	}()
}

// startFault plays a fault at its time.
func (s *Sockets) startFault(f Fault) {
	s.clients.Add(1)
	go func() {
		defer s.clients.Done()
		if s.sleepUntil(s.began.Add(span(f.At))) {
			s.fault(f)
		}
	}()
}

// watchMove counts what stands as a move begins.
func (s *Sockets) watchMove(begins time.Time) {
	if s.sleepUntil(begins) {
		s.audit.moveBegins(s)
	}
}
