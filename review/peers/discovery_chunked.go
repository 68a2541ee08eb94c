package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// chunkedDiscovery serves a directory over HTTP/1.1 with the chunked transfer coding. While inPieces is set, an answer
// comes in two pieces: all but the CRLF that ends the message, and that CRLF a little later.
type chunkedDiscovery struct {
	d        *directory
	addr     string
	mu       sync.Mutex
	inPieces bool
	toldAt   map[int64]time.Time // by revision: when the last byte of the first answer with it was written
}

func (w *world) startChunkedDiscovery(d *directory) (*chunkedDiscovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &chunkedDiscovery{d: d, addr: l.Addr().String(), toldAt: map[int64]time.Time{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *chunkedDiscovery) serve(c net.Conn) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetNoDelay(true)
	r := bufio.NewReader(c)
	for {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		since, parseErr := strconv.ParseInt(call.URL.Query().Get("since"), 10, 64)
		if parseErr != nil {
			since = -1
		}
		wait, _ := strconv.Atoi(call.URL.Query().Get("timeout_ms"))
		s.d.await(since, time.Duration(min(wait, 60000))*time.Millisecond)
		l := s.d.since(since)
		body, _ := json.Marshal(l)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
		s.mu.Lock()
		inPieces := s.inPieces
		s.mu.Unlock()
		if inPieces {
			_, err = io.WriteString(c, answer)
			time.Sleep(20 * time.Millisecond)
			answer = ""
		}
		if err == nil {
			_, err = io.WriteString(c, answer+"\r\n")
		}
		s.mu.Lock()
		if s.toldAt[l.Revision].IsZero() && err == nil {
			s.toldAt[l.Revision] = time.Now()
		}
		s.mu.Unlock()
		s.d.w.note("discovery has answered a call since %d with revision %d and %d members, in pieces: %v, error: %v", since, l.Revision, len(l.Members), inPieces, err)
		if err != nil {
			return
		}
	}
}

// await waits until the list is newer than a revision, or for the limit.
func (d *directory) await(since int64, limit time.Duration) {
	for end := time.After(limit); since >= 0; {
		d.mu.Lock()
		newer, news := d.revision > since, d.news
		d.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-news:
		case <-end:
			return
		}
	}
}

func (s *chunkedDiscovery) told(revision int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.toldAt[revision]
}
