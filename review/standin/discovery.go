package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is a stand-in discovery service.
type discovery struct {
	listener net.Listener
	mu       sync.Mutex
	revision int64
	members  []member
	since    map[string]int64 // revision of each member's last change
	changed  chan struct{}
}

func newDiscovery(m []member) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	d := &discovery{listener: l, revision: 41, members: m, since: map[string]int64{}, changed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, revision := d.answer(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		rec.add("discovery answered %s with revision %d", r.URL.RawQuery, revision)
	}
}

func (d *discovery) answer(r *http.Request) (string, int64) {
	q := r.URL.Query()
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.Get("since") == "" {
		return listJSON(d.revision, true, d.members), d.revision
	}
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer timer.Stop()
	for d.revision <= since {
		changed := d.changed
		d.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
		d.mu.Lock()
		if expired {
			break
		}
	}
	var part []member
	for _, m := range d.members {
		if d.since[m.ID] > since {
			part = append(part, m)
		}
	}
	return listJSON(d.revision, false, part), d.revision
}
