// Package lab is the laboratory: stand-in desk hosts, discovery and clients after the published protocol, faults by
// schedule, and an auditor that watches from outside. The model of a desk host (Machine) is pure and is used twice:
// on sockets, against real balancer processes (Sockets), and in virtual time, against the same decision code
// (Virtual). All chance comes from the seed; virtual time gives the same figures for the same seed.
package lab

import (
	"math"
	"time"
)

// Spec is what a desk host is. Loads are counted in mean connection loads.
type Spec struct {
	ID, Room, Kind string
	Number         int     // the cell that discovery tells
	Cores, Speed   float64 // speed 1 is the yardstick
	PerCore        float64 // loads that fill one core of speed 1
	Most           int     // connections that it holds
}

// Machine models one desk host. It is pure: time comes in.
type Machine struct {
	Spec
	Up        bool
	Fallen    bool // pushed over while cold; stays down
	Started   time.Duration
	ErrorRate float64 // share of openings that it fails
	load      float64
	conns     int
	groups    map[uint64]int
	backlog   time.Duration // of work piled up
	at        time.Duration
	overSince time.Duration // driven at over three times its capacity since; 0 if it is not
	slow      time.Duration // for how long messages have taken over the aim, in all
	report    Report
	reportAt  time.Duration
	every     time.Duration
}

// Report is what a desk host tells when probed.
type Report struct{ ErrorsPerSecond, Util, X0 float64 }

// The figures of the operators' pages that the model keeps.
const (
	coldFrom     = 0.15
	warmAfter    = 22 * time.Second
	fallMultiple = 3
	fallAfter    = time.Second
	groupLoads   = 3                     // that each host holding part of a flight pays
	setupWork    = 3 * time.Millisecond  // on all cores
	setup        = 12 * time.Millisecond // until a connection is up, at an idle host of speed 1
	message      = 5 * time.Millisecond  // a message at an idle host of speed 1
	messageAim   = 50 * time.Millisecond
	nearFull     = 0.92
)

// NewMachine makes a desk host that has been up for long. Its reports are refreshed each so often.
func NewMachine(s Spec, every time.Duration) *Machine {
	return &Machine{Spec: s, Up: true, groups: map[uint64]int{}, every: every}
}

// Capacity is how many loads it serves now.
func (m *Machine) Capacity(now time.Duration) float64 {
	warmth := 1.0
	if age := now - m.Started; m.Started > 0 && age < warmAfter {
		warmth = coldFrom + (1-coldFrom)*float64(max(age, 0))/float64(warmAfter)
	}
	return m.Cores * m.Speed * m.PerCore * warmth
}

// X0 is the load asked of it over what it can do.
func (m *Machine) X0(now time.Duration) float64 { return m.load / m.Capacity(now) }

// Conns is how many connections stand.
func (m *Machine) Conns() int { return m.conns }

// Advance lets time pass: work piles up or is done, a cold host that is driven too hard falls over.
func (m *Machine) Advance(now time.Duration) {
	span := now - m.at
	if span <= 0 || !m.Up {
		m.at = max(m.at, now)
		return
	}
	x0 := m.X0(now)
	if m.Message(now) > messageAim {
		m.slow += span
	}
	m.backlog = max(m.backlog+time.Duration((x0-1)*float64(span)), 0)
	cold := m.Started > 0 && now-m.Started < warmAfter
	switch {
	case !cold || x0 <= fallMultiple:
		m.overSince = 0
	case m.overSince == 0:
		m.overSince = now
	case now-m.overSince >= fallAfter:
		m.Fallen = true
		m.Stop(now)
	}
	m.at = now
}

// Message is how long a message takes now.
func (m *Machine) Message(now time.Duration) time.Duration {
	return m.backlog + time.Duration(float64(message)/m.Speed/(1-min(m.X0(now), nearFull)))
}

// Setup is how long it takes to bring a connection up now.
func (m *Machine) Setup(now time.Duration) time.Duration {
	return m.backlog + time.Duration(float64(setup)/m.Speed/(1-min(m.X0(now), nearFull)))
}

// Slow is for how long messages have taken over the aim, in all.
func (m *Machine) Slow() time.Duration { return m.slow }

// Answer is what comes of an opening.
type Answer int

// The answers.
const (
	Taken Answer = iota
	Full
	Fails
)

// Open brings a connection up, if there is room. Chance is a number from 0 to 1 that decides on errors.
func (m *Machine) Open(now time.Duration, load float64, group uint64, chance float64) Answer {
	m.Advance(now)
	switch {
	case !m.Up:
		return Fails
	case chance < m.ErrorRate:
		m.report.ErrorsPerSecond++
		return Fails
	case m.conns >= m.Most:
		return Full
	}
	m.conns++
	if m.groups[group]++; m.groups[group] == 1 {
		m.load += groupLoads
	}
	m.load += load
	m.backlog += time.Duration(float64(setupWork) / m.Cores / m.Speed)
	return Taken
}

// Close ends a connection that stood.
func (m *Machine) Close(now time.Duration, load float64, group uint64) {
	m.Advance(now)
	if m.conns == 0 {
		return // it has stopped meanwhile
	}
	m.conns--
	if m.groups[group]--; m.groups[group] == 0 {
		delete(m.groups, group)
		m.load -= groupLoads
	}
	if m.load -= load; m.conns == 0 {
		m.load = 0
	}
}

// Stop ends the process; all that stands there breaks.
func (m *Machine) Stop(now time.Duration) {
	m.Up, m.conns, m.load, m.backlog, m.overSince, m.at = false, 0, 0, 0, 0, now
	clear(m.groups)
}

// Start brings the process back, cold.
func (m *Machine) Start(now time.Duration) {
	if !m.Fallen {
		m.Up, m.Started, m.at, m.report, m.reportAt = true, now, now, Report{}, 0
	}
}

// Report is its load report, refreshed now and then.
func (m *Machine) Report(now time.Duration) Report {
	m.Advance(now)
	if m.reportAt == 0 || now-m.reportAt >= m.every {
		eps := m.report.ErrorsPerSecond
		m.report = Report{eps / max((now-m.reportAt).Seconds(), 1), math.Min(m.X0(now), 1), m.X0(now)}
		m.reportAt = now
	}
	return m.report
}
