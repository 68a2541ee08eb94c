package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["list-pieces"] = listPieces }

// writeInPieces writes an answer with chunked transfer coding, each line of it in a write of its own.
func writeInPieces(c net.Conn, body string) {
	for _, piece := range []string{"HTTP/1.1 200 OK\r\n", "Content-Type: application/json\r\n", "Transfer-Encoding: chunked\r\n", "\r\n",
		fmt.Sprintf("%x\r\n", len(body)), body + "\r\n", "0\r\n", "\r\n"} {
		if _, err := c.Write([]byte(piece)); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// listPieces: discovery's answers come in pieces; a desk host drains, and stops 5 s later.
func listPieces() bool {
	const (
		slack  = 50 * time.Millisecond
		wait   = 3 * time.Second
		pieces = 2 * time.Second       // from then on answers come in pieces
		drain  = 5 * time.Second       // when the host is listed as terminating
		stop   = 10 * time.Second      // when it stops
		end    = 14 * time.Second      // of the requests
		pause  = 50 * time.Millisecond // between two requests
		life   = 20 * time.Second      // of a connection
		drawn  = "s-01"
	)
	f := newFleet(6, planNorte())
	draining := f.hosts[1]
	var told atomic.Int64 // since begin, when discovery had written the drain
	f.disc.onWritten = func(revision int64) {
		if revision >= 42 && told.CompareAndSwap(0, int64(time.Since(begin))) {
			rec.add("the drain of %s counts as told", drawn)
		}
	}
	var late, sent, refused atomic.Int64
	draining.opened = func(id string, first time.Time) {
		at := time.Duration(told.Load())
		if at > 0 && first.Sub(begin) > at+f.cfg.grace+slack {
			late.Add(1)
			rec.add("BROKEN: %s got %s %v after its drain was told; %v are allowed", drawn, id, (first.Sub(begin) - at).Round(time.Millisecond), f.cfg.grace+slack)
		}
	}
	origin := time.Now()
	go func() {
		time.Sleep(pieces)
		if trouble {
			f.disc.mu.Lock()
			f.disc.write = writeInPieces
			f.disc.mu.Unlock()
			rec.add("answers of discovery come in pieces from now on")
		}
		time.Sleep(time.Until(origin.Add(drain)))
		draining.drain()
		f.disc.set(drawn, "terminating")
		time.Sleep(time.Until(origin.Add(stop)))
		draining.stop()
		f.disc.set(drawn, "terminated")
	}()
	var clients sync.WaitGroup
	for n := 0; time.Since(origin) < end; n++ {
		time.Sleep(pause)
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("c%d", n)
			k, err := open(f.listen, id, "serie-hecha", n, wait)
			if err != nil {
				rec.add("client %s not connected: %v", id, err)
				return
			}
			defer k.conn.Close()
			sent.Add(1)
			a := k.await(wait + 550*time.Millisecond)
			if !strings.HasPrefix(a.text, "UP") {
				refused.Add(1)
				return
			}
			for born := time.Now(); time.Since(born) < life && time.Since(origin) < end+time.Second; {
				time.Sleep(2 * time.Second)
				fmt.Fprintf(k.conn, "message of %s\r\n", id)
				_ = k.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
				text, err := k.in.ReadString('\n')
				if err == nil && strings.HasPrefix(text, "message") {
					continue
				}
				rec.add("client %s received %q %v", id, text, err)
				return
			}
		}()
	}
	clients.Wait()
	summary := fmt.Sprintf("requests sent: %d, refused: %d, attempts at the draining host too late: %d",
		sent.Load(), refused.Load(), late.Load())
	rec.add("%s", summary)
	fmt.Println(summary)
	return late.Load() == 0
}
