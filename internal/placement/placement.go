// Package placement works out ahead where flights should be placed, from what endpoints can do, the rooms in which clients
// arrive, and what it costs to cross rooms, to spread a flight and to move it. It owns the model of fleet and demand
// (Fleet), the objective (Value), the solver with its bound (Solve), the weights that follow (Shares), the plan that
// balancers read (Plan) and what is learned of capacity from a running fleet (Estimator).
//
// It promises: the same input and the same number of steps give the same answer on any machine; an answer tells what
// it is worth, by which method it was found, and a bound that no placement can be over; what it calls feasible serves
// all demand within what every host is said to serve. It is pure: no input or output, no clock, no goroutine; who
// wants to stop it early passes a question in.
package placement

// Fleet is what a plan is made for. Loads are counted in mean connection loads, worth in worth a second.
type Fleet struct {
	Hosts   []Host   `json:"hosts"`
	Flights []Flight `json:"flights"`
	Prices  Prices   `json:"prices"`
}

// Host is an endpoint, or a cell of them that flights are placed in as one.
type Host struct {
	ID             string  `json:"id"`
	Room           string  `json:"room"`
	Kind           string  `json:"kind,omitempty"`
	Capacity       float64 `json:"capacity"`         // loads that it can do when warm
	CapacityError  float64 `json:"error,omitempty"`  // by how much Capacity may be off, as a share of it (one standard error)
	WarmShare      float64 `json:"warm,omitempty"`   // share of Capacity that it has over the plan's time; 0 means all
	HostsPerFlight float64 `json:"spread,omitempty"` // for a cell: on how many hosts a flight in it is placed; 0 means one
}

// Flight is connections that cost extra on each host that holds a part of them.
type Flight struct {
	ID          uint64 `json:"id"` // the key that clients tell
	Carrier     string `json:"carrier,omitempty"`
	Parts       []Part `json:"parts"`
	CurrentHost string `json:"was,omitempty"` // the host or cell that the plan in force has it on
}

// Part is what of a flight arrives in one room.
type Part struct {
	Room  string  `json:"room"`
	Load  float64 `json:"load"`
	Worth float64 `json:"worth"` // a second, all its connections together
}

// Prices are what things cost. Shares are of the worth of what they happen to.
type Prices struct {
	Crossing        float64 `json:"crossing"` // share of worth, for connections served in another room than they arrive in
	PerHostOverhead float64 `json:"piece"`    // loads that each host holding a part of a flight pays
	Waste           float64 `json:"waste"`    // share of the mean worth of a load, for each load of Piece paid beyond a flight's first host
	Move            float64 `json:"move"`     // share of worth, for what does not stay where the plan in force has it
	MaxUtilisation  float64 `json:"fill"`     // share of what a host can do at which messages still come within the aims
	CautionErrors   float64 `json:"caution"`  // standard errors by which capacities are taken lower
}

// DefaultPrices are the operators' prices: 10 points for each request crossing once, 23 for as much work wasted as asked for,
// 3.1 for each client moved once, 3 loads for each host with a part of a flight. A message at an idle host takes 4 to
// 8 ms and over what is left of it when loaded, so 50 ms is kept to about nine tenths.
func DefaultPrices() Prices {
	return Prices{Crossing: 0.10, PerHostOverhead: 3, Waste: 0.23, Move: 0.031, MaxUtilisation: 0.9, CautionErrors: 1}
}

// leastTrust is the least share of a capacity that is counted on, however uncertain it is.
const leastTrust = 0.1

// UsableCapacity is how many loads a host serves within the aims.
func (h *Host) UsableCapacity(p *Prices) float64 {
	return h.present() * p.MaxUtilisation * max(1-p.CautionErrors*h.CapacityError, leastTrust)
}

// present is the capacity that a host has over the plan's time.
func (h *Host) present() float64 {
	if h.WarmShare == 0 {
		return h.Capacity
	}
	return h.Capacity * h.WarmShare
}

func (h *Host) spread() float64 { return max(h.HostsPerFlight, 1) }
