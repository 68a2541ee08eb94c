package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// processStart is the monotonic clock's reading at the start of a process.
const processStart = time.Duration(1_796_000_000) * time.Second

// steppedClock simulates a wall clock that is stepped at some monotonic times.
type steppedClock struct {
	times   []time.Duration
	offsets []time.Duration // from times[i] on
}

func (s *steppedClock) offsetAt(now time.Duration) (offset time.Duration) {
	for i, at := range s.times {
		if at <= now {
			offset = s.offsets[i]
		}
	}
	return offset
}

// drawSteppedClock draws steps of seconds up to an hour in the first minutes of a process, with an observation between
// any two.
func drawSteppedClock(t *rapid.T) *steppedClock {
	s, at, offset := &steppedClock{}, processStart, time.Duration(0)
	for range rapid.IntRange(0, 5).Draw(t, "steps") {
		at += time.Duration(rapid.IntRange(500, 60_000).Draw(t, "after")) * time.Millisecond
		step := time.Duration(rapid.IntRange(1_000, 3_600_000).Draw(t, "by")) * time.Millisecond
		if rapid.Bool().Draw(t, "back") {
			step = -step
		}
		offset += step
		s.times, s.offsets = append(s.times, at), append(s.offsets, offset)
	}
	return s
}

// observed returns a clock that has observed the wall clock four times a second until now.
func (s *steppedClock) observed(now time.Duration) *Clock {
	c := New(processStart)
	for at := processStart; at < now; at += 250 * time.Millisecond {
		c.Observe(at, s.offsetAt(at))
	}
	c.Observe(now, s.offsetAt(now))
	return c
}

// Whatever steps were made since the process started, a host that started meanwhile never appears older than it is, nor
// to start in the future. Its age is exact if no step back made the wall clock show a reading twice.
func TestStepsNeverMakeAHostOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := drawSteppedClock(t)
		started := processStart + time.Duration(rapid.IntRange(0, 400_000).Draw(t, "started"))*time.Millisecond
		now := started + time.Duration(rapid.IntRange(0, 120_000).Draw(t, "told"))*time.Millisecond
		got := wall.observed(now).Monotonic(now, started+wall.offsetAt(started))
		if got < started || got > now {
			t.Fatalf("started %v ago, taken to have started %v ago", now-started, now-got)
		}
		forward := true
		for i, offset := range wall.offsets {
			if i == 0 {
				forward = forward && offset > 0
			} else {
				forward = forward && offset > wall.offsets[i-1]
			}
		}
		if forward && got != started {
			t.Fatalf("started %v ago, taken to have started %v ago, and no step was back", now-started, now-got)
		}
	})
}

// The start time of a host known since the start of the process stays exact after any steps, even if the wall clock
// shows the same reading again.
func TestKnownStartTimeIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := drawSteppedClock(t)
		started := processStart - time.Duration(rapid.IntRange(0, 3600).Draw(t, "before"))*time.Second
		now := processStart + time.Duration(rapid.IntRange(0, 400_000).Draw(t, "told"))*time.Millisecond
		starts := NewStartTimes(New(processStart))
		assert.Equal(t, started, starts.At(processStart, "h", started))
		starts.clock = wall.observed(now)
		assert.Equal(t, started, starts.At(now, "h", started))
	})
}

func TestMonotonic(t *testing.T) {
	now := processStart + time.Minute
	for name, c := range map[string]struct {
		step, reading, want time.Duration // the step of the wall clock was made half a minute ago
	}{
		"an hour back, started since":            {-time.Hour, now - time.Hour - 10*time.Second, now - 10*time.Second},
		"an hour back, started before":           {-time.Hour, now - 40*time.Second, now - 40*time.Second},
		"an hour forward, started since":         {time.Hour, now + time.Hour - 10*time.Second, now - 10*time.Second},
		"an hour forward, started before":        {time.Hour, now - 40*time.Second, now - 40*time.Second},
		"an hour forward, in the hour left out":  {time.Hour, now + 10*time.Minute, now},
		"in the future":                          {0, now + time.Hour, now},
		"a reading that was shown twice: later":  {-10 * time.Second, now - 35*time.Second, now - 25*time.Second},
		"shown twice, and not yet a second time": {-time.Minute, now - 31*time.Second, now - 31*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			clock := New(processStart)
			clock.Observe(now-30*time.Second, 0)
			assert.Equal(t, c.step, clock.Observe(now-30*time.Second, c.step))
			assert.Equal(t, c.want, clock.Monotonic(now, c.reading))
			assert.Equal(t, now+c.step, clock.WallTime(now))
		})
	}
}

// Differences below the smallest step are not recorded, and the number of recorded intervals is bounded.
func TestManySteps(t *testing.T) {
	c := New(processStart)
	for i := range time.Duration(10_000) {
		assert.Zero(t, c.Observe(processStart+i*time.Second, i%2*50*time.Millisecond))
	}
	assert.Len(t, c.intervals, 1)
	for i := range time.Duration(10_000) {
		c.Observe(processStart+i*time.Second, i*time.Second)
	}
	assert.Len(t, c.intervals, maxIntervals)
	assert.Equal(t, processStart-time.Hour, c.Monotonic(processStart+10_000*time.Second, processStart-time.Hour))
}

func TestStartTimesAreForgotten(t *testing.T) {
	s := NewStartTimes(New(processStart))
	for _, host := range []string{"a", "b", "c"} {
		assert.Equal(t, processStart-time.Second, s.At(processStart, host, processStart-time.Second))
	}
	assert.Zero(t, s.At(processStart, "d", 0))
	s.Forget("a")
	s.RetainOnly(func(host string) bool { return host == "b" })
	assert.Len(t, s.byHost, 1)
}
