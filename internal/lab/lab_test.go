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

func TestTheExperimentsAreGood(t *testing.T) {
	files, err := filepath.Glob("../../lab/[a-z]*.hcl")
	require.NoError(t, err)
	played := 0
	for _, f := range files {
		if ok, _ := filepath.Match("*-operator.hcl", filepath.Base(f)); ok {
			continue
		}
		_, err := Load(f)
		assert.NoError(t, err, f)
		played++
	}
	assert.Equal(t, 5, played)
}

func spec() Spec {
	return Spec{ID: "s", Cores: 3, Speed: 1, PerCore: 10, Most: 100}
}

// A cold host bears its warmth's part; driven at over three times that for a second it falls and stays down.
func TestAColdHostFallsWhenOverdriven(t *testing.T) {
	for _, load := range []float64{4, 30} {
		m := NewMachine(spec(), time.Second)
		now := time.Hour
		m.Stop(now)
		m.Start(now)
		assert.InDelta(t, 4.5, m.Capacity(now), 0.01)
		for range 3 {
			assert.Equal(t, Taken, m.Open(now, load/3, 0, 1))
		}
		for range 20 {
			now += 100 * time.Millisecond
			m.Advance(now)
		}
		assert.Equal(t, load == 30, m.Fallen)
		m.Start(now)
		assert.Equal(t, load != 30, m.Up)
	}
}

// A flight costs three loads on each host that holds a part of it, once; work beyond capacity piles up.
func TestLoadOfFlightsAndBacklog(t *testing.T) {
	m := NewMachine(spec(), time.Second)
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
	assert.Equal(t, Full, m.Open(now+2*time.Second, 1, 7, 1))
	m.ErrorRate = 1
	assert.Equal(t, Fails, m.Open(now+2*time.Second, 1, 7, 0.5))
}

func small(faults ...Fault) *Experiment {
	e := &Experiment{Duration: "20s", Balancers: 3, Hosts: 24, PerCore: 150, Opens: 100, Life: "8s", Flights: 5, Settle: "0s",
		Carriers: 4, Cells: 4, Faults: faults}
	e.Plan = e.even()
	return e
}

// Virtual time gives the same bytes for the same seed, and others for another one; each fault keeps the rules, and
// leaves the other cells unharmed.
func TestVirtualTime(t *testing.T) {
	run := func(f Fault, seed uint64, cells bool) (Harm, string) {
		h := NewVirtual(small(f), seed, cells).Run()
		h.Busy = 0
		text, err := json.Marshal(h)
		require.NoError(t, err)
		return h, string(text)
	}
	for _, f := range sizeFaults {
		f.At, f.For = "5s", "8s"
		h, text := run(f, 1, true)
		_, again := run(f, 1, true)
		assert.Equal(t, text, again, f.Kind)
		assert.Equal(t, [5]int{}, [5]int{h.Lost, h.Doubled, h.Foreign, h.Fallen, h.Others.Harmed}, f.Kind)
		assert.Greater(t, h.Others.Connections, 1000, f.Kind)
		_, other := run(f, 2, true)
		assert.NotEqual(t, text, other, f.Kind)
	}
	without, _ := run(Fault{Kind: "heavy", At: "5s", For: "10s", Size: 30, Carrier: "air-00"}, 1, false)
	assert.Positive(t, without.Others.Harmed, "the contrast is there")
}

func TestChurnMovesFew(t *testing.T) {
	e := small()
	e.Hosts = 200
	e.Plan = e.even()
	changes, moved, least, _ := Churn(e, 1, 0.1)
	assert.Equal(t, 40, changes)
	assert.LessOrEqual(t, least, moved)
	assert.Less(t, moved, 2*changes)
}

// A few seconds on sockets, against a real balancer: each open has one answer, none went to a foreign host, also as a
// host drains, others are replaced and a balancer is restarted. How fast it all was is no matter here.
// built is a folder of a test's own and the balancer built into it.
func built(t *testing.T) (folder, binary string) {
	folder = t.TempDir()
	binary = filepath.Join(folder, "tealtiller")
	out, err := exec.Command("go", "build", "-o", binary, "tealtiller/cmd/tealtiller").CombinedOutput()
	require.NoError(t, err, string(out))
	return folder, binary
}

func TestOnSockets(t *testing.T) {
	folder, binary := built(t)
	e := &Experiment{Duration: "7s", Balancers: 2, Hosts: 8, PerCore: 300, Opens: 25, Life: "3s", Flights: 4, Settle: "0s", Pause: "2s",
		Dir: "../../lab", Operator: "cells-operator.hcl", Faults: []Fault{{Kind: "hot-key", At: "1s", For: "3s", Part: 0.2, Size: 2, Carrier: "dyfed-air"},
			{Kind: "deploy", At: "1s", For: "2s", Part: 0.5, Cell: "large"}, {Kind: "restart", At: "500ms"}, {Kind: "drop", At: "2s", Part: 0.3}}}
	s, err := NewSockets(e, 1, true, binary, folder)
	require.NoError(t, err)
	defer s.Close()
	o := s.Run()
	assert.Equal(t, [4]int{}, [4]int{o.Doubled, o.TwoInFlight, o.Foreign, o.Crashed})
	assert.LessOrEqual(t, o.MostAttempts, 6)
	assert.Greater(t, o.Served, 50)
}

// Under a plan a day's flights stand in their rooms, and every client has its answer.
func TestADayUnderAPlan(t *testing.T) {
	base, err := Load("../../lab/placement.hcl")
	require.NoError(t, err)
	base.Duration, base.Settle, base.Opens, base.Weights = "20s", "5s", 20, "equal"
	recorded := *base
	recorded.Record = true
	before := NewVirtual(&recorded, 1, false)
	equal := before.Run()
	fleet, err := before.gather.Fleet(placement.DefaultPrices())
	require.NoError(t, err)
	plan, off := planOf(fleet, before.specs, false, false, time.Unix(0, int64(virtualStart)))
	assert.Less(t, off, 0.15)
	planned, err := under(*base, plan)
	require.NoError(t, err)
	after := NewVirtual(&planned, 1, true).Run()
	assert.Less(t, after.Worth.Crossings(), equal.Worth.Crossings()*0.6)
	assert.Zero(t, after.Lost+after.Doubled+after.Foreign)
}

// A dark room holds what comes and answers nothing; each balancer's last attempt into it is told; a frozen balancer's
// clients come again through the other; a room cut one way sets up what comes and its answers are lost; every OPEN
// still has one answer.
func TestADarkRoomOnSockets(t *testing.T) {
	folder, binary := built(t)
	e := &Experiment{Duration: "6s", Balancers: 2, Hosts: 6, PerCore: 300, Opens: 30, Life: "3s", Flights: 4, Settle: "0s", Pause: "2s",
		Skew: 0.5, Dir: "../../lab", Faults: []Fault{{Kind: "dark", At: "1s", For: "2s", Part: 1, Room: "llandaff"},
			{Kind: "freeze", At: "1s", For: "2s", Part: 0.5}, {Kind: "one-way", At: "3500ms", For: "1500ms", Part: 1, Room: "treforest"}}}
	s, err := NewSockets(e, 1, false, binary, folder)
	require.NoError(t, err)
	defer s.Close()
	o := s.Run()
	assert.Len(t, o.Quiet, 4, "each balancer told once for each darkness")
	assert.Positive(t, o.Unheard, "hosts cut one way set up what came")
	assert.Positive(t, o.Again, "the frozen balancer's clients came again")
	assert.Equal(t, [4]int{}, [4]int{o.Lost, o.Doubled, o.TwoInFlight, o.Crashed})
	assert.Greater(t, o.Sent, 0)
	assert.LessOrEqual(t, o.Near, o.Sent)
}
