package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"tealtiller/internal/cells"
)

// arrival is one client: when it arrives, and its properties. All arrivals are drawn in advance, each carrier's from a
// random stream of its own, so that faults of one carrier do not change the traffic of another.
type arrival struct {
	at           time.Duration
	carrier      string
	class        string
	key          uint64
	group        uint64
	load         float64
	life         time.Duration
	uncounted    bool    // not counted in the figures of cells and carriers: a client of a hot key
	homePosition float64 // position from 0 to 1; below the skew, the flight's home is the first room
}

// homeRoomShare is the share of a flight's clients that arrive in the flight's home room.
const homeRoomShare = 0.85

// clientRoom is the room in which a client arrives; empty if clients have no rooms. It is derived from the flight and
// the client alone, without a random draw, so that it does not change the other draws.
func (e *Experiment) clientRoom(a *arrival) string {
	if e.Skew == 0 {
		return ""
	}
	homeRoom := 1
	if a.homePosition < e.Skew {
		homeRoom = 0
	}
	if cells.CrossingPosition(a.key^a.group) >= homeRoomShare {
		homeRoom = 1 - homeRoom
	}
	return roomNames[homeRoom]
}

// arrivals draws the clients of one carrier, in the order of their time; those of a hot key follow at the end.
func (e *Experiment) arrivals(seed uint64, index int) (out []arrival) {
	c := e.carriers()[index]
	rng := rand.New(rand.NewPCG(seed, 100+uint64(index)))
	flights := make([]uint64, e.Flights)
	for i := range flights {
		flights[i] = rng.Uint64()
	}
	end, life := parsedDuration(e.Duration), parsedDuration(e.Life)
	draw := func(at time.Duration) arrival {
		key, flight := rng.Uint64(), rng.IntN(len(flights))
		_, homePosition := math.Modf((float64(index*len(flights)+flight) + 0.5) * 0.6180339887) // spread evenly by the golden ratio, for every seed
		a := arrival{at: at, carrier: c.Name, class: "lookup", key: key, group: flights[flight], homePosition: homePosition,
			load: math.Exp(0.5*rng.NormFloat64() - 0.125), life: time.Duration((0.2 + 0.8*rng.ExpFloat64()) * float64(life))}
		if rng.Float64() < 0.21 {
			a.class, a.load = "seat-set", a.load*3
		}
		return a
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (e.Opens * c.Share) * float64(time.Second))
		if at >= end {
			break
		}
		out = append(out, draw(at))
	}
	hotKeyRNG := rand.New(rand.NewPCG(seed, 200+uint64(index)))
	for _, f := range e.Faults {
		if f.Kind != "hot-key" || f.Carrier != c.Name {
			continue
		}
		rng = hotKeyRNG
		key := rng.Uint64()
		for at := parsedDuration(f.At); ; {
			at += time.Duration(rng.ExpFloat64() / (e.Opens * f.Part) * float64(time.Second))
			if at >= min(parsedDuration(f.At)+parsedDuration(f.For), end) {
				break
			}
			a := draw(at)
			a.group, a.uncounted, a.load = key, true, a.load*max(f.Size, 1)
			out = append(out, a)
		}
	}
	return out
}
