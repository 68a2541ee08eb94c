package wallclock

import "time"

// StartTimes converts the start times of hosts, which a host list gives as wall-clock readings. The result for a
// reading of a host is kept whatever clock steps follow, because a different result would look like another start of
// the host.
type StartTimes struct {
	clock  *Clock
	byHost map[string]start
}

type start struct{ reading, monotonic time.Duration }

// NewStartTimes returns an empty StartTimes.
func NewStartTimes(clock *Clock) *StartTimes {
	return &StartTimes{clock: clock, byHost: map[string]start{}}
}

// At returns the monotonic time at which a host started that is listed with a reading. It returns 0, for long ago, if
// the reading is 0.
func (s *StartTimes) At(now time.Duration, host string, reading time.Duration) time.Duration {
	if reading <= 0 {
		return reading
	}
	if known, ok := s.byHost[host]; ok && known.reading == reading {
		return known.monotonic
	}
	monotonic := s.clock.Monotonic(now, reading)
	s.byHost[host] = start{reading, monotonic}
	return monotonic
}

// Forget removes a host that is no longer listed.
func (s *StartTimes) Forget(host string) { delete(s.byHost, host) }

// RetainOnly removes all hosts that are not listed.
func (s *StartTimes) RetainOnly(listed func(host string) bool) {
	for host := range s.byHost {
		if !listed(host) {
			delete(s.byHost, host)
		}
	}
}
