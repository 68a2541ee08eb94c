package placement

import (
	"cmp"
	"fmt"
	"slices"
)

// Bounds of a fleet: what is larger was not measured.
const mostHosts, mostFlights, mostRooms = 20_000, 400_000, 64

// Bounds of single figures, and of how many errors are told.
const (
	mostFigure  = 1e15
	mostError   = 10
	mostPiece   = 1e6
	mostCaution = 5
	mostTold    = 100
)

// Check tells everything that makes no sense.
func (f *Fleet) Check() []error {
	c := &checker{fleet: f, rooms: map[string]bool{}}
	if len(f.Hosts) > mostHosts || len(f.Flights) > mostFlights {
		c.say("%d hosts and %d flights; at most %d and %d", len(f.Hosts), len(f.Flights), mostHosts, mostFlights)
		return c.all
	}
	c.hosts()
	c.flights()
	if len(c.rooms) > mostRooms {
		c.say("%d rooms; at most %d", len(c.rooms), mostRooms)
	}
	c.prices()
	slices.SortFunc(c.all, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return c.all
}

// checker collects what makes no sense, and the rooms that it has met.
type checker struct {
	fleet *Fleet
	all   []error
	rooms map[string]bool
}

func (c *checker) say(format string, args ...any) {
	if len(c.all) < mostTold {
		c.all = append(c.all, fmt.Errorf(format, args...))
	}
}

func (c *checker) hosts() {
	names := map[string]bool{}
	for i := range c.fleet.Hosts {
		h := &c.fleet.Hosts[i]
		c.rooms[h.Room] = true
		switch {
		case h.ID == "":
			c.say("host %d: no id", i+1)
		case names[h.ID]:
			c.say("host %q: told twice", h.ID)
		case !isFigure(h.Capacity):
			c.say("host %q: capacity %v; want a figure from 0 on", h.ID, h.Capacity)
		case !(h.CapacityError >= 0 && h.CapacityError <= mostError):
			c.say("host %q: error %v; want 0 to 10", h.ID, h.CapacityError)
		case !isShare(h.WarmShare):
			c.say("host %q: warm %v; want 0 to 1", h.ID, h.WarmShare)
		case h.HostsPerFlight != 0 && !(h.HostsPerFlight >= 1 && h.HostsPerFlight <= mostHosts):
			c.say("host %q: spread %v; want 1 or more", h.ID, h.HostsPerFlight)
		}
		names[h.ID] = true
	}
}

func (c *checker) flights() {
	keys := map[uint64]bool{}
	for i := range c.fleet.Flights {
		fl := &c.fleet.Flights[i]
		if keys[fl.ID] {
			c.say("flight %x: told twice", fl.ID)
		}
		keys[fl.ID] = true
		c.parts(fl)
	}
}

func (c *checker) parts(fl *Flight) {
	in := map[string]bool{}
	for _, p := range fl.Parts {
		c.rooms[p.Room] = true
		if in[p.Room] {
			c.say("flight %x: room %q told twice", fl.ID, p.Room)
		}
		in[p.Room] = true
		if !isFigure(p.Load) || !isFigure(p.Worth) {
			c.say("flight %x: load %v, worth %v; want figures from 0 on", fl.ID, p.Load, p.Worth)
		}
	}
}

func (c *checker) prices() {
	p := &c.fleet.Prices
	for name, x := range map[string]float64{"crossing": p.Crossing, "waste": p.Waste, "move": p.Move} {
		if !isShare(x) {
			c.say("price %s: %v; want 0 to 1", name, x)
		}
	}
	if !(p.PerHostOverhead >= 0 && p.PerHostOverhead <= mostPiece) {
		c.say("price piece: %v; want 0 or more loads", p.PerHostOverhead)
	}
	if !(p.MaxUtilisation > 0 && p.MaxUtilisation <= 1) || !(p.CautionErrors >= 0 && p.CautionErrors <= mostCaution) {
		c.say("fill %v, caution %v; want above 0 to 1, and 0 to 5", p.MaxUtilisation, p.CautionErrors)
	}
}

// isFigure and isShare are false for what is not a number.
func isFigure(x float64) bool { return x >= 0 && x <= mostFigure }

func isShare(x float64) bool { return x >= 0 && x <= 1 }
