package net

import (
	"time"

	"tealtiller/internal/discovery"
	"tealtiller/internal/wallclock"
	"tealtiller/policy"
)

// wall is what is known of the wall clock. All that the node waits for is told by its own clock, which no step of the wall
// clock moves; but the list of desk hosts tells their starts by the wall clock, and so do records.
type wall struct {
	clock  *wallclock.Clock
	starts *wallclock.StartTimes
	ahead  func() time.Duration // of the node's clock, by steps since the process started
}

func newWall(origin time.Time) wall {
	clock := wallclock.New(time.Duration(origin.UnixNano()))
	return wall{clock: clock, starts: wallclock.NewStartTimes(clock), ahead: func() time.Duration { return aheadOf(origin) }}
}

// aheadOf takes both clocks from one reading: between two the process may be held up.
func aheadOf(origin time.Time) time.Duration {
	reading := time.Now()
	return time.Duration(reading.UnixNano()-origin.UnixNano()) - reading.Sub(origin)
}

// lookAtWallClock notices a step.
func (n *Node) lookAtWallClock(now time.Duration) {
	if step := n.wall.clock.Observe(now, n.wall.ahead()); step != 0 {
		n.count.Add("wall clock steps")
		n.log.Warn("wall-clock-stepped", "by", step)
	}
}

// servers is the list that discovery tells, with the starts of its hosts by the node's clock. Danger: by the wall clock's
// reading a host that starts after a step back would be taken to be warm, and one after a step forward to be cold until
// the wall clock's old reading is reached.
func (n *Node) servers(now time.Duration, kind policy.MembersKind, list *discovery.List) []policy.Server {
	n.lookAtWallClock(now)
	servers := list.Servers()
	listed := make(map[string]bool, len(servers))
	for i, s := range servers {
		if s.State == policy.Gone {
			n.wall.starts.Forget(s.ID)
			continue
		}
		listed[s.ID] = true
		servers[i].Started = n.wall.starts.At(now, s.ID, s.Started)
	}
	if kind != policy.Delta {
		n.wall.starts.RetainOnly(func(host string) bool { return listed[host] })
	}
	return servers
}

// wallMilliseconds is a moment of the node's clock as the wall clock tells it, for what others read; 0 stays 0.
func (n *Node) wallMilliseconds(moment time.Duration) int64 {
	if moment <= 0 {
		return 0
	}
	return n.wall.clock.WallTime(moment).Milliseconds()
}
