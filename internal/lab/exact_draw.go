package lab

import (
	"math"
	"math/rand/v2"

	"tealtiller/internal/placement"
)

// PlacementCase draws a small fleet: up to so many hosts of two kinds in one or two rooms, up to so many flights, from far
// too little to far too much traffic, some of it in the wrong room, some under a plan already.
func PlacementCase(rng *rand.Rand, hosts, flights int) *placement.Fleet {
	f := &placement.Fleet{Prices: placement.DefaultPrices()}
	f.Prices.CautionErrors = float64(rng.IntN(2))
	d := caseDrawing{rng: rng, fleet: f}
	d.rooms = bothRooms[:1+min(rng.IntN(4), 1)]
	d.equal = rng.IntN(3) == 0
	for i := range 1 + rng.IntN(hosts) {
		d.addHost(i)
	}
	d.flights = 1 + rng.IntN(flights)
	d.demand = d.serves * (0.2 + 1.4*rng.Float64())
	d.skew = rng.Float64()
	for range d.flights {
		d.addFlight()
	}
	return f
}

// caseDrawing is a fleet that is being drawn.
type caseDrawing struct {
	rng     *rand.Rand
	fleet   *placement.Fleet
	rooms   []string
	equal   bool    // hosts and flights are alike, so that there are ties
	serves  float64 // loads, of all hosts
	largest float64 // load of a part that one host can bear, and that the solver does not cut
	flights int
	demand  float64 // loads, of all flights
	skew    float64 // the share of a flight's clients in the first of two rooms
}

func (d *caseDrawing) addHost(i int) {
	rng := d.rng
	h := placement.Host{ID: string(rune('a' + i)), Room: d.rooms[rng.IntN(len(d.rooms))], Kind: "full-speed"}
	h.Capacity = 30 + 15*rng.Float64()
	if rng.IntN(2) == 0 {
		h.Kind, h.Capacity = "slow-clock", 17+8*rng.Float64()
	}
	if d.equal {
		h.Capacity = 30
	}
	if rng.IntN(6) == 0 {
		h.WarmShare = 0.15 + 0.8*rng.Float64()
	}
	if rng.IntN(4) == 0 {
		h.CapacityError = 0.3 * rng.Float64()
	}
	d.fleet.Hosts = append(d.fleet.Hosts, h)
	serves := h.UsableCapacity(&d.fleet.Prices)
	d.largest = math.Max(d.largest, math.Min(serves, 8*d.fleet.Prices.PerHostOverhead))
	d.serves += serves
}

func (d *caseDrawing) addFlight() {
	rng := d.rng
	flight := placement.Flight{ID: rng.Uint64(), Carrier: Carriers[rng.IntN(len(Carriers))].Name}
	load := d.demand / float64(d.flights) * (0.2 + rng.ExpFloat64())
	if d.equal && rng.IntN(2) == 0 {
		load = d.demand / float64(d.flights)
	}
	flight.Parts = d.parts(load)
	if rng.IntN(3) == 0 {
		flight.CurrentHost = d.fleet.Hosts[rng.IntN(len(d.fleet.Hosts))].ID
	}
	d.fleet.Flights = append(d.fleet.Flights, flight)
}

// parts deals a flight's load to the rooms of its clients.
func (d *caseDrawing) parts(load float64) (parts []placement.Part) {
	worth := 0.5 + d.rng.Float64() // a load
	left := 1.0
	for i, room := range d.rooms {
		share := left
		if isLast := i+1 == len(d.rooms); !isLast {
			share = d.shareOfFirst()
		}
		left -= share
		if x := math.Min(load*share, d.largest); x > 0 {
			parts = append(parts, placement.Part{Room: room, Load: x, Worth: x * worth})
		}
	}
	return parts
}

// shareOfFirst is the share of a flight's clients in the first room; of half the flights it is all or nothing.
func (d *caseDrawing) shareOfFirst() float64 {
	if d.rng.IntN(2) == 0 {
		return math.Round(d.skew)
	}
	return d.skew
}
