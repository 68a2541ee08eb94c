package drainsearch

import (
	"errors"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/counters"
	"tealtiller/internal/deadline"
	"tealtiller/internal/discovery"
	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// balancer is one balancer of the fleet, and the process of it that runs. It is what internal/net is to the real one.
type balancer struct {
	world     *world
	number    int
	process   int
	running   bool
	heard     bool // an answer that can be read was written to this process
	told      int  // the revision of the last such answer
	deadlines deadline.Queue
	watcher   *discovery.Watcher
	table     *request.Table
	links     map[int]*link   // to discovery, in use
	listed    map[string]bool // hosts whose address is known
	clients   map[slot.ID]*client
	owners    slot.ID
	hold      time.Duration // of the next event
	busyUntil time.Duration
	effect    time.Duration // when what the event under way writes is written
	timerAt   time.Duration
	sent      int
}

// begin starts a process with a list that is old.
func (b *balancer) begin(startup, knownAge time.Duration) {
	w := b.world
	b.kill()
	revision := w.service.revisionAt(w.now - knownAge)
	w.audit.Started(b.number, w.now, revision)
	w.explain("balancer %d starts with revision %d", b.number, revision)
	b.process++
	b.running, b.heard, b.told, b.links = false, false, 0, map[int]*link{}
	known, err := discovery.Parse([]byte(w.service.history.FullList(revision)))
	if err != nil {
		panic(err)
	}
	process := b.process
	w.at(w.now+startup, func() {
		if b.process == process {
			b.boot(known)
		}
	})
}

// boot is the first turn of a process.
func (b *balancer) boot(known *discovery.List) {
	b.running = true
	b.deadlines, b.timerAt, b.busyUntil = deadline.Queue{}, 0, 0
	b.listed, b.clients = map[string]bool{}, map[slot.ID]*client{}
	set := b.settings()
	b.watcher = discovery.NewWatcher("discovery", b, observer{b}, &b.deadlines)
	b.watcher.Configure(!set.MustWatch, set.DrainGrace)
	b.do(func(now time.Duration) {
		seed := b.world.script.Seed + uint64(b.number)<<32 + uint64(b.process)<<48
		b.table = request.New(func(h policy.Host) request.Module { return cells.New(set, seed, h, nil) }, b, &b.deadlines, counters.Set{})
		b.members(now, policy.Cached, known)
		b.table.SetLease(now, now) // as the real one does
		if b.watcher.Pushed {
			b.watcher.Watch(now, true)
		}
	})
}

func (b *balancer) settings() policy.Settings {
	s := b.world.script
	classes := map[string]policy.Class{}
	for name, effect := range map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe} {
		classes[name] = policy.Class{SetupTarget: s.Aim, MessageTarget: 250 * ms, Effect: effect, DedupWindow: 2 * time.Second}
	}
	grace := s.Grace
	if b.world.options.IgnoresGrace {
		grace += time.Second
	}
	return policy.Settings{Classes: classes, MaxAttempts: 6, Siblings: s.Balancers, Tick: 4 * ms, MustWatch: !s.Pushed, MaxWatchInterval: s.AskWithin,
		DrainGrace: grace, ColdCapacityShare: 0.15, WarmAfter: 22 * time.Second, OverloadFactor: 3, OverloadSpan: time.Second}
}

// kill ends the process without a word.
func (b *balancer) kill() {
	b.world.explain("balancer %d is killed", b.number)
	for _, l := range b.links {
		delete(b.world.service.calls, l)
	}
	b.process++
	b.running, b.links = false, map[int]*link{}
}

// do runs an event and what has fallen due. A held process reads its clock, and acts later.
func (b *balancer) do(event func(now time.Duration)) {
	now := b.world.now
	b.effect = now + b.hold
	b.busyUntil, b.hold = b.effect, 0
	event(now)
	b.deadlines.Run(now)
	b.rearm()
}

// later runs an event of this process at a moment, or once the process is no longer held.
func (b *balancer) later(at time.Duration, event func(now time.Duration)) {
	process := b.process
	b.world.at(at, func() {
		switch {
		case b.process != process || !b.running:
		case b.world.now < b.busyUntil:
			b.later(b.busyUntil, event)
		default:
			b.do(event)
		}
	})
}

// rearm has the process woken at its earliest deadline.
func (b *balancer) rearm() {
	at, ok := b.deadlines.Next()
	if !ok || at == b.timerAt {
		return
	}
	b.timerAt = at
	b.later(at, func(time.Duration) { b.timerAt = 0 })
}

// hear has the process hear of a connection to discovery after a time, if that is still the one in use.
func (b *balancer) hear(l *link, after time.Duration, event func(b *balancer, now time.Duration)) {
	if l.process != b.process {
		return
	}
	b.later(b.world.now+after, func(now time.Duration) {
		if b.uses(l) {
			event(b, now)
		}
	})
}

// reload is a SIGHUP.
func (b *balancer) reload(moves bool) {
	if !b.running {
		return
	}
	b.world.explain("balancer %d gets SIGHUP, discovery moves: %v", b.number, moves)
	if moves {
		b.world.audit.Reloaded(b.number, b.world.now)
	}
	b.later(b.world.now, func(now time.Duration) {
		b.table.Reconfigure(b.settings())
		if moves {
			b.heard = false
			b.watcher.MoveTo(now, "elsewhere")
		}
	})
}

var errNoAddress = errors.New("no address")
