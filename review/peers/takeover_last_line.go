package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

func init() { cases["takeover-last-line"] = takeoverLastLine }

// takeoverLastLine replaces the balancer's process while clients' connections stand. In the tenth of a second after
// SIGTERM half of the clients send a last line and end their sending; their desk hosts answer at once. Each has to get
// the answer, or MOVE.
func takeoverLastLine(w *world) error {
	const hosts, connections = 8, 200
	t, err := w.newTakeover(hosts, proxyQuiet())
	if err != nil {
		return err
	}
	for round := range 4 {
		all, err := t.standAll(connections, 60)
		if err != nil {
			return err
		}
		leaving, staying := all[:connections/2], all[connections/2:]
		done := make(chan struct{})
		leave := func() {
			defer close(done)
			each(leaving, func(s *standing) {
				defer s.c.Close()
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				line := fmt.Sprintf("LAST %s", s.id)
				fmt.Fprintf(s.c, "%s\r\n", line)
				sent := time.Now()
				_ = s.c.(*net.TCPConn).CloseWrite()
				a := s.read(7050 * time.Millisecond)
				switch {
				case a == "ECHO "+line, a == "MOVE":
					w.note("client %s of %s got %q", s.id, s.host, a)
				default:
					time.Sleep(time.Second)
					w.breach("client %s sent a last line and ended its sending; %v later it got %q; its desk host %s has got the line: %v",
						s.id, time.Since(sent)-time.Second, a, s.host, t.host(s.host).has(line))
				}
			})
		}
		if w.trouble {
			err = t.replace(func() { go leave() })
		} else {
			leave()
		}
		if err != nil {
			return err
		}
		<-done
		each(staying, func(s *standing) {
			defer s.c.Close()
			fmt.Fprintf(s.c, "LINE %s\r\n", s.id)
			if a := s.read(7050 * time.Millisecond); a != "MOVE" && !strings.HasPrefix(a, "ECHO") {
				w.breach("client %s, which stays, got %q", s.id, a)
			}
		})
		w.note("round %d ends", round+1)
	}
	return nil
}

func (t *takeover) host(id string) *host {
	for _, h := range t.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}
