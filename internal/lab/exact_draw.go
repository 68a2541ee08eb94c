package lab

import (
	"math"
	"math/rand/v2"

	"tealtiller/internal/placement"
)

// DrawPlacementCase draws a small fleet: up to the given number of hosts, of two kinds in one or two rooms, and up to
// the given number of flights. Demand goes from far below to far above capacity; some of it is in the wrong room, and
// some flights have a current host.
func DrawPlacementCase(rng *rand.Rand, hosts, flights int) *placement.Fleet {
	f := &placement.Fleet{Prices: placement.DefaultPrices()}
	f.Prices.CautionErrors = float64(rng.IntN(2))
	d := caseBuilder{rng: rng, fleet: f}
	d.rooms = roomNames[:1+min(rng.IntN(4), 1)]
	d.identical = rng.IntN(3) == 0
	for i := range 1 + rng.IntN(hosts) {
		d.addHost(i)
	}
	d.flights = 1 + rng.IntN(flights)
	d.demand = d.capacity * (0.2 + 1.4*rng.Float64())
	d.skew = rng.Float64()
	for range d.flights {
		d.addFlight()
	}
	return f
}

// caseBuilder is a fleet that is being drawn.
type caseBuilder struct {
	rng         *rand.Rand
	fleet       *placement.Fleet
	rooms       []string
	identical   bool    // hosts and flights are alike, so that placements tie
	capacity    float64 // loads that all hosts serve
	maxPartLoad float64 // largest load of a part that one host can serve and that the solver does not split
	flights     int
	demand      float64 // loads of all flights
	skew        float64 // the share of a flight's clients in the first of two rooms
}

func (d *caseBuilder) addHost(i int) {
	rng := d.rng
	h := placement.Host{ID: string(rune('a' + i)), Room: d.rooms[rng.IntN(len(d.rooms))], Kind: "full-speed"}
	h.Capacity = 30 + 15*rng.Float64()
	if rng.IntN(2) == 0 {
		h.Kind, h.Capacity = "slow-clock", 17+8*rng.Float64()
	}
	if d.identical {
		h.Capacity = 30
	}
	if rng.IntN(6) == 0 {
		h.WarmShare = 0.15 + 0.8*rng.Float64()
	}
	if rng.IntN(4) == 0 {
		h.CapacityError = 0.3 * rng.Float64()
	}
	d.fleet.Hosts = append(d.fleet.Hosts, h)
	usable := h.UsableCapacity(&d.fleet.Prices)
	d.maxPartLoad = math.Max(d.maxPartLoad, math.Min(usable, 8*d.fleet.Prices.PerHostOverhead))
	d.capacity += usable
}

func (d *caseBuilder) addFlight() {
	rng := d.rng
	flight := placement.Flight{ID: rng.Uint64(), Carrier: Carriers[rng.IntN(len(Carriers))].Name}
	load := d.demand / float64(d.flights) * (0.2 + rng.ExpFloat64())
	if d.identical && rng.IntN(2) == 0 {
		load = d.demand / float64(d.flights)
	}
	flight.Parts = d.parts(load)
	if rng.IntN(3) == 0 {
		flight.CurrentHost = d.fleet.Hosts[rng.IntN(len(d.fleet.Hosts))].ID
	}
	d.fleet.Flights = append(d.fleet.Flights, flight)
}

// parts divides a flight's load among the rooms of its clients.
func (d *caseBuilder) parts(load float64) (parts []placement.Part) {
	worth := 0.5 + d.rng.Float64() // of each load
	remaining := 1.0
	for i, room := range d.rooms {
		share := remaining
		if isLast := i+1 == len(d.rooms); !isLast {
			share = d.firstRoomShare()
		}
		remaining -= share
		if x := math.Min(load*share, d.maxPartLoad); x > 0 {
			parts = append(parts, placement.Part{Room: room, Load: x, Worth: x * worth})
		}
	}
	return parts
}

// firstRoomShare draws the share of a flight's clients in the first room; for half of the flights it is 0 or 1.
func (d *caseBuilder) firstRoomShare() float64 {
	if d.rng.IntN(2) == 0 {
		return math.Round(d.skew)
	}
	return d.skew
}
