package placement

import "time"

// Plan is what balancers read: weights of the hosts for the balancers of each room, and the cells of carriers and
// flights. Two balancers of a room with the same plan and the same host list compute the same weights.
type Plan struct {
	Version    int       `json:"version"`
	Created    time.Time `json:"born"`
	InputsHash string    `json:"inputs"` // hash of the fleet from which it was made
	Method     Method    `json:"method"`
	Value      float64   `json:"value"`
	Bound      float64   `json:"bound"`
	// The plan is in full force for HoldTime after its creation. Then it gives way to the weights from discovery in
	// steps, over FadeTime.
	HoldTime Duration `json:"holds"`
	FadeTime Duration `json:"fades"`
	// RoomWeights are the weights by room of the balancer and id of the host.
	RoomWeights map[string]map[string]float64 `json:"rooms"`
	Hosts       []PlanHost                    `json:"hosts"`
	Demand      map[string]float64            `json:"demand"`             // load that arrives in each room
	Carriers    map[string]string             `json:"carriers,omitempty"` // cell of each carrier
	Flights     map[string]string             `json:"flights,omitempty"`  // cell of each flight, by its key in hexadecimal
	ShedDemand  []CarrierShed                 `json:"shed,omitempty"`     // what the fleet cannot serve, the least worth per load first

	cellByKey map[uint64]string // Flights by parsed key
}

// PlanHost is a host as a plan describes it.
type PlanHost struct {
	ID             string  `json:"id"`
	Room           string  `json:"room"`
	Kind           string  `json:"kind,omitempty"`
	UsableCapacity float64 `json:"serves"` // in loads, within the latency targets
}

// CarrierShed is the demand of a carrier that a plan does not place.
type CarrierShed struct {
	Carrier string  `json:"carrier"`
	Load    float64 `json:"load"`
	Worth   float64 `json:"worth"`
}

// Duration is a time.Duration that is written as text, such as 30m or 2h.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// PlanVersion is the only version of the plan format that is written and read.
const PlanVersion = 1
