package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// host is one of the hosts that serve clients.
type host struct {
	world    *world
	index    int
	listed   hostlist.Host // as discovery has it; the run's lock guards it
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (w *world) startHosts() error {
	var all []hostlist.Host
	for i := range w.script.Hosts {
		h := &host{world: w, index: i, conns: map[net.Conn]bool{}}
		if err := h.open("127.0.0.1:0"); err != nil {
			return err
		}
		h.listed = hostlist.Host{ID: fmt.Sprintf("s-%d", i), Address: h.listener.Addr().String()}
		w.hosts = append(w.hosts, h)
		all = append(all, h.listed)
	}
	w.list = hostlist.New(all)
	return nil
}

// open has the host take connections at an address.
func (h *host) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.listener = l
	h.mu.Unlock()
	h.world.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			h.world.group.Go(func() { h.serve(c) })
		}
	})
	return nil
}

// halt ends the host's process: connections are reset, new ones refused.
func (h *host) halt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		_ = h.listener.Close()
	}
	for c := range h.conns {
		reset(c)
	}
}

// restart ends the host's process and starts another one, at the same address or a new one.
func (h *host) restart(moves bool) (address string) {
	h.halt()
	address = h.listener.Addr().String()
	if moves {
		address = "127.0.0.1:0"
	}
	if err := h.open(address); err != nil { // the address is taken
		_ = h.open("127.0.0.1:0")
	}
	return h.listener.Addr().String()
}

// fault is the trouble of a kind that the host has now.
func (h *host) fault(kind HostFaultKind) bool {
	now := h.world.now() - start
	for _, f := range h.world.script.HostFaults {
		if f.Kind == kind && f.Host == h.index && f.From <= now && now < f.To {
			return true
		}
	}
	return false
}

// strike is the first moment of trouble.
func (h *host) strike(f HostFault) {
	h.world.mu.Lock()
	h.world.note(Event{Host: h.listed.ID, What: fmt.Sprintf("host: trouble of kind %d until %.3f", f.Kind, f.To.Seconds())})
	h.world.mu.Unlock()
	if f.Kind != HostResets {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		h.endedByHost(c)
		reset(c)
	}
}

// endedByHost notes that what stands on a connection ends by the host's doing.
func (h *host) endedByHost(c net.Conn) {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.requests {
		for _, a := range q.attempts {
			if a.conn == c {
				a.hostEnded = true
			}
		}
	}
}

// serve takes one attempt from its line to its end.
func (h *host) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	first, err := r.ReadByte()
	at := h.world.now()
	if err != nil {
		return
	}
	rest, err := r.ReadString('\n')
	line := string(first) + rest
	words := strings.Fields(line)
	if err != nil || len(words) != 4 || words[0] != "OPEN" {
		h.world.malformed(h, line)
		_, _ = io.WriteString(c, "SYNTAX\r\n")
		return
	}
	a := h.world.attempt(h, c, words[1], at)
	if a == nil {
		return
	}
	h.answer(c, r, a)
}

// answer plays what the script has this host say to an attempt.
func (h *host) answer(c net.Conn, r *bufio.Reader, a *attempt) {
	w := h.world
	w.mu.Lock()
	drains := h.listed.Phase != drainaudit.InService
	w.mu.Unlock()
	switch how := a.request.nextAnswer(len(a.request.attempts) - 1); {
	case h.fault(HostHangs) || how == drainsearch.Nothing:
		h.awaitEnd(r, a)
	case drains || how == drainsearch.Busy:
		h.says(c, r, a, "BUSY", resultNeverRan)
	case how == drainsearch.Errs:
		h.says(c, r, a, "ERR", resultMayHaveRun)
	case how == drainsearch.Resets:
		w.over(a, resultMayHaveRun)
		reset(c)
	default:
		h.up(c, r, a)
	}
}

// awaitEnd waits for the balancer to give an attempt up.
func (h *host) awaitEnd(r io.Reader, a *attempt) {
	_, _ = io.Copy(io.Discard, r)
	h.world.over(a, resultMayHaveRun)
}

// says ends an attempt with a line.
func (h *host) says(c net.Conn, r *bufio.Reader, a *attempt, line string, result attemptResult) {
	if !h.delays(c, r, a) {
		return
	}
	h.world.over(a, result) // from here on it is over for who reads the line
	_ = h.write(c, line+"\r\n")
}

// write writes a line, in pieces where the host does so now.
func (h *host) write(c net.Conn, line string) error {
	if !h.fault(HostPieces) {
		_, err := io.WriteString(c, line)
		return err
	}
	for i := range len(line) {
		if _, err := io.WriteString(c, line[i:i+1]); err != nil {
			return err
		}
		if !h.world.sleep(time.Millisecond) {
			return net.ErrClosed
		}
	}
	return nil
}

// hostDelay is how late a slow host answers.
const hostDelay = 200 * time.Millisecond

// delays has an answer come late where the host does so now; false if the balancer has given the attempt up meanwhile.
func (h *host) delays(c net.Conn, r *bufio.Reader, a *attempt) bool {
	if !h.fault(HostDelays) {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(hostDelay))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := r.Peek(1); err != nil && !timedOut(err) {
		h.world.over(a, resultMayHaveRun)
		return false
	}
	return true
}

// up brings a connection up and answers its lines until one side ends it.
func (h *host) up(c net.Conn, r *bufio.Reader, a *attempt) {
	if !h.delays(c, r, a) || !h.world.stands(a) {
		return
	}
	if h.write(c, "UP "+a.receipt+"\r\n") != nil {
		h.world.over(a, resultMayHaveRun)
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			h.world.over(a, resultMayHaveRun)
			if errors.Is(err, io.EOF) {
				_, _ = io.WriteString(c, "BYE\r\n")
			}
			return
		}
		if h.fault(HostHangs) {
			h.hangs(a)
			h.awaitEnd(r, a)
			return
		}
		if h.write(c, "OK "+line) != nil {
			h.world.over(a, resultMayHaveRun)
			return
		}
	}
}

// hangs notes that what stands gets no answer any more.
func (h *host) hangs(a *attempt) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	a.hostEnded = true
}
