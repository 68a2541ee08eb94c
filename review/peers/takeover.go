package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// takeover is a small deployment whose balancer is replaced by a new version under load: desk hosts, discovery, one
// balancer, and clients whose connections stand.
type takeover struct {
	w           *world
	dir         *directory
	disc        *discovery
	hosts       []*host
	site        *site
	listen, tmp string
	current     *node
}

func (w *world) newTakeover(hosts int, site *site) (*takeover, error) {
	t := &takeover{w: w, site: site, dir: w.newDirectory(), listen: freeAddr(), tmp: filepath.Join(w.tmp, "shared")}
	for i := range hosts {
		h, err := w.startHost(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		h.quiet = true
		t.hosts = append(t.hosts, h)
		t.dir.set(h.entry("in_service"))
	}
	var err error
	if t.disc, err = w.startDiscovery(t.dir); err != nil {
		return nil, err
	}
	if err = os.Mkdir(t.tmp, 0o755); err != nil {
		return nil, err
	}
	if t.current, err = w.startNode("n1", t.listen, t.tmp, config(t.disc, t.site.settings)); err != nil {
		return nil, err
	}
	return t, t.current.awaitPong(10 * time.Second)
}

// replace starts a new process beside the current one and waits until it says that it is ready. Then the old one gets
// SIGTERM, atTerm is called, and the old one is killed after the longest deadline, counted as 3 s, and 0.7 s.
func (t *takeover) replace(atTerm func()) error {
	next, err := t.w.startNode("n1", t.listen, t.tmp, config(t.disc, t.site.settings))
	if err != nil {
		return err
	}
	if err := next.awaitHealth(6 * time.Second); err != nil {
		return err
	}
	old := t.current
	t.current = next
	old.signal(syscall.SIGTERM)
	atTerm()
	old.endsWithin(3700 * time.Millisecond)
	return nil
}

func (h *host) entry(phase string) member {
	return member{h.id, h.addr, "a", "m1", 0, phase, 1, 0}
}

// stand brings up a connection with a receipt of its desk host.
func (t *takeover) stand(group int) (k *connection, hostID string, err error) {
	k, err = t.site.dialOpen(t.listen, newID(), fmt.Sprintf("%016x", 0x5c0f6e1a2b3d0000+group))
	if err != nil {
		return nil, "", err
	}
	a := k.read(t.site.answerLimit())
	if firstWord(a) != "UP" {
		k.c.Close()
		return nil, "", fmt.Errorf("not up: %s", a)
	}
	return k, strings.Split(a, " ")[2], nil
}

// each calls f for each connection at once and waits for all.
func each(all []*standing, f func(s *standing)) {
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Add(1)
		go func() { defer wg.Done(); f(s) }()
	}
	wg.Wait()
}

// standing is a connection that stands.
type standing struct {
	*connection
	host string
	sent int
}

func (t *takeover) standAll(n, groups int) (all []*standing, err error) {
	for i := 0; len(all) < n; i++ {
		k, host, err := t.stand(i % groups)
		if err != nil {
			if i > 2*n {
				return nil, err
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		all = append(all, &standing{connection: k, host: host})
	}
	at := map[string]int{}
	for _, s := range all {
		at[s.host]++
	}
	t.w.note("%d connections stand: %v", len(all), at)
	return all, nil
}
