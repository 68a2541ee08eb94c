package operator

// fileBody is the top level of an operator's file.
type fileBody struct {
	Cells     *cellsBlock     `hcl:"cells,block"`
	Placement *placementBlock `hcl:"placement,block"`
	Failover  *failoverBlock  `hcl:"failover,block"`
}

// failoverBlock turns zone shares on; every attribute is optional and has a default (docs/failover.md).
type failoverBlock struct {
	WarmUp             string   `hcl:"warm,optional"`
	ColdCapacity       *float64 `hcl:"cold_from,optional"`
	DecayTime          string   `hcl:"span,optional"`
	MinOutcomes        *float64 `hcl:"least,optional"`
	ShunThreshold      *float64 `hcl:"enter,optional"`
	RecoverThreshold   *float64 `hcl:"leave,optional"`
	MaxChangePerSecond *float64 `hcl:"swing,optional"`
}

type placementBlock struct {
	Plan            string `hcl:"plan,optional"`
	Record          string `hcl:"record,optional"`
	RecordEvery     string `hcl:"record_every,optional"`
	RecordLargestMB *int   `hcl:"record_largest_mb,optional"`
}

type cellsBlock struct {
	Default string      `hcl:"default"`
	Slack   *float64    `hcl:"slack,optional"`
	Keep    *string     `hcl:"keep,optional"`
	Cells   []cellBlock `hcl:"cell,block"`
	Moves   []moveBlock `hcl:"move,block"`
}

type cellBlock struct {
	Name           string   `hcl:"name,label"`
	Carriers       []string `hcl:"carriers,optional"`
	Flights        []string `hcl:"flights,optional"`
	Numbers        []int    `hcl:"numbers,optional"`
	Rooms          []string `hcl:"rooms,optional"`
	Kinds          []string `hcl:"kinds,optional"`
	IDs            []string `hcl:"ids,optional"`
	Share          float64  `hcl:"share,optional"`
	Connections    *int     `hcl:"connections,optional"`
	OpensPerSecond *float64 `hcl:"opens_per_second,optional"`
	OverflowTo     string   `hcl:"overflow_to,optional"`
	Guests         int      `hcl:"guests,optional"`
}

type moveBlock struct {
	Carrier string   `hcl:"carrier,label"`
	From    string   `hcl:"from"`
	To      string   `hcl:"to"`
	Start   string   `hcl:"start"`
	Span    string   `hcl:"span"`
	Pace    *float64 `hcl:"pace,optional"`
	Back    string   `hcl:"back,optional"`
}
