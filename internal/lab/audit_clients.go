package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// groups are those that a client counts among, its cell's and its carrier's; the hot key's own clients count in none.
func (a *audit) groups(c *client) []*Group {
	cell := "all"
	if p := c.lab.exp.Plan; p != nil {
		cell = p.HomeCell(0, c.carrier, c.group)
	}
	both := []*Group{groupOf(a.Cells, cell), groupOf(a.Carriers, c.carrier)}
	if c.extra {
		return nil
	}
	return both
}

// groupOf finds or makes a group.
func groupOf(groups map[string]*Group, name string) *Group {
	if groups[name] == nil {
		groups[name] = newGroup()
	}
	return groups[name]
}

// opened notes that a client has sent its OPEN.
func (a *audit) opened(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	a.Opens++
	for _, g := range a.groups(c) {
		g.Opens++
	}
}

// settled tells that times are counted by now.
func (a *audit) settled(c *client) bool {
	return time.Since(c.lab.began) > span(c.lab.exp.Settle)
}

// final notes the answer to an OPEN, "none" where it did not come in time.
func (a *audit) final(c *client, kind string, took time.Duration, mid bool) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	delete(a.attempts, c.id)
	groups := a.groups(c)
	switch kind {
	case "UP":
		a.Served++
		for _, g := range groups {
			g.Served++
			if a.settled(c) && !mid {
				record(g.setups, took)
			}
		}
	case "BUSY":
		a.Refused++
		for _, g := range groups {
			g.Refused++
		}
	case "none":
		a.Lost++
	default:
		a.Failed++
		for _, g := range groups {
			g.Failed++
		}
	}
}

// record counts a time; what is out of the histogram's range is left out.
func record(times *hdrhistogram.Histogram, took time.Duration) {
	_ = times.RecordValue(max(took.Microseconds(), 1))
}

// second notes a second answer to one OPEN.
func (a *audit) second(s *Sockets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Doubled++
}

// messageAims are how long a line may take, by class.
var messageAims = map[string]time.Duration{"lookup": 250 * time.Millisecond, "seat-set": messageAim}

// line notes how long a line took.
func (a *audit) line(c *client, took time.Duration) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	if !a.settled(c) {
		return
	}
	a.Worth.Asked += worthOf(c.class)
	if took <= messageAims[c.class] {
		a.Worth.Well += worthOf(c.class)
	}
	for _, g := range a.groups(c) {
		record(g.lines, took)
	}
}

// cutOff counts a connection that ended without MOVE while its desk host still held it.
func (a *audit) cutOff(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	if h := c.lab.hosts[a.lastAt[c.id]]; h != nil && h.Up && h.held[c.id] != nil {
		a.Cut++
	}
}
