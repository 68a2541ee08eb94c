package placement

import (
	"cmp"
	"fmt"
	"slices"
)

// Limits on the size of a fleet. The solver has not been measured on larger ones.
const (
	maxHosts   = 20_000
	maxFlights = 400_000
	maxRooms   = 64
)

// Limits on single values, and on the number of errors that are reported.
const (
	maxQuantity        = 1e15
	maxCapacityError   = 10
	maxPerHostOverhead = 1e6
	maxCautionErrors   = 5
	maxReportedErrors  = 100
)

// Check returns all errors in the fleet, up to a limit.
func (f *Fleet) Check() []error {
	c := &checker{fleet: f, rooms: map[string]bool{}}
	if len(f.Hosts) > maxHosts || len(f.Flights) > maxFlights {
		c.addError("%d hosts and %d flights; want at most %d and %d", len(f.Hosts), len(f.Flights), maxHosts, maxFlights)
		return c.errors
	}
	c.checkHosts()
	c.checkFlights()
	if len(c.rooms) > maxRooms {
		c.addError("%d rooms; want at most %d", len(c.rooms), maxRooms)
	}
	c.checkPrices()
	slices.SortFunc(c.errors, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return c.errors
}

// checker collects errors, and the rooms that occur.
type checker struct {
	fleet  *Fleet
	errors []error
	rooms  map[string]bool
}

func (c *checker) addError(format string, args ...any) {
	if len(c.errors) < maxReportedErrors {
		c.errors = append(c.errors, fmt.Errorf(format, args...))
	}
}

func (c *checker) checkHosts() {
	names := map[string]bool{}
	for i := range c.fleet.Hosts {
		h := &c.fleet.Hosts[i]
		c.rooms[h.Room] = true
		switch {
		case h.ID == "":
			c.addError("host %d: no id", i+1)
		case names[h.ID]:
			c.addError("host %q: listed twice", h.ID)
		case !isQuantity(h.Capacity):
			c.addError("host %q: capacity %v; want a number from 0 to 1e15", h.ID, h.Capacity)
		case !(h.CapacityError >= 0 && h.CapacityError <= maxCapacityError):
			c.addError("host %q: error %v; want 0 to 10", h.ID, h.CapacityError)
		case !isFraction(h.WarmShare):
			c.addError("host %q: warm %v; want 0 to 1", h.ID, h.WarmShare)
		case h.HostsPerFlight != 0 && !(h.HostsPerFlight >= 1 && h.HostsPerFlight <= maxHosts):
			c.addError("host %q: spread %v; want 1 or more", h.ID, h.HostsPerFlight)
		}
		names[h.ID] = true
	}
}

func (c *checker) checkFlights() {
	keys := map[uint64]bool{}
	for i := range c.fleet.Flights {
		fl := &c.fleet.Flights[i]
		if keys[fl.ID] {
			c.addError("flight %x: listed twice", fl.ID)
		}
		keys[fl.ID] = true
		c.checkParts(fl)
	}
}

func (c *checker) checkParts(fl *Flight) {
	in := map[string]bool{}
	for _, p := range fl.Parts {
		c.rooms[p.Room] = true
		if in[p.Room] {
			c.addError("flight %x: room %q listed twice", fl.ID, p.Room)
		}
		in[p.Room] = true
		if !isQuantity(p.Load) || !isQuantity(p.Worth) {
			c.addError("flight %x: load %v, worth %v; want numbers from 0 to 1e15", fl.ID, p.Load, p.Worth)
		}
	}
}

func (c *checker) checkPrices() {
	p := &c.fleet.Prices
	for name, x := range map[string]float64{"crossing": p.Crossing, "waste": p.Waste, "move": p.Move} {
		if !isFraction(x) {
			c.addError("price %s: %v; want 0 to 1", name, x)
		}
	}
	if !(p.PerHostOverhead >= 0 && p.PerHostOverhead <= maxPerHostOverhead) {
		c.addError("price piece: %v; want 0 or more loads", p.PerHostOverhead)
	}
	if !(p.MaxUtilisation > 0 && p.MaxUtilisation <= 1) || !(p.CautionErrors >= 0 && p.CautionErrors <= maxCautionErrors) {
		c.addError("fill %v, caution %v; want a fill above 0 and up to 1, and a caution from 0 to 5",
			p.MaxUtilisation, p.CautionErrors)
	}
}

// isQuantity reports whether x is a number from 0 to maxQuantity. It is false for NaN.
func isQuantity(x float64) bool { return x >= 0 && x <= maxQuantity }

// isFraction reports whether x is a number from 0 to 1. It is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }
