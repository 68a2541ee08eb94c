package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["takeover-crash"] = takeoverCrash }

// takeoverCrash replaces the balancer's process while clients' connections stand. Just after SIGTERM two of eight desk
// hosts die and reset their connections. Each client there has to be ended or moved within a second.
func takeoverCrash(w *world) error {
	const hosts, connections = 8, 200
	limit := 1050 * time.Millisecond // a second, and the slack of 50 ms
	t, err := w.newTakeover(hosts, proxyQuiet())
	if err != nil {
		return err
	}
	for round := range 3 {
		all, err := t.standAll(connections, 60)
		if err != nil {
			return err
		}
		dead := map[string]bool{}
		var diedAt time.Time
		err = t.replace(func() {
			if !w.trouble {
				return
			}
			time.Sleep(2 * time.Millisecond)
			for _, h := range t.hosts[2*round%hosts:][:2] {
				dead[h.id] = true
				h.stop()
			}
			diedAt = time.Now()
		})
		if err != nil {
			return err
		}
		if !t.current.running() {
			return fmt.Errorf("the new process ended")
		}
		each(all, func(s *standing) {
			defer s.c.Close()
			if !dead[s.host] { // it has to stand, or to be moved
				fmt.Fprintf(s.c, "LINE %s\r\n", s.id)
				if a := s.read(7050 * time.Millisecond); a != "MOVE" && !strings.HasPrefix(a, "ECHO") {
					w.breach("client %s of the running desk host %s got %q", s.id, s.host, a)
				}
				return
			}
			a := s.read(time.Until(diedAt.Add(limit)))
			if !strings.HasPrefix(a, "(nothing)") {
				w.note("client %s of the dead desk host %s got %q", s.id, s.host, a)
				return
			}
			lines := 0
			for ; lines < 6 && strings.HasPrefix(a, "(nothing)"); lines++ {
				fmt.Fprintf(s.c, "LINE %s %d\r\n", s.id, lines+1)
				a = s.read(2 * time.Second)
			}
			w.breach("client %s: its desk host %s died, and it was neither ended nor moved within a second; %.1f s after that, and %d lines: %q",
				s.id, s.host, time.Since(diedAt).Seconds(), lines, a)
		})
		for _, h := range t.hosts {
			if dead[h.id] {
				if err := h.restart(); err != nil {
					return err
				}
				t.dir.set(h.entry("in_service"))
			}
		}
		w.note("round %d ends", round+1)
	}
	return nil
}
