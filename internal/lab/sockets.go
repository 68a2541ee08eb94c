package lab

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/placement"
	"tealtiller/policy"
)

// Sockets plays an experiment on loopback sockets, against real balancer processes: it takes the place of the desk
// hosts, of discovery, of the front and of the clients. One lock guards all that it knows; it only watches.
type Sockets struct {
	exp     *Experiment
	plan    *cells.Plan // that the auditor holds the balancers to; nil without cells
	binary  string
	folder  string
	began   time.Time
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   map[string]*standIn
	specs   []Spec
	cellOf  map[string]string
	nodes   []*node
	audit   *audit
	stop    context.CancelFunc
	ctx     context.Context
	clients sync.WaitGroup
	reach   bool // discovery answers
	rev     int64
	changes []change
	news    chan struct{} // closed at each change
	weight  map[string]float64
	live    map[*client]bool
	// what the balancers recorded, where the experiment has them do so
	fleet    *placement.Fleet
	fleetErr error
	// a room that is dark, since when, and the last new attempt that each balancer sent into it
	darkRoom string
	darkAt   time.Time
	lastDark map[*node]time.Duration
}

// NewSockets makes a world; without cells the balancers get no operator's file.
func NewSockets(exp *Experiment, seed uint64, withCells bool, binary, folder string) (*Sockets, error) {
	s := newSockets(exp, seed, binary, folder)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	list, err := s.startHosts()
	if err != nil {
		return nil, err
	}
	if err := s.writeFiles(); err != nil {
		return nil, err
	}
	if exp.Plan != nil {
		s.cellOf = exp.Plan.AssignHosts(list)
		if withCells {
			s.plan = exp.Plan
		}
	}
	if err := s.startBalancers(); err != nil {
		return nil, err
	}
	return s, nil
}

func newSockets(exp *Experiment, seed uint64, binary, folder string) *Sockets {
	s := &Sockets{
		exp: exp, binary: binary, folder: folder, rng: rand.New(rand.NewPCG(seed, 7)), began: time.Now(),
		hosts: map[string]*standIn{}, specs: exp.Fleet(seed),
		reach: true, rev: 1, news: make(chan struct{}),
		weight: map[string]float64{}, live: map[*client]bool{},
		audit: newAudit(),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// startHosts starts the desk hosts, and lists them.
func (s *Sockets) startHosts() (list []policy.Server, err error) {
	for _, spec := range s.specs {
		age := time.Duration(370+s.rng.IntN(930)) * time.Millisecond
		h := &standIn{lab: s, Machine: NewMachine(spec, age), held: map[string]*desk{}, conns: map[net.Conn]bool{}}
		h.state = policy.Ready
		s.hosts[spec.ID] = h
		if err := h.listen(); err != nil {
			return nil, err
		}
		list = append(list, policy.Server{ID: spec.ID, Zone: spec.Room, Kind: spec.Kind, Cell: spec.Number})
	}
	return list, nil
}

func (s *Sockets) now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// sleep waits; false if the experiment has ended meanwhile.
func (s *Sockets) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// sleepUntil waits until a moment; false if the experiment has ended meanwhile.
func (s *Sockets) sleepUntil(moment time.Time) bool { return s.sleep(time.Until(moment)) }

// Close ends the balancers and the stand-ins.
func (s *Sockets) Close() {
	s.stop()
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	s.clients.Wait()
	for _, h := range s.hosts {
		h.end()
	}
}
