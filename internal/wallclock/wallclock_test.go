package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// begin is the running clock's reading at the start of a process.
const begin = time.Duration(1_796_000_000) * time.Second

// stepped is a wall clock that is stepped at moments of the running clock.
type stepped struct {
	at    []time.Duration
	ahead []time.Duration // from at[i] on
}

func (s *stepped) aheadAt(now time.Duration) (ahead time.Duration) {
	for i, at := range s.at {
		if at <= now {
			ahead = s.ahead[i]
		}
	}
	return ahead
}

// draw draws steps by seconds up to an hour, in the first minutes of a process, no two of them between two looks.
func draw(t *rapid.T) *stepped {
	s, at, ahead := &stepped{}, begin, time.Duration(0)
	for range rapid.IntRange(0, 5).Draw(t, "steps") {
		at += time.Duration(rapid.IntRange(500, 60_000).Draw(t, "after")) * time.Millisecond
		step := time.Duration(rapid.IntRange(1_000, 3_600_000).Draw(t, "by")) * time.Millisecond
		if rapid.Bool().Draw(t, "back") {
			step = -step
		}
		ahead += step
		s.at, s.ahead = append(s.at, at), append(s.ahead, ahead)
	}
	return s
}

// watched is a clock that has looked four times a second until now.
func (s *stepped) watched(now time.Duration) *Clock {
	c := New(begin)
	for at := begin; at < now; at += 250 * time.Millisecond {
		c.Observe(at, s.aheadAt(at))
	}
	c.Observe(now, s.aheadAt(now))
	return c
}

// Whatever steps there were since the process started, a host that started meanwhile is never taken to be older than it is,
// nor to start in the future; and exactly as old as it is where no step back made the wall clock show a reading twice.
func TestNoStepMakesAHostOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := draw(t)
		started := begin + time.Duration(rapid.IntRange(0, 400_000).Draw(t, "started"))*time.Millisecond
		now := started + time.Duration(rapid.IntRange(0, 120_000).Draw(t, "told"))*time.Millisecond
		got := wall.watched(now).Moment(now, started+wall.aheadAt(started))
		if got < started || got > now {
			t.Fatalf("started %v ago, taken to have started %v ago", now-started, now-got)
		}
		forward := true
		for i, ahead := range wall.ahead {
			if i == 0 {
				forward = forward && ahead > 0
			} else {
				forward = forward && ahead > wall.ahead[i-1]
			}
		}
		if forward && got != started {
			t.Fatalf("started %v ago, taken to have started %v ago, and no step was back", now-started, now-got)
		}
	})
}

// A host that the process knew at its start is as old as it is, whatever steps follow: one reading is one start, though the
// wall clock shows it again.
func TestAKnownStartStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := draw(t)
		started := begin - time.Duration(rapid.IntRange(0, 3600).Draw(t, "before"))*time.Second
		now := begin + time.Duration(rapid.IntRange(0, 400_000).Draw(t, "told"))*time.Millisecond
		starts := NewStartTimes(New(begin))
		assert.Equal(t, started, starts.At(begin, "h", started))
		starts.clock = wall.watched(now)
		assert.Equal(t, started, starts.At(now, "h", started))
	})
}

func TestMoment(t *testing.T) {
	now := begin + time.Minute
	for name, c := range map[string]struct {
		step, reading, want time.Duration // of the wall clock, half a minute ago
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
			clock := New(begin)
			clock.Observe(now-30*time.Second, 0)
			assert.Equal(t, c.step, clock.Observe(now-30*time.Second, c.step))
			assert.Equal(t, c.want, clock.Moment(now, c.reading))
			assert.Equal(t, now+c.step, clock.WallTime(now))
		})
	}
}

// What is not a step is not remembered, and however many steps there are, what is remembered is bounded.
func TestManySteps(t *testing.T) {
	c := New(begin)
	for i := range time.Duration(10_000) {
		assert.Zero(t, c.Observe(begin+i*time.Second, i%2*50*time.Millisecond))
	}
	assert.Len(t, c.eras, 1)
	for i := range time.Duration(10_000) {
		c.Observe(begin+i*time.Second, i*time.Second)
	}
	assert.Len(t, c.eras, mostEras)
	assert.Equal(t, begin-time.Hour, c.Moment(begin+10_000*time.Second, begin-time.Hour))
}

func TestStartsAreForgotten(t *testing.T) {
	s := NewStartTimes(New(begin))
	for _, host := range []string{"a", "b", "c"} {
		assert.Equal(t, begin-time.Second, s.At(begin, host, begin-time.Second))
	}
	assert.Zero(t, s.At(begin, "d", 0))
	s.Forget("a")
	s.RetainOnly(func(host string) bool { return host == "b" })
	assert.Len(t, s.known, 1)
}
