package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["chunked-list"] = chunkedList }

// chunkedList drains a desk host while discovery's answers come in pieces. Once the balancer was told, it may send new
// work there for 300 ms, and 50 ms of slack.
func chunkedList(w *world) error {
	const grace = 350 * time.Millisecond
	dir := w.newDirectory()
	var hosts []*host
	for i := range 4 {
		h, err := w.startHost(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
		dir.set(h.entry("in_service"))
	}
	disc, err := w.startChunkedDiscovery(dir)
	if err != nil {
		return err
	}
	site := cardiffNorth()
	n, err := w.startNode("n1", freeAddr(), w.tmp, config(&discovery{d: dir, addr: disc.addr}, site.settings))
	if err != nil {
		return err
	}
	if err := n.awaitPong(10 * time.Second); err != nil {
		return err
	}
	var clients sync.WaitGroup
	answers := map[string]int{}
	var mu sync.Mutex
	request := func(group int) {
		defer clients.Done()
		k, err := site.dialOpen(n.listen, newID(), fmt.Sprintf("%016x", 0x5c0f6e1a2b3d0000+group))
		answer := "(not connected)"
		if err == nil {
			defer k.c.Close()
			answer = k.read(site.answerLimit())
			w.note("client %s got %q", k.id, answer)
			time.Sleep(2 * time.Second)
		}
		mu.Lock()
		answers[firstWord(answer)]++
		mu.Unlock()
	}
	started := time.Now()
	for i := 0; time.Since(started) < 8*time.Second; i++ {
		clients.Add(1)
		go request(i % 40)
		time.Sleep(50 * time.Millisecond)
		if i == 40 {
			disc.mu.Lock()
			disc.inPieces = w.trouble
			disc.mu.Unlock()
		}
		if i == 60 {
			dir.set(hosts[0].entry("terminating"))
		}
	}
	clients.Wait()
	told := disc.told(dir.revision)
	if told.IsZero() {
		return fmt.Errorf("the balancer was not told of the drain")
	}
	w.note("told of the drain at %.3f; answers to clients: %v", told.Sub(w.start).Seconds(), answers)
	hosts[0].mu.Lock()
	defer hosts[0].mu.Unlock()
	for id, at := range hosts[0].opened {
		for _, t := range at {
			if late := t.Sub(told); late > grace {
				w.breach("request %s was sent to the draining desk host %s %v after the balancer was told of the drain", id, hosts[0].id, late)
			}
		}
	}
	return nil
}
