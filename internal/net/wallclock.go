package net

import (
	"time"

	"tealtiller/internal/discovery"
	"tealtiller/internal/wallclock"
	"tealtiller/policy"
)

// wallClockState tracks the wall clock. Deadlines use the node's monotonic clock, which steps of the wall clock do not
// move; but the host list contains start times by the wall clock, and so do records.
type wallClockState struct {
	clock  *wallclock.Clock
	starts *wallclock.StartTimes
	offset func() time.Duration // of the wall clock from the node's clock, due to steps since the process start
}

func newWallClockState(origin time.Time) wallClockState {
	clock := wallclock.New(time.Duration(origin.UnixNano()))
	return wallClockState{clock: clock, starts: wallclock.NewStartTimes(clock),
		offset: func() time.Duration { return wallClockOffset(origin) }}
}

// wallClockOffset takes both clocks from a single reading, since the process may stall between two readings.
func wallClockOffset(origin time.Time) time.Duration {
	reading := time.Now()
	return time.Duration(reading.UnixNano()-origin.UnixNano()) - reading.Sub(origin)
}

// checkWallClock detects steps of the wall clock.
func (n *Node) checkWallClock(now time.Duration) {
	if step := n.wallClock.clock.Observe(now, n.wallClock.offset()); step != 0 {
		n.counters.Add("wall clock steps")
		n.log.Warn("wall-clock-stepped", "by", step)
	}
}

// serversOnNodeClock converts the start times of a list to the node's clock. By the wall clock, a host that starts
// after a backward step would be taken for warm, and one that starts after a forward step for cold until the node's
// clock has caught up with the wall clock's reading.
func (n *Node) serversOnNodeClock(now time.Duration, kind policy.MembersKind, list *discovery.List) []policy.Server {
	n.checkWallClock(now)
	servers := list.Servers()
	listed := make(map[string]bool, len(servers))
	for i, s := range servers {
		if s.State == policy.Gone {
			n.wallClock.starts.Forget(s.ID)
			continue
		}
		listed[s.ID] = true
		servers[i].Started = n.wallClock.starts.At(now, s.ID, s.Started)
	}
	if kind != policy.Delta {
		n.wallClock.starts.RetainOnly(func(host string) bool { return listed[host] })
	}
	return servers
}

// wallMilliseconds converts a time of the node's clock to the wall clock, for external use; 0 remains 0.
func (n *Node) wallMilliseconds(moment time.Duration) int64 {
	if moment <= 0 {
		return 0
	}
	return n.wallClock.clock.WallTime(moment).Milliseconds()
}
