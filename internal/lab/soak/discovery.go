package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
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
	silent   chan struct{} // closed when nothing more may be written on it
	once     sync.Once
	mu       sync.Mutex
	call     *drainaudit.Call // that is open
}

// listen makes an endpoint.
func (n *node) newEndpoint() (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{node: n, listener: l, conns: map[*discoveryConn]bool{}}
	n.world.group.Go(e.accept)
	n.world.group.Go(func() {
		<-n.world.ctx.Done()
		e.leave(0)
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

// leave takes no new connection any more and ends the open ones after a time: discovery has moved.
func (e *endpoint) leave(after time.Duration) {
	_ = e.listener.Close()
	e.node.world.sleep(after)
	e.each(func(d *discoveryConn) { _ = d.Close() })
}

// each does something with every open connection.
func (e *endpoint) each(do func(*discoveryConn)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d := range e.conns {
		do(d)
	}
}

// serve answers the calls of a connection, one after the other. What the balancer sends is read beside, so that its end of
// the connection is seen at once.
func (e *endpoint) serve(d *discoveryConn) {
	w := e.node.world
	if w.fault(drainsearch.Outage, e.node.number) != nil && !w.script.Pushed {
		d.refusedAtOnce()
		return
	}
	calls, gone := make(chan *http.Request), make(chan struct{})
	w.group.Go(func() {
		defer close(gone)
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
	defer func() { _ = d.Close() }() // ends the reader
	for {
		select {
		case request := <-calls:
			if !e.answer(d, request, gone) {
				return
			}
		case <-gone:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// refusedAtOnce resets a connection that discovery, being down, does not take.
func (d *discoveryConn) refusedAtOnce() {
	w, n := d.endpoint.node.world, d.endpoint.node
	w.mu.Lock()
	w.audit.Called(n.number, w.now(), 0).Refused(w.now())
	w.mu.Unlock()
	reset(d.Conn)
}

// answer answers one call; false if the connection is of no further use.
func (e *endpoint) answer(d *discoveryConn, request *http.Request, gone <-chan struct{}) bool {
	w, n := e.node.world, e.node
	if w.options.Plant == LateCalls && !w.sleep(time.Second) {
		return false
	}
	since, wait := parse(request)
	w.mu.Lock()
	began := w.now()
	call := w.audit.Called(n.number, began, wait)
	w.note(Event{Node: n.name, What: fmt.Sprintf("calls discovery: since %d, wait %v", since, wait)})
	w.mu.Unlock()
	d.opens(call)
	how := e.await(d, began, since, wait, gone)
	w.mu.Lock()
	defer w.mu.Unlock()
	d.mu.Lock()
	d.call = nil
	d.mu.Unlock()
	switch how {
	case answers:
		return e.write(d, call, since)
	case refuses:
		call.Refused(w.now())
		w.note(Event{Node: n.name, What: "is refused by discovery"})
		_, err := io.WriteString(d, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case ends:
		call.Refused(w.now())
		reset(d.Conn)
	case givenUp:
		call.Failed(w.now())
		w.note(Event{Node: n.name, What: "gives a call to discovery up"})
	}
	return false
}

func (d *discoveryConn) opens(call *drainaudit.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.call = call
}

// parse reads a call.
func parse(request *http.Request) (since int, wait time.Duration) {
	query := request.URL.Query()
	revision, err := strconv.Atoi(query.Get("since"))
	if err != nil {
		return -1, 0
	}
	ms, _ := strconv.Atoi(query.Get("timeout_ms"))
	return max(revision-hostlist.FirstRevision, 0), time.Duration(ms) * time.Millisecond
}

// outcome is what becomes of a call.
type outcome int

const (
	answers outcome = iota
	refuses
	ends    // its connection is reset
	givenUp // the balancer ended it, or the run is over
)

// await holds a call until discovery answers it.
func (e *endpoint) await(d *discoveryConn, began time.Duration, since int, wait time.Duration, gone <-chan struct{}) outcome {
	w, n := e.node.world, e.node
	if w.fault(drainsearch.Hung, n.number) != nil || w.fault(drainsearch.Vanished, n.number) != nil ||
		w.script.Pushed && w.fault(drainsearch.Outage, n.number) != nil {
		d.silence(began)
		return d.until(never, gone, answers)
	}
	if f := w.fault(drainsearch.Refusing, n.number); f != nil {
		return d.until(f.Delay, gone, refuses)
	}
	if f := w.fault(drainsearch.Slow, n.number); f != nil {
		return d.until(f.Delay, gone, answers)
	}
	limit := time.After(wait)
	for {
		w.mu.Lock()
		revision, news := w.list.Revision(), w.news
		w.mu.Unlock()
		if since < 0 || since < revision { // news from before a silence is written
			return answers
		}
		select {
		case <-d.silent:
			return d.until(never, gone, answers)
		default:
		}
		select {
		case <-news:
		case <-limit:
			return d.until(0, gone, answers)
		case <-d.silent:
		case <-gone:
			return d.closed()
		case <-w.ctx.Done():
			return givenUp
		}
	}
}

// until holds a call for a time and then does what is told, unless its connection falls silent or ends before.
func (d *discoveryConn) until(after time.Duration, gone <-chan struct{}, then outcome) outcome {
	select {
	case <-time.After(after):
		select {
		case <-d.silent: // for good
			return d.until(never, gone, then)
		default:
			return then
		}
	case <-gone:
		return d.closed()
	case <-d.endpoint.node.world.ctx.Done():
		return givenUp
	}
}

// closed tells which side ended a connection.
func (d *discoveryConn) closed() outcome {
	if _, err := d.Write(nil); errors.Is(err, net.ErrClosed) {
		return ends // by us
	}
	return givenUp
}

// write answers a call with what is new, or with what trouble makes of it; the lock of the run is held.
func (e *endpoint) write(d *discoveryConn, call *drainaudit.Call, since int) bool {
	w, n := e.node.world, e.node
	body, revision, good := e.body(since)
	closes := w.fault(drainsearch.Closing, n.number) != nil
	header := ""
	if closes {
		header = "Connection: close\r\n"
	}
	if good {
		n.heard, n.told = true, revision
		w.audit.Answered(n.number, call, w.now(), revision)
		w.note(Event{Node: n.name, What: fmt.Sprintf("is answered by discovery: revision %d", hostlist.FirstRevision+revision)})
	} else {
		call.Failed(w.now())
		w.note(Event{Node: n.name, What: "is answered by discovery what makes no sense"})
	}
	_, err := fmt.Fprintf(d, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return err == nil && !closes
}

// body is the text of an answer, the revision that it tells, and whether it can be read.
func (e *endpoint) body(since int) (body string, revision int, good bool) {
	w, n := e.node.world, e.node
	fault := func(kind drainsearch.FaultKind) bool { return w.fault(kind, n.number) != nil }
	revision = w.list.Revision()
	body = w.list.Whole(revision)
	if since >= 0 && !fault(drainsearch.Whole) {
		body = w.list.Changes(since)
	}
	switch first := since < 0 && !n.heard; {
	case first && (w.script.Pushed || fault(drainsearch.Stale)):
		return body, revision, true
	case fault(drainsearch.Truncated):
		return body[:len(body)/2], revision, false
	case fault(drainsearch.Garbled):
		return strings.Replace(body, `"phase"`, `"phrase"`, 1) + "]", revision, false
	case fault(drainsearch.Duplicate) && revision > 0:
		return w.list.Contradiction(), revision, false
	case fault(drainsearch.Stale) && revision > 0:
		old := revision / 2
		return w.list.Whole(old), old, old >= n.told
	}
	return body, revision, true
}

// silence leaves the connection without a word from a moment on.
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

// strike is the first moment of trouble on the way to discovery, for what is open then.
func (w *world) strike(f drainsearch.Fault) {
	w.mu.Lock()
	w.note(Event{What: fmt.Sprintf("discovery: trouble of kind %d for balancer %d until %.3f, delay %v", f.Kind, f.Balancer, f.To.Seconds(), f.Delay)})
	w.mu.Unlock()
	for _, n := range w.nodes {
		if f.Balancer >= 0 && f.Balancer != n.number {
			continue
		}
		n.current().each(func(d *discoveryConn) {
			switch {
			case f.Kind == drainsearch.Silent, f.Kind == drainsearch.Hung, f.Kind == drainsearch.Outage && w.script.Pushed:
				go d.silence(w.now())
			case f.Kind == drainsearch.Reset, f.Kind == drainsearch.Outage:
				reset(d.Conn)
			}
		})
	}
}

// reset ends a connection by a reset.
func reset(c net.Conn) {
	if raw, err := c.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
	}
	_ = c.Close()
}
