package lab

import (
	"time"

	"tealtiller/internal/cells"
)

// audit counts what was seen from outside.
type audit struct {
	Outcome
	next     int
	crashed  int
	out      map[string]*int // the attempt that is out, by the client's id
	attempts map[string]int
	lastAt   map[string]string // the host of the last attempt
	broken   map[string]bool   // mid-flow, and reset by a host that did not hold it
	both     map[uint64]*joint
	held     map[uint64]map[string]int // connections of each flight, by host
	worst    time.Duration             // that a flight of a moving carrier stood in both cells
	lastMove time.Time
	atStart  int // of the moving carrier's connections, how many stood when the move began
}

func newAudit() *audit {
	return &audit{Outcome: Outcome{Cells: map[string]*Group{}, Carriers: map[string]*Group{}}, out: map[string]*int{},
		attempts: map[string]int{}, lastAt: map[string]string{}, broken: map[string]bool{}, both: map[uint64]*joint{}, held: map[uint64]map[string]int{}}
}

// How long the auditor allows for what is on its way: the end of an attempt that another one follows, and the news that a
// desk host drains.
const (
	endOnItsWay   = 50 * time.Millisecond
	drainOnItsWay = 350 * time.Millisecond
)

// attempt is called as its last byte has come, under the lab's lock.
func (a *audit) attempt(s *Sockets, h *standIn, id, carrier string, group uint64, mid bool) (attempt *int) {
	if earlier := a.out[id]; earlier != nil {
		a.follows(s, earlier)
	}
	attempt = new(int)
	a.out[id] = attempt
	a.attempts[id]++
	a.MostAttempts = max(a.MostAttempts, a.attempts[id])
	a.lastAt[id] = h.ID
	if !mid {
		a.newAttempt(s, h, id, carrier, group)
	}
	return attempt
}

// follows takes that an attempt comes while an earlier one is out, whose end may be on the way: one connection's bytes do
// not wait for another's.
func (a *audit) follows(s *Sockets, earlier *int) {
	time.AfterFunc(endOnItsWay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if *earlier == 0 {
			a.TwoInFlight++
		}
	})
}

// newAttempt judges where an attempt was sent that goes on with nothing.
func (a *audit) newAttempt(s *Sockets, h *standIn, id, carrier string, group uint64) {
	if s.plan != nil && !belongs(s.plan, s.now(), carrier, group, s.cellOf[h.ID]) {
		a.Foreign++
	}
	from := s.sender(id)
	if from == nil {
		return
	}
	switch {
	case s.darkRoom == "":
		a.Sent++
		a.Near += b2i(h.Room == from.room)
	case h.Room == s.darkRoom:
		s.lastDark[from] = time.Since(s.darkAt)
	}
	if told := from.told[h.ID]; !told.IsZero() && time.Since(told) > drainOnItsWay {
		a.LateDrains++
	}
}

// sender is the balancer that a client came through.
func (s *Sockets) sender(id string) *node {
	for c := range s.live {
		if c.id == id {
			return c.node
		}
	}
	return nil
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// belongs tells whether a flight may be sent to a cell now: its own by the plan, give or take the difference of the
// clocks and the time on the way, or one that its own overflows to.
func belongs(p *cells.Plan, now time.Duration, carrier string, group uint64, cell string) bool {
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

// attemptEnds notes that an attempt was answered, or that the balancer has closed its connection.
func (a *audit) attemptEnds(id string, attempt *int) {
	if *attempt = 1; a.out[id] == attempt {
		delete(a.out, id)
	}
}

// outcome is what was seen in all.
func (a *audit) outcome(s *Sockets) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Crashed = a.crashed
	for _, h := range s.hosts {
		if h.Fallen {
			a.Fallen++
		}
	}
	return a.Outcome
}
