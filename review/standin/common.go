// Command standin holds the stand-ins of the cases under review/ (desk hosts, discovery, clients) and plays the cases.
// It starts balancers with the run command of deploy/balancer.toml, as separate processes.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var begin = time.Now()

// record writes the timed events of a run to record.txt.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newRecord(folder string) *record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{file: f}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
}

var (
	rec      *record
	folder   string // of the case
	temp     string // removed at the end
	trouble  bool
	children []*balancer
)

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

// cleanUp ends all processes that were started here.
func cleanUp() {
	for _, b := range children {
		b.kill()
	}
	if temp != "" {
		_ = os.RemoveAll(temp)
	}
}

// host is a stand-in desk host: it answers OPEN with UP and each later line with the same line.
type host struct {
	id         string
	listener   net.Listener
	mu         sync.Mutex
	hung       bool                            // takes connections and lines, and answers none
	resumed    chan struct{}                   // closed when it is not hung
	opened     sync.Map                        // ids of the requests that it has received
	answerTime time.Duration                   // how long it takes to answer a line
	spoil      func(id string, lines int) bool // whether the answer to OPEN (0 lines) or to the newest line is spoilt
}

func newHost(id string) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	h := &host{id: id, listener: l, resumed: make(chan struct{})}
	close(h.resumed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *host) hang() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hung, h.resumed = true, make(chan struct{})
	rec.add("host %s hangs", h.id)
}

func (h *host) wait() {
	h.mu.Lock()
	c := h.resumed
	h.mu.Unlock()
	<-c
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(first)
	if len(words) != 4 || words[0] != "OPEN" {
		fmt.Fprint(c, "NO\r\n")
		return
	}
	h.opened.Store(words[1], true)
	rec.add("host %s received: %s", h.id, strings.TrimSpace(first))
	h.wait()
	fmt.Fprintf(c, "UP %s-%s\r\n", h.id, words[1])
	if h.spoil != nil && h.spoil(words[1], 0) {
		h.answerEndlessly(c, words[1], 0)
		return
	}
	for lines := 1; ; lines++ {
		text, err := in.ReadString('\n')
		if err != nil {
			fmt.Fprint(c, "BYE\r\n")
			return
		}
		h.wait()
		time.Sleep(h.answerTime)
		if h.spoil != nil && h.spoil(words[1], lines) {
			h.answerEndlessly(c, words[1], lines)
			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// member is an entry of the host list.
type member struct {
	ID      string  `json:"id"`
	Address string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`
}

func members(hosts []*host) (out []member) {
	for _, h := range hosts {
		out = append(out, member{h.id, h.listener.Addr().String(), "a", "m1", 0, "in_service", 1, 0})
	}
	return out
}

func listJSON(revision int64, complete bool, m []member) string {
	if m == nil {
		m = []member{}
	}
	raw, _ := json.Marshal(map[string]any{"revision": revision, "complete": complete, "members": m})
	return string(raw)
}

// class is a request class of the settings.
type class struct {
	name          string
	aim, deadline time.Duration
	effect        string
}

type config struct {
	tryLimit   int
	mode       string
	grace      time.Duration
	siblings   int
	classes    []class
	retryAfter bool
}

func (c config) settings() map[string]any {
	var grades []map[string]any
	var aims []int64
	for _, k := range c.classes {
		grades = append(grades, map[string]any{"name": k.name, "aim": k.aim, "deadline": k.deadline, "effect": k.effect,
			"dedupScope": "all", "repeatWindow": 5 * time.Second, "stream": true, "worth": 1.0, "lateWorth": 0.0})
		aims = append(aims, int64(60*time.Millisecond))
	}
	return map[string]any{
		"allowed": map[string]any{"tryLimit": c.tryLimit, "connectTimeout": 60 * time.Millisecond, "retryAfter": c.retryAfter, "probing": false,
			"peers": false, "secondCopies": false, "mayCancel": true, "maxRetryAfter": 2 * time.Second},
		"discovery": "subscribe", "tick": 4 * time.Millisecond, "siblings": c.siblings, "locality": "a",
		"familyInfo": map[string]any{"groups": true, "mode": c.mode, "messageAim": aims},
		"grades":     grades,
		"invariants": map[string]any{"askWithin": 10 * time.Second, "coldFrom": 0.16, "fall": time.Second, "overloadFactor": 4.0,
			"stopSendingWithin": c.grace, "warmAfter": 21 * time.Second, "graceToAnswer": 16 * time.Millisecond},
	}
}

// balancer is one process of a balancer.
type balancer struct {
	name   string
	listen string
	admin  string
	cmd    *exec.Cmd
	done   chan struct{}
}

// freeAddress returns an address for a balancer. Outgoing connections come from 127.0.0.1, so none takes the port while the
// balancer is down.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runCommand returns the run line of the deploy file.
func runCommand() string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for _, text := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(text, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	cannotRun("no run line in the deploy file")
	return ""
}

// start starts a process of a balancer. Processes of one balancer share node, listen and shared, its TMPDIR.
func start(name, node, listen, discovery, shared, known string, c config) *balancer {
	b := &balancer{name: name, listen: listen, admin: freeAddress(), done: make(chan struct{})}
	raw, _ := json.Marshal(map[string]any{"name": node, "listen": listen, "discovery": discovery, "admin_addr": b.admin, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(known), "settings": c.settings()})
	path := filepath.Join(temp, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.Create(filepath.Join(temp, name+".log"))
	if err != nil {
		cannotRun("%v", err)
	}
	b.cmd = exec.Command("/bin/sh", "-c", runCommand())
	b.cmd.Stdout, b.cmd.Stderr = log, log
	b.cmd.Env = append(os.Environ(), "EDGE_NAME="+node, "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+discovery, "EDGE_CONFIG="+path,
		"EDGE_ADMIN_ADDR="+b.admin, "TMPDIR="+shared, "EDGE_LOG_LEVEL=debug")
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	children = append(children, b)
	rec.add("process %s started, pid %d", name, b.cmd.Process.Pid)
	go func() {
		err := b.cmd.Wait()
		rec.add("process %s ended: %v", name, err)
		close(b.done)
	}()
	return b
}

func (b *balancer) signal(s syscall.Signal) {
	rec.add("process %s gets %v", b.name, s)
	_ = b.cmd.Process.Signal(s)
}

func (b *balancer) kill() {
	select {
	case <-b.done:
	default:
		_ = b.cmd.Process.Kill()
		<-b.done
	}
}

// awaitHealth waits until the process says yes at its second address.
func (b *balancer) awaitHealth(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", b.admin, 200*time.Millisecond)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
		text, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if strings.Contains(text, " 200 ") {
			rec.add("process %s says yes", b.name)
			return
		}
	}
	cannotRun("process %s was not ready in %v", b.name, limit)
}

// awaitPong waits until PING is answered with PONG, as the front does.
func (b *balancer) awaitPong(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", b.listen, 200*time.Millisecond)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "PING\r\n")
		text, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if strings.HasPrefix(text, "PONG") {
			rec.add("process %s answers PONG", b.name)
			return
		}
	}
	cannotRun("process %s did not answer PING in %v", b.name, limit)
}

// answer is what a client saw.
type answer struct {
	text  string // first line; empty if the connection ended without one
	err   error
	after time.Duration // since the OPEN was written
}

// client is a client's connection.
type client struct {
	id     string
	conn   net.Conn
	in     *bufio.Reader
	sentAt time.Time
}

// open connects and sends OPEN.
func open(listen, id, class string, key int, d time.Duration) (*client, error) {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("OPEN %s %016x c=%s,d=%d,g=%016x\r\n", id, key*7919+1, class, d.Milliseconds(), key*104729+3)
	k := &client{id: id, conn: c, in: bufio.NewReader(c), sentAt: time.Now()}
	if _, err := c.Write([]byte(text)); err != nil {
		return nil, err
	}
	rec.add("client %s sent: %s", id, strings.TrimSpace(text))
	return k, nil
}

// await reads the final answer for up to limit after the OPEN was sent.
func (k *client) await(limit time.Duration) answer {
	_ = k.conn.SetReadDeadline(k.sentAt.Add(limit))
	text, err := k.in.ReadString('\n')
	a := answer{strings.TrimSpace(text), err, time.Since(k.sentAt)}
	if err == nil {
		rec.add("client %s received after %v: %s", k.id, a.after.Round(time.Millisecond), a.text)
	} else {
		rec.add("client %s received no answer, after %v: %v", k.id, a.after.Round(time.Millisecond), err)
	}
	return a
}
