package placement

import "time"

// Plan is what balancers read: weights of the endpoints for the balancers of each room, and the cells of carriers and
// flights. Two balancers of a room that hold the same file and the same list weigh alike.
type Plan struct {
	Version    int       `json:"version"`
	Created    time.Time `json:"born"`
	InputsHash string    `json:"inputs"` // hash of the fleet that it was made from
	Method     Method    `json:"method"`
	Value      float64   `json:"value"`
	Bound      float64   `json:"bound"`
	// In full force for Holds after its birth; then back to what discovery tells in steps, over Fades.
	Holds Span `json:"holds"`
	Fades Span `json:"fades"`
	// Weights by the room of the balancer and the id of the host.
	RoomWeights map[string]map[string]float64 `json:"rooms"`
	Hosts       []PlanHost                    `json:"hosts"`
	Demand      map[string]float64            `json:"demand"`             // loads that arrive in each room
	Carriers    map[string]string             `json:"carriers,omitempty"` // the cell of each
	Flights     map[string]string             `json:"flights,omitempty"`  // the cell of flights, by their keys in hexadecimal
	ShedDemand  []CarrierShed                 `json:"shed,omitempty"`     // what the fleet cannot serve, the least worth first

	cells map[uint64]string // Flights by key
}

// PlanHost is what a plan takes a host for.
type PlanHost struct {
	ID     string  `json:"id"`
	Room   string  `json:"room"`
	Kind   string  `json:"kind,omitempty"`
	Serves float64 `json:"serves"` // loads within the aims
}

// CarrierShed is demand of a carrier that a plan has no place for.
type CarrierShed struct {
	Carrier string  `json:"carrier"`
	Load    float64 `json:"load"`
	Worth   float64 `json:"worth"`
}

// Span is a length of time, told as 30m or 2h.
type Span time.Duration

// MarshalText writes a span.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// PlanVersion is the one form that is written and read.
const PlanVersion = 1
