package lab

import (
	"time"

	"tealtiller/internal/cells"
)

// auditor counts what the simulated hosts and clients observe of the balancers, and checks it against the protocol's
// rules. All its fields are guarded by the lab's lock.
type auditor struct {
	Outcome
	requestCount      int
	crashed           int
	inFlight          map[string]*int // the attempt in flight, by request id; 1 once it has ended
	attempts          map[string]int
	lastHost          map[string]string // host of the last attempt, by request id
	resetMidFlow      map[string]bool   // ids of mid-flow OPENs reset by a host that did not hold the connection
	movingFlights     map[uint64]*movingFlight
	flightConnections map[uint64]map[string]int // number of connections, by flight and host
	longestInBoth     time.Duration             // longest time that a flight of a moving carrier had connections in both cells
	lastMove          time.Time
	atMoveStart       int // established connections of the moving carrier when the move began
}

func newAuditor() *auditor {
	return &auditor{
		Outcome:  Outcome{Cells: map[string]*Group{}, Carriers: map[string]*Group{}},
		inFlight: map[string]*int{}, attempts: map[string]int{},
		lastHost: map[string]string{}, resetMidFlow: map[string]bool{},
		movingFlights: map[uint64]*movingFlight{}, flightConnections: map[uint64]map[string]int{},
	}
}

// Allowances for events that are still in transit: the end of an attempt that another attempt follows, and the notice
// that a desk host drains.
const (
	attemptEndAllowance  = 50 * time.Millisecond
	drainNoticeAllowance = 350 * time.Millisecond
)

// attemptReceived records an attempt; it is called when the last byte of the OPEN line has arrived, with the lab's lock
// held. The result is set to 1 when the attempt ends.
func (a *auditor) attemptReceived(s *SocketLab, h *simulatedHost, id, carrier string, group uint64, midFlow bool) (attempt *int) {
	if earlier := a.inFlight[id]; earlier != nil {
		a.checkOverlap(s, earlier)
	}
	attempt = new(int)
	a.inFlight[id] = attempt
	a.attempts[id]++
	a.MaxAttempts = max(a.MaxAttempts, a.attempts[id])
	a.lastHost[id] = h.ID
	if !midFlow {
		a.checkNewAttempt(s, h, id, carrier, group)
	}
	return attempt
}

// checkOverlap counts two attempts in flight if the earlier one has not ended within the allowance. The allowance is
// needed because the end of an attempt and the next attempt arrive on different connections, whose bytes are not
// ordered.
func (a *auditor) checkOverlap(s *SocketLab, earlier *int) {
	time.AfterFunc(attemptEndAllowance, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if *earlier == 0 {
			a.TwoInFlight++
		}
	})
}

// checkNewAttempt checks the target of an attempt that does not resume an established connection: its cell, its room
// and whether the balancer had been notified that the host drains.
func (a *auditor) checkNewAttempt(s *SocketLab, h *simulatedHost, id, carrier string, group uint64) {
	if s.plan != nil && !mayServe(s.plan, s.now(), carrier, group, s.cellOf[h.ID]) {
		a.Foreign++
	}
	balancer := s.balancerOf(id)
	if balancer == nil {
		return
	}
	switch {
	case s.darkRoom == "":
		a.Sent++
		a.Near += boolToInt(h.Room == balancer.room)
	case h.Room == s.darkRoom:
		s.lastDarkAttempt[balancer] = time.Since(s.darkAt)
	}
	if notifiedAt := balancer.drainNotices[h.ID]; !notifiedAt.IsZero() && time.Since(notifiedAt) > drainNoticeAllowance {
		a.LateDrains++
	}
}

// balancerOf returns the balancer that a client is connected through, nil if the client is gone.
func (s *SocketLab) balancerOf(id string) *balancerProcess {
	for c := range s.liveClients {
		if c.id == id {
			return c.balancer
		}
	}
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// mayServe reports whether a flight may be sent to a cell now: its home cell by the plan or the cell that its home
// overflows to. The plan is read at three moments, to allow for the difference of the clocks and the time in transit.
func mayServe(p *cells.Plan, now time.Duration, carrier string, group uint64, cell string) bool {
	for _, skew := range []time.Duration{0, -1500 * time.Millisecond, 250 * time.Millisecond} {
		home := p.HomeCell(now+skew, carrier, group)
		if home == cell {
			return true
		}
		for _, c := range p.Cells {
			if c.Name == home && c.OverflowTo == cell {
				return true
			}
		}
	}
	return false
}

// attemptEnded records that an attempt was answered or that the balancer has closed its connection.
func (a *auditor) attemptEnded(id string, attempt *int) {
	if *attempt = 1; a.inFlight[id] == attempt {
		delete(a.inFlight, id)
	}
}

// outcome completes the counts and returns them.
func (a *auditor) outcome(s *SocketLab) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Crashed = a.crashed
	for _, h := range s.hosts {
		if h.OverloadFailed {
			a.OverloadFailures++
		}
	}
	return a.Outcome
}
