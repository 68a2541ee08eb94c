package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// client is one simulated client: it opens a connection, sends a line after each pause (2 s unless the experiment sets
// another), and reconnects when it is refused, moved or cut off.
type client struct {
	arrival
	lab       *SocketLab
	rng       *rand.Rand
	id        string
	conn      net.Conn
	balancer  *balancerProcess
	returned  bool
	midFlow   bool // the next try resumes the established connection through another balancer
	retries   int
	planMoves int // moves to another cell that its flight has moved to
	dropped   bool
	upAt      time.Time
	remaining time.Duration
	host      string // desk host of the established connection
}

// answerMargin is how much longer than the answer timeout a client reads, to allow for the transit of the answer.
const answerMargin = 50 * time.Millisecond

// runClient plays one client from its arrival to its end.
func (s *SocketLab) runClient(a arrival) {
	defer s.tasks.Done()
	s.mu.Lock()
	c := &client{arrival: a, lab: s, remaining: a.life, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 1))}
	s.liveClients[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.liveClients, c)
		s.mu.Unlock()
	}()
	for s.ctx.Err() == nil && c.remaining > 0 {
		reconnect, after := c.runTry()
		if !reconnect || !s.sleep(after) {
			return
		}
	}
}

// dropConnection closes the client's connection so that it reconnects; the lab's lock is held.
func (c *client) dropConnection() {
	c.dropped = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// pickBalancer plays the front, which chooses a balancer at random among those that are up, in the client's room if one
// is up there.
func (c *client) pickBalancer() *balancerProcess {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	for {
		n := c.lab.balancers[c.rng.IntN(len(c.lab.balancers))]
		room := c.lab.exp.clientRoom(&c.arrival)
		upInRoom := func(n *balancerProcess) bool { return !n.down && n.room == room }
		if !n.down && (room == "" || n.room == room || !slices.ContainsFunc(c.lab.balancers, upInRoom)) {
			return n
		}
	}
}

// runTry opens one connection and uses it until it ends.
func (c *client) runTry() (reconnect bool, after time.Duration) {
	c.prepareTry()
	conn, err := net.DialTimeout("tcp", c.balancer.listen, answerTimeout)
	if err != nil {
		return true, c.retryPause() // a real front would not have chosen this balancer
	}
	defer conn.Close()
	text := c.beginOpen(conn)
	began := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		return true, c.retryPause()
	}
	if !c.midFlow {
		c.lab.auditor.requestSent(c)
	}
	midFlow := c.midFlow
	c.midFlow = false
	_ = conn.SetReadDeadline(began.Add(answerTimeout + answerMargin))
	r := bufio.NewReader(conn)
	answer, err := r.ReadString('\n')
	took := time.Since(began)
	if err != nil || c.lab.ctx.Err() != nil || c.wasDropped() {
		return c.handleUnanswered(began, took, midFlow)
	}
	return c.handleAnswer(conn, r, answer, took, midFlow)
}

// prepareTry gives the try a new id, unless it resumes an established connection, and picks a balancer.
func (c *client) prepareTry() {
	s := c.lab
	if !c.midFlow {
		s.mu.Lock()
		s.auditor.requestCount++
		c.id = fmt.Sprintf("c%d", s.auditor.requestCount)
		s.mu.Unlock()
	}
	c.balancer = c.pickBalancer()
}

// beginOpen records the client's new connection and returns the OPEN line to send on it.
func (c *client) beginOpen(conn net.Conn) string {
	s := c.lab
	s.mu.Lock()
	c.conn, c.dropped = conn, false
	loadFactor := max(s.loadFactors[c.carrier], 1)
	s.mu.Unlock()
	extra := ""
	if c.returned {
		extra = ",again=1"
	}
	if c.midFlow {
		extra = ",mid=1"
	}
	return fmt.Sprintf("OPEN %s %x c=%s,t=%s,d=%d,g=%x,h=%.3f%s\r\n",
		c.id, c.key, c.class, c.carrier, answerTimeout.Milliseconds(), c.group, c.load*loadFactor, extra)
}

// handleUnanswered handles a try that got no answer, or whose answer no longer matters because the client or the
// experiment has ended it.
func (c *client) handleUnanswered(began time.Time, took time.Duration, midFlow bool) (reconnect bool, after time.Duration) {
	s := c.lab
	switch {
	case s.ctx.Err() != nil || c.wasDropped():
		return c.remaining > 0, c.retryPause()
	case c.balancerUnavailable() || c.resumedSince(began):
		s.mu.Lock()
		s.auditor.Reopened++
		s.mu.Unlock()
		return true, c.retryPause() // clients of a killed or frozen balancer reconnect; this is no lost answer
	default:
		s.auditor.finalAnswer(c, "none", took, midFlow)
		return c.retry()
	}
}

// handleAnswer handles the answer to a try.
func (c *client) handleAnswer(conn net.Conn, r *bufio.Reader, answer string, took time.Duration, midFlow bool) (reconnect bool, after time.Duration) {
	s := c.lab
	kind, rest, _ := strings.Cut(strings.TrimSpace(answer), " ")
	s.auditor.finalAnswer(c, kind, took, midFlow)
	if kind == "UP" {
		return c.exchangeLines(conn, r)
	}
	if second, err := r.ReadString('\n'); err == nil && second != "" {
		s.auditor.secondAnswer(s)
	}
	reconnect, after = c.retry()
	if ms, err := strconv.Atoi(rest); kind == "BUSY" && err == nil {
		after = min(time.Duration(ms)*time.Millisecond, maxRetryAfter)
	}
	return reconnect, after
}

// retry reports whether the client tries again, which it does at most twice in a row, and after which pause.
func (c *client) retry() (bool, time.Duration) {
	c.retries++
	return c.retries <= maxRetries, c.retryPause()
}

// retryPause draws a client's pause before it reconnects.
func (c *client) retryPause() time.Duration {
	return time.Duration(minRetryPauseMS+c.rng.IntN(retryPauseRangeMS)) * time.Millisecond
}

func (c *client) wasDropped() bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.dropped
}

func (c *client) balancerUnavailable() bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.balancer.down || c.balancer.frozen
}

// resumedSince reports whether the client's balancer was resumed from a freeze after a moment.
func (c *client) resumedSince(at time.Time) bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.balancer.resumedAt.After(at)
}
