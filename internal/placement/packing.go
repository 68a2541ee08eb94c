package placement

import (
	"container/heap"
	"slices"
)

// hostHeap is a heap of the hosts of a room, with the most free load on top.
type hostHeap struct {
	hosts []int
	free  []float64
}

func (r *hostHeap) Len() int { return len(r.hosts) }
func (r *hostHeap) Less(i, j int) bool {
	a, b := r.hosts[i], r.hosts[j]
	return r.free[a] > r.free[b] || r.free[a] == r.free[b] && a < b
}
func (r *hostHeap) Swap(i, j int) { r.hosts[i], r.hosts[j] = r.hosts[j], r.hosts[i] }
func (r *hostHeap) Push(any)      {}
func (r *hostHeap) Pop() any      { return nil }

// packing is a placement under construction.
type packing struct {
	*problem
	dualPrice []float64 // of each room
	free      []float64 // load that still fits on each host
	roomHeaps []*hostHeap
	hostOf    []int32
}

// maxBestFitHosts is the number of hosts in a room up to which all are compared to find the best fit.
const maxBestFitHosts = 64

func (p *problem) newPacking(dualPrice []float64) *packing {
	k := &packing{problem: p, dualPrice: dualPrice, free: slices.Clone(p.usable), hostOf: p.emptyPlacement()}
	for _, hosts := range p.hostsByRoom {
		r := &hostHeap{slices.Clone(hosts), k.free}
		heap.Init(r)
		k.roomHeaps = append(k.roomHeaps, r)
	}
	return k
}

// emptyPlacement is the placement in which no piece has a host.
func (p *problem) emptyPlacement() []int32 {
	hostOf := make([]int32, len(p.pieces))
	for i := range hostOf {
		hostOf[i] = none
	}
	return hostOf
}

// pickHost is the host of a room for a load: the one with the most free load or, with bestFit, the one with the least
// free load that can still take it.
func (k *packing) pickHost(r int, load float64, bestFit bool) int {
	hosts := k.roomHeaps[r].hosts
	if len(hosts) == 0 {
		return none
	}
	best := hosts[0]
	if !bestFit || len(hosts) > maxBestFitHosts {
		return best
	}
	for _, h := range hosts {
		if need := load + k.overhead[h]; k.free[h] >= need && (k.free[best] < need || k.free[h] < k.free[best]) {
			best = h
		}
	}
	return best
}

// assign places pieces of one flight on a host.
func (k *packing) assign(h int, pieces ...int) {
	k.free[h] -= k.overhead[h]
	for _, i := range pieces {
		k.hostOf[i] = int32(h)
		k.free[h] -= k.pieces[i].load
	}
	r := k.roomHeaps[k.hostRoom[h]]
	if r.hosts[0] == h {
		heap.Fix(r, 0)
	} else {
		heap.Init(r)
	}
}

func (k *packing) pieceLoad(pieces []int) (load float64) {
	for _, i := range pieces {
		load += k.pieces[i].load
	}
	return load
}

// netGain is the gain of pieces on a host, as far as they fit, less the price of the load that they take.
func (k *packing) netGain(h int, pieces ...int) float64 {
	load, gain := k.pieceLoad(pieces), 0.0
	for _, i := range pieces {
		gain += k.gain(&k.pieces[i], h)
	}
	free := max(k.free[h]-k.overhead[h], 0)
	share := 1.0
	if load > free && load > 0 {
		share = free / load
	}
	return share*(gain-k.dualPrice[k.hostRoom[h]]*load) - k.overhead[h]*(k.wastePerLoad+k.dualPrice[k.hostRoom[h]])
}

// bestHost returns the host on which pieces have the highest net gain, and the gain; none if no gain is above 0.
func (k *packing) bestHost(bestFit bool, pieces ...int) (gain float64, host int) {
	load := k.pieceLoad(pieces)
	host = none
	for r := range k.roomHeaps {
		if h := k.pickHost(r, load, bestFit); h != none {
			if g := k.netGain(h, pieces...); g > gain {
				gain, host = g, h
			}
		}
	}
	return gain, host
}

// keepCurrent places flights where the plan in force has them, if the host still exists.
func (k *packing) keepCurrent() {
	for n := range k.flightLoad {
		pieces := k.flightPieces(n)
		if len(pieces) == 0 || k.pieces[pieces[0]].current == none {
			continue
		}
		current := k.pieces[pieces[0]].current
		for _, i := range pieces {
			k.hostOf[i] = int32(current)
			k.free[current] -= k.pieces[i].load
		}
		k.free[current] -= k.overhead[current]
	}
	for _, r := range k.roomHeaps {
		heap.Init(r)
	}
}

// flightPieces returns the indexes of a flight's pieces.
func (p *problem) flightPieces(n int) []int {
	out := make([]int, 0, p.firstPiece[n+1]-p.firstPiece[n])
	for i := p.firstPiece[n]; i < p.firstPiece[n+1]; i++ {
		out = append(out, i)
	}
	return out
}

// placeFlight places the pieces of one flight together or separately, whichever has the higher gain.
func (k *packing) placeFlight(pieces []int, bestFit bool) {
	together, host := k.bestHost(bestFit, pieces...)
	apart := 0.0
	if len(pieces) > 1 {
		for _, i := range pieces {
			gain, _ := k.bestHost(bestFit, i)
			apart += gain
		}
	}
	switch {
	case len(pieces) > 1 && apart > together || len(pieces) > len(k.problem.rooms):
		for _, i := range pieces { // choose again, as the pieces before may have filled the host
			if _, host := k.bestHost(bestFit, i); host != none {
				k.assign(host, i)
			}
		}
	case host != none:
		k.assign(host, pieces...)
	}
}

// greedy places the largest flights first, each as a whole, or its pieces separately, where the net gain at the dual
// prices is highest.
//
// With keepCurrent, flights stay where the plan in force has them, if the host still exists.
func (s *search) greedy(dualPrice []float64, bestFit, keepCurrent bool) []int32 {
	k := s.newPacking(dualPrice)
	if keepCurrent {
		k.keepCurrent()
	}
	for n := range s.flightLoad {
		pieces := s.flightPieces(n)
		s.steps++
		if len(pieces) > 0 && k.hostOf[pieces[0]] == none {
			k.placeFlight(pieces, bestFit)
		}
	}
	return k.hostOf
}
