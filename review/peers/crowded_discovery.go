package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

func init() { cases["crowded-discovery"] = crowdedDiscovery }

// busyDiscovery serves a directory and takes calls in turn, one each serviceTime. A call that has waited for longest is
// refused with 503. While it is down, it refuses connections and its watches are reset. While it is crowded, other
// callers of a large fleet call it too, which are played inside it.
type busyDiscovery struct {
	d                *directory
	addr             string
	mu               sync.Mutex
	server           *http.Server
	crowded          bool
	queue            []*queuedCall
	served, refused  int // calls of others
	servedHere, late int // calls of the balancers
}

// queuedCall is a call that waits for its turn.
type queuedCall struct {
	arrived time.Time
	turn    chan bool // of a balancer: whether it is served; nil for a call of another caller
}

const (
	serviceTime = 45 * time.Millisecond
	longestWait = 2 * time.Second
	callsAtOnce = 200                  // calls of others as discovery returns
	othersEach  = 5 * time.Millisecond // from one of their calls to the next, on average
)

func (s *busyDiscovery) up() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr, s.server = l.Addr().String(), &http.Server{Handler: s}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	s.d.w.note("discovery is up at %s", s.addr)
	return nil
}

func (s *busyDiscovery) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
	s.d.w.note("discovery is down")
}

func (s *busyDiscovery) setCrowded(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crowded = on
	s.d.w.note("discovery is crowded: %v; calls of others answered %d, refused %d; of the balancers answered %d, refused %d", on, s.served, s.refused, s.servedHere, s.late)
	if on { // most of the others have been started anew, and call at once
		for range callsAtOnce {
			s.queue = append(s.queue, &queuedCall{arrived: time.Now()})
		}
		go func() {
			for {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(othersEach)))
				s.mu.Lock()
				if !s.crowded {
					s.mu.Unlock()
					return
				}
				s.queue = append(s.queue, &queuedCall{arrived: time.Now()})
				s.mu.Unlock()
			}
		}()
	}
}

// work takes the calls in turn.
func (s *busyDiscovery) work() {
	for {
		s.mu.Lock()
		for len(s.queue) > 0 && time.Since(s.queue[0].arrived) > longestWait {
			if q := s.queue[0]; q.turn != nil {
				s.late++
				q.turn <- false
			} else {
				s.refused++
			}
			s.queue = s.queue[1:]
		}
		pause := time.Millisecond
		if len(s.queue) > 0 {
			if q := s.queue[0]; q.turn != nil {
				s.servedHere++
				q.turn <- true
			} else {
				s.served++
			}
			s.queue, pause = s.queue[1:], serviceTime
		}
		s.mu.Unlock()
		time.Sleep(pause)
	}
}

func (s *busyDiscovery) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	q := &queuedCall{arrived: time.Now(), turn: make(chan bool, 1)}
	s.mu.Lock()
	s.queue = append(s.queue, q)
	s.mu.Unlock()
	if !<-q.turn {
		s.d.w.note("discovery refuses a call of %s, which has waited too long: 503", r.RemoteAddr)
		http.Error(out, "waited too long", http.StatusServiceUnavailable)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	s.d.await(since, time.Duration(min(wait, 60000))*time.Millisecond)
	l := s.d.since(since)
	body, _ := json.Marshal(l)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = out.Write(body)
	s.d.w.note("discovery has answered a call of %s since %d with revision %d, error: %v", r.RemoteAddr, since, l.Revision, err)
}

// crowdedDiscovery has discovery down for 8 s. It returns crowded, and a release begins a second later: half of
// the desk hosts begin to drain, one each three seconds. A drain counts as told 6 s later at the latest; new work may be
// sent there for 300 ms more. Each limit grows by 50 ms.
func crowdedDiscovery(w *world) error {
	const toldWithin, grace = 6050 * time.Millisecond, 350 * time.Millisecond
	dir := w.newDirectory()
	var hosts []*host
	for i := range 8 {
		h, err := w.startHost(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
		dir.set(h.entry("in_service"))
	}
	disc := &busyDiscovery{d: dir, addr: "127.0.0.1:0"}
	if err := disc.up(); err != nil {
		return err
	}
	go disc.work()
	site := cardiffNorth()
	site.settings["siblings"] = 3
	var nodes []*node
	for i := range 3 {
		name := fmt.Sprintf("n%d", i+1)
		tmp := filepath.Join(w.tmp, name)
		if err := os.Mkdir(tmp, 0o755); err != nil {
			return err
		}
		n, err := w.startNode(name, freeAddr(), tmp, config(&discovery{d: dir, addr: disc.addr}, site.settings))
		if err != nil {
			return err
		}
		if err := n.awaitPong(10 * time.Second); err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	drainAt := make([]time.Time, 4)
	released := make(chan struct{})
	go func() {
		defer close(released)
		time.Sleep(2 * time.Second)
		if w.trouble {
			disc.down()
			time.Sleep(8 * time.Second)
			disc.setCrowded(true)
			if err := disc.up(); err != nil {
				w.note("discovery cannot return: %v", err)
			}
		}
		time.Sleep(time.Second)
		for i := range drainAt {
			drainAt[i] = time.Now()
			dir.set(hosts[i].entry("terminating"))
			time.Sleep(3 * time.Second)
		}
	}()
	var clients sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < 32*time.Second; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			n := nodes[i%len(nodes)]
			k, err := site.dialOpen(n.listen, newID(), fmt.Sprintf("%016x", 0x5c0f6e1a2b3d0000+i%40))
			if err != nil {
				w.note("client cannot connect to %s: %v", n.name, err)
				return
			}
			defer k.c.Close()
			w.note("client %s at %s got %q", k.id, n.name, k.read(1700*time.Millisecond))
			time.Sleep(2 * time.Second)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	disc.setCrowded(false)
	clients.Wait()
	<-released
	for i, at := range drainAt {
		h := hosts[i]
		h.mu.Lock()
		for id, times := range h.opened {
			for _, t := range times {
				if late := t.Sub(at); late > toldWithin+grace {
					w.breach("request %s was sent to the draining desk host %s %v after discovery had the drain and could be reached", id, h.id, late)
				}
			}
		}
		h.mu.Unlock()
	}
	return nil
}
