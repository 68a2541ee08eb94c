package lab

import (
	"time"

	"tealtiller/internal/cells"
)

// joint is a flight of a carrier that moves: how many connections stand in its two cells.
type joint struct {
	in    map[string]int
	since time.Time
}

// moved notes that a client was told MOVE.
func (a *audit) moved(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	a.Moves++
	p := c.lab.plan
	if p == nil || p.HomeCell(c.lab.now(), c.carrier, c.group) == c.lab.cellOf[a.lastAt[c.id]] {
		return // the module's own reasons
	}
	a.Followed++
	if c.moves++; c.moves == 2 {
		a.MovedTwice++
	}
	a.lastMove = time.Now()
}

// stands notes that a client's connection has come up or has ended.
func (a *audit) stands(c *client, begins bool) {
	s := c.lab
	s.mu.Lock()
	defer s.mu.Unlock()
	if begins {
		a.begins(c)
	} else {
		a.ends(c)
	}
	if s.plan == nil {
		return
	}
	for _, m := range s.plan.Moves {
		if m.Carrier == c.carrier {
			a.follow(a.jointOf(c.group), m, s.cellOf[a.lastAt[c.id]], begins)
		}
	}
}

// begins counts a connection that has come up, and on how many desk hosts its flight stands then.
func (a *audit) begins(c *client) {
	s, host := c.lab, a.lastAt[c.id]
	a.Worth.Placed++
	if s.exp.Skew > 0 && s.hosts[host].Room != s.exp.room(&c.arrival) {
		a.Worth.Crossed++
	}
	if a.held[c.group] == nil {
		a.held[c.group] = map[string]int{}
	}
	a.held[c.group][host]++
	if a.settled(c) {
		a.Worth.Joined++
		a.Worth.HeldBy += len(a.held[c.group])
	}
	c.host = host
}

func (a *audit) ends(c *client) { decrement(a.held[c.group], c.host) }

// jointOf finds or makes the account of a flight.
func (a *audit) jointOf(group uint64) *joint {
	if a.both[group] == nil {
		a.both[group] = &joint{in: map[string]int{}}
	}
	return a.both[group]
}

// follow follows for how long a flight that moves has connections in both cells.
func (a *audit) follow(j *joint, m cells.Move, cell string, begins bool) {
	if begins {
		j.in[cell]++
	} else {
		j.in[cell]--
	}
	both := j.in[m.From] > 0 && j.in[m.To] > 0
	if both && j.since.IsZero() {
		j.since = time.Now()
	} else if !both && !j.since.IsZero() {
		a.worst = max(a.worst, time.Since(j.since))
		j.since = time.Time{}
	}
}

// Joint is for how long a flight of the moving carrier stood in both cells, at the most; how many of its connections
// stood as the move began; left, how many of its connections still stood in the old cell at the end, and there in the new
// one; last, how long after the start the last client was moved.
func (s *Sockets) Joint() (worst time.Duration, atStart, left, there int, last time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, m := s.audit, s.plan.Moves[0]
	total := a.both[0]
	last = time.Duration(a.lastMove.UnixNano()) - m.Start
	return a.worst, a.atStart, total.in[m.From], total.in[m.To], last
}

// moveBegins counts what stands of a moving carrier.
func (a *audit) moveBegins(s *Sockets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range a.both {
		for _, n := range j.in {
			a.atStart += n
		}
	}
}

// closing notes what stands before the clients leave.
func (a *audit) closing(s *Sockets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil || len(s.plan.Moves) == 0 {
		return
	}
	total := &joint{in: map[string]int{}}
	for _, j := range a.both {
		if !j.since.IsZero() {
			a.worst = max(a.worst, time.Since(j.since))
		}
		for cell, n := range j.in {
			total.in[cell] += n
		}
	}
	a.both = map[uint64]*joint{0: total}
}
