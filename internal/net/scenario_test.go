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

// A scenario is a file of lines that drive a real node against scripted peers, one step a line:
//
//	set KEY=VALUE           settings before the node starts: hosts, dead, siblings, aim, mode, probing, discovery, sockets, silence, patience, admin, stale, grace, listwait;
//	                        connect, effect, scope, window (of repeats), deadline, binds, tries, class, cells (the operator's file, ; for new lines) and plan (plan.json), which the next reload brings in
//	NAME connect            a client connects to the node
//	NAME call PATH          an operator asks the node's second address; without a path it only connects
//	NAME accept             takes the next connection that reached a desk host or, for names that begin with pool, discovery
//	NAME send TEXT          sends a line; \r\n in it splits it, ... at its end leaves it open
//	NAME expect PATTERN     reads a line; * stands for anything
//	NAME wait text|none T   waits until the other side has ended, having sent this text, or anything but
//	NAME wait fin|reset     waits until the other side has ended the connection, reading what is left
//	NAME close|half|reset   ends the connection, its sending, or by a reset
//	NAME answer BODY        sends an HTTP answer; KNOWN stands for the list in the configuration
//	beside                  starts a second node beside the first, at the same address
//	kill                    ends the second one as if killed, and goes on with the first
//	before STEP             a step of the first node, once there is a second: stop, wait exit, wait count
//	stop                    tells the node to drain
//	hold                    connections that the node makes from now on do not come up
//	let                     they do
//	pause                   stops the event loop between two turns
//	resume [T...]           goes on with it, where told so long after the pause: what has come meanwhile, and deadlines that
//	                        have fallen due, cross in one turn; each further T is one more pause, before anything is read
//	reload move             replaces the configuration by one that names another discovery, and reloads it
//	reload same             the same, with discovery where it is
//	reload TEXT             the same with a file of this text
//	wait exit               waits until the node has ended
//	wait left N             waits until the node may open N more descriptors
//	wait count NAME N       waits until a counter of the node is N, or with N+ at least N
//
// Every read has a limit, so a step that never comes fails; no step sleeps.
const limit = 20 * time.Second

type rig struct {
	t         *testing.T
	set       map[string]string
	node      *Node
	peers     map[string]*peer
	upstreams chan stdnet.Conn
	pools     chan stdnet.Conn
	exited    chan error
	before    *rig // of the first node, where there are two
	folder    string
	started   bool
	source    *settings.Source
	path      string
	address   string // of the node; its configuration belongs to its loop
	admin     string // its second address, for which it must be set
	known     string
	pool      string // the address of discovery that the file names
	paused    chan time.Duration
	held      atomic.Pointer[chan struct{}] // closed to let connections come up
	log       logged
	fail      func() error // how a connection to a desk host fails; set before the start
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
		r.set[key] = value
		return nil
	}
	if !r.started {
		r.start()
	}
	switch {
	case who == "before":
		return r.before.step(rest)
	case who == "beside":
		r.before = &rig{t: r.t, set: r.set, node: r.node, peers: r.peers, upstreams: r.upstreams, pools: r.pools, exited: r.exited,
			folder: r.folder, started: true, source: r.source, path: r.path, address: r.address, admin: r.admin, known: r.known, pool: r.pool}
		r.launch()
		return nil
	case who == "kill":
		r.node.post(func(time.Duration) {
			r.node.stopping = true // it awaits nobody
			_ = r.node.link.conn.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), limit)
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
		r.held.Store(&gate)
		return nil
	case who == "let":
		close(*r.held.Swap(nil))
		return nil
	case who == "pause":
		return r.pause()
	case who == "resume":
		return r.resume(strings.Fields(cmp.Or(rest, "0s")))
	case who == "reload":
		switch rest {
		case "move":
			r.pool = r.listen(r.pools)
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
		return r.within(func() error { return <-r.exited })
	case who == "wait" && verb == "left":
		return r.ask(text, func() int64 { return int64(r.node.left()) })
	case who == "wait":
		i := strings.LastIndex(text, " ")
		return r.ask(text[i+1:], func() int64 { return r.node.count[text[:i]] })
	}
	return r.peer(who, verb, text)
}

// pause returns once the loop has stopped.
func (r *rig) pause() error {
	stopped, on := make(chan struct{}), make(chan time.Duration)
	r.paused = on
	r.node.post(func(now time.Duration) {
		close(stopped)
		r.late(now + <-on)
	})
	return r.within(func() error { <-stopped; return nil })
}

// late keeps the loop until a moment: the lateness that a step asks for.
func (r *rig) late(until time.Duration) {
	for now := r.node.now(); now < until; now = r.node.now() {
		time.Sleep(until - now)
	}
}

// resume returns once the pauses are over, and deadlines that were due have run.
func (r *rig) resume(spans []string) error {
	var times []time.Duration
	for _, text := range spans {
		span, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		times = append(times, span)
	}
	for _, span := range times[1:] { // what is posted runs before the next look at the sockets
		r.node.post(func(now time.Duration) { r.late(now + span) })
	}
	over := make(chan struct{})
	r.node.post(func(time.Duration) { close(over) })
	r.paused <- times[0]
	<-over
	return nil
}

// ask asks the loop again and again: each question is answered after all events before it.
func (r *rig) ask(figure string, what func() int64) error {
	want, err := strconv.ParseInt(strings.TrimSuffix(figure, "+"), 10, 64)
	if err != nil {
		return err
	}
	return r.within(func() error {
		for got := int64(-1); got < want || got > want && !strings.HasSuffix(figure, "+"); {
			answer := make(chan int64)
			r.node.post(func(time.Duration) { answer <- what() })
			got = <-answer
		}
		return nil
	})
}
