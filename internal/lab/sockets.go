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

// SocketLab plays an experiment on loopback sockets against real balancer processes: it takes the place of the desk
// hosts, of discovery, of the front and of the clients. One lock guards its state, including the auditor's; the auditor
// only observes.
type SocketLab struct {
	exp         *Experiment
	plan        *cells.Plan // plan that the auditor checks the balancers against; nil without cells
	binary      string
	folder      string
	began       time.Time
	mu          sync.Mutex
	rng         *rand.Rand
	hosts       map[string]*simulatedHost
	specs       []Spec
	cellOf      map[string]string
	balancers   []*balancerProcess
	auditor     *auditor
	stop        context.CancelFunc
	ctx         context.Context
	tasks       sync.WaitGroup
	discoveryUp bool // whether discovery is reachable
	revision    int64
	changes     []change
	listChanged chan struct{} // closed and replaced at each change of the list or of discoveryUp
	loadFactors map[string]float64
	liveClients map[*client]bool
	// fleet from the balancers' records, if the experiment has them record
	recordedFleet    *placement.Fleet
	recordedFleetErr error
	// the room that is dark, since when, and when each balancer last sent a new attempt into it
	darkRoom        string
	darkAt          time.Time
	lastDarkAttempt map[*balancerProcess]time.Duration
}

// NewSocketLab starts the hosts, discovery and the balancers of an experiment. Without cells, the balancers get no
// operator's file, unless a placement plan or records need one, and the auditor does not hold them to a plan.
func NewSocketLab(exp *Experiment, seed uint64, withCells bool, binary, folder string) (*SocketLab, error) {
	s := newSocketLab(exp, seed, binary, folder)
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
	if exp.CellPlan != nil {
		s.cellOf = exp.CellPlan.AssignHosts(list)
		if withCells {
			s.plan = exp.CellPlan
		}
	}
	if err := s.startBalancers(); err != nil {
		return nil, err
	}
	return s, nil
}

func newSocketLab(exp *Experiment, seed uint64, binary, folder string) *SocketLab {
	s := &SocketLab{
		exp: exp, binary: binary, folder: folder, rng: rand.New(rand.NewPCG(seed, 7)), began: time.Now(),
		hosts: map[string]*simulatedHost{}, specs: exp.Fleet(seed),
		discoveryUp: true, revision: 1, listChanged: make(chan struct{}),
		loadFactors: map[string]float64{}, liveClients: map[*client]bool{},
		auditor: newAuditor(),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// startHosts starts the simulated desk hosts and lists them.
func (s *SocketLab) startHosts() (list []policy.Server, err error) {
	for _, spec := range s.specs {
		age := time.Duration(370+s.rng.IntN(930)) * time.Millisecond
		h := &simulatedHost{lab: s, Machine: NewMachine(spec, age), held: map[string]*heldConnection{}, conns: map[net.Conn]bool{}}
		h.state = policy.Ready
		s.hosts[spec.ID] = h
		if err := h.listen(); err != nil {
			return nil, err
		}
		list = append(list, policy.Server{ID: spec.ID, Zone: spec.Room, Kind: spec.Kind, Cell: spec.CellNumber})
	}
	return list, nil
}

func (s *SocketLab) now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// sleep waits; it returns false if the experiment ends in the meantime.
func (s *SocketLab) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// sleepUntil waits until a moment; it returns false if the experiment ends in the meantime.
func (s *SocketLab) sleepUntil(moment time.Time) bool { return s.sleep(time.Until(moment)) }

// Close stops the balancers and the simulated hosts.
func (s *SocketLab) Close() {
	s.stop()
	for _, n := range s.balancers {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	s.tasks.Wait()
	for _, h := range s.hosts {
		h.shutDown()
	}
}
