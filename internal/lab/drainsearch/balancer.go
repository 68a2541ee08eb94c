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

// balancer is one balancer of the fleet with its current process. It stands in for package internal/net: it connects
// the balancer's own code to the simulated network and clock.
type balancer struct {
	world            *world
	number           int
	process          int
	running          bool
	answered         bool // a readable answer of discovery was written to this process
	answeredRevision int  // the revision of the last such answer
	deadlines        deadline.Queue
	watcher          *discovery.Watcher
	table            *request.Table
	links            map[int]*link   // connections to discovery in use
	knownHosts       map[string]bool // hosts whose address is known
	clients          map[slot.ID]*client
	lastOwner        slot.ID
	nextHold         time.Duration // pause to apply to the next event
	busyUntil        time.Duration
	writeTime        time.Duration // when the output of the current event is written
	timerAt          time.Duration
	sent             int
}

// startProcess starts a process whose configuration has a list of the given age.
func (b *balancer) startProcess(startup, knownAge time.Duration) {
	w := b.world
	b.kill()
	revision := w.service.revisionAt(w.now - knownAge)
	w.audit.Started(b.number, w.now, revision)
	w.explain("balancer %d starts with revision %d", b.number, revision)
	b.process++
	b.running, b.answered, b.answeredRevision, b.links = false, false, 0, map[int]*link{}
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

// boot runs the first event of a process.
func (b *balancer) boot(known *discovery.List) {
	b.running = true
	b.deadlines, b.timerAt, b.busyUntil = deadline.Queue{}, 0, 0
	b.knownHosts, b.clients = map[string]bool{}, map[slot.ID]*client{}
	settings := b.settings()
	b.watcher = discovery.NewWatcher("discovery", b, observer{b}, &b.deadlines)
	b.watcher.Configure(!settings.MustWatch, settings.DrainGrace)
	b.runEvent(func(now time.Duration) {
		seed := b.world.script.Seed + uint64(b.number)<<32 + uint64(b.process)<<48
		b.table = request.New(func(h policy.Host) request.Module { return cells.New(settings, seed, h, nil) }, b, &b.deadlines, counters.Set{})
		b.updateMembers(now, policy.Cached, known)
		b.table.SetLease(now, now) // as the real balancer does
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

// kill ends the process without any cleanup.
func (b *balancer) kill() {
	b.world.explain("balancer %d is killed", b.number)
	for _, l := range b.links {
		delete(b.world.service.calls, l)
	}
	b.process++
	b.running, b.links = false, map[int]*link{}
}

// runEvent runs an event and the deadlines that have expired. A held process reads its clock first and acts after the
// hold.
func (b *balancer) runEvent(event func(now time.Duration)) {
	now := b.world.now
	b.writeTime = now + b.nextHold
	b.busyUntil, b.nextHold = b.writeTime, 0
	event(now)
	b.deadlines.Run(now)
	b.rearm()
}

// schedule runs an event of this process at a time, or once the process is no longer held. It is dropped if the process
// has ended by then.
func (b *balancer) schedule(at time.Duration, event func(now time.Duration)) {
	process := b.process
	b.world.at(at, func() {
		switch {
		case b.process != process || !b.running:
		case b.world.now < b.busyUntil:
			b.schedule(b.busyUntil, event)
		default:
			b.runEvent(event)
		}
	})
}

// rearm schedules a wake-up at the earliest deadline.
func (b *balancer) rearm() {
	at, ok := b.deadlines.Next()
	if !ok || at == b.timerAt {
		return
	}
	b.timerAt = at
	b.schedule(at, func(time.Duration) { b.timerAt = 0 })
}

// scheduleForLink schedules an event of a connection to discovery, which is dropped if the connection is no longer in
// use by then.
func (b *balancer) scheduleForLink(l *link, after time.Duration, event func(b *balancer, now time.Duration)) {
	if l.process != b.process {
		return
	}
	b.schedule(b.world.now+after, func(now time.Duration) {
		if b.inUse(l) {
			event(b, now)
		}
	})
}

// reload delivers a SIGHUP.
func (b *balancer) reload(discoveryMoves bool) {
	if !b.running {
		return
	}
	b.world.explain("balancer %d receives SIGHUP, discovery moves: %v", b.number, discoveryMoves)
	if discoveryMoves {
		b.world.audit.Reloaded(b.number, b.world.now)
	}
	b.schedule(b.world.now, func(now time.Duration) {
		b.table.Reconfigure(b.settings())
		if discoveryMoves {
			b.answered = false
			b.watcher.MoveTo(now, "elsewhere")
		}
	})
}

var errNoAddress = errors.New("no address")
