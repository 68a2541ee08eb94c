package lab

import (
	"fmt"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/placement"
)

// Experiment is a file under lab/: a fleet, its traffic and its faults.
type Experiment struct {
	Duration  string  `hcl:"duration"`
	Balancers int     `hcl:"balancers"`
	Operator  string  `hcl:"operator,optional"` // the operator's file, in the same folder; without it and cells, all hosts are one cell
	Hosts     int     `hcl:"hosts"`
	PerCore   float64 `hcl:"per_core,optional"` // load that fills one core of speed 1
	Opens     float64 `hcl:"opens"`             // new clients per second, of all carriers together
	Life      string  `hcl:"life"`              // mean lifetime of a connection
	Flights   int     `hcl:"flights,optional"`  // number of flights of each carrier
	Settle    string  `hcl:"settle,optional"`   // settling time, during which no durations are recorded
	Pause     string  `hcl:"pause,optional"`    // time from one line of a client to the next
	Carriers  int     `hcl:"carriers,optional"` // number of carriers of equal shares; 0 for those of the operators' documentation
	Cells     int     `hcl:"cells,optional"`    // number of cells of equal shares, if no operator's file is named
	Skew      float64 `hcl:"skew,optional"`     // share of the flights whose home is the first room; at 0, clients have no rooms
	Weights   string  `hcl:"weights,optional"`  // sizes that discovery lists: "told" (the hosts' speeds, the default) or "equal"
	Faults    []Fault `hcl:"fault,block"`

	PlacementPlan *placement.Plan // plan that the balancers are given; nil for none
	Record        bool            // whether balancers record their load for placement

	CellPlan *cells.Plan
	Dir      string
}

// Fault is one fault of an experiment. Its kinds are:
//
//   - crash: a share of the hosts (of one cell, where named) crash and restart cold.
//   - errors: a share of the hosts (of one cell, where named) fail a share of the openings, given by size.
//   - hot-key: additional traffic, given as a share of all traffic, under one key of a carrier; each connection has
//     size times the load.
//   - heavy: new connections of a carrier have size times the load.
//   - deploy: hosts drain, stop and are replaced.
//   - discovery: discovery is unreachable.
//   - drop: a share of the clients of a carrier, or of all clients, drop their connections and reconnect.
//   - drain: a share of the hosts drain and leave; if a size is given, they are replaced.
//   - restart: one balancer is restarted, by SIGTERM and SIGKILL.
//   - dark: the hosts of a room become unresponsive for a time. Connections stay open and nothing is answered, as TCP
//     does not report a machine that has vanished; discovery still lists the hosts. They come back cold.
//   - freeze: a share of the balancers are stopped by SIGSTOP for a time, then continue with outdated state.
//   - one-way: as dark, but the hosts receive and process what is sent to them; only their answers are lost.
type Fault struct {
	Kind    string  `hcl:"kind,label"`
	At      string  `hcl:"at"`
	For     string  `hcl:"for,optional"`
	Part    float64 `hcl:"part,optional"`
	Size    float64 `hcl:"size,optional"`
	Cell    string  `hcl:"cell,optional"`
	Carrier string  `hcl:"carrier,optional"`
	Room    string  `hcl:"room,optional"`
}

// equalCells is a plan with cells of equal shares, to which the carriers are assigned in turn.
func (e *Experiment) equalCells() *cells.Plan {
	p := &cells.Plan{Default: "cell-00", Slack: 0.1, AbsentRetention: time.Minute}
	for i := range e.Cells {
		p.Cells = append(p.Cells, cells.Cell{Name: fmt.Sprintf("cell-%02d", i), Share: 1 / float64(e.Cells)})
	}
	for i, c := range e.carriers() {
		cell := &p.Cells[i%e.Cells]
		cell.Carriers = append(cell.Carriers, c.Name)
	}
	return p
}

func (e *Experiment) carriers() []Carrier {
	if e.Carriers == 0 {
		return Carriers
	}
	out := make([]Carrier, e.Carriers)
	for i := range out {
		out[i] = Carrier{fmt.Sprintf("air-%02d", i), 1 / float64(e.Carriers)}
	}
	return out
}

// Carrier is an airline, with its share of the traffic.
type Carrier struct {
	Name  string
	Share float64
}

// Carriers are the carriers that the operators' documentation lists.
var Carriers = []Carrier{{"dyfed-air", 0.21}, {"severn-link", 0.20}, {"menai-wings", 0.15}, {"gower-air", 0.12}, {"teifi-flyer", 0.09},
	{"brecon-air", 0.08}, {"conwy-hop", 0.08}, {"ynys-air", 0.07}}
