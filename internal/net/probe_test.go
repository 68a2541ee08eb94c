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
}

func TestBusyCoresTellOfWorkUnseen(t *testing.T) {
	var r report
	r.learn(1*time.Second, 0.93, 0.98)
	assert.Equal(t, unseenBacklog, r.backlog)
	r = report{}
	r.shed(time.Second)
	assert.Equal(t, shedBacklog, r.backlog)
	assert.Greater(t, r.expected(time.Second), shedBacklog)
}
