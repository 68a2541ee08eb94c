package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tealtiller/policy"
)

// change is a change of a host's state, with the revision of the host list that has it.
type change struct {
	revision int64
	state    policy.State
	id       string
}

var phaseNames = map[policy.State]string{policy.Ready: "in_service", policy.Draining: "terminating", policy.Gone: "terminated"}

// hostListJSON is the host list with the changes since a revision, or the complete list for -1.
func (s *SocketLab) hostListJSON(since int64) string {
	changed := map[string]bool{}
	for _, c := range s.changes {
		if c.revision > since {
			changed[c.id] = true
		}
	}
	var members []string
	for _, spec := range s.specs {
		h := s.hosts[spec.ID]
		if since >= 0 && !changed[spec.ID] || since < 0 && h.state == policy.Gone {
			continue
		}
		started := h.Started.Milliseconds()
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":%.3f,"up_since_ms":%d}`,
			spec.ID, h.address, spec.Room, spec.Kind, spec.CellNumber, phaseNames[h.state], s.exp.listedSize(spec), started))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, s.revision, since < 0, strings.Join(members, ","))
}

// updateHost changes the state that discovery lists for a host.
func (s *SocketLab) updateHost(id string, state policy.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.hosts[id].state = state
	s.changes = append(s.changes, change{s.revision, state, id})
	close(s.listChanged)
	s.listChanged = make(chan struct{})
}

// serveDiscovery serves one balancer at an address of its own, so that the lab knows which changes this balancer was
// notified of, and when.
func (s *SocketLab) serveDiscovery(n *balancerProcess) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.discovery = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handleDiscovery(n, w, r) })}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-s.ctx.Done()
		_ = server.Close()
	}()
	return nil
}

// maxWatch is the maximum time that a call may wait for a change.
const maxWatch = time.Minute

// handleDiscovery answers a call for the list; a call with a revision first waits for a newer one.
func (s *SocketLab) handleDiscovery(n *balancerProcess, w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	limit := min(time.Duration(ms)*time.Millisecond, maxWatch)
	switch s.awaitChange(since, limit) {
	case unreachable:
		http.Error(w, "out of reach", http.StatusServiceUnavailable)
	case answerNow:
		body := s.answerFor(n, since)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// watchResult is why a call stopped waiting.
type watchResult int

const (
	answerNow watchResult = iota
	unreachable
	experimentOver
)

// awaitChange waits until the list is newer than a revision, at most for maxWait.
func (s *SocketLab) awaitChange(since int64, maxWait time.Duration) watchResult {
	timeout := time.After(maxWait)
	for {
		s.mu.Lock()
		up, revision, changed := s.discoveryUp, s.revision, s.listChanged
		s.mu.Unlock()
		if !up {
			return unreachable
		}
		if since < 0 || revision > since {
			return answerNow
		}
		select {
		case <-changed:
		case <-timeout:
			return answerNow
		case <-s.ctx.Done():
			return experimentOver
		}
	}
}

// answerFor is the answer for a balancer that knows a revision; it records which drains the balancer is notified of.
func (s *SocketLab) answerFor(n *balancerProcess, since int64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		switch {
		case c.revision <= since:
		case c.state == policy.Ready:
			delete(n.drainNotices, c.id)
		case n.drainNotices[c.id].IsZero():
			n.drainNotices[c.id] = time.Now()
		}
	}
	return s.hostListJSON(since)
}
