package soak

import (
	"fmt"
	"net"
	"sync"

	"tealtiller/internal/lab/hostlist"
)

// host is one of the hosts that serve clients.
type host struct {
	world       *world
	index       int
	listed      hostlist.Host // its entry in discovery; the run's lock guards it
	mu          sync.Mutex
	listener    net.Listener
	conns       map[net.Conn]bool
	acceptAgain chan struct{} // closed when the host accepts connections again
}

func (w *world) startHosts() error {
	var all []hostlist.Host
	for i := range w.script.Hosts {
		h := &host{world: w, index: i, conns: map[net.Conn]bool{}}
		if err := h.listen("127.0.0.1:0"); err != nil {
			return err
		}
		h.listed = hostlist.Host{ID: fmt.Sprintf("s-%d", i), Address: h.listener.Addr().String()}
		w.hosts = append(w.hosts, h)
		all = append(all, h.listed)
	}
	w.list = hostlist.New(all)
	return nil
}

// listen accepts connections at an address.
func (h *host) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.listener = l
	h.mu.Unlock()
	h.world.group.Go(func() { h.accept(l) })
	return nil
}

// accept accepts connections, except while stopAccepting makes it wait.
func (h *host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case timedOut(err):
			h.mu.Lock()
			acceptAgain := h.acceptAgain
			h.mu.Unlock()
			select {
			case <-acceptAgain:
			case <-h.world.ctx.Done():
				return
			}
		case err != nil:
			return
		default:
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			h.world.group.Go(func() { h.serve(c) })
		}
	}
}

// stop ends the host's process: its connections are reset and new ones refused.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for c := range h.conns {
		reset(c)
	}
}

// restart replaces the host's process by a new one, at the same address or another one.
func (h *host) restart(moves bool) (address string) {
	h.stop()
	address = h.listener.Addr().String()
	if moves {
		address = "127.0.0.1:0"
	}
	if err := h.listen(address); err != nil { // the address is in use
		_ = h.listen("127.0.0.1:0")
	}
	return h.listener.Addr().String()
}

// hasFault reports whether a fault of a kind affects the host now.
func (h *host) hasFault(kind HostFaultKind) bool {
	now := h.world.now() - start
	for _, f := range h.world.script.HostFaults {
		if f.Kind == kind && f.Host == h.index && f.From <= now && now < f.To {
			return true
		}
	}
	return false
}

// applyFault applies the start of a fault.
func (h *host) applyFault(f HostFault) {
	h.world.mu.Lock()
	h.world.recordEvent(Event{Host: h.listed.ID, What: fmt.Sprintf("host: fault of kind %d until %.3f", f.Kind, f.To.Seconds())})
	h.world.mu.Unlock()
	switch f.Kind {
	case HostResets:
		h.resetAll()
	case HostNotAccepting:
		h.stopAccepting(start + f.To)
	}
}

// resetAll resets all connections of the host.
func (h *host) resetAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		h.markDisturbed(c)
		reset(c)
	}
}

// markDisturbed records that the host itself ended what is established on a connection.
func (h *host) markDisturbed(c net.Conn) {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.requests {
		for _, a := range q.attempts {
			if a.conn == c {
				a.disturbed = true
			}
		}
	}
}
