package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// signal sends a signal to the current process, unless the process is not in rotation or was already signalled to end.
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

// recordEvent adds an event of this balancer to the record of the run.
func (n *node) recordEvent(format string, args ...any) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.world.recordEvent(Event{Node: n.name, What: fmt.Sprintf(format, args...)})
}

// oldDiscoveryLinger is how long after a move the old discovery keeps its connections open.
const oldDiscoveryLinger = 1500 * time.Millisecond

// reload replaces the configuration and sends SIGHUP; if discovery moves, the new file names another address.
func (n *node) reload(moves bool) {
	w := n.world
	n.mu.Lock()
	ready := n.inRotation && n.sigtermAt == 0 && n.killedAt == 0
	n.mu.Unlock()
	if !ready { // no SIGHUP is sent before a process is ready
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
	// The file is replaced atomically, as operators do: the balancer would reject a half-written file.
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

// The course of a planned restart.
const (
	frontReaction = 300 * time.Millisecond // after SIGTERM new clients still arrive for this time
	killMargin    = 700 * time.Millisecond // the process may be killed this long after the longest deadline
	maxDeadline   = 3 * time.Second        // cap on that deadline
	earlyKill     = 100 * time.Millisecond // time from SIGTERM to SIGKILL for the planted fault EarlyKill
)

// terminate sends SIGTERM, then SIGKILL as early as the pages allow, and starts a new process.
func (n *node) terminate(t Termination) {
	w := n.world
	if _, ok := n.signal(syscall.SIGTERM); !ok {
		return
	}
	n.recordEvent("SIGTERM")
	killAt := w.now() + min(w.script.Deadline, maxDeadline) + killMargin
	if w.options.PlantedFault == EarlyKill {
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

// pause stops the process for a time.
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

// maxBetweenPauses is how long a process that is stopped twice runs in between at most.
const maxBetweenPauses = 50 * time.Millisecond

// pauseTwice stops the process, and stops it again once it has written an attempt or has had the time to. A process that
// received no CPU time between the two stops would be held up for longer than the pages allow between its last check of
// a client and its write.
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
