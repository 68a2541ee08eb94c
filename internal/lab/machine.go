// Package lab is the laboratory: simulated desk hosts, discovery and clients that follow the published protocol,
// scheduled faults, and an auditor that checks the balancers from outside. The model of a desk host (Machine) reads no
// clock and is used twice: on sockets, against real balancer processes (SocketLab), and in virtual time, against the same
// decision code (VirtualLab). All random draws come from the seed; virtual time gives the same figures for the same seed.
package lab

import (
	"math"
	"time"
)

// Spec describes a desk host. Loads are in units of the mean load of a connection.
type Spec struct {
	ID, Room, Kind string
	CellNumber     int     // number of the cell that discovery lists
	Cores, Speed   float64 // a speed of 1 is the reference
	PerCore        float64 // load that fills one core of speed 1
	MaxConnections int     // limit of established connections
}

// Machine models one desk host. It reads no clock: callers pass the current time.
type Machine struct {
	Spec
	Up              bool
	OverloadFailed  bool // failed from overload while cold; stays down
	Started         time.Duration
	ErrorRate       float64 // share of openings that fail
	load            float64
	connections     int
	groups          map[uint64]int
	backlog         time.Duration // time that the queued work takes
	advancedTo      time.Duration
	overloadedSince time.Duration // since when the load is above overloadFactor times the capacity; 0 if it is not
	slowTime        time.Duration // total time in which messages took longer than the target
	report          Report
	reportedAt      time.Duration
	reportInterval  time.Duration
}

// Report is the load report with which a desk host answers a probe.
type Report struct{ ErrorsPerSecond, Util, X0 float64 }

// Figures of the model, as the operators' documentation gives them.
const (
	coldCapacityShare = 0.15
	warmAfter         = 22 * time.Second
	overloadFactor    = 3
	overloadSpan      = time.Second
	flightOverhead    = 3                     // load of each host that holds part of a flight, besides that of the connections
	setupWork         = 3 * time.Millisecond  // work of establishing a connection, on all cores
	idleSetupTime     = 12 * time.Millisecond // time to establish a connection on an idle host of speed 1
	idleMessageTime   = 5 * time.Millisecond  // time of a message on an idle host of speed 1
	messageTarget     = 50 * time.Millisecond
	maxUtilisation    = 0.92
)

// NewMachine makes a desk host that has been up long enough to be warm. Its load report is refreshed once per interval.
func NewMachine(s Spec, reportInterval time.Duration) *Machine {
	return &Machine{Spec: s, Up: true, groups: map[uint64]int{}, reportInterval: reportInterval}
}

// Capacity is the load that the host serves without falling behind, now.
func (m *Machine) Capacity(now time.Duration) float64 {
	warmth := 1.0
	if age := now - m.Started; m.Started > 0 && age < warmAfter {
		warmth = coldCapacityShare + (1-coldCapacityShare)*float64(max(age, 0))/float64(warmAfter)
	}
	return m.Cores * m.Speed * m.PerCore * warmth
}

// X0 is the requested load over the capacity.
func (m *Machine) X0(now time.Duration) float64 { return m.load / m.Capacity(now) }

// Connections is the number of established connections.
func (m *Machine) Connections() int { return m.connections }

// Advance advances the model: the backlog grows or shrinks, and a cold host that is overloaded for too long fails.
func (m *Machine) Advance(now time.Duration) {
	elapsed := now - m.advancedTo
	if elapsed <= 0 || !m.Up {
		m.advancedTo = max(m.advancedTo, now)
		return
	}
	x0 := m.X0(now)
	if m.Message(now) > messageTarget {
		m.slowTime += elapsed
	}
	m.backlog = max(m.backlog+time.Duration((x0-1)*float64(elapsed)), 0)
	cold := m.Started > 0 && now-m.Started < warmAfter
	switch {
	case !cold || x0 <= overloadFactor:
		m.overloadedSince = 0
	case m.overloadedSince == 0:
		m.overloadedSince = now
	case now-m.overloadedSince >= overloadSpan:
		m.OverloadFailed = true
		m.Stop(now)
	}
	m.advancedTo = now
}

// Message is how long the answer to a message takes now.
func (m *Machine) Message(now time.Duration) time.Duration {
	return m.backlog + time.Duration(float64(idleMessageTime)/m.Speed/(1-min(m.X0(now), maxUtilisation)))
}

// Setup is how long it takes to establish a connection now.
func (m *Machine) Setup(now time.Duration) time.Duration {
	return m.backlog + time.Duration(float64(idleSetupTime)/m.Speed/(1-min(m.X0(now), maxUtilisation)))
}

// SlowTime is the total time in which messages took longer than the target.
func (m *Machine) SlowTime() time.Duration { return m.slowTime }

// Answer is the result of an opening.
type Answer int

// The answers to an opening.
const (
	AnswerUp    Answer = iota // the connection is established
	AnswerBusy                // the host holds its maximum of connections
	AnswerError               // the host failed or is down
)

// Open establishes a connection, if the host accepts it. errorDraw is a random number from 0 to 1 that decides on
// errors.
func (m *Machine) Open(now time.Duration, load float64, group uint64, errorDraw float64) Answer {
	m.Advance(now)
	switch {
	case !m.Up:
		return AnswerError
	case errorDraw < m.ErrorRate:
		m.report.ErrorsPerSecond++
		return AnswerError
	case m.connections >= m.MaxConnections:
		return AnswerBusy
	}
	m.connections++
	if m.groups[group]++; m.groups[group] == 1 {
		m.load += flightOverhead
	}
	m.load += load
	m.backlog += time.Duration(float64(setupWork) / m.Cores / m.Speed)
	return AnswerUp
}

// Close ends an established connection.
func (m *Machine) Close(now time.Duration, load float64, group uint64) {
	m.Advance(now)
	if m.connections == 0 {
		return // the host has stopped in the meantime
	}
	m.connections--
	if m.groups[group]--; m.groups[group] == 0 {
		delete(m.groups, group)
		m.load -= flightOverhead
	}
	if m.load -= load; m.connections == 0 {
		m.load = 0
	}
}

// Stop ends the process; all its connections break.
func (m *Machine) Stop(now time.Duration) {
	m.Up, m.connections, m.load, m.backlog, m.overloadedSince, m.advancedTo = false, 0, 0, 0, 0, now
	clear(m.groups)
}

// Start starts the process again, cold. A host that failed from overload stays down.
func (m *Machine) Start(now time.Duration) {
	if !m.OverloadFailed {
		m.Up, m.Started, m.advancedTo, m.report, m.reportedAt = true, now, now, Report{}, 0
	}
}

// Report is the load report, refreshed once per interval.
func (m *Machine) Report(now time.Duration) Report {
	m.Advance(now)
	if m.reportedAt == 0 || now-m.reportedAt >= m.reportInterval {
		eps := m.report.ErrorsPerSecond
		m.report = Report{eps / max((now-m.reportedAt).Seconds(), 1), math.Min(m.X0(now), 1), m.X0(now)}
		m.reportedAt = now
	}
	return m.report
}
