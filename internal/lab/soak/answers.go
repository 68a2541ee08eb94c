package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tealtiller/internal/lab/drainaudit"
	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// parseCall returns the revision and the maximum wait of a call; the revision is -1 for a call for the complete list.
func parseCall(request *http.Request) (since int, wait time.Duration) {
	query := request.URL.Query()
	revision, err := strconv.Atoi(query.Get("since"))
	if err != nil {
		return -1, 0
	}
	ms, _ := strconv.Atoi(query.Get("timeout_ms"))
	return max(revision-hostlist.FirstRevision, 0), time.Duration(ms) * time.Millisecond
}

// outcome is how a call ends.
type outcome int

const (
	outcomeAnswer outcome = iota
	outcomeRefuse
	outcomeReset     // its connection is reset by discovery
	outcomeAbandoned // the balancer abandoned it, or the run is over
)

// awaitAnswer holds a call until discovery answers it.
func (e *endpoint) awaitAnswer(d *discoveryConn, began time.Duration, since int, wait time.Duration, disconnected <-chan struct{}) outcome {
	w, n := e.node.world, e.node
	if w.fault(drainsearch.Hung, n.number) != nil || w.fault(drainsearch.Blackhole, n.number) != nil ||
		w.script.Pushed && w.fault(drainsearch.Outage, n.number) != nil {
		d.silence(began)
		return d.holdFor(never, disconnected, outcomeAnswer)
	}
	if f := w.fault(drainsearch.Refusing, n.number); f != nil {
		return d.holdFor(f.Delay, disconnected, outcomeRefuse)
	}
	if f := w.fault(drainsearch.Slow, n.number); f != nil {
		return d.holdFor(f.Delay, disconnected, outcomeAnswer)
	}
	limit := time.After(wait)
	for {
		w.mu.Lock()
		revision, listChanged := w.list.LatestRevision(), w.listChanged
		w.mu.Unlock()
		if since < 0 || since < revision { // changes from before a silence are still written
			return outcomeAnswer
		}
		select {
		case <-d.silent:
			return d.holdFor(never, disconnected, outcomeAnswer)
		default:
		}
		select {
		case <-listChanged:
		case <-limit:
			return d.holdFor(0, disconnected, outcomeAnswer)
		case <-d.silent:
		case <-disconnected:
			return d.closeOutcome()
		case <-w.ctx.Done():
			return outcomeAbandoned
		}
	}
}

// holdFor holds a call for a time and then returns the given outcome, unless the connection falls silent or ends first.
func (d *discoveryConn) holdFor(after time.Duration, disconnected <-chan struct{}, then outcome) outcome {
	select {
	case <-time.After(after):
		select {
		case <-d.silent: // the call never ends by itself
			return d.holdFor(never, disconnected, then)
		default:
			return then
		}
	case <-disconnected:
		return d.closeOutcome()
	case <-d.endpoint.node.world.ctx.Done():
		return outcomeAbandoned
	}
}

// closeOutcome reports which side ended a connection.
func (d *discoveryConn) closeOutcome() outcome {
	if _, err := d.Write(nil); errors.Is(err, net.ErrClosed) {
		return outcomeReset // by discovery
	}
	return outcomeAbandoned
}

// writeAnswer answers a call with the changes since its revision, or with what an active fault makes of them. The
// caller holds the lock of the run.
func (e *endpoint) writeAnswer(d *discoveryConn, call *drainaudit.Call, since int) bool {
	w, n := e.node.world, e.node
	body, revision, readable := e.answerBody(since)
	closes := w.fault(drainsearch.CloseAfterAnswer, n.number) != nil
	header := ""
	if closes {
		header = "Connection: close\r\n"
	}
	if readable {
		n.answered, n.answeredRevision = true, revision
		w.audit.Answered(n.number, call, w.now(), revision)
		w.recordEvent(Event{Node: n.name, What: fmt.Sprintf("receives an answer from discovery: revision %d", hostlist.FirstRevision+revision)})
	} else {
		call.Failed(w.now())
		w.recordEvent(Event{Node: n.name, What: "receives an unreadable answer from discovery"})
	}
	_, err := fmt.Fprintf(d, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return err == nil && !closes
}

// answerBody returns the body of an answer, the revision in it, and whether the balancer can use it.
func (e *endpoint) answerBody(since int) (body string, revision int, readable bool) {
	w, n := e.node.world, e.node
	fault := func(kind drainsearch.FaultKind) bool { return w.fault(kind, n.number) != nil }
	revision = w.list.LatestRevision()
	body = w.list.FullList(revision)
	if since >= 0 && !fault(drainsearch.FullList) {
		body = w.list.Delta(since)
	}
	switch first := since < 0 && !n.answered; {
	case first && (w.script.Pushed || fault(drainsearch.StaleList)):
		return body, revision, true
	case fault(drainsearch.Truncated):
		return body[:len(body)/2], revision, false
	case fault(drainsearch.Garbled):
		return strings.Replace(body, `"phase"`, `"phrase"`, 1) + "]", revision, false
	case fault(drainsearch.DuplicateHost) && revision > 0:
		return w.list.DuplicateHostAnswer(), revision, false
	case fault(drainsearch.StaleList) && revision > 0:
		old := revision / 2
		return w.list.FullList(old), old, old >= n.answeredRevision
	}
	return body, revision, true
}
