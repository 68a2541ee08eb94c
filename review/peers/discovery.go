package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// directory is the list of desk hosts, as discovery has it.
type directory struct {
	w        *world
	mu       sync.Mutex
	members  map[string]member
	order    []string
	changed  map[string]int64 // revision of the last change, by id
	revision int64
	news     chan struct{}
}

func (w *world) newDirectory() *directory {
	return &directory{w: w, members: map[string]member{}, changed: map[string]int64{}, revision: 40, news: make(chan struct{})}
}

func (d *directory) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	if _, known := d.members[m.ID]; !known {
		d.order = append(d.order, m.ID)
	}
	d.members[m.ID], d.changed[m.ID] = m, d.revision
	close(d.news)
	d.news = make(chan struct{})
	d.w.note("discovery has %s %s, revision %d", m.ID, m.Phase, d.revision)
}

type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// since returns the changes since a revision, or the whole list for -1.
func (d *directory) since(revision int64) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Revision: d.revision, Complete: revision < 0, Members: []member{}}
	for _, id := range d.order {
		if m := d.members[id]; revision < 0 && m.Phase != "terminated" || revision >= 0 && d.changed[id] > revision {
			l.Members = append(l.Members, m)
		}
	}
	return l
}

// discovery serves a directory at an address. While silent it takes calls and answers none; open calls stay open
// unanswered for good if they were open when the silence began.
type discovery struct {
	d        *directory
	addr     string
	mu       sync.Mutex
	silent   bool
	epoch    int // a call of an earlier epoch is never answered
	told     map[int64]time.Time
	answered func(l list)
}

func (w *world) startDiscovery(d *directory) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &discovery{d: d, addr: l.Addr().String(), told: map[int64]time.Time{}}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *discovery) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	limit := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for since >= 0 {
		s.d.mu.Lock()
		newer, news := s.d.revision > since, s.d.news
		s.d.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-news:
			continue
		case <-limit:
		case <-r.Context().Done():
			return
		}
		break
	}
	s.mu.Lock()
	dead := s.silent || s.epoch != epoch
	s.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return
	}
	l := s.d.since(since)
	body, _ := json.Marshal(l)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = out.Write(body)
	if s.answered != nil {
		s.answered(l)
	}
}
