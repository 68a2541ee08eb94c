package lab

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"tealtiller/internal/cells"
	"tealtiller/internal/operator"
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

var faultKinds = map[string]bool{"crash": true, "errors": true, "hot-key": true, "heavy": true, "deploy": true, "discovery": true,
	"drop": true, "drain": true, "restart": true, "dark": true, "freeze": true, "one-way": true}

// Load reads an experiment and the operator's file that it names.
func Load(path string) (*Experiment, error) {
	e := &Experiment{PerCore: 12, Flights: 6, Settle: "5s", Pause: "2s", Dir: filepath.Dir(path)}
	if err := hclsimple.DecodeFile(path, nil, e); err != nil {
		return nil, err
	}
	if e.Cells > 0 {
		e.CellPlan = e.equalCells()
	}
	if e.Operator != "" {
		_, plan, err := e.readOperatorFile()
		if err != nil {
			return nil, err
		}
		e.CellPlan = plan
	}
	return e, e.validate()
}

var relativeTime = regexp.MustCompile(`NOW\+[0-9a-z.]+`)

// readOperatorFile reads the operator's file of an experiment; NOW+30s in it is replaced by the time 30 s from now.
func (e *Experiment) readOperatorFile() ([]byte, *cells.Plan, error) {
	path, now := filepath.Join(e.Dir, e.Operator), time.Now()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	text = relativeTime.ReplaceAllFunc(text, func(m []byte) []byte {
		return []byte(now.Add(parsedDuration(string(m[len("NOW+"):]))).UTC().Format(time.RFC3339Nano))
	})
	file, err := operator.Parse(text, path)
	if err != nil {
		return nil, nil, err
	}
	return text, file.Cells, nil
}

func (e *Experiment) validate() error {
	durations := []string{e.Duration, e.Life, e.Settle, e.Pause}
	for _, f := range e.Faults {
		if !faultKinds[f.Kind] {
			return fmt.Errorf("fault %q: unknown kind", f.Kind)
		}
		if durations = append(durations, f.At); f.For != "" {
			durations = append(durations, f.For)
		}
	}
	for _, text := range durations {
		if d, err := time.ParseDuration(text); err != nil || d < 0 {
			return fmt.Errorf("%q: not a non-negative duration", text)
		}
	}
	if !(e.Skew >= 0 && e.Skew <= 1) || e.Weights != "" && e.Weights != "told" && e.Weights != "equal" {
		return errors.New("skew must be from 0 to 1, and weights \"told\" or \"equal\"")
	}
	if e.Hosts < 1 || e.Balancers < 1 || !(e.Opens > 0) || e.Flights < 1 {
		return errors.New("hosts, balancers, opens and flights must be above 0")
	}
	return nil
}

// CheckVirtual returns an error if the experiment cannot be played in virtual time, which has no processes to stop and
// no discovery to take down.
func (e *Experiment) CheckVirtual() error {
	for _, f := range e.Faults {
		if f.Kind == "restart" || f.Kind == "discovery" || f.Kind == "dark" || f.Kind == "freeze" || f.Kind == "one-way" {
			return fmt.Errorf("fault %q can be played on sockets only", f.Kind)
		}
	}
	return nil
}

// parsedDuration parses a duration that validate has checked.
func parsedDuration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// Fleet draws the desk hosts: in two rooms, of two kinds with different speeds.
func (e *Experiment) Fleet(seed uint64) []Spec {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]Spec, e.Hosts)
	for i := range out {
		kind, speed := "full-speed", 0.85+0.25*rng.Float64()
		if i/2%2 == 1 {
			kind, speed = "slow-clock", 0.51+0.18*rng.Float64()
		}
		out[i] = Spec{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Room: roomNames[i%2], Kind: kind,
			CellNumber: i / 4, Cores: 3, Speed: speed, PerCore: e.PerCore, MaxConnections: 1800}
	}
	return out
}

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

var roomNames = []string{"treforest", "llandaff"}

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

// balancerRoom is the room of a balancer.
func (e *Experiment) balancerRoom(i int) string {
	if e.Skew == 0 {
		return roomNames[0]
	}
	return roomNames[i%2]
}

// listedSize is the size that discovery lists for a host.
func (e *Experiment) listedSize(s Spec) float64 {
	if e.Weights == "equal" {
		return 1
	}
	return s.Speed
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

// affectedHosts picks the hosts that a fault affects: a share, rounded up, of the hosts of its cell and room, or of all
// hosts.
func (f *Fault) affectedHosts(rng *rand.Rand, specs []Spec, cellOf map[string]string) (out []Spec) {
	for _, s := range specs {
		if (f.Cell == "" || cellOf[s.ID] == f.Cell) && (f.Room == "" || s.Room == f.Room) {
			out = append(out, s)
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(math.Ceil(f.Part*float64(len(out))-1e-9))]
}
