package lab

import (
	"time"

	"tealtiller/internal/cells"
)

// movingFlight counts a moving carrier's connections of one flight, by cell.
type movingFlight struct {
	byCell      map[string]int
	inBothSince time.Time
}

// moveReceived records that a client received MOVE.
func (a *auditor) moveReceived(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	a.Moves++
	p := c.lab.plan
	if p == nil || p.HomeCell(c.lab.now(), c.carrier, c.group) == c.lab.cellOf[a.lastHost[c.id]] {
		return // moved for another reason than the plan
	}
	a.PlanMoves++
	if c.planMoves++; c.planMoves == 2 {
		a.MovedTwice++
	}
	a.lastMove = time.Now()
}

// connectionChanged records that a client's connection was established or has ended.
func (a *auditor) connectionChanged(c *client, up bool) {
	s := c.lab
	s.mu.Lock()
	defer s.mu.Unlock()
	if up {
		a.connectionUp(c)
	} else {
		a.connectionEnded(c)
	}
	if s.plan == nil {
		return
	}
	for _, m := range s.plan.Moves {
		if m.Carrier == c.carrier {
			a.updateMovingFlight(a.movingFlightOf(c.group), m, s.cellOf[a.lastHost[c.id]], up)
		}
	}
}

// connectionUp counts an established connection, and the desk hosts that its flight then has connections to.
func (a *auditor) connectionUp(c *client) {
	s, host := c.lab, a.lastHost[c.id]
	a.Worth.Placed++
	if s.exp.Skew > 0 && s.hosts[host].Room != s.exp.clientRoom(&c.arrival) {
		a.Worth.Crossed++
	}
	if a.flightConnections[c.group] == nil {
		a.flightConnections[c.group] = map[string]int{}
	}
	a.flightConnections[c.group][host]++
	if a.isMeasuring(c) {
		a.Worth.FlightSamples++
		a.Worth.FlightHosts += len(a.flightConnections[c.group])
	}
	c.host = host
}

func (a *auditor) connectionEnded(c *client) { decrement(a.flightConnections[c.group], c.host) }

// movingFlightOf finds or makes the counts of a flight.
func (a *auditor) movingFlightOf(group uint64) *movingFlight {
	if a.movingFlights[group] == nil {
		a.movingFlights[group] = &movingFlight{byCell: map[string]int{}}
	}
	return a.movingFlights[group]
}

// updateMovingFlight measures for how long a moving flight has connections in both cells.
func (a *auditor) updateMovingFlight(flight *movingFlight, m cells.Move, cell string, up bool) {
	if up {
		flight.byCell[cell]++
	} else {
		flight.byCell[cell]--
	}
	inBoth := flight.byCell[m.From] > 0 && flight.byCell[m.To] > 0
	if inBoth && flight.inBothSince.IsZero() {
		flight.inBothSince = time.Now()
	} else if !inBoth && !flight.inBothSince.IsZero() {
		a.longestInBoth = max(a.longestInBoth, time.Since(flight.inBothSince))
		flight.inBothSince = time.Time{}
	}
}

// MoveFigures returns the longest time that a flight of the moving carrier had connections in both cells, the number of
// its connections when the move began, the numbers of its connections in the old and the new cell at the end, and how
// long after the start of the move the last client was moved.
func (s *SocketLab) MoveFigures() (longestInBoth time.Duration, atStart, inOldCell, inNewCell int, lastMove time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, move := s.auditor, s.plan.Moves[0]
	total := a.movingFlights[0]
	lastMove = time.Duration(a.lastMove.UnixNano()) - move.Start
	return a.longestInBoth, a.atMoveStart, total.byCell[move.From], total.byCell[move.To], lastMove
}

// moveStarted counts the established connections of the moving carriers.
func (a *auditor) moveStarted(s *SocketLab) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, flight := range a.movingFlights {
		for _, n := range flight.byCell {
			a.atMoveStart += n
		}
	}
}

// sumMovingFlights sums the counts of the moving flights under the key 0, before the clients leave.
func (a *auditor) sumMovingFlights(s *SocketLab) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil || len(s.plan.Moves) == 0 {
		return
	}
	total := &movingFlight{byCell: map[string]int{}}
	for _, j := range a.movingFlights {
		if !j.inBothSince.IsZero() {
			a.longestInBoth = max(a.longestInBoth, time.Since(j.inBothSince))
		}
		for cell, n := range j.byCell {
			total.byCell[cell] += n
		}
	}
	a.movingFlights = map[uint64]*movingFlight{0: total}
}
