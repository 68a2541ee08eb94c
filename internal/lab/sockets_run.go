package lab

import (
	"cmp"
	"slices"
	"time"
)

// Run plays the experiment and returns what was observed.
func (s *SocketLab) Run() Outcome {
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
		go s.awaitMoveStart(time.Unix(0, int64(s.plan.Moves[0].Start)))
	}
	s.sleepUntil(s.began.Add(parsedDuration(s.exp.Duration)))
	s.auditor.sumMovingFlights(s)
	s.stop()
	s.tasks.Wait()
	return s.auditor.outcome(s)
}

// startCarrier starts the clients of a carrier at their times of arrival.
func (s *SocketLab) startCarrier(i int) {
	s.mu.Lock()
	seed := s.rng.Uint64()
	s.mu.Unlock()
	all := s.exp.arrivals(seed, i)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		for _, a := range all {
			if !s.sleepUntil(s.began.Add(a.at)) {
				return
			}
			s.tasks.Add(1)
			go s.runClient(a)
		}
	}()
}

// startFault plays a fault at its time.
func (s *SocketLab) startFault(f Fault) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		if s.sleepUntil(s.began.Add(parsedDuration(f.At))) {
			s.playFault(f)
		}
	}()
}

// awaitMoveStart counts the moving carrier's connections when the move begins.
func (s *SocketLab) awaitMoveStart(start time.Time) {
	if s.sleepUntil(start) {
		s.auditor.moveStarted(s)
	}
}
