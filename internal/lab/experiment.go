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

// Experiment is a file under lab/: a fleet, its traffic and what goes wrong.
type Experiment struct {
	Duration  string  `hcl:"duration"`
	Balancers int     `hcl:"balancers"`
	Operator  string  `hcl:"operator,optional"` // the operator's file, beside this one; without one all is one cell
	Hosts     int     `hcl:"hosts"`
	PerCore   float64 `hcl:"per_core,optional"` // loads that fill one core of speed 1
	Opens     float64 `hcl:"opens"`             // new clients a second, all carriers together
	Life      string  `hcl:"life"`              // mean
	Flights   int     `hcl:"flights,optional"`  // of each carrier at a time
	Settle    string  `hcl:"settle,optional"`   // from when on times are counted
	Pause     string  `hcl:"pause,optional"`    // from one line of a client to the next
	Carriers  int     `hcl:"carriers,optional"` // so many of equal shares, in place of the eight
	Cells     int     `hcl:"cells,optional"`    // so many of equal shares, carriers dealt out, where no file is named
	Skew      float64 `hcl:"skew,optional"`     // share of the flights whose clients arrive in the first room; 0: clients know no rooms
	Weights   string  `hcl:"weights,optional"`  // what discovery tells of sizes: "told" (the hosts' speeds, as without) or "equal"
	Faults    []Fault `hcl:"fault,block"`

	Placed *placement.Plan // that balancers are told of
	Record bool            // balancers record what they see

	Plan *cells.Plan
	Dir  string
}

// Fault is one thing that goes wrong. Kinds: crash (part of the hosts, of one cell where named; back cold), errors
// (the same, failing a share of openings), hot-key (further traffic, a share of all, under one key of a carrier, each weighing size times as much),
// heavy (a carrier's connections weigh size times as much), deploy (hosts drain, end and are replaced), discovery
// (out of reach), drop (a share of a carrier's clients, or of all, drop and come again), drain (part of the hosts drain and leave; with a size they are replaced),
// restart (one balancer, by SIGTERM and SIGKILL), dark (the hosts of a room vanish for a span: connections stay open and
// nothing is answered, as TCP says nothing of a machine gone; discovery still lists them; they are back cold), freeze
// (part of the balancers stopped by SIGSTOP for a span, then go on with stale beliefs), one-way (as dark, but the hosts
// take what comes and set it up; only their answers are lost).
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

// even is a plan of so many equal cells.
func (e *Experiment) even() *cells.Plan {
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

// Carrier is one of those whose clients come, with its share of the traffic.
type Carrier struct {
	Name  string
	Share float64
}

// Carriers are those of the operators' page.
var Carriers = []Carrier{{"dyfed-air", 0.21}, {"severn-link", 0.20}, {"menai-wings", 0.15}, {"gower-air", 0.12}, {"teifi-flyer", 0.09},
	{"brecon-air", 0.08}, {"conwy-hop", 0.08}, {"ynys-air", 0.07}}

var kinds = map[string]bool{"crash": true, "errors": true, "hot-key": true, "heavy": true, "deploy": true, "discovery": true,
	"drop": true, "drain": true, "restart": true, "dark": true, "freeze": true, "one-way": true}

// Load reads an experiment and the operator's file that it names.
func Load(path string) (*Experiment, error) {
	e := &Experiment{PerCore: 12, Flights: 6, Settle: "5s", Pause: "2s", Dir: filepath.Dir(path)}
	if err := hclsimple.DecodeFile(path, nil, e); err != nil {
		return nil, err
	}
	if e.Cells > 0 {
		e.Plan = e.even()
	}
	if e.Operator != "" {
		_, plan, err := e.operatorFile()
		if err != nil {
			return nil, err
		}
		e.Plan = plan
	}
	return e, e.check()
}

var moment = regexp.MustCompile(`NOW\+[0-9a-z.]+`)

// operatorFile is the operator's file of an experiment; NOW+30s in it stands for the moment 30 s from now.
func (e *Experiment) operatorFile() ([]byte, *cells.Plan, error) {
	path, now := filepath.Join(e.Dir, e.Operator), time.Now()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	text = moment.ReplaceAllFunc(text, func(m []byte) []byte {
		return []byte(now.Add(span(string(m[len("NOW+"):]))).UTC().Format(time.RFC3339Nano))
	})
	file, err := operator.Parse(text, path)
	if err != nil {
		return nil, nil, err
	}
	return text, file.Cells, nil
}

func (e *Experiment) check() error {
	spans := []string{e.Duration, e.Life, e.Settle, e.Pause}
	for _, f := range e.Faults {
		if !kinds[f.Kind] {
			return fmt.Errorf("fault %q: no such kind", f.Kind)
		}
		if spans = append(spans, f.At); f.For != "" {
			spans = append(spans, f.For)
		}
	}
	for _, s := range spans {
		if d, err := time.ParseDuration(s); err != nil || d < 0 {
			return fmt.Errorf("%q is no span of time", s)
		}
	}
	if !(e.Skew >= 0 && e.Skew <= 1) || e.Weights != "" && e.Weights != "told" && e.Weights != "equal" {
		return errors.New("want a skew from 0 to 1, and weights told or equal")
	}
	if e.Hosts < 1 || e.Balancers < 1 || !(e.Opens > 0) || e.Flights < 1 {
		return errors.New("want hosts, balancers, opens and flights above 0")
	}
	return nil
}

// InVirtualTime tells what speaks against playing it there: balancers and discovery have no process to end.
func (e *Experiment) InVirtualTime() error {
	for _, f := range e.Faults {
		if f.Kind == "restart" || f.Kind == "discovery" || f.Kind == "dark" || f.Kind == "freeze" || f.Kind == "one-way" {
			return fmt.Errorf("fault %q is played on sockets only", f.Kind)
		}
	}
	return nil
}

// span reads a span that check has seen.
func span(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// Fleet makes the desk hosts: two rooms, two kinds of unlike speed.
func (e *Experiment) Fleet(seed uint64) []Spec {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]Spec, e.Hosts)
	for i := range out {
		kind, speed := "full-speed", 0.85+0.25*rng.Float64()
		if i/2%2 == 1 {
			kind, speed = "slow-clock", 0.51+0.18*rng.Float64()
		}
		out[i] = Spec{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Room: bothRooms[i%2], Kind: kind,
			Number: i / 4, Cores: 3, Speed: speed, PerCore: e.PerCore, Most: 1800}
	}
	return out
}

// arrival is one client: when it comes, and what it is. All is drawn ahead, by a stream of chance of each carrier's
// own, so that what befalls one carrier changes nothing of what another asks for.
type arrival struct {
	at      time.Duration
	carrier string
	class   string
	key     uint64
	group   uint64
	load    float64
	life    time.Duration
	extra   bool    // of a hot key
	home    float64 // under the skew: the flight's own room is the first
}

var bothRooms = []string{"treforest", "llandaff"}

// mostlyHome is the share of a flight's clients that arrive in its own room.
const mostlyHome = 0.85

// room is where a client arrives: it follows from the flight and the client alone, so that no stream of chance is
// drawn from for it. Empty where clients know no rooms.
func (e *Experiment) room(a *arrival) string {
	if e.Skew == 0 {
		return ""
	}
	home := 1
	if a.home < e.Skew {
		home = 0
	}
	if cells.CrossingPosition(a.key^a.group) >= mostlyHome {
		home = 1 - home
	}
	return bothRooms[home]
}

// balancerRoom is where a balancer stands.
func (e *Experiment) balancerRoom(i int) string {
	if e.Skew == 0 {
		return bothRooms[0]
	}
	return bothRooms[i%2]
}

// size is what discovery tells of a host's size.
func (e *Experiment) size(s Spec) float64 {
	if e.Weights == "equal" {
		return 1
	}
	return s.Speed
}

// arrivals draws the clients of one carrier in order of time.
func (e *Experiment) arrivals(seed uint64, index int) (out []arrival) {
	c := e.carriers()[index]
	rng := rand.New(rand.NewPCG(seed, 100+uint64(index)))
	flights := make([]uint64, e.Flights)
	for i := range flights {
		flights[i] = rng.Uint64()
	}
	end, life := span(e.Duration), span(e.Life)
	draw := func(at time.Duration) arrival {
		key, flight := rng.Uint64(), rng.IntN(len(flights))
		_, home := math.Modf((float64(index*len(flights)+flight) + 0.5) * 0.6180339887) // spread evenly, whatever the seed
		a := arrival{at: at, carrier: c.Name, class: "lookup", key: key, group: flights[flight], home: home,
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
	hot := rand.New(rand.NewPCG(seed, 200+uint64(index)))
	for _, f := range e.Faults {
		if f.Kind != "hot-key" || f.Carrier != c.Name {
			continue
		}
		rng = hot
		key := rng.Uint64()
		for at := span(f.At); ; {
			at += time.Duration(rng.ExpFloat64() / (e.Opens * f.Part) * float64(time.Second))
			if at >= min(span(f.At)+span(f.For), end) {
				break
			}
			a := draw(at)
			a.group, a.extra, a.load = key, true, a.load*max(f.Size, 1)
			out = append(out, a)
		}
	}
	return out
}

// hit picks the hosts that a fault is for: a part, rounded up, of those of its cell, or of all.
func (f *Fault) hit(rng *rand.Rand, specs []Spec, cellOf map[string]string) (out []Spec) {
	for _, s := range specs {
		if (f.Cell == "" || cellOf[s.ID] == f.Cell) && (f.Room == "" || s.Room == f.Room) {
			out = append(out, s)
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(math.Ceil(f.Part*float64(len(out))-1e-9))]
}
