package wallclock

import "time"

// StartTimes tells when hosts have started, of which a list tells the wall clock's reading. One reading of a host keeps its
// moment, whatever steps follow: another moment would be another start.
type StartTimes struct {
	clock *Clock
	known map[string]start
}

type start struct{ reading, moment time.Duration }

// NewStartTimes makes one that knows of no host.
func NewStartTimes(clock *Clock) *StartTimes {
	return &StartTimes{clock: clock, known: map[string]start{}}
}

// At is when a host started that is listed with a reading; 0 stays 0, which is long ago.
func (s *StartTimes) At(now time.Duration, host string, reading time.Duration) time.Duration {
	if reading <= 0 {
		return reading
	}
	if known, ok := s.known[host]; ok && known.reading == reading {
		return known.moment
	}
	moment := s.clock.Moment(now, reading)
	s.known[host] = start{reading, moment}
	return moment
}

// Forget takes that a host is no longer listed.
func (s *StartTimes) Forget(host string) { delete(s.known, host) }

// RetainOnly forgets all hosts but those that are listed.
func (s *StartTimes) RetainOnly(listed func(host string) bool) {
	for host := range s.known {
		if !listed(host) {
			delete(s.known, host)
		}
	}
}
