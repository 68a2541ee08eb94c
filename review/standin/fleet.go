package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// proxyQuiet has the settings of the deployment proxy-quiet (deploy/sites) that the cases need: two attempts, no probes, and
// connections that end at the balancer.
func proxyQuiet() config {
	return config{tryLimit: 2, mode: "proxy", grace: 250 * time.Millisecond, siblings: 3, classes: []class{
		{"ward-note", 800 * time.Millisecond, 4800 * time.Millisecond, "safe"},
		{"bed-find", 500 * time.Millisecond, 3000 * time.Millisecond, "safe"},
		{"dose-check", 800 * time.Millisecond, 3200 * time.Millisecond, "safe"},
		{"scan-view", 800 * time.Millisecond, 4800 * time.Millisecond, "safe"}}}
}

// fleet is what a case starts: desk hosts, discovery, and the first process of a balancer.
type fleet struct {
	hosts   []*host
	disc    *discovery
	listen  string
	shared  string
	cfg     config
	current *balancer
	started int
}

// newFleet starts desk hosts, discovery and the first process of a balancer.
func newFleet(hosts int, cfg config) *fleet {
	f := newSurroundings(hosts, cfg)
	f.current = f.start()
	f.current.awaitHealth(10 * time.Second)
	f.current.awaitPong(10 * time.Second)
	return f
}

// newSurroundings starts desk hosts and discovery.
func newSurroundings(hosts int, cfg config) *fleet {
	f := &fleet{listen: freeAddress(), shared: filepath.Join(temp, "shared"), cfg: cfg}
	for i := range hosts {
		f.hosts = append(f.hosts, newHost(fmt.Sprintf("s-%02d", i)))
	}
	f.disc = newDiscovery(members(f.hosts))
	if err := os.Mkdir(f.shared, 0o700); err != nil {
		cannotRun("%v", err)
	}
	return f
}

// start starts a further process of the balancer: the same addresses, but for the second one, and the same TMPDIR.
func (f *fleet) start() *balancer {
	f.started++
	return start(fmt.Sprintf("process-%d", f.started), "n0", f.listen, f.disc.address(), f.shared, listJSON(41, true, members(f.hosts)), f.cfg)
}

// killAfter is when the operators kill the old process: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
func (f *fleet) killAfter() time.Duration {
	var longest time.Duration
	for _, c := range f.cfg.classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// upgrade has a new version take over, as the operators' page says: it is started beside the running process; once it
// says yes, the old one is replaced.
func (f *fleet) upgrade() {
	newer := f.start()
	newer.awaitHealth(6 * time.Second)
	f.replace(newer)
}

// replace sends SIGTERM to the running process, and SIGKILL when its time is up.
func (f *fleet) replace(newer *balancer) {
	older := f.current
	older.signal(syscall.SIGTERM)
	select {
	case <-time.After(f.killAfter()):
		older.signal(syscall.SIGKILL)
		<-older.done
	case <-older.done:
	}
	f.current = newer
}
