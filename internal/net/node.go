// Package net is the balancer on sockets: the front sockets of the clients, the sockets to the desk hosts and
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
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/cells"
	"tealtiller/internal/counters"
	"tealtiller/internal/deadline"
	"tealtiller/internal/failover"
	"tealtiller/internal/line"
	"tealtiller/internal/operation"
	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
	"tealtiller/internal/poolconfig"
	"tealtiller/internal/settings"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// Terms are what a node works by: the platform's configuration, and what the operator's own file adds to it.
type Terms struct {
	settings.Config
	Plan      *cells.Plan // nil: no cells
	Placement operator.Placement
	Failover  *failover.Settings // nil: no zone shares
}

// Node is one balancer. Its gnet callbacks and all its methods but Run, Reload, Drain and Report belong to the loop.
type Node struct {
	gnet.BuiltinEventEngine
	cfg       Terms
	log       *slog.Logger
	tracing   bool // the log takes in what trace tells
	known     *poolconfig.List
	out       io.Writer // of counters
	engine    gnet.Engine
	loop      gnet.EventLoop
	booted    chan struct{} // closed when loop is known
	origin    time.Time
	table     *operation.Table
	fleet     *cells.Fleet // the module that the table speaks with
	zones     *zones       // nil unless the operator's file turns them on
	deadlines deadline.Queue
	count     counters.Set
	folder    string // that the processes of this balancer share
	fronts    slot.Table[*front]
	desks     slot.Table[*desk]
	addresses map[string]netip.AddrPort
	pool      pool
	weigher   *placement.Weigher // between the pool config and the module
	fades     *deadline.Deadline // when the weights of a plan change by themselves
	recorder  recorder
	delays    delays

	link     *link // to the other process of this balancer, while there are two
	leading  bool  // the clients are ours
	share    int   // how many descriptors are ours while there are two
	awaiting io.Closer

	connections int // of gnet, dialled and accepted, but for callers
	dialling    int // each has a descriptor, and for a moment its duplicate
	doubled     int // whose duplicate is still open
	halves      int
	callers     []*caller // in order of their coming
	admin       string    // the second address as the listener names it; empty without one

	waits    bool // for somebody to start it; of OnTick alone
	events   []func(now time.Duration)
	busy     bool
	timer    *time.Timer
	timerAt  time.Duration
	stopping bool
	lastOpen time.Duration // when the last OPEN came
	stopped  chan struct{}
	last     *link         // the one whose messages must be written before the process ends
	silence  time.Duration // how long a client's line may stay unanswered
	patience time.Duration // how long a front socket may go without a whole command

	probeWait time.Duration // how long a desk host may take to answer a question
}

// socket is what stands behind a gnet connection.
type socket interface {
	opened(now time.Duration, c gnet.Conn) gnet.Action
	traffic(now time.Duration)
	detach(reset bool) // the connection must not be touched after this
	closed(now time.Duration, reset bool)
}

// NewNode makes a balancer that writes its counters to out. In the folder it meets the process that served before
// it, or the one that comes after it; there may be none.
func NewNode(cfg Terms, known *poolconfig.List, out io.Writer, folder string, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log.With("balancer", cfg.Name), known: known, out: out, folder: folder, leading: true, origin: time.Now(), count: counters.Set{},
		addresses: map[string]netip.AddrPort{}, booted: make(chan struct{}), stopped: make(chan struct{}), silence: silence,
		patience: mostSilent, probeWait: probeTimeout}
	n.pool = pool{node: n, address: cfg.Discovery, client: poolconfig.NewClient(cfg.Discovery, poolconfig.None)}
	n.delays = newDelays()
	n.tracing = log.Enabled(context.Background(), slog.LevelDebug)
	n.adopt(cfg)
	return n
}

// adopt takes a configuration as the one in force.
func (n *Node) adopt(cfg Terms) {
	n.cfg = cfg
	n.delays.aims(cfg.Settings.Policy)
	n.limitMemory()
}

// limitMemory leaves a quarter for what the Go runtime does not count. Two processes have half each.
func (n *Node) limitMemory() {
	limit := n.cfg.MemoryMB << 20 * 3 / 4
	if n.link != nil {
		limit /= 2
	}
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// Reload takes in a configuration that has been replaced; it may be called from any goroutine but the loop, on
// which nothing is read. One that makes no sense changes nothing.
func (n *Node) Reload(load func() (Terms, error)) {
	<-n.booted
	cfg, err := load()
	if err == nil && len(cfg.Known) > 0 {
		_, err = poolconfig.Parse(cfg.Known) // only checked: what discovery has told since is newer
	}
	n.post(func(time.Duration) {
		if err != nil {
			n.count.Add("configurations refused")
			n.log.Error("configuration-refused", "reason", err)
			return
		}
		n.reloaded(cfg)
	})
}

// reloaded swaps in what has changed. Operations, the list and all that is known of desk hosts stay.
func (n *Node) reloaded(cfg Terms) {
	n.count.Add("configurations taken in")
	n.log.Info("configuration-taken", "discovery", cfg.Discovery, "cells", cfg.Plan.Len())
	if cfg.Listen != n.cfg.Listen || cfg.Admin != n.cfg.Admin || cfg.Name != n.cfg.Name {
		n.log.Warn("restart-needed", "reason", "another name or listening address")
		cfg.Listen, cfg.Admin, cfg.Name = n.cfg.Listen, n.cfg.Admin, n.cfg.Name
	}
	// What is under way keeps its time, which may be longer than any of the new classes'.
	cfg.Settings.Deadline = max(cfg.Settings.Deadline, n.cfg.Settings.Deadline)
	n.adopt(cfg)
	n.table.Adopt(cfg.Settings.Policy)
	n.table.Settle(n.now(), func() { n.fleet.Replan(n.now(), cfg.Plan) })
	n.reweigh(n.now())
	n.recorder.turn(n, n.now())
	n.turnZones(n.now())
	if cfg.Discovery != n.pool.address {
		n.pool.turn(cfg.Discovery)
	}
}

// Run serves until the node has drained or its listener fails.
func (n *Node) Run() error {
	failed := make(chan error, 1)
	n.join()
	addresses := []string{"tcp://" + n.cfg.Listen}
	if n.cfg.Admin != "" {
		at, err := stdnet.ResolveTCPAddr("tcp", n.cfg.Admin)
		if err != nil {
			return fmt.Errorf("second address: %w", err)
		}
		n.admin = at.String()
		addresses = append(addresses, "tcp://"+n.cfg.Admin)
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

// gnetLog puts what gnet complains of into our log, until the node ends its listener, of which gnet complains too.
type gnetLog struct {
	log     *slog.Logger
	stopped <-chan struct{}
}

func (l gnetLog) Debugf(string, ...any) {}
func (l gnetLog) Infof(string, ...any)  {}
func (l gnetLog) Warnf(string, ...any)  {} // of connections that we have closed meanwhile
func (l gnetLog) Errorf(format string, args ...any) {
	select {
	case <-l.stopped:
	default:
		l.log.Error("event-loop", "reason", fmt.Sprintf(format, args...))
	}
}
func (l gnetLog) Fatalf(format string, args ...any) { l.Errorf(format, args...) }

// OnBoot keeps the engine.
func (n *Node) OnBoot(e gnet.Engine) gnet.Action {
	n.engine = e
	return gnet.None
}

// OnTick runs beside the loop, first when the loop has started. A loop is known to its connections alone, so
// one is opened for no other purpose than to start the node there.
func (n *Node) OnTick() (time.Duration, gnet.Action) {
	select {
	case <-n.booted: // by a client who came first
		return 24 * time.Hour, gnet.None
	default:
	}
	err := n.ring()
	if err == nil {
		return 24 * time.Hour, gnet.None
	}
	if !n.waits { // once: it is tried again each second, and the first client starts the node too
		n.log.Warn("start-waits", "reason", err)
	}
	n.waits = true
	return time.Second, gnet.None
}

type bell struct{ socket }

func (n *Node) ring() error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	defer syscall.Close(pair[1])
	file := os.NewFile(uintptr(pair[0]), "bell")
	defer file.Close()
	c, err := stdnet.FileConn(file)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	_, err = n.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), bell{}), c))
	return err
}

// now is Unix time advanced by the monotonic clock: with that origin a desk host that started shortly before
// this process is known to be cold.
func (n *Node) now() time.Duration {
	return time.Duration(n.origin.UnixNano()) + time.Since(n.origin)
}

// post has the loop run an event; it may be called from any goroutine.
func (n *Node) post(event func(now time.Duration)) {
	_ = n.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		n.do(event)
		return nil
	}))
}

// do runs an event on the loop, then what has fallen due. Danger: a failed write closes its connection at
// once, in the middle of another event; what is reported then waits its turn.
func (n *Node) do(event func(now time.Duration)) {
	n.events = append(n.events, event)
	if n.busy {
		return
	}
	n.busy = true
	for {
		for len(n.events) > 0 {
			next := n.events[0]
			n.events = n.events[1:]
			next(n.now())
		}
		now := n.now()
		if at, ok := n.deadlines.Next(); !ok || at > now {
			break
		}
		n.deadlines.Run(now)
	}
	n.busy = false
	n.rearm()
}

// rearm has the loop woken at the earliest deadline.
func (n *Node) rearm() {
	at, ok := n.deadlines.Next()
	if !ok || at == n.timerAt {
		return
	}
	n.timerAt = at
	wait := max(at-n.now(), 0)
	if n.timer == nil {
		n.timer = time.AfterFunc(wait, func() { n.post(func(time.Duration) { n.timerAt = 0 }) })
		return
	}
	n.timer.Reset(wait)
}

// boot starts the module, once the loop runs.
func (n *Node) boot(loop gnet.EventLoop) {
	n.loop = loop
	close(n.booted)
	n.do(func(now time.Duration) {
		n.table = operation.New(func(h policy.Host) operation.Module {
			n.fleet = cells.New(n.cfg.Settings.Policy, n.cfg.Seed, h, n.cfg.Plan)
			return n.fleet
		}, carrier{n}, &n.deadlines, n.count)
		n.weigher = placement.NewWeigher(n.cfg.Placement.Plan, n.cfg.Settings.Policy.Zone)
		n.turnZones(now)
		n.members(now, policy.Cached, n.known)
		if n.pool.pushed() {
			n.pool.watch(true)
		}
		n.reweigh(now)
		n.delays.next(n, now)
		n.recorder.turn(n, now)
		n.log.Info("ready", "listen", n.cfg.Listen, "hosts", len(n.known.Members), "cells", n.cfg.Plan.Len())
	})
}

// members takes what the pool config tells; the module hears of it with the weights of a plan, where there is one.
func (n *Node) members(now time.Duration, kind policy.MembersKind, list *poolconfig.List) {
	for _, m := range list.Members {
		if m.State != policy.Gone {
			n.addresses[m.ID] = m.Address
		}
		n.trace("listed", "host", m.ID, "state", int(m.State), "started_ms", m.Started.Milliseconds())
	}
	n.table.Members(now, kind, n.weigher.Take(now, kind, list.Servers()))
	n.zonesListed(now)
	n.delays.size(n, now)
}

// reweigh hands on the weights as they are now, and sees to it that it happens again when a plan fades further.
func (n *Node) reweigh(now time.Duration) {
	if changed := n.weigher.Replan(now, n.cfg.Placement.Plan, n.cfg.Settings.Policy.Zone); len(changed) > 0 {
		n.log.Info("plan-weights-changed", "hosts", len(changed))
		n.table.Members(now, policy.Delta, changed)
	}
	n.deadlines.Stop(n.fades)
	if n.fades = nil; n.weigher.Next(now) > 0 {
		n.fades = n.deadlines.Set(n.weigher.Next(now), n.reweigh)
	}
}

// OnOpen fires on the loop for accepted, dialled and enrolled connections.
func (n *Node) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if n.loop == nil {
		n.boot(c.EventLoop())
	}
	if _, ok := c.Context().(bell); ok {
		return nil, gnet.Close
	}
	s, ok := c.Context().(socket)
	switch {
	case ok:
		n.connections++
		n.dialling--
		n.doubled++
	case n.admin != "" && c.LocalAddr().String() == n.admin:
		s = &caller{node: n}
	default:
		n.connections++
		s = newFront(n)
	}
	c.SetContext(s)
	action := gnet.None
	n.do(func(now time.Duration) { action = s.opened(now, c) })
	return nil, action
}

// OnTraffic fires on the loop when bytes have come.
func (n *Node) OnTraffic(c gnet.Conn) gnet.Action {
	if s, ok := c.Context().(socket); ok {
		n.do(s.traffic)
	}
	return gnet.None
}

// OnClose fires on the loop when a connection has ended, by our own doing too.
func (n *Node) OnClose(c gnet.Conn, err error) gnet.Action {
	s, ok := c.Context().(socket)
	if _, isBell := c.Context().(bell); !ok || isBell {
		return gnet.None
	}
	if _, calls := s.(*caller); !calls {
		n.connections--
	}
	reset := err != nil && !errors.Is(err, io.EOF)
	s.detach(reset)
	n.do(func(now time.Duration) { s.closed(now, reset) })
	return gnet.None
}

// end closes a connection, by a reset where the other side ended so.
func (n *Node) end(c gnet.Conn, reset bool) {
	if c == nil {
		return
	}
	if reset {
		_ = c.SetLinger(0)
	}
	_ = n.loop.Close(c)
}

// own is how many descriptors are neither a front socket's nor a desk host's: the standard streams, pollers,
// the listeners, discovery, a configuration that is being read. Callers have theirs besides.
const own = 24

// room sees to it that so many more descriptors may be opened. Where they are short, front sockets without a whole
// request go, before any client with one is refused: of those that are not in the midst of a line, and then of the
// others, the one that has been silent for longest.
//
// Danger: a listener that finds no descriptor ends the whole event loop, and so it would if another goroutine
// accepted hundreds before the loop had a chance to count them.
func (n *Node) room(more int) bool {
	for n.cfg.Sockets > 0 && n.left() < more {
		var silent *front
		for _, f := range n.fronts.All() {
			if f.conn != nil && (!f.taken || f.linger) && (silent == nil || f.idler(silent)) {
				silent = f
			}
		}
		if silent == nil {
			return false
		}
		n.count.Add("front sockets closed: silent, descriptors short")
		silent.ending = true
		n.end(silent.conn, false)
	}
	return true
}

// left is how many descriptors may still be opened.
func (n *Node) left() int {
	most := n.cfg.Sockets
	if n.link != nil {
		most = n.share
	}
	if n.admin != "" {
		most -= mostCallers
	}
	return most - own - n.connections - 2*n.dialling - n.doubled - n.halves
}

// buffered is how much may wait for one peer that does not read, or from one that must wait: of a quarter of
// the memory its part, but two lines at the least.
func (n *Node) buffered() int {
	if n.cfg.MemoryMB <= 0 || n.cfg.Sockets <= 0 {
		return mostBuffered
	}
	return min(max(int(n.cfg.MemoryMB<<20)/4/n.cfg.Sockets, 2*line.Most), mostBuffered)
}

const mostBuffered = 256 << 10

// trace logs what happens to single operations and desk hosts, for those who count over a whole fleet. Danger: at
// size its lines cost more than the work that they tell of, so without the debug level nothing is even formed.
func (n *Node) trace(event string, fields ...any) {
	if n.tracing {
		n.log.Debug(event, fields...)
	}
}

// write sends bytes on a connection; one that fails or whose peer does not read is ended.
func (n *Node) write(c gnet.Conn, data []byte) {
	if c == nil {
		return
	}
	if _, err := c.Write(data); err != nil {
		return // closed by gnet, and told to OnClose
	}
	if c.OutboundBuffered() > n.buffered() {
		n.count.Add("sockets ended: peer does not read")
		n.end(c, true)
	}
}

// Report prints the counters; it may be called from any goroutine.
func (n *Node) Report() {
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

// settled is how long no OPEN must have come before a draining node stops; clients keep coming for up to
// 0.4 s after the signal.
const settled, drainCheck = 600 * time.Millisecond, 20 * time.Millisecond

// Drain ends the node in good order; it may be called from any goroutine.
func (n *Node) Drain() {
	<-n.booted
	n.post(func(now time.Duration) {
		if n.stopping {
			return
		}
		n.stopping, n.lastOpen = true, max(n.lastOpen, now)
		n.log.Info("draining", "operations", n.table.Len())
		n.stepBack()
		n.drained(now, now+n.cfg.Settings.Deadline+settled)
	})
}

// drained stops the node once all taken is answered and clients have ceased to come. Where connections end here,
// those that stand are moved, also those that have come up since, and the node stops at a time at the latest.
//
// Danger: where packets pass through, our end is the end of what stands, and its clients would come again; as
// long as we run it is carried on. Whoever stops us for good lets its packets reach another balancer.
func (n *Node) drained(now, latest time.Duration) {
	if n.link != nil && !n.leading { // the other process goes on with all that stands
		if n.handOver(now) {
			n.leave()
			return
		}
		n.deadlines.Set(now+drainCheck, func(now time.Duration) { n.drained(now, latest) })
		return
	}
	if !n.cfg.Settings.PassThrough {
		for _, d := range n.desks.All() {
			if d.up {
				d.move(now)
			}
		}
	}
	answered := n.table.Owed() == 0 && now-n.lastOpen >= settled
	if n.cfg.Settings.PassThrough && answered && n.table.Len() == 0 ||
		!n.cfg.Settings.PassThrough && (answered || now >= latest) {
		n.leave()
		return
	}
	n.deadlines.Set(now+drainCheck, func(now time.Duration) { n.drained(now, latest) })
}

// gone tells that the process is ending.
func (n *Node) gone() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

// leave ends the process.
func (n *Node) leave() {
	n.report()
	if n.last = n.link; n.last != nil {
		n.last.close()
	}
	n.pool.watch(false) // whose end is no failure
	close(n.stopped)
}
