package net

import (
	"cmp"
	"context"
	stdnet "net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tealtiller/internal/settings"
)

// A scenario is a file of steps, one a line, that drive a real node against scripted peers:
//
//	set KEY=VALUE           sets a value before the node starts: hosts, dead, siblings, aim, mode, probing, discovery, sockets,
//	                        silence, patience, admin, stale, grace, listwait, connect, effect, scope, window (of repeats),
//	                        deadline, binds, tries, class, cells (the operator's file, with ; for line breaks) and plan
//	                        (plan.json); a later change takes effect with the next reload
//	NAME connect            a client connects to the node
//	NAME call PATH          an operator sends a request to the second address; without a path it only connects
//	NAME accept             takes the next connection to a desk host or, for names that begin with pool, to discovery
//	NAME send TEXT          sends a line; \r\n in it splits it, ... at its end leaves it incomplete
//	NAME expect PATTERN     reads a line; * stands for anything
//	NAME wait text|none T   waits until the other side has closed, having sent this text, or not having sent it
//	NAME wait fin|reset     waits until the other side has closed or reset the connection, and reads what is left
//	NAME close|half|reset   closes the connection, ends its sending, or resets it
//	NAME answer BODY        sends an HTTP response; KNOWN stands for the list in the configuration
//	beside                  starts a second node beside the first, at the same address
//	kill                    ends the second node as a kill would, and continues with the first
//	before STEP             runs a step of the first node while there are two: stop, wait exit, wait count, reload
//	stop                    tells the node to drain
//	hold                    keeps connections that the node dials from being established
//	let                     lets them be established
//	pause                   stops the event loop between two turns
//	resume [T...]           continues the loop, no sooner than T after the pause: whatever arrived meanwhile and deadlines
//	                        that are due meet in one turn; each further T is another pause before sockets are read
//	reload move             replaces the configuration by one that names another discovery, and reloads it
//	reload same             reloads the configuration with discovery unchanged
//	reload TEXT             reloads with this text as the configuration
//	wait exit               waits until the node has ended
//	wait left N             waits until the node may open N more descriptors
//	wait unread N           waits until the node has read N bytes of clients' incomplete lines
//	wait count NAME N       waits until a counter of the node is N, or with N+ at least N
//
// Every read is limited to stepTimeout, so a step that never completes fails; no step sleeps.
const stepTimeout = 20 * time.Second

// rig runs the steps of a scenario or test on a node.
type rig struct {
	t                  *testing.T
	settings           map[string]string
	node               *Node
	peers              map[string]*peer
	upstreams          chan stdnet.Conn
	discoveryConns     chan stdnet.Conn
	exited             chan error
	before             *rig // of the first node while there are two
	folder             string
	started            bool
	source             *settings.Source
	path               string // of the configuration file
	address            string // of the node; kept here because the node's configuration belongs to its loop
	admin              string // second address of the node, if settings turn it on
	known              string // host list in the configuration
	discoveryAddr      string // discovery address in the configuration file
	paused             chan time.Duration
	dialGate           atomic.Pointer[chan struct{}] // closed to let connections be established
	log                logBuffer
	dialError          func() error // error of a dial to a desk host, or nil; set before the start
	discoveryDialError error        // of all connections to discovery
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			r := newRig(t)
			for i, step := range strings.Split(string(text), "\n") {
				if step = strings.TrimSpace(step); step != "" && step[0] != '#' {
					require.NoError(t, r.step(step), "%s:%d: %s", file, i+1, step)
				}
			}
		})
	}
}

func (r *rig) step(step string) error {
	who, rest, _ := strings.Cut(step, " ")
	verb, text, _ := strings.Cut(rest, " ")
	if who == "set" {
		key, value, _ := strings.Cut(rest, "=")
		r.settings[key] = value
		return nil
	}
	if !r.started {
		r.start()
	}
	switch {
	case who == "before":
		return r.before.step(rest)
	case who == "beside":
		r.before = &rig{t: r.t, settings: r.settings, node: r.node, peers: r.peers, upstreams: r.upstreams, discoveryConns: r.discoveryConns, exited: r.exited,
			folder: r.folder, started: true, source: r.source, path: r.path, address: r.address, admin: r.admin, known: r.known, discoveryAddr: r.discoveryAddr}
		r.launch()
		return nil
	case who == "kill":
		r.node.post(func(time.Duration) {
			r.node.draining = true // no successor is awaited
			_ = r.node.link.conn.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		if err := r.node.engine.Stop(ctx); err != nil {
			return err
		}
		r.node, r.exited, r.admin, r.before = r.before.node, r.before.exited, r.before.admin, nil
		return nil
	case who == "stop":
		r.node.Drain()
		return nil
	case who == "hold":
		gate := make(chan struct{})
		r.dialGate.Store(&gate)
		return nil
	case who == "let":
		close(*r.dialGate.Swap(nil))
		return nil
	case who == "pause":
		return r.pause()
	case who == "resume":
		return r.resume(strings.Fields(cmp.Or(rest, "0s")))
	case who == "reload":
		switch rest {
		case "move":
			r.discoveryAddr = r.listen(r.discoveryConns)
			rest = r.config()
		case "same":
			rest = r.config()
		}
		if err := os.WriteFile(r.path, []byte(rest), 0o600); err != nil {
			return err
		}
		r.node.Reload(r.load)
		return nil
	case who == "wait" && verb == "exit":
		return r.withTimeout(func() error { return <-r.exited })
	case who == "wait" && verb == "left":
		return r.waitForValue(text, func() int64 { return int64(r.node.descriptorsLeft()) })
	case who == "wait" && verb == "unread":
		return r.waitForValue(text, r.node.unreadBytes)
	case who == "wait":
		i := strings.LastIndex(text, " ")
		return r.waitForValue(text[i+1:], func() int64 { return r.node.counters[text[:i]] })
	}
	return r.peer(who, verb, text)
}

// pause returns once the loop has stopped.
func (r *rig) pause() error {
	stopped, on := make(chan struct{}), make(chan time.Duration)
	r.paused = on
	r.node.post(func(now time.Duration) {
		close(stopped)
		r.stallUntil(now + <-on)
	})
	return r.withTimeout(func() error { <-stopped; return nil })
}

// stallUntil keeps the loop busy until the given time.
func (r *rig) stallUntil(until time.Duration) {
	for now := r.node.now(); now < until; now = r.node.now() {
		time.Sleep(until - now)
	}
}

// resume returns once all pauses are over and the deadlines that were due have run.
func (r *rig) resume(spans []string) error {
	var times []time.Duration
	for _, text := range spans {
		span, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		times = append(times, span)
	}
	for _, span := range times[1:] { // posted events run before sockets are read again
		r.node.post(func(now time.Duration) { r.stallUntil(now + span) })
	}
	over := make(chan struct{})
	r.node.post(func(time.Duration) { close(over) })
	r.paused <- times[0]
	<-over
	return nil
}

// waitForValue polls a value on the loop until it has the wanted value, or with a + at least that. Each read follows
// all events posted before.
func (r *rig) waitForValue(want string, value func() int64) error {
	number, err := strconv.ParseInt(strings.TrimSuffix(want, "+"), 10, 64)
	if err != nil {
		return err
	}
	return r.withTimeout(func() error {
		for got := int64(-1); got < number || got > number && !strings.HasSuffix(want, "+"); {
			answer := make(chan int64)
			r.node.post(func(time.Duration) { answer <- value() })
			got = <-answer
		}
		return nil
	})
}

// unreadBytes returns how much the node has read of lines that its clients have not completed.
func (n *Node) unreadBytes() (total int64) {
	for _, d := range n.downstreams.All() {
		total += int64(len(d.pending))
	}
	return total
}
