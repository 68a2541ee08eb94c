package lab

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/placement"
)

func TestExperimentsLoad(t *testing.T) {
	files, err := filepath.Glob("../../lab/[a-z]*.hcl")
	require.NoError(t, err)
	loaded := 0
	for _, f := range files {
		if ok, _ := filepath.Match("*-operator.hcl", filepath.Base(f)); ok {
			continue
		}
		_, err := Load(f)
		assert.NoError(t, err, f)
		loaded++
	}
	assert.Equal(t, 5, loaded)
}

func testSpec() Spec {
	return Spec{ID: "s", Cores: 3, Speed: 1, PerCore: 10, MaxConnections: 100}
}

// A cold host serves only its cold share of the load. It fails and stays down if the load is above three times that for
// a second.
func TestColdHostFailsFromOverload(t *testing.T) {
	for _, load := range []float64{4, 30} {
		m := NewMachine(testSpec(), time.Second)
		now := time.Hour
		m.Stop(now)
		m.Start(now)
		assert.InDelta(t, 4.5, m.Capacity(now), 0.01)
		for range 3 {
			assert.Equal(t, AnswerUp, m.Open(now, load/3, 0, 1))
		}
		for range 20 {
			now += 100 * time.Millisecond
			m.Advance(now)
		}
		assert.Equal(t, load == 30, m.OverloadFailed)
		m.Start(now)
		assert.Equal(t, load != 30, m.Up)
	}
}

// A flight costs each host that holds a part of it three loads, once; work beyond the capacity adds to the backlog.
func TestLoadOfFlightsAndBacklog(t *testing.T) {
	m := NewMachine(testSpec(), time.Second)
	now := time.Hour
	m.Advance(now)
	for range 4 {
		m.Open(now, 1, 7, 1)
	}
	assert.InDelta(t, 7.0/30, m.X0(now), 1e-9)
	m.Open(now, 53, 8, 1)
	idle := m.Message(now)
	m.Advance(now + 2*time.Second)
	assert.InDelta(t, 2.2, (m.Message(now+2*time.Second) - idle).Seconds(), 0.01, "twice its capacity for 2 s")
	m.Close(now+2*time.Second, 53, 8)
	assert.InDelta(t, 7.0/30, m.X0(now), 1e-9)
	for range 200 {
		m.Open(now+2*time.Second, 0.001, 7, 1)
	}
	assert.Equal(t, AnswerBusy, m.Open(now+2*time.Second, 1, 7, 1))
	m.ErrorRate = 1
	assert.Equal(t, AnswerError, m.Open(now+2*time.Second, 1, 7, 0.5))
}

func smallExperiment(faults ...Fault) *Experiment {
	e := &Experiment{Duration: "20s", Balancers: 3, Hosts: 24, PerCore: 150, Opens: 100, Life: "8s", Flights: 5, Settle: "0s",
		Carriers: 4, Cells: 4, Faults: faults}
	e.CellPlan = e.equalCells()
	return e
}

// In virtual time, the same seed gives the same bytes and another seed gives others. Each fault keeps the rules and
// harms no client of another cell.
func TestVirtualTimeIsReproducible(t *testing.T) {
	play := func(f Fault, seed uint64, cells bool) (Harm, string) {
		h := NewVirtualLab(smallExperiment(f), seed, cells).Run()
		h.WallTime = 0
		text, err := json.Marshal(h)
		require.NoError(t, err)
		return h, string(text)
	}
	for _, f := range sizeFaults {
		f.At, f.For = "5s", "8s"
		h, text := play(f, 1, true)
		_, again := play(f, 1, true)
		assert.Equal(t, text, again, f.Kind)
		assert.Equal(t, [5]int{}, [5]int{h.Lost, h.Doubled, h.Foreign, h.OverloadFailures, h.Others.Harmed}, f.Kind)
		assert.Greater(t, h.Others.Connections, 1000, f.Kind)
		_, other := play(f, 2, true)
		assert.NotEqual(t, text, other, f.Kind)
	}
	without, _ := play(Fault{Kind: "heavy", At: "5s", For: "10s", Size: 30, Carrier: "air-00"}, 1, false)
	assert.Positive(t, without.Others.Harmed, "without cells, the fault harms other carriers")
}

func TestChurnMovesFewHosts(t *testing.T) {
	e := smallExperiment()
	e.Hosts = 200
	e.CellPlan = e.equalCells()
	changes, moved, required, _ := Churn(e, 1, 0.1)
	assert.Equal(t, 40, changes)
	assert.LessOrEqual(t, required, moved)
	assert.Less(t, moved, 2*changes)
}

// buildBalancer builds the balancer into a temporary folder.
func buildBalancer(t *testing.T) (folder, binary string) {
	folder = t.TempDir()
	binary = filepath.Join(folder, "tealtiller")
	out, err := exec.Command("go", "build", "-o", binary, "tealtiller/cmd/tealtiller").CombinedOutput()
	require.NoError(t, err, string(out))
	return folder, binary
}

// A few seconds on sockets against a real balancer: each OPEN gets one answer and none goes to a host of a foreign
// cell, while one host drains, others are replaced and a balancer is restarted. Durations are not checked here.
func TestRulesOnSockets(t *testing.T) {
	folder, binary := buildBalancer(t)
	e := &Experiment{Duration: "7s", Balancers: 2, Hosts: 8, PerCore: 300, Opens: 25, Life: "3s", Flights: 4, Settle: "0s", Pause: "2s",
		Dir: "../../lab", Operator: "cells-operator.hcl", Faults: []Fault{{Kind: "hot-key", At: "1s", For: "3s", Part: 0.2, Size: 2, Carrier: "dyfed-air"},
			{Kind: "deploy", At: "1s", For: "2s", Part: 0.5, Cell: "large"}, {Kind: "restart", At: "500ms"}, {Kind: "drop", At: "2s", Part: 0.3}}}
	s, err := NewSocketLab(e, 1, true, binary, folder)
	require.NoError(t, err)
	defer s.Close()
	o := s.Run()
	assert.Equal(t, [4]int{}, [4]int{o.Doubled, o.TwoInFlight, o.Foreign, o.Crashed})
	assert.LessOrEqual(t, o.MaxAttempts, 6)
	assert.Greater(t, o.Served, 50)
}

// Under a plan made from a recorded run, fewer connections cross rooms and every client gets one answer.
func TestPlanReducesCrossings(t *testing.T) {
	base, err := Load("../../lab/placement.hcl")
	require.NoError(t, err)
	base.Duration, base.Settle, base.Opens, base.Weights = "20s", "5s", 20, "equal"
	recorded := *base
	recorded.Record = true
	before := NewVirtualLab(&recorded, 1, false)
	equal := before.Run()
	fleet, err := before.records.Fleet(placement.DefaultPrices())
	require.NoError(t, err)
	plan, off := planFromRecords(fleet, before.specs, false, false, time.Unix(0, int64(virtualStart)))
	assert.Less(t, off, 0.15)
	planned, err := withPlan(*base, plan)
	require.NoError(t, err)
	after := NewVirtualLab(&planned, 1, true).Run()
	assert.Less(t, after.Worth.Crossings(), equal.Worth.Crossings()*0.6)
	assert.Zero(t, after.Lost+after.Doubled+after.Foreign)
}

// Covers the three faults that make peers unresponsive. A dark room accepts what arrives and answers nothing, and each
// balancer's last attempt into it is recorded; the clients of a frozen balancer reconnect through the other one; a room
// cut off one way establishes connections and its answers are lost. Every OPEN still gets one answer.
func TestDarkRoomOnSockets(t *testing.T) {
	folder, binary := buildBalancer(t)
	e := &Experiment{Duration: "6s", Balancers: 2, Hosts: 6, PerCore: 300, Opens: 30, Life: "3s", Flights: 4, Settle: "0s", Pause: "2s",
		Skew: 0.5, Dir: "../../lab", Faults: []Fault{{Kind: "dark", At: "1s", For: "2s", Part: 1, Room: "llandaff"},
			{Kind: "freeze", At: "1s", For: "2s", Part: 0.5}, {Kind: "one-way", At: "3500ms", For: "1500ms", Part: 1, Room: "treforest"}}}
	s, err := NewSocketLab(e, 1, false, binary, folder)
	require.NoError(t, err)
	defer s.Close()
	o := s.Run()
	assert.Len(t, o.LastDarkAttempts, 4, "one entry per balancer for each dark period")
	assert.Positive(t, o.LostUps, "hosts cut off one way established connections")
	assert.Positive(t, o.Reopened, "the clients of the frozen balancer reconnected")
	assert.Equal(t, [4]int{}, [4]int{o.Lost, o.Doubled, o.TwoInFlight, o.Crashed})
	assert.Greater(t, o.Sent, 0)
	assert.LessOrEqual(t, o.Near, o.Sent)
}
