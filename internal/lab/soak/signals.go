package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// signal sends a signal to the process that runs, unless it was told to end.
func (n *node) signal(s syscall.Signal) (process int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil || n.killedAt > 0 || n.sigtermAt > 0 || !n.inRotation {
		return 0, false
	}
	if s == syscall.SIGTERM {
		n.sigtermAt = n.world.now()
	}
	return n.process, n.cmd.Process.Signal(s) == nil
}

// recordEvent adds what happens to this balancer to the record of the run.
func (n *node) recordEvent(format string, args ...any) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.world.recordEvent(Event{Node: n.name, What: fmt.Sprintf(format, args...)})
}

// oldDiscoveryLinger is how long after a move the old discovery ends the connections that it has.
const oldDiscoveryLinger = 1500 * time.Millisecond

// reload replaces the configuration and sends SIGHUP; where discovery moves, the new file names another address.
func (n *node) reload(moves bool) {
	w := n.world
	n.mu.Lock()
	ready := n.inRotation && n.sigtermAt == 0 && n.killedAt == 0
	n.mu.Unlock()
	if !ready { // no SIGHUP comes before a process is ready
		return
	}
	if moves {
		old := n.currentEndpoint()
		e, err := n.newEndpoint()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.endpoints = append(n.endpoints, e)
		n.mu.Unlock()
		w.group.Go(func() { old.shutDown(oldDiscoveryLinger) })
	}
	w.mu.Lock()
	text := n.config()
	w.mu.Unlock()
	// The file is replaced whole, as operators do: a file half written would be refused.
	next := n.configPath() + ".next"
	if os.WriteFile(next, []byte(text), 0o600) != nil || os.Rename(next, n.configPath()) != nil {
		return
	}
	w.mu.Lock()
	if moves {
		w.audit.Reloaded(n.number, w.now())
		n.answered = false
	}
	w.mu.Unlock()
	n.recordEvent("SIGHUP, discovery moves: %v", moves)
	_, _ = n.signal(syscall.SIGHUP)
}

// Of a planned restart: for how long clients still come, how long after the longest deadline the process may be killed, and
// what the deadline counts as at the most.
const (
	frontReaction = 300 * time.Millisecond
	killMargin    = 700 * time.Millisecond
	maxDeadline   = 3 * time.Second
	earlyKill     = 100 * time.Millisecond // of the planted fault
)

// terminate sends SIGTERM, SIGKILL at the earliest, and starts a new process.
func (n *node) terminate(t Termination) {
	w := n.world
	if _, ok := n.signal(syscall.SIGTERM); !ok {
		return
	}
	n.recordEvent("SIGTERM")
	killAt := w.now() + min(w.script.Deadline, maxDeadline) + killMargin
	if w.options.Plant == EarlyKill {
		killAt = w.now() + earlyKill
	}
	if !w.sleep(frontReaction) {
		return
	}
	n.mu.Lock()
	n.inRotation = false
	done := n.done
	n.mu.Unlock()
	select {
	case <-time.After(killAt - w.now()):
		n.recordEvent("SIGKILL, %v after SIGTERM", killMargin+min(w.script.Deadline, maxDeadline))
		n.kill()
	case <-done:
		n.mu.Lock()
		n.killedAt = w.now()
		n.mu.Unlock()
	case <-w.ctx.Done():
		return
	}
	_ = n.launch(t.KnownAge)
}

// pause stops the process for a while.
func (n *node) pause(d time.Duration) {
	if _, ok := n.signal(syscall.SIGSTOP); !ok {
		return
	}
	n.recordEvent("SIGSTOP for %v", d)
	n.world.sleep(d)
	select {
	case <-n.attempted:
	default:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// maxBetweenPauses is how long a process that is stopped twice runs between at the most.
const maxBetweenPauses = 50 * time.Millisecond

// pauseTwice stops the process, and again once it has written an attempt or has had the time to. Danger: one that got no processor
// time between would have been held up for longer than the pages allow, between its last look at a client and its write.
func (n *node) pauseTwice(d time.Duration) {
	n.pause(d)
	select {
	case <-n.attempted:
	case <-time.After(maxBetweenPauses):
	case <-n.world.ctx.Done():
		return
	}
	n.pause(d)
}
