package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
)

// serve handles one attempt from its first line to its end.
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
		h.world.recordMalformed(h, line)
		_, _ = io.WriteString(c, "SYNTAX\r\n")
		return
	}
	a := h.world.recordAttempt(h, c, words[1], at)
	if a == nil {
		return
	}
	h.answer(c, r, a)
}

// answer answers an attempt as the script says.
func (h *host) answer(c net.Conn, r *bufio.Reader, a *attempt) {
	w := h.world
	w.mu.Lock()
	drains := h.listed.Phase != drainaudit.InService
	w.mu.Unlock()
	switch scripted := a.scriptedAnswer(); {
	case h.hasFault(HostHangs) || scripted == drainsearch.AnswerNone:
		h.awaitEnd(r, a)
	case h.hasFault(HostEndlessAnswers) && a.request.script.Key%2 == 0:
		h.answerEndlessly(c, r, a)
	case drains || scripted == drainsearch.AnswerBusy:
		h.sendFinal(c, r, a, "BUSY", resultNotExecuted)
	case scripted == drainsearch.AnswerErr:
		h.sendFinal(c, r, a, "ERR", resultMaybeExecuted)
	case scripted == drainsearch.AnswerReset:
		w.attemptEnded(a, resultMaybeExecuted)
		reset(c)
	default:
		h.serveConnection(c, r, a)
	}
}

// awaitEnd waits until the balancer abandons an attempt.
func (h *host) awaitEnd(r io.Reader, a *attempt) {
	_, _ = io.Copy(io.Discard, r)
	h.world.attemptEnded(a, resultMaybeExecuted)
}

// sendFinal ends an attempt with a line.
func (h *host) sendFinal(c net.Conn, r *bufio.Reader, a *attempt, line string, result attemptResult) {
	if !h.delayAnswer(c, r, a) {
		return
	}
	h.world.attemptEnded(a, result) // recorded first: whoever reads the line may act on it at once
	_ = h.write(c, line+"\r\n")
}

// write writes a line, byte by byte if the host has that fault now.
func (h *host) write(c net.Conn, line string) error {
	if !h.hasFault(HostFragments) {
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

// hostDelay is by how much HostDelays delays each answer.
const hostDelay = 200 * time.Millisecond

// delayAnswer delays an answer if the host has that fault now; it returns false if the balancer has abandoned the
// attempt in the meantime.
func (h *host) delayAnswer(c net.Conn, r *bufio.Reader, a *attempt) bool {
	if !h.hasFault(HostDelays) {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(hostDelay))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := r.Peek(1); err != nil && !timedOut(err) {
		h.world.attemptEnded(a, resultMaybeExecuted)
		return false
	}
	return true
}

// serveConnection establishes a connection and answers its lines until one side ends it.
func (h *host) serveConnection(c net.Conn, r *bufio.Reader, a *attempt) {
	if !h.delayAnswer(c, r, a) {
		return
	}
	if !h.world.attemptEstablished(a) { // the run is over, and the connection ends with it
		h.world.attemptEnded(a, resultMaybeExecuted)
		return
	}
	if h.write(c, "UP "+a.receipt+"\r\n") != nil {
		h.world.attemptEnded(a, resultMaybeExecuted)
		return
	}
	for {
		if h.hasFault(HostEndlessAnswers) {
			h.answerEndlessly(c, r, a)
			return
		}
		line, err := r.ReadString('\n')
		if err != nil {
			h.world.attemptEnded(a, resultMaybeExecuted)
			if errors.Is(err, io.EOF) {
				_, _ = io.WriteString(c, "BYE\r\n")
			}
			return
		}
		if h.hasFault(HostHangs) {
			h.markHung(a)
			h.awaitEnd(r, a)
			return
		}
		if h.hasFault(HostLateLines) {
			h.world.sleep(lineDelay)
		}
		if h.write(c, "OK "+line) != nil {
			h.world.attemptEnded(a, resultMaybeExecuted)
			return
		}
	}
}

// The faults of answers on established connections.
const (
	lineDelay       = 150 * time.Millisecond // by how much HostLateLines delays each answer to a line
	endlessInterval = 20 * time.Millisecond  // between two pieces of an answer that never ends
	endlessPiece    = 512                    // bytes of such a piece
)

// answerEndlessly writes bytes without a line end until the balancer ends the connection.
func (h *host) answerEndlessly(c net.Conn, r *bufio.Reader, a *attempt) {
	h.world.group.Go(func() { h.awaitEnd(r, a) }) // notices the end at once
	piece := strings.Repeat("x", endlessPiece)
	for h.world.sleep(endlessInterval) {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
	}
}

// markHung records that the host no longer answers on an established connection.
func (h *host) markHung(a *attempt) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	a.disturbed = true
}
