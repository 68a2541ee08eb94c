// Package net runs the balancer on sockets: the downstream sockets of clients, the upstream sockets to desk hosts and
// the connection to discovery, all on one gnet event loop. The loop owns all state; other goroutines hand their
// results to it through post.
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

// NodeConfig is the configuration of a node: the platform's configuration and the additions of the operator's file.
type NodeConfig struct {
	settings.Config
	CellPlan  *cells.Plan // nil without cells
	Placement operator.Placement
	Failover  *failover.Settings // nil without zone shares
}

// Node is one balancer. Its gnet callbacks and its methods run on the event loop, except Run, Reload, Drain and
// DumpMetrics.
type Node struct {
	gnet.BuiltinEventEngine
	cfg           NodeConfig
	log           *slog.Logger
	tracing       bool            // whether the log includes the events of trace
	initialList   *discovery.List // of the configuration
	metricsOutput io.Writer       // where DumpMetrics writes
	engine        gnet.Engine
	loop          gnet.EventLoop
	booted        chan struct{} // closed when loop is known
	origin        time.Time     // start of the process; see now
	startedAt     time.Duration // when the loop started the decision module
	wallClock     wallClockState
	table         *request.Table
	fleet         *cells.Fleet // the decision module, called by table
	zones         *zoneMonitor // nil unless the operator's file turns on zone shares
	deadlines     deadline.Queue
	counters      counters.Set
	sharedDir     string // directory shared by the processes of this balancer; may be empty
	downstreams   slot.Table[*downstream]
	upstreams     slot.Table[*upstream]
	addresses     map[string]netip.AddrPort
	watch         *watch
	weigher       *placement.WeightApplier // applies the weights of a plan to the host list
	weightChange  *deadline.Deadline       // when the weights of a fading plan change next
	recorder      recorder
	delays        delayMonitor

	link              *processLink // to the other process of this balancer during a takeover, else nil
	leading           bool         // this process serves the clients
	descriptorShare   int          // descriptors that this process may open while there are two
	successorListener io.Closer    // accepts the process that takes over

	connections            int          // gnet connections, accepted and dialled, without adminConns
	processDescriptorLimit int          // RLIMIT_NOFILE; 0 if unknown
	dialling               int          // each holds a descriptor, and briefly a duplicate
	duplicates             int          // enrolled connections whose duplicate descriptor is still open
	halfClosed             int          // open halfClosed sockets
	adminConns             []*adminConn // oldest first
	adminAddress           string       // resolved second address; empty without one

	startFailureLogged     bool // used by OnTick only
	pendingEvents          []func(now time.Duration)
	runningEvents          bool // runEvent is active
	timer                  *time.Timer
	timerAt                time.Duration // deadline for which timer is set; 0 once it has fired
	draining               bool
	closingSince           time.Duration // when idle clients were dismissed; 0 before that
	closeDeadline          time.Duration // when the remaining connections are closed
	handoverDeadline       time.Duration // when a drain with another process must be over
	handoverDeadlinePassed bool          // pending requests were answered, and this process ends
	drainDeadlinePassed    bool          // the drain deadline has expired and pending requests were answered
	lastOpenAt             time.Duration // when the last OPEN arrived
	stopped                chan struct{} // closed when the process may end
	finalLink              *processLink  // link whose messages must be written before the process ends
	lineTimeout            time.Duration // how long a client's line may remain unanswered
	commandTimeout         time.Duration // how long a downstream socket may go without a complete command

	joinWait     time.Duration // how long a new process that was refused tries to join the running one
	probeTimeout time.Duration // how long a desk host may take to answer a probe
	listWaitEnds time.Duration // when health stops waiting for a pushed list
	listWait     time.Duration // how long it waits; with 0, requests do not wait for a first list either

	connect func(ctx context.Context, network, address string) (stdnet.Conn, error) // called off the loop
}

// NewNode returns a balancer that writes its metrics to out. In the shared directory it meets a process that already
// serves at its address, or later the one that takes over; sharedDir may be empty.
func NewNode(cfg NodeConfig, known *discovery.List, out io.Writer, sharedDir string, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log.With("balancer", cfg.Name), initialList: known, metricsOutput: out, sharedDir: sharedDir, leading: true,
		origin: time.Now(), counters: counters.Set{}, addresses: map[string]netip.AddrPort{},
		booted: make(chan struct{}), stopped: make(chan struct{}), lineTimeout: defaultLineTimeout,
		commandTimeout: defaultCommandTimeout, probeTimeout: defaultProbeTimeout, listWait: defaultListWait, joinWait: defaultJoinWait,
		processDescriptorLimit: processDescriptorLimit()}
	n.connect = (&stdnet.Dialer{KeepAlive: -1}).DialContext
	n.watch = newWatch(n, cfg.DiscoveryAddr)
	n.delays = newDelayMonitor()
	n.wallClock = newWallClockState(n.origin)
	n.tracing = log.Enabled(context.Background(), slog.LevelDebug)
	n.setConfig(cfg)
	return n
}

// Run serves until the node has drained or its listener fails.
func (n *Node) Run() error {
	failed := make(chan error, 1)
	if err := n.joinRunningProcess(); err != nil {
		return err
	}
	addresses := []string{"tcp://" + n.cfg.ListenAddr}
	if n.cfg.AdminAddr != "" {
		at, err := stdnet.ResolveTCPAddr("tcp", n.cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("second address: %w", err)
		}
		n.adminAddress = at.String()
		addresses = append(addresses, "tcp://"+n.cfg.AdminAddr)
	}
	go func() {
		failed <- gnet.Rotate(n, addresses, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
			gnet.WithTicker(true), gnet.WithReusePort(true), // with ReusePort gnet accepts on the loop: see makeRoom
			gnet.WithLogger(gnetLog{n.log, n.stopped}))
	}()
	var err error
	select {
	case <-n.stopped:
	case err = <-failed:
	}
	select {
	case <-n.stopped: // the loop may have ended first, together with its listener
		if n.finalLink != nil {
			n.finalLink.awaitEnd()
		}
		return nil
	default:
	}
	return cmp.Or(err, errors.New("the event loop ended"))
}

// boot starts the decision module. It runs on the loop, with the first connection there.
func (n *Node) boot(loop gnet.EventLoop) {
	n.loop = loop
	close(n.booted)
	n.runEvent(func(now time.Duration) {
		n.startedAt = now
		n.table = request.New(func(h policy.Host) request.Module {
			n.fleet = cells.New(n.cfg.Settings.Policy, n.cfg.Seed, h, n.cfg.CellPlan)
			return n.fleet
		}, requestIO{n}, &n.deadlines, n.counters)
		n.weigher = placement.NewWeightApplier(n.cfg.Placement.Plan, n.cfg.Settings.Policy.Zone)
		n.configureZones(now)
		n.watch.status.revision = n.initialList.Revision
		n.watch.status.setPhases(n.initialList)
		n.updateMembers(now, policy.Cached, n.initialList)
		n.listWaitEnds = now + n.listWait
		if n.listWait > 0 { // the configured list may be out of date
			n.table.SetLease(now, now)
		}
		if n.watch.watcher.Pushed {
			n.watch.watcher.Watch(now, true)
		}
		n.updatePlanWeights(now)
		n.delays.scheduleCheck(n, now)
		n.recorder.configure(n, now)
		n.log.Info("ready", "listen", n.cfg.ListenAddr, "hosts", len(n.initialList.Members), "cells", n.cfg.CellPlan.CellCount())
	})
}

// defaultListWait is how long health reports a new process as not ready while the agent of a pushed list has not
// answered.
const defaultListWait = time.Second

// maxNotReady is how long a new process answers probes with ERR while it has no lease on its host list. Without this
// limit, a silent discovery would keep it out of service and leave its clients to the other balancers; afterwards it
// refuses them itself.
const maxNotReady = 3 * time.Second

// awaitsLease reports whether a new process would have to refuse clients, because its configured list may be out of
// date.
func (n *Node) awaitsLease(now time.Duration) bool {
	return n.listWait > 0 && !n.watch.leased && now < n.startedAt+maxNotReady
}

// updateMembers applies a host list from discovery, with the weights of a plan if there is one.
func (n *Node) updateMembers(now time.Duration, kind policy.MembersKind, list *discovery.List) {
	for _, m := range list.Members {
		if m.State != policy.Gone {
			n.addresses[m.ID] = m.Address
		}
		n.trace("listed", "host", m.ID, "state", int(m.State), "started_ms", m.Started.Milliseconds())
	}
	n.table.UpdateMembers(now, kind, n.weigher.Apply(now, kind, n.serversOnNodeClock(now, kind, list)))
	n.updateZoneHosts(now)
	n.delays.updateListSize(n, now)
}

// updatePlanWeights applies the current weights of the plan, and schedules itself for the next step of a fading plan.
func (n *Node) updatePlanWeights(now time.Duration) {
	if changed := n.weigher.SetPlan(now, n.cfg.Placement.Plan, n.cfg.Settings.Policy.Zone); len(changed) > 0 {
		n.log.Info("plan-weights-changed", "hosts", len(changed))
		n.table.UpdateMembers(now, policy.Delta, changed)
	}
	n.deadlines.Stop(n.weightChange)
	if n.weightChange = nil; n.weigher.NextChange(now) > 0 {
		n.weightChange = n.deadlines.Set(n.weigher.NextChange(now), n.updatePlanWeights)
	}
}

// DumpMetrics writes counters and metrics to the node's output. It may be called from any goroutine.
func (n *Node) DumpMetrics() {
	<-n.booted
	done := make(chan struct{})
	n.post(func(time.Duration) {
		n.writeMetrics()
		close(done)
	})
	<-done
}

func (n *Node) writeMetrics() {
	_, _ = n.counters.WriteTo(n.metricsOutput)
	_, _ = io.WriteString(n.metricsOutput, n.metrics(n.now()).Text())
}
