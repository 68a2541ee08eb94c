package lab

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// openLine is what a desk host reads from an OPEN line.
type openLine struct {
	id, carrier string
	group       uint64
	load        float64
	midFlow     bool // resumes an established connection
}

func parseOpen(text string) (o openLine, ok bool) {
	words := strings.Fields(text)
	if len(words) != 4 {
		return o, false
	}
	fields := map[string]string{}
	for _, f := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(f, "=")
		fields[name] = value
	}
	o.id, o.carrier, o.midFlow = words[1], fields["t"], fields["mid"] == "1"
	o.group, _ = strconv.ParseUint(fields["g"], 16, 64)
	o.load, _ = strconv.ParseFloat(fields["h"], 64)
	return o, true
}

// openOutcome is how a desk host handles an OPEN line.
type openOutcome int

const (
	openNew     openOutcome = iota // a connection is set up
	openIgnored                    // it is not answered
	openResumed                    // it resumes a connection that is established here
	openUnknown                    // it would resume a connection that this host does not hold
)

// open handles one attempt from its OPEN line to its end.
func (h *simulatedHost) open(c *net.TCPConn, r *bufio.Reader, text string) {
	o, ok := parseOpen(text)
	if !ok {
		_, _ = io.WriteString(c, syntaxLine)
		return
	}
	s := h.lab
	s.mu.Lock()
	attempt := s.auditor.attemptReceived(s, h, o.id, o.carrier, o.group, o.midFlow)
	switch h.classify(o) {
	case openNew:
		wait := h.Setup(s.now())
		s.mu.Unlock()
		h.setUp(c, r, o, attempt, wait)
	case openIgnored:
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, r)
		h.attemptEnded(o, attempt)
	case openResumed:
		held := h.held[o.id]
		held.conn = c
		s.auditor.attemptEnded(o.id, attempt)
		s.mu.Unlock()
		_, _ = io.WriteString(c, "UP resumed\r\n")
		h.serveLines(c, r, o.id, held)
	case openUnknown:
		s.auditor.resetMidFlow[o.id] = true // from now on, any host sets it up as new
		s.auditor.attemptEnded(o.id, attempt)
		s.mu.Unlock()
		resetConnection(c)
	}
}

// classify decides how an OPEN line is handled; the lab's lock is held.
func (h *simulatedHost) classify(o openLine) openOutcome {
	switch {
	case h.dark && !h.acceptsWhileDark:
		return openIgnored
	case o.midFlow && h.held[o.id] != nil:
		return openResumed
	case o.midFlow && !h.lab.auditor.resetMidFlow[o.id]:
		return openUnknown
	}
	return openNew
}

func (h *simulatedHost) attemptEnded(o openLine, attempt *int) {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	h.lab.auditor.attemptEnded(o.id, attempt)
}

// setUp answers a new client after the time that the setup takes; if the balancer closes the connection earlier, it has
// given up.
func (h *simulatedHost) setUp(c *net.TCPConn, r *bufio.Reader, o openLine, attempt *int, wait time.Duration) {
	if !waitWhileConnected(c, r, wait) {
		h.attemptEnded(o, attempt)
		return
	}
	held := &heldConnection{load: o.load, group: o.group, conn: c}
	answer, delivered := h.admit(o, held, attempt)
	switch {
	case !delivered: // the answer is lost; the connection stays established until the balancer closes it
		_, _ = io.Copy(io.Discard, r)
	case answer != AnswerUp:
		_, _ = io.WriteString(c, refusalLines[answer])
	default:
		if _, err := io.WriteString(c, "UP "+o.id+"\r\n"); err == nil {
			h.serveLines(c, r, o.id, held)
			return
		}
	}
	if answer == AnswerUp {
		h.endHeld(o.id, held, c)
	}
}

// refusalLines are the lines with which a desk host refuses a client.
var refusalLines = map[Answer]string{AnswerBusy: "BUSY\r\n", AnswerError: "ERR\r\n"}

// admit opens a connection in the model; delivered reports whether the answer will arrive.
func (h *simulatedHost) admit(o openLine, held *heldConnection, attempt *int) (answer Answer, delivered bool) {
	s := h.lab
	s.mu.Lock()
	defer s.mu.Unlock()
	answer = h.Open(s.now(), o.load, o.group, s.rng.Float64())
	s.auditor.attemptEnded(o.id, attempt)
	if answer == AnswerUp {
		h.held[o.id] = held
		s.auditor.LostUps += boolToInt(h.dark)
	}
	return answer, !h.dark
}

// waitWhileConnected waits for a time, and reports whether the other side is still connected at its end.
func waitWhileConnected(c *net.TCPConn, r *bufio.Reader, wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := r.Peek(1)
	return err == nil || isTimeout(err)
}

// orphanRetention is how long a host keeps a connection after the balancer that it came through has ended.
const orphanRetention = 6 * time.Second

// serveLines answers lines until the client ends, or its packets arrive through another balancer.
func (h *simulatedHost) serveLines(c *net.TCPConn, r *bufio.Reader, id string, held *heldConnection) {
	s := h.lab
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			h.inputEnded(c, id, held, err)
			return
		}
		if h.isDark() {
			_, _ = io.Copy(io.Discard, r)
			h.endHeld(id, held, c)
			return
		}
		s.mu.Lock()
		h.Advance(s.now())
		wait := h.Message(s.now())
		s.mu.Unlock()
		time.Sleep(wait) // time of a message, by the model
		if _, err := io.WriteString(c, "OK "+text); err != nil {
			h.endHeld(id, held, c)
			return
		}
	}
}

// inputEnded handles the end of a balancer's input. If the balancer ended, the client may continue through another one,
// so the connection is kept for a while.
func (h *simulatedHost) inputEnded(c *net.TCPConn, id string, held *heldConnection, err error) {
	if errors.Is(err, io.EOF) && !h.lab.cameThroughDownBalancer(id) {
		_, _ = io.WriteString(c, "BYE\r\n")
		h.endHeld(id, held, c)
		return
	}
	go func() {
		h.lab.sleep(orphanRetention)
		h.endHeld(id, held, c)
	}()
}

// cameThroughDownBalancer reports whether a client is connected through a balancer that is being restarted.
func (s *SocketLab) cameThroughDownBalancer(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.liveClients {
		if c.id == id {
			return c.balancer.down
		}
	}
	return false
}

// endHeld ends an established connection, unless it has continued through another one.
func (h *simulatedHost) endHeld(id string, held *heldConnection, c net.Conn) {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	if h.held[id] == held && held.conn == c {
		delete(h.held, id)
		h.Close(h.lab.now(), held.load, held.group)
	}
}
