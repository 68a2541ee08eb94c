package net

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A report is a second old: what has come up since counts, or a burst fills the desk host unseen.
func TestExpectedDelayGrowsWithWhatCameSince(t *testing.T) {
	r := report{open: 5}
	r.learn(10*time.Second, 0.4, 0.4)
	before := r.expected(10 * time.Second)
	r.open, r.since = 9, 4
	assert.Greater(t, r.expected(10*time.Second), before)
	r.since = 0
	assert.Equal(t, before, r.expected(10*time.Second), "but not what the report has seen")
	assert.Zero(t, r.expected(10*time.Second+2*staleAfter), "an old report tells nothing")
}

func TestWorkPilesUpBeyondCapacity(t *testing.T) {
	var r report
	r.learn(1*time.Second, 0.8, 0)
	assert.Zero(t, r.backlog)
	r.learn(2*time.Second, 1.2, 0)
	assert.InDelta(t, 0.2, r.backlog.Seconds(), 0.001, "the age of the report, at a fifth over")
	r.learn(3*time.Second, 1.3, 0)
	assert.InDelta(t, 0.5, r.backlog.Seconds(), 0.001)
	r.learn(4*time.Second, 0.8, 0)
	assert.InDelta(t, 0.3, r.backlog.Seconds(), 0.001, "worked off")
	r.learn(5*time.Second, 0.7, 0.7)
	assert.Zero(t, r.backlog, "cores with time to spare have nothing left")
	r = report{}
	r.learn(1*time.Second, 0.6, 0.6)
	r.learn(2*time.Second, 1.1, 1)
	assert.InDelta(t, 0.1, r.backlog.Seconds(), 0.001, "the mean tells of time to spare, but there is none")
}

func TestBusyCoresTellOfWorkUnseen(t *testing.T) {
	var r report
	r.learn(1*time.Second, 0.93, 0.98)
	assert.Equal(t, unseenBacklog, r.backlog)
}

func TestFillingDeskHostsAreAskedMoreOften(t *testing.T) {
	r := report{x0: 0.3, open: 4}
	assert.Equal(t, probeIdle, r.next())
	r.since = 2
	assert.Equal(t, 2*probeEvery, r.next(), "half as much again has come up since")
	r.x0 = 0.6
	assert.Equal(t, probeEvery, r.next())
	assert.Equal(t, probeEvery, (&report{backlog: 1}).next())
}

// A desk host that drops what it cannot serve is crowded; one with room has lost a connection, unless it does so again.
func TestDropsTellOfCrowding(t *testing.T) {
	r := report{}
	assert.True(t, r.shed(time.Second))
	assert.Equal(t, shedBacklog, r.backlog)
	assert.Greater(t, r.expected(time.Second), shedBacklog)
	r = report{}
	r.learn(time.Second, 0.3, 0.3)
	assert.False(t, r.shed(2*time.Second))
	assert.Zero(t, r.backlog)
	assert.False(t, r.shed(4*time.Second))
	assert.True(t, r.shed(4*time.Second+reportAge))
	r.learn(5*time.Second, crowded, 0.9)
	assert.True(t, r.shed(9*time.Second))
}

// A line that waits tells of one connection; only where a probe has failed since does it tell of the desk host.
func TestALineThatWaitsIsNotASlowDeskHost(t *testing.T) {
	n := &Node{}
	l := &lag{waiting: time.Second, missedAt: 8 * time.Second}
	assert.Equal(t, time.Second, l.silent(n, 10*time.Second), "without probes there is no other sign")
	n.cfg.Settings.ProbesAllowed = true
	assert.Zero(t, l.silent(n, 10*time.Second), "that probe failed before the line was sent")
	l.missedAt = 9500 * time.Millisecond
	assert.Equal(t, time.Second, l.silent(n, 10*time.Second))
}
