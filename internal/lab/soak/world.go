package soak

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// start is the reading of the run's clock at which the run begins, so that events before the first process have a
// positive time.
const start = time.Minute

// world is the state of one run. One lock guards what its goroutines share.
type world struct {
	number  int // counts the runs of this program
	script  *Script
	options Options
	origin  time.Time
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
	jitter  *jitter

	mu          sync.Mutex
	audit       *drainaudit.Audit
	list        *hostlist.History
	listChanged chan struct{} // closed at each change of the list
	hosts       []*host
	nodes       []*node
	requests    map[string]*requestRecord
	violations  []Violation
	events      []Event
}

// runCount counts the runs of this program.
var runCount atomic.Int64

// Play plays a script.
func Play(script *Script, options Options) (*Result, error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return nil, err
	}
	w := &world{number: int(runCount.Add(1)), script: script, options: options, origin: time.Now(), listChanged: make(chan struct{}), requests: map[string]*requestRecord{},
		audit: drainaudit.New(drainaudit.Rules{Pushed: script.Pushed, Grace: script.Grace, AskWithin: script.AskWithin})}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.jitter = newJitter(w)
	defer w.close()
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	w.applyInitialChanges()
	for _, f := range script.Faults {
		if f.Kind == drainsearch.Outage {
			w.audit.Outage(start+f.From, start+f.To)
		}
	}
	for i := range script.Balancers {
		n, err := newNode(w, i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.launch(script.KnownAge); err != nil {
			return nil, err
		}
	}
	w.schedule()
	w.sleepUntil(start + script.Length)
	w.close()
	w.judgeRequests()
	return w.result(), nil
}

// schedule starts a goroutine for each event of the script.
func (w *world) schedule() {
	s := w.script
	for _, c := range s.Changes {
		if c.At > 0 {
			w.at(c.At, func() { w.applyChange(c) })
		}
	}
	for _, f := range s.Faults {
		w.at(f.From, func() { w.applyFault(f) })
	}
	for _, f := range s.HostFaults {
		w.at(f.From, func() { w.hosts[f.Host].applyFault(f) })
	}
	for _, r := range s.Reloads {
		w.at(r.At, func() { w.nodes[r.Balancer].reload(r.Moves) })
	}
	for _, r := range s.Restarts {
		w.at(r.At, func() { w.nodes[r.Balancer].crash(r) })
	}
	for _, t := range s.Terminations {
		w.at(t.At, func() { w.nodes[t.Balancer].terminate(t) })
	}
	for _, p := range s.Pauses {
		w.at(p.At, func() {
			if p.Twice {
				w.nodes[p.Balancer].pauseTwice(p.For)
				return
			}
			w.nodes[p.Balancer].pause(p.For)
		})
	}
	for _, c := range s.Floods {
		w.at(c.From, func() { w.playFlood(c) })
	}
	for i, r := range s.Requests {
		w.at(r.At, func() { w.runClient(i, r) })
	}
	for i, r := range s.IdleClients {
		w.at(r.At, func() { w.runIdleClient(i, r) })
	}
	for i, c := range s.EndingClients {
		w.at(c.At, func() { w.runEndingClient(i, c) })
	}
}

// at runs an action at a time of the script, unless the run has ended by then.
func (w *world) at(when time.Duration, action func()) {
	w.group.Go(func() {
		if w.sleepUntil(start + when) {
			action()
		}
	})
}

func (w *world) now() time.Duration { return start + time.Since(w.origin) }

// sleepUntil waits until a time; it returns false if the run ends first.
func (w *world) sleepUntil(moment time.Duration) bool { return w.sleep(moment - w.now()) }

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// fault returns the fault of a kind that affects a balancer now; nil if there is none.
func (w *world) fault(kind drainsearch.FaultKind, balancer int) *drainsearch.Fault {
	now := w.now()
	for i := range w.script.Faults {
		f := &w.script.Faults[i]
		applies := f.Balancer < 0 || f.Balancer == balancer
		if f.Kind == kind && applies && start+f.From <= now && now < start+f.To {
			return f
		}
	}
	return nil
}

// close ends the balancer processes and the stand-ins.
func (w *world) close() {
	w.stop()
	for _, n := range w.nodes {
		n.kill()
	}
	for _, h := range w.hosts {
		h.stop()
	}
	w.group.Wait()
}

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)
