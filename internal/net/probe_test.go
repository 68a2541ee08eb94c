package net

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A report is about a second old: connections established since must count, or a burst would fill the desk host
// unnoticed.
func TestExpectedDelayGrowsWithNewConnections(t *testing.T) {
	r := loadReport{connections: 5}
	r.update(10*time.Second, 0.4, 0.4)
	before := r.expectedDelay(10 * time.Second)
	r.connections, r.openedSince = 9, 4
	assert.Greater(t, r.expectedDelay(10*time.Second), before)
	r.openedSince = 0
	assert.Equal(t, before, r.expectedDelay(10*time.Second), "connections before the report must not count")
	assert.Zero(t, r.expectedDelay(10*time.Second+2*reportLifetime), "an old report must not be used")
}

func TestBacklogAboveCapacity(t *testing.T) {
	var r loadReport
	r.update(1*time.Second, 0.8, 0)
	assert.Zero(t, r.backlog)
	r.update(2*time.Second, 1.2, 0)
	assert.InDelta(t, 0.2, r.backlog.Seconds(), 0.001, "a fifth over the capacity for the age of the report")
	r.update(3*time.Second, 1.3, 0)
	assert.InDelta(t, 0.5, r.backlog.Seconds(), 0.001)
	r.update(4*time.Second, 0.8, 0)
	assert.InDelta(t, 0.3, r.backlog.Seconds(), 0.001, "worked off")
	r.update(5*time.Second, 0.7, 0.7)
	assert.Zero(t, r.backlog, "cores with time to spare have nothing left")
	r = loadReport{}
	r.update(1*time.Second, 0.6, 0.6)
	r.update(2*time.Second, 1.1, 1)
	assert.InDelta(t, 0.1, r.backlog.Seconds(), 0.001, "the mean suggests spare time, but there is none")
}

func TestBacklogAssumedForBusyCores(t *testing.T) {
	var r loadReport
	r.update(1*time.Second, 0.93, 0.98)
	assert.Equal(t, assumedBacklog, r.backlog)
}

func TestFillingHostsAreProbedMoreOften(t *testing.T) {
	r := loadReport{load: 0.3, connections: 4}
	assert.Equal(t, idleProbeInterval, r.nextProbeAfter())
	r.openedSince = 2
	assert.Equal(t, 2*probeInterval, r.nextProbeAfter(), "half as many connections again were established since")
	r.load = 0.6
	assert.Equal(t, probeInterval, r.nextProbeAfter())
	assert.Equal(t, probeInterval, (&loadReport{backlog: 1}).nextProbeAfter())
}

// A desk host that drops a connection is taken for crowded; if its report shows spare capacity, only after a second
// drop.
func TestDroppedConnectionsIndicateOverload(t *testing.T) {
	r := loadReport{}
	assert.True(t, r.connectionDropped(time.Second))
	assert.Equal(t, droppedBacklog, r.backlog)
	assert.Greater(t, r.expectedDelay(time.Second), droppedBacklog)
	r = loadReport{}
	r.update(time.Second, 0.3, 0.3)
	assert.False(t, r.connectionDropped(2*time.Second))
	assert.Zero(t, r.backlog)
	assert.False(t, r.connectionDropped(4*time.Second))
	assert.True(t, r.connectionDropped(4*time.Second+typicalReportAge))
	r.update(5*time.Second, crowdedLoad, 0.9)
	assert.True(t, r.connectionDropped(9*time.Second))
}

// An unanswered line concerns a single connection; only an unanswered probe since then makes the host count as slow.
func TestUnansweredLineAloneIsNoSlowHost(t *testing.T) {
	n := &Node{}
	status := &hostStatus{unansweredFor: time.Second, probeMissedAt: 8 * time.Second}
	assert.Equal(t, time.Second, status.silentFor(n, 10*time.Second), "without probes the line is the only sign")
	n.cfg.Settings.ProbesAllowed = true
	assert.Zero(t, status.silentFor(n, 10*time.Second), "that probe failed before the line was sent")
	status.probeMissedAt = 9500 * time.Millisecond
	assert.Equal(t, time.Second, status.silentFor(n, 10*time.Second))
}
