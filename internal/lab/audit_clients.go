package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// groupsOf returns the groups that a client counts in: its cell's and its carrier's. The clients of a hot key count in
// none.
func (a *auditor) groupsOf(c *client) []*Group {
	cell := "all"
	if p := c.lab.exp.CellPlan; p != nil {
		cell = p.HomeCell(0, c.carrier, c.group)
	}
	counted := []*Group{groupFor(a.Cells, cell), groupFor(a.Carriers, c.carrier)}
	if c.uncounted {
		return nil
	}
	return counted
}

// groupFor finds or makes a group.
func groupFor(groups map[string]*Group, name string) *Group {
	if groups[name] == nil {
		groups[name] = newGroup()
	}
	return groups[name]
}

// requestSent records that a client has sent its OPEN.
func (a *auditor) requestSent(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	a.Opens++
	for _, g := range a.groupsOf(c) {
		g.Opens++
	}
}

// isMeasuring reports whether the settling time is over, so that durations are recorded.
func (a *auditor) isMeasuring(c *client) bool {
	return time.Since(c.lab.began) > parsedDuration(c.lab.exp.Settle)
}

// finalAnswer records the answer to an OPEN; kind is "none" if it did not arrive in time.
func (a *auditor) finalAnswer(c *client, kind string, took time.Duration, midFlow bool) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	delete(a.attempts, c.id)
	groups := a.groupsOf(c)
	switch kind {
	case "UP":
		a.Served++
		for _, g := range groups {
			g.Served++
			if a.isMeasuring(c) && !midFlow {
				recordDuration(g.setupTimes, took)
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

// recordDuration adds a duration to a histogram; a value beyond the histogram's range is dropped.
func recordDuration(times *hdrhistogram.Histogram, took time.Duration) {
	_ = times.RecordValue(max(took.Microseconds(), 1))
}

// secondAnswer records a second answer to one OPEN.
func (a *auditor) secondAnswer(s *SocketLab) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Doubled++
}

// messageTargets are the target times for the answer to a line, by class.
var messageTargets = map[string]time.Duration{"lookup": 250 * time.Millisecond, "seat-set": messageTarget}

// lineAnswered records how long the answer to a line took.
func (a *auditor) lineAnswered(c *client, took time.Duration) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	if !a.isMeasuring(c) {
		return
	}
	a.Worth.Asked += classWorth(c.class)
	if took <= messageTargets[c.class] {
		a.Worth.ServedWell += classWorth(c.class)
	}
	for _, g := range a.groupsOf(c) {
		recordDuration(g.lineTimes, took)
	}
}

// connectionCutOff counts a connection that ended without MOVE while its desk host still held it.
func (a *auditor) connectionCutOff(c *client) {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	if h := c.lab.hosts[a.lastHost[c.id]]; h != nil && h.Up && h.held[c.id] != nil {
		a.Cut++
	}
}
