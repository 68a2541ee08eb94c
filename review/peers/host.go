package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// host is a stand-in desk host.
type host struct {
	w        *world
	id, addr string
	l        net.Listener
	mu       sync.Mutex
	cond     *sync.Cond
	hung     bool
	conns    map[net.Conn]bool
	opened   map[string][]time.Time // by id: when OPEN lines arrived
	answer   func(id string) string // the answer to OPEN; nil: UP
	delay    time.Duration          // before answers to lines
	quiet    bool                   // does not record each run
	lines    map[string]bool        // lines of established connections
}

// has reports whether a line has arrived on an established connection.
func (h *host) has(line string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lines[line]
}

// restart starts the desk host's process again, at the same address.
func (h *host) restart() (err error) {
	if h.l, err = net.Listen("tcp", h.addr); err != nil {
		return err
	}
	h.w.note("desk host %s starts again", h.id)
	go h.accept(h.l)
	return nil
}

func (h *host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go h.serve(c)
	}
}

func (w *world) startHost(id string) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{w: w, id: id, l: l, addr: l.Addr().String(), conns: map[net.Conn]bool{}, opened: map[string][]time.Time{}, lines: map[string]bool{}}
	h.cond = sync.NewCond(&h.mu)
	go h.accept(l)
	return h, nil
}

// hang stops or resumes all answers; the process and its connections stay.
func (h *host) hang(on bool) {
	h.mu.Lock()
	h.hung = on
	h.cond.Broadcast()
	h.mu.Unlock()
	h.w.note("desk host %s hangs: %v", h.id, on)
}

func (h *host) pass() {
	h.mu.Lock()
	for h.hung {
		h.cond.Wait()
	}
	h.mu.Unlock()
}

func (h *host) serve(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReaderSize(c, 8192)
	up := false
	for {
		h.pass()
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		h.pass()
		word, _, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch {
		case !up && word == "OPEN":
			id := strings.Split(text, " ")[1]
			h.mu.Lock()
			h.opened[id] = append(h.opened[id], time.Now())
			f := h.answer
			h.mu.Unlock()
			if !h.quiet {
				h.w.note("desk host %s runs %s", h.id, strings.TrimSpace(text))
			}
			reply := "UP receipt-" + id + " " + h.id + "\r\n"
			if f != nil {
				if a := f(id); a != "" {
					fmt.Fprint(c, a)
					return
				}
			}
			up = true
			fmt.Fprint(c, reply)
		case !up && word == "STATS":
			fmt.Fprint(c, "PONG eps=0,util=0.1,x0=0.1\r\n")
		case !up && word == "PING":
			fmt.Fprint(c, "PONG\r\n")
		case !up:
			h.w.note("desk host %s got %q", h.id, text)
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		case word == "BURST":
			time.Sleep(10 * time.Millisecond)
			fmt.Fprint(c, "B0\r\nB1\r\n")
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(c, "B2\r\nBYE\r\n")
			return
		case word == "END":
			fmt.Fprint(c, "BYE\r\n")
			return
		default:
			h.mu.Lock()
			h.lines[strings.TrimRight(text, "\r\n")] = true
			h.mu.Unlock()
			if h.delay > 0 {
				time.Sleep(h.delay)
			}
			fmt.Fprint(c, "ECHO "+text)
		}
	}
}

// stop ends the desk host's process: its connections are reset, new ones refused.
func (h *host) stop() {
	h.l.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	h.w.note("desk host %s stops", h.id)
}

// member is the host's entry in the list of desk hosts.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}
