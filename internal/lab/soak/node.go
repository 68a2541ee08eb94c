package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// node is one balancer of the fleet with its current process.
type node struct {
	world            *world
	number           int
	name             string
	listen           string
	folder           string
	answered         bool // a readable answer of discovery was written to this process; the run's lock guards it
	answeredRevision int  // the revision of the last such answer
	mu               sync.Mutex
	endpoints        []*endpoint
	process          int // counts the processes of this balancer
	knownRevision    int // revision of the list in its configuration
	cmd              *exec.Cmd
	done             chan struct{}
	inRotation       bool          // the front sends new connections to it
	killedAt         time.Duration // when a signal ended this process; 0 if none has
	sigtermAt        time.Duration
	attempted        chan struct{} // holds one element once this balancer has written an attempt
}

func newNode(w *world, number int) (*node, error) {
	n := &node{world: w, number: number, name: fmt.Sprintf("n%d", number), done: make(chan struct{}), attempted: make(chan struct{}, 1)}
	n.folder = filepath.Join(w.options.Folder, n.name)
	if err := os.MkdirAll(n.folder, 0o700); err != nil {
		return nil, err
	}
	e, err := n.newEndpoint()
	if err != nil {
		return nil, err
	}
	n.endpoints = []*endpoint{e}
	pid := os.Getpid()
	n.listen = fmt.Sprintf("127.%d.%d.%d:%d", listenNet+pid%100, 1+pid/100%250, 1+w.number%250, listenPort+number)
	return n, nil
}

// Where balancers listen. Each run has a loopback address of its own, which neither another run nor an ephemeral port
// can take. Balancers share a port that is already in use, so on port 3000, where the socket tests listen, clients of
// one would reach the other.
const (
	listenNet  = 101
	listenPort = 23000
)

// currentEndpoint returns the endpoint at which discovery serves the balancer now.
func (n *node) currentEndpoint() *endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[len(n.endpoints)-1]
}

// settingsFormat formats the settings of a balancer as in the operators' configuration.
const settingsFormat = `{"allowed":{"tryLimit":%d,"connectTimeout":%d,"retryAfter":true,"probing":false},"discovery":%q,"tick":4000000,"siblings":%d,
"familyInfo":{"groups":true,"mode":%q,"messageAim":[250000000,250000000,250000000]},
"grades":[%s],
"invariants":{"askWithin":%d,"coldFrom":0.15,"fall":1000000000,"overloadFactor":3,"stopSendingWithin":%d,"warmAfter":22000000000}}`

// dedupWindow is for how long hosts discard repeats of a keyed request.
const dedupWindow = 2 * time.Second

// config returns the text of the balancer's configuration.
func (n *node) config() string {
	w, s := n.world, n.world.script
	grace, attempts, dedup, plant := s.Grace, s.MaxAttempts, dedupWindow, w.options.PlantedFault
	switch plant {
	case LongerGrace:
		grace += time.Second
	case MoreAttempts:
		attempts += 2
	case LongerWindow:
		dedup += 3 * time.Second
	}
	var grades []string
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		configuredEffect := effect
		if plant == SafeClasses {
			configuredEffect = "safe"
		}
		grades = append(grades, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"effect":%q,"dedupScope":"all","repeatWindow":%d}`,
			effect, s.Aim, s.Deadline, configuredEffect, dedup))
	}
	discovery, mode := "subscribe", "pass"
	if s.Pushed {
		discovery = "automatic"
	}
	if s.Proxy {
		mode = "proxy"
	}
	settings := fmt.Sprintf(settingsFormat, attempts, s.Connect, discovery, s.Balancers, mode, strings.Join(grades, ","), s.AskWithin, grace)
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		n.name, n.listen, n.currentEndpoint().address(), s.Seed+uint64(n.number)+1, s.Sockets, w.list.FullList(n.knownRevision), settings)
}

func (n *node) configPath() string { return filepath.Join(n.folder, "config.json") }

// launch starts a process whose configuration has a list of the given age.
func (n *node) launch(knownAge time.Duration) error {
	w := n.world
	if err := w.ctx.Err(); err != nil {
		return err
	}
	w.mu.Lock()
	n.knownRevision = w.revisionAt(w.now() - start - knownAge)
	text := n.config()
	w.mu.Unlock()
	if err := os.WriteFile(n.configPath(), []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.options.Binary)
	cmd.Env = append(append(os.Environ(), w.options.Env...), "EDGE_CONFIG="+n.configPath(), "TMPDIR="+n.folder, "EDGE_LOG_LEVEL=debug", "EDGE_OPERATOR=")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	n.process++
	n.cmd, n.done, n.killedAt, n.sigtermAt = cmd, make(chan struct{}), 0, 0
	done, process := n.done, n.process
	n.mu.Unlock()
	w.mu.Lock()
	n.answered, n.answeredRevision = false, 0
	w.audit.Started(n.number, w.now(), n.knownRevision)
	w.recordEvent(Event{Node: n.name, What: fmt.Sprintf("process %d starts with list revision %d", process, hostlist.FirstRevision+n.knownRevision)})
	w.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	w.group.Go(func() { n.await(cmd, log, done, process) })
	w.group.Go(func() { n.awaitReady(process) })
	return nil
}

// await waits for the end of a process, which breaks a rule unless the run caused it.
func (n *node) await(cmd *exec.Cmd, log io.Closer, done chan struct{}, process int) {
	err := cmd.Wait()
	close(done)
	_ = log.Close()
	n.mu.Lock()
	unexpected := n.killedAt == 0 && n.sigtermAt == 0 && n.process == process
	n.mu.Unlock()
	w := n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEvent(Event{Node: n.name, What: fmt.Sprintf("process %d has ended: %v", process, err)})
	if unexpected && w.ctx.Err() == nil {
		w.recordViolation(Violation{Rule: "crash", At: w.now() - start, Node: n.name, What: fmt.Sprintf("process %d ended: %v", process, err)})
	}
}

// readyTimeout is how soon a process has to answer the front.
const readyTimeout = 10 * time.Second

// awaitReady puts a process into rotation once it has answered PING with PONG.
func (n *node) awaitReady(process int) {
	w := n.world
	due := w.now() + readyTimeout
	for w.now() < due && n.isRunning(process) && w.ctx.Err() == nil {
		if n.answersPing() {
			n.mu.Lock()
			n.inRotation = n.process == process && n.sigtermAt == 0 && n.killedAt == 0
			n.mu.Unlock()
			w.mu.Lock()
			w.recordEvent(Event{Node: n.name, What: fmt.Sprintf("process %d is ready", process)})
			w.mu.Unlock()
			return
		}
		w.sleep(20 * time.Millisecond)
	}
	if w.ctx.Err() == nil && n.isRunning(process) {
		w.mu.Lock()
		w.recordViolation(Violation{Rule: "ready", At: w.now() - start, Node: n.name, What: "not ready within 10 s"})
		w.mu.Unlock()
	}
}

// isRunning reports whether a process is the current one and was not signalled to end.
func (n *node) isRunning(process int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process == process && n.sigtermAt == 0 && n.killedAt == 0
}

// answersPing reports whether the balancer answers PING with PONG.
func (n *node) answersPing() bool {
	c, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "PING\r\n"); err != nil {
		return false
	}
	answer := make([]byte, len("PONG"))
	_, err = io.ReadFull(c, answer)
	return err == nil && string(answer) == "PONG"
}

// kill kills the process with SIGKILL.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.inRotation = false
	if n.killedAt == 0 {
		n.killedAt = n.world.now()
	}
	n.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

// crash kills the process and starts another one after the scripted time.
func (n *node) crash(r drainsearch.Restart) {
	n.kill()
	if n.world.sleep(r.Down) {
		_ = n.launch(r.KnownAge)
	}
}
