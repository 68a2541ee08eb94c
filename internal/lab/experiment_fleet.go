package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Fleet draws the desk hosts: in two rooms, of two kinds with different speeds.
func (e *Experiment) Fleet(seed uint64) []Spec {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]Spec, e.Hosts)
	for i := range out {
		kind, speed := "full-speed", 0.85+0.25*rng.Float64()
		if i/2%2 == 1 {
			kind, speed = "slow-clock", 0.51+0.18*rng.Float64()
		}
		out[i] = Spec{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Room: roomNames[i%2], Kind: kind,
			CellNumber: i / 4, Cores: 3, Speed: speed, PerCore: e.PerCore, MaxConnections: 1800}
	}
	return out
}

var roomNames = []string{"treforest", "llandaff"}

// balancerRoom is the room of a balancer.
func (e *Experiment) balancerRoom(i int) string {
	if e.Skew == 0 {
		return roomNames[0]
	}
	return roomNames[i%2]
}

// listedSize is the size that discovery lists for a host.
func (e *Experiment) listedSize(s Spec) float64 {
	if e.Weights == "equal" {
		return 1
	}
	return s.Speed
}

// affectedHosts picks the hosts that a fault affects: a share, rounded up, of the hosts of its cell and room, or of all
// hosts.
func (f *Fault) affectedHosts(rng *rand.Rand, specs []Spec, cellOf map[string]string) (out []Spec) {
	for _, s := range specs {
		if (f.Cell == "" || cellOf[s.ID] == f.Cell) && (f.Room == "" || s.Room == f.Room) {
			out = append(out, s)
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(math.Ceil(f.Part*float64(len(out))-1e-9))]
}
