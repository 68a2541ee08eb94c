package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

// endpoint is an address at which discovery, or the agent, serves one balancer.
type endpoint struct {
	node     *node
	listener net.Listener
	mu       sync.Mutex
	conns    map[*discoveryConn]bool
}

// discoveryConn is one connection of a balancer to discovery.
type discoveryConn struct {
	net.Conn
	endpoint *endpoint
	silent   chan struct{} // closed when no more data may be written
	once     sync.Once
	mu       sync.Mutex
	call     *drainaudit.Call // the open call
}

// newEndpoint listens on a free port and serves the connections to it.
func (n *node) newEndpoint() (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{node: n, listener: l, conns: map[*discoveryConn]bool{}}
	n.world.group.Go(e.accept)
	n.world.group.Go(func() {
		<-n.world.ctx.Done()
		e.shutDown(0)
	})
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		d := &discoveryConn{Conn: c, endpoint: e, silent: make(chan struct{})}
		e.mu.Lock()
		e.conns[d] = true
		e.mu.Unlock()
		e.node.world.group.Go(func() {
			e.serve(d)
			_ = d.Close()
			e.mu.Lock()
			delete(e.conns, d)
			e.mu.Unlock()
		})
	}
}

// shutDown accepts no more connections and closes the open ones after a time, as discovery has moved.
func (e *endpoint) shutDown(after time.Duration) {
	_ = e.listener.Close()
	e.node.world.sleep(after)
	e.forEachConn(func(d *discoveryConn) { _ = d.Close() })
}

// forEachConn runs an action on each open connection.
func (e *endpoint) forEachConn(action func(*discoveryConn)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d := range e.conns {
		action(d)
	}
}

// serve answers the calls of a connection one after the other. A separate goroutine reads from the balancer, so that
// the end of the connection is noticed at once.
func (e *endpoint) serve(d *discoveryConn) {
	w := e.node.world
	if w.fault(drainsearch.Outage, e.node.number) != nil && !w.script.Pushed {
		d.refuseConnection()
		return
	}
	calls, disconnected := make(chan *http.Request), make(chan struct{})
	w.group.Go(func() {
		defer close(disconnected)
		r := bufio.NewReader(d)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			select {
			case calls <- request:
			case <-w.ctx.Done():
				return
			}
		}
	})
	defer func() { _ = d.Close() }() // ends the reading goroutine
	for {
		select {
		case request := <-calls:
			if !e.handleCall(d, request, disconnected) {
				return
			}
		case <-disconnected:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// refuseConnection resets a connection, as discovery is down.
func (d *discoveryConn) refuseConnection() {
	w, n := d.endpoint.node.world, d.endpoint.node
	w.mu.Lock()
	w.audit.Called(n.number, w.now(), 0).Refused(w.now())
	w.mu.Unlock()
	reset(d.Conn)
}

// handleCall answers one call; it returns false if the connection is of no further use.
func (e *endpoint) handleCall(d *discoveryConn, request *http.Request, disconnected <-chan struct{}) bool {
	w, n := e.node.world, e.node
	if w.options.PlantedFault == LateCalls && !w.sleep(time.Second) {
		return false
	}
	since, wait := parseCall(request)
	w.mu.Lock()
	began := w.now()
	call := w.audit.Called(n.number, began, wait)
	w.recordEvent(Event{Node: n.name, What: fmt.Sprintf("calls discovery: since %d, wait %v", since, wait)})
	w.mu.Unlock()
	d.setCall(call)
	result := e.awaitAnswer(d, began, since, wait, disconnected)
	w.mu.Lock()
	defer w.mu.Unlock()
	d.mu.Lock()
	d.call = nil
	d.mu.Unlock()
	switch result {
	case outcomeAnswer:
		return e.writeAnswer(d, call, since)
	case outcomeRefuse:
		call.Refused(w.now())
		w.recordEvent(Event{Node: n.name, What: "is refused by discovery"})
		_, err := io.WriteString(d, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case outcomeReset:
		call.Refused(w.now())
		reset(d.Conn)
	case outcomeAbandoned:
		call.Failed(w.now())
		w.recordEvent(Event{Node: n.name, What: "abandons a call to discovery"})
	}
	return false
}

func (d *discoveryConn) setCall(call *drainaudit.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.call = call
}

// silence stops all data on the connection from a time on and leaves it open.
func (d *discoveryConn) silence(from time.Duration) {
	d.once.Do(func() { close(d.silent) })
	w := d.endpoint.node.world
	w.mu.Lock()
	defer w.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.call != nil {
		d.call.Silent(from)
	}
}

// applyFault applies the start of a fault of discovery to the connections that are open then.
func (w *world) applyFault(f drainsearch.Fault) {
	w.mu.Lock()
	w.recordEvent(Event{What: fmt.Sprintf("discovery: fault of kind %d for balancer %d until %.3f, delay %v", f.Kind, f.Balancer, f.To.Seconds(), f.Delay)})
	w.mu.Unlock()
	for _, n := range w.nodes {
		if f.Balancer >= 0 && f.Balancer != n.number {
			continue
		}
		n.currentEndpoint().forEachConn(func(d *discoveryConn) {
			switch {
			case f.Kind == drainsearch.Silent, f.Kind == drainsearch.Hung, f.Kind == drainsearch.Outage && w.script.Pushed:
				go d.silence(w.now())
			case f.Kind == drainsearch.Reset, f.Kind == drainsearch.Outage:
				reset(d.Conn)
			}
		})
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if raw, err := c.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
	}
	_ = c.Close()
}
