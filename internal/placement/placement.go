// Package placement plans where flights should be placed, from the capacities of the hosts, the rooms in which clients
// arrive, and the costs of crossing rooms, of spreading a flight over several hosts and of moving it. It owns the model
// of fleet and demand (Fleet), the objective (Value), the solver with its upper bound (Solve), the flow between rooms
// that weights follow from (RoomFlow), the plan that balancers read (Plan) and the estimate of capacities from a
// running fleet (CapacityEstimator).
//
// The same input and the same number of steps give the same solution on any machine. A solution states its value, the
// method by which it was found, and an upper bound on the value of any placement. A solution that is called feasible
// serves all demand within the usable capacity of every host. The package is pure: no input or output, no clock, no
// goroutines. A caller that wants to stop the search early passes a function that is asked.
package placement

// Fleet is the input of a plan. Loads are in units of the load of a mean connection, worth is per second.
type Fleet struct {
	Hosts   []Host   `json:"hosts"`
	Flights []Flight `json:"flights"`
	Prices  Prices   `json:"prices"`
}

// Host is an endpoint, or a cell of endpoints in which flights are placed as if it were one host.
type Host struct {
	ID             string  `json:"id"`
	Room           string  `json:"room"`
	Kind           string  `json:"kind,omitempty"`
	Capacity       float64 `json:"capacity"`         // in loads, when warm
	CapacityError  float64 `json:"error,omitempty"`  // standard error of Capacity, as a share of it
	WarmShare      float64 `json:"warm,omitempty"`   // share of Capacity available over the plan's time; 0 means all
	HostsPerFlight float64 `json:"spread,omitempty"` // for a cell: number of hosts over which a flight in it is spread; 0 means one
}

// Flight is a group of connections that causes extra load on each host that holds some of them.
type Flight struct {
	ID          uint64 `json:"id"` // the key that clients send
	Carrier     string `json:"carrier,omitempty"`
	Parts       []Part `json:"parts"`
	CurrentHost string `json:"was,omitempty"` // the host or cell on which the plan in force places it
}

// Part is the demand of a flight that arrives in one room.
type Part struct {
	Room  string  `json:"room"`
	Load  float64 `json:"load"`
	Worth float64 `json:"worth"` // per second, of all its connections together
}

// Prices are the costs in the objective. Shares are of the worth of the connections concerned.
type Prices struct {
	Crossing        float64 `json:"crossing"` // share of worth, for connections served in another room than the one they arrive in
	PerHostOverhead float64 `json:"piece"`    // in loads, on each host that holds a part of a flight
	Waste           float64 `json:"waste"`    // share of the mean worth of a load, for each load of overhead beyond a flight's first host
	Move            float64 `json:"move"`     // share of worth, for what does not stay where the plan in force places it
	MaxUtilisation  float64 `json:"fill"`     // share of its capacity up to which a host answers messages within their latency targets
	CautionErrors   float64 `json:"caution"`  // number of standard errors by which capacities are reduced
}

// DefaultPrices returns the operators' prices: 10 points if each request crosses rooms once, 23 if as much work is
// wasted as is asked for, 3.1 if each client is moved once, and 3 loads on each host with a part of a flight. A message
// takes 4 to 8 ms at an idle host, and that time divided by the free share of the host under load, so the target of 50
// ms holds up to a utilisation of about nine tenths.
func DefaultPrices() Prices {
	return Prices{Crossing: 0.10, PerHostOverhead: 3, Waste: 0.23, Move: 0.031, MaxUtilisation: 0.9, CautionErrors: 1}
}

// minCapacityShare is the least share of a capacity that is relied on, however uncertain the capacity is.
const minCapacityShare = 0.1

// UsableCapacity returns the number of loads that a host serves within the latency targets.
func (h *Host) UsableCapacity(p *Prices) float64 {
	return h.expectedCapacity() * p.MaxUtilisation * max(1-p.CautionErrors*h.CapacityError, minCapacityShare)
}

// expectedCapacity is the capacity of a host over the plan's time, which is less than Capacity for a host that is cold
// at first.
func (h *Host) expectedCapacity() float64 {
	if h.WarmShare == 0 {
		return h.Capacity
	}
	return h.Capacity * h.WarmShare
}

func (h *Host) hostsPerFlight() float64 { return max(h.HostsPerFlight, 1) }
