package lab

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// lineTimeout is how long a client waits for the answer to a line.
const lineTimeout = 7 * time.Second

// exchangeLines sends a line after each pause and waits for its answer, until the client's time is over or the other
// side ends the connection.
func (c *client) exchangeLines(conn net.Conn, r *bufio.Reader) (reconnect bool, after time.Duration) {
	s := c.lab
	c.upAt, c.retries = time.Now(), 0
	defer func() { c.remaining -= time.Since(c.upAt) }()
	s.auditor.connectionChanged(c, true)
	defer s.auditor.connectionChanged(c, false)
	end := c.upAt.Add(c.remaining)
	for n := 0; ; n++ {
		_ = conn.SetReadDeadline(earlier(time.Now().Add(c.linePause(n)), end))
		text, err := r.ReadString('\n')
		if err == nil { // no line of the client is unanswered
			return c.handleUnsolicited(text)
		}
		if !isTimeout(err) {
			return c.handleConnectionLoss()
		}
		if s.ctx.Err() != nil || !time.Now().Before(end) {
			return false, 0
		}
		text, err = c.sendLine(conn, r, n)
		if err != nil {
			return c.handleConnectionLoss()
		}
		if !strings.HasPrefix(text, "OK ") {
			return c.handleUnsolicited(text)
		}
	}
}

// linePause is a client's pause before line n. The first pause is a random part of it, so that the clients do not send
// in step.
func (c *client) linePause(n int) time.Duration {
	pause := parsedDuration(c.lab.exp.Pause)
	if n == 0 {
		return time.Duration(c.rng.Float64() * float64(pause))
	}
	return pause
}

// sendLine sends a line and reads its answer.
func (c *client) sendLine(conn net.Conn, r *bufio.Reader, n int) (text string, err error) {
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "SEAT %d\r\n", n); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(sentAt.Add(lineTimeout))
	if text, err = r.ReadString('\n'); err != nil {
		return "", err
	}
	if strings.HasPrefix(text, "OK ") {
		c.lab.auditor.lineAnswered(c, time.Since(sentAt))
	}
	return text, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// handleUnsolicited handles a line that answers no line of the client.
func (c *client) handleUnsolicited(text string) (bool, time.Duration) {
	switch kind, _, _ := strings.Cut(strings.TrimSpace(text), " "); kind {
	case "MOVE":
		c.lab.auditor.moveReceived(c)
		c.returned = true
	case "UP", "BUSY", "ERR":
		c.lab.auditor.secondAnswer(c.lab)
		c.returned = true
	default:
		c.returned = true
	}
	return true, c.retryPause()
}

// handleConnectionLoss handles a connection that has ended without MOVE.
func (c *client) handleConnectionLoss() (bool, time.Duration) {
	if c.lab.ctx.Err() != nil {
		return false, 0
	}
	if c.wasDropped() {
		c.returned = true
		return true, c.retryPause()
	}
	if c.balancerUnavailable() { // its packets now arrive through another balancer
		c.midFlow = true
		return true, time.Millisecond
	}
	c.returned = true
	c.lab.auditor.connectionCutOff(c)
	return true, c.retryPause()
}
