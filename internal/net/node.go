// Package net is the balancer on sockets: the downstream sockets of the clients, the upstream ones to the hosts and
// the one to discovery, all on one gnet event loop. The loop owns all state; other goroutines report to it
// through post.
package net

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	stdnet "net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/cells"
	"tealtiller/internal/counters"
	"tealtiller/internal/deadline"
	"tealtiller/internal/discovery"
	"tealtiller/internal/failover"
	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
	"tealtiller/internal/request"
	"tealtiller/internal/settings"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// NodeConfig are what a node works by: the platform's configuration, and what the operator's own file adds to it.
type NodeConfig struct {
	settings.Config
	CellPlan  *cells.Plan // nil: no cells
	Placement operator.Placement
	Failover  *failover.Settings // nil: no zone shares
}

// Node is one balancer. Its gnet callbacks and all its methods but Run, Reload, Drain and Report belong to the loop.
type Node struct {
	gnet.BuiltinEventEngine
	cfg         NodeConfig
	log         *slog.Logger
	tracing     bool // the log takes in what trace tells
	known       *discovery.List
	out         io.Writer // of counters
	engine      gnet.Engine
	loop        gnet.EventLoop
	booted      chan struct{} // closed when loop is known
	origin      time.Time
	began       time.Duration // when the loop started the module
	wall        wall
	table       *request.Table
	fleet       *cells.Fleet // the module that the table speaks with
	zones       *zones       // nil unless the operator's file turns them on
	deadlines   deadline.Queue
	count       counters.Set
	folder      string // that the processes of this balancer share
	downstreams slot.Table[*downstream]
	upstreams   slot.Table[*upstream]
	addresses   map[string]netip.AddrPort
	watch       *watch
	weigher     *placement.WeightApplier // between discovery and the module
	fades       *deadline.Deadline       // when the weights of a plan change by themselves
	recorder    recorder
	delays      delays

	link     *link // to the other process of this balancer, while there are two
	leading  bool  // the clients are ours
	share    int   // how many descriptors are ours while there are two
	awaiting io.Closer

	connections int // of gnet, dialled and accepted, but for callers
	allowed     int // descriptors, by the system
	dialling    int // each has a descriptor, and for a moment its duplicate
	doubled     int // whose duplicate is still open
	halves      int
	callers     []*caller // in order of their coming
	admin       string    // the second address as the listener names it; empty without one

	waits        bool // for somebody to start it; of OnTick alone
	events       []func(now time.Duration)
	busy         bool
	timer        *time.Timer
	timerAt      time.Duration
	stopping     bool
	closingSince time.Duration // when the clients that rest were told to go; 0 before that
	closeBy      time.Duration // and when they have had their time
	overdue      bool          // the latest moment has come, and what was owed has its answer
	lastOpen     time.Duration // when the last OPEN came
	stopped      chan struct{}
	last         *link         // the one whose messages must be written before the process ends
	silence      time.Duration // how long a client's line may stay unanswered
	patience     time.Duration // how long a downstream socket may go without a whole command

	probeWait time.Duration // how long a desk host may take to answer a question
	listDue   time.Duration // when health does not wait for an agent's list any more
	listWait  time.Duration // how long it does; 0 has requests not wait for a first list either

	connect func(ctx context.Context, network, address string) (stdnet.Conn, error) // off the loop
}

// NewNode makes a balancer that writes its counters to out. In the folder it meets the process that served before
// it, or the one that comes after it; there may be none.
func NewNode(cfg NodeConfig, known *discovery.List, out io.Writer, folder string, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log.With("balancer", cfg.Name), known: known, out: out, folder: folder, leading: true,
		origin: time.Now(), count: counters.Set{}, addresses: map[string]netip.AddrPort{},
		booted: make(chan struct{}), stopped: make(chan struct{}), silence: silence,
		patience: mostSilent, probeWait: probeTimeout, listWait: firstListWait, allowed: allowed()}
	n.connect = (&stdnet.Dialer{KeepAlive: -1}).DialContext
	n.watch = newWatch(n, cfg.DiscoveryAddr)
	n.delays = newDelays()
	n.wall = newWall(n.origin)
	n.tracing = log.Enabled(context.Background(), slog.LevelDebug)
	n.adopt(cfg)
	return n
}

// Run serves until the node has drained or its listener fails.
func (n *Node) Run() error {
	failed := make(chan error, 1)
	n.join()
	addresses := []string{"tcp://" + n.cfg.ListenAddr}
	if n.cfg.AdminAddr != "" {
		at, err := stdnet.ResolveTCPAddr("tcp", n.cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("second address: %w", err)
		}
		n.admin = at.String()
		addresses = append(addresses, "tcp://"+n.cfg.AdminAddr)
	}
	go func() {
		failed <- gnet.Rotate(n, addresses, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
			gnet.WithTicker(true), gnet.WithReusePort(true), // accepts on the loop: see room
			gnet.WithLogger(gnetLog{n.log, n.stopped}))
	}()
	var err error
	select {
	case <-n.stopped:
	case err = <-failed:
	}
	select {
	case <-n.stopped: // the loop may have ended before us, with its listener
		if n.last != nil {
			<-n.last.flushed
		}
		return nil
	default:
	}
	return cmp.Or(err, errors.New("the event loop ended"))
}

// boot starts the module, once the loop runs.
func (n *Node) boot(loop gnet.EventLoop) {
	n.loop = loop
	close(n.booted)
	n.do(func(now time.Duration) {
		n.began = now
		n.table = request.New(func(h policy.Host) request.Module {
			n.fleet = cells.New(n.cfg.Settings.Policy, n.cfg.Seed, h, n.cfg.CellPlan)
			return n.fleet
		}, carrier{n}, &n.deadlines, n.count)
		n.weigher = placement.NewWeightApplier(n.cfg.Placement.Plan, n.cfg.Settings.Policy.Zone)
		n.turnZones(now)
		n.watch.status.revision = n.known.Revision
		n.watch.status.take(n.known)
		n.members(now, policy.Cached, n.known)
		n.listDue = now + n.listWait
		if n.listWait > 0 { // what it was started with may be old
			n.table.SetLease(now, now)
		}
		if n.watch.watcher.Pushed {
			n.watch.watcher.Watch(now, true)
		}
		n.reweigh(now)
		n.delays.next(n, now)
		n.recorder.turn(n, now)
		n.log.Info("ready", "listen", n.cfg.ListenAddr, "hosts", len(n.known.Members), "cells", n.cfg.CellPlan.CellCount())
	})
}

// firstListWait is for how long a new process does not count as ready while an agent has not told its list.
const firstListWait = time.Second

// startWait is for how long a new process tells the front that it is not ready yet while it has no lease on its list. Danger: one
// that stays out for long because discovery is silent would leave the others its clients; from then on it refuses them.
const startWait = 3 * time.Second

// awaitsList tells whether a new process would have to refuse its clients, as the list that it was started with may be old.
func (n *Node) awaitsList(now time.Duration) bool {
	return n.listWait > 0 && !n.watch.leased && now < n.began+startWait
}

// members takes what discovery tells; the module hears of it with the weights of a plan, where there is one.
func (n *Node) members(now time.Duration, kind policy.MembersKind, list *discovery.List) {
	for _, m := range list.Members {
		if m.State != policy.Gone {
			n.addresses[m.ID] = m.Address
		}
		n.trace("listed", "host", m.ID, "state", int(m.State), "started_ms", m.Started.Milliseconds())
	}
	n.table.UpdateMembers(now, kind, n.weigher.Apply(now, kind, n.servers(now, kind, list)))
	n.zonesListed(now)
	n.delays.size(n, now)
}

// reweigh hands on the weights as they are now, and sees to it that it happens again when a plan fades further.
func (n *Node) reweigh(now time.Duration) {
	if changed := n.weigher.SetPlan(now, n.cfg.Placement.Plan, n.cfg.Settings.Policy.Zone); len(changed) > 0 {
		n.log.Info("plan-weights-changed", "hosts", len(changed))
		n.table.UpdateMembers(now, policy.Delta, changed)
	}
	n.deadlines.Stop(n.fades)
	if n.fades = nil; n.weigher.NextChange(now) > 0 {
		n.fades = n.deadlines.Set(n.weigher.NextChange(now), n.reweigh)
	}
}

// DumpMetrics prints the counters; it may be called from any goroutine.
func (n *Node) DumpMetrics() {
	<-n.booted
	done := make(chan struct{})
	n.post(func(time.Duration) {
		n.report()
		close(done)
	})
	<-done
}

func (n *Node) report() {
	_, _ = n.count.WriteTo(n.out)
	_, _ = io.WriteString(n.out, n.figures(n.now()).Text())
}
