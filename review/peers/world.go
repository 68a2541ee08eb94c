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

// world is one run of a case: the processes that it started, its record and its temporary folder.
type world struct {
	root, tmp string
	start     time.Time
	trouble   bool
	mu        sync.Mutex
	record    *os.File
	broken    []string
	nodes     []*node
}

func newWorld(root, folder string) (*world, error) {
	parent := os.TempDir()
	if len(parent) > 40 { // the processes of a balancer meet at a Unix socket below it, whose path must be short
		parent = "/tmp"
	}
	tmp, err := os.MkdirTemp(parent, "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &world{root: root, tmp: tmp, start: time.Now(), record: f, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (w *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
}

// finish ends all processes and returns the exit code.
func (w *world) finish(couldNotRun error) int {
	for _, n := range w.nodes {
		n.kill()
	}
	code := 0
	switch {
	case couldNotRun != nil:
		w.note("the case could not run: %v", couldNotRun)
		fmt.Println("could not run:", couldNotRun)
		code = 2
	case len(w.broken) > 0:
		fmt.Printf("broken, %d times; first: %s\n", len(w.broken), w.broken[0])
		code = 1
	default:
		fmt.Println("held")
	}
	w.note("exit code %d", code)
	w.record.Close()
	os.RemoveAll(w.tmp)
	return code
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runCommand is the command of the deploy file that starts a balancer.
func (w *world) runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy file without run")
}

// node is one balancer process.
type node struct {
	w                         *world
	name, listen, admin, conf string
	cmd                       *exec.Cmd
	exited                    chan struct{}
	expectExit                bool
}

// startNode starts a balancer. Processes with the same tmp folder and listen address are one balancer.
func (w *world) startNode(name, listen, tmp string, config map[string]any) (*node, error) {
	command, err := w.runCommand()
	if err != nil {
		return nil, err
	}
	n := &node{w: w, name: name, listen: listen, admin: freeAddr(), exited: make(chan struct{})}
	config["name"], config["listen"], config["admin_addr"] = name, listen, n.admin
	n.conf = filepath.Join(w.tmp, fmt.Sprintf("%s-%d.json", name, len(w.nodes)))
	if err := n.writeConfig(config); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.tmp, fmt.Sprintf("%s-%d.log", name, len(w.nodes))))
	if err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", command)
	n.cmd.Dir = w.root
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.Env = append(os.Environ(), "TMPDIR="+tmp, "EDGE_CONFIG="+n.conf, "EDGE_NAME="+name, "EDGE_LISTEN="+listen,
		"EDGE_DISCOVERY="+config["discovery"].(string), "EDGE_ADMIN_ADDR="+n.admin, "EDGE_LOG_LEVEL="+os.Getenv("NODE_LOG"))
	if os.Getenv("NODE_LOG") == "" {
		n.cmd.Env = append(n.cmd.Env, "EDGE_LOG_LEVEL=info")
	}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	w.note("balancer %s starts, process %d", name, n.cmd.Process.Pid)
	w.nodes = append(w.nodes, n)
	go func() {
		_ = n.cmd.Wait()
		w.note("balancer %s, process %d ended: %v", name, n.cmd.Process.Pid, n.cmd.ProcessState)
		log.Close()
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			raw, _ := os.ReadFile(log.Name())
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(log.Name())), raw, 0o644)
		}
		close(n.exited)
	}()
	return n, nil
}

func (n *node) writeConfig(config map[string]any) error {
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.conf+".new", raw, 0o644); err != nil {
		return err
	}
	return os.Rename(n.conf+".new", n.conf)
}

func (n *node) signal(s syscall.Signal) {
	n.w.note("%v to balancer %s, process %d", s, n.name, n.cmd.Process.Pid)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if n.running() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// endsWithin waits for the process to end by itself, and kills it at the limit. It reports whether it was killed.
func (n *node) endsWithin(limit time.Duration) (killed bool) {
	select {
	case <-n.exited:
		return false
	case <-time.After(limit):
		n.signal(syscall.SIGKILL)
		<-n.exited
		return true
	}
}

// awaitPong waits until the balancer answers PING with PONG.
func (n *node) awaitPong(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", n.listen, time.Second); err == nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "PING\r\n")
			text, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if text == "PONG\r\n" {
				n.w.note("balancer %s answers PONG", n.name)
				return nil
			}
		}
	}
	return fmt.Errorf("balancer %s is not ready within %v", n.name, limit)
}

// awaitHealth waits until the second address answers that the process is ready.
func (n *node) awaitHealth(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", n.admin, time.Second); err == nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
			text, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.Contains(text, " 200 ") {
				n.w.note("balancer %s, process %d is ready by its second address", n.name, n.cmd.Process.Pid)
				return nil
			}
		}
	}
	return fmt.Errorf("balancer %s is not ready within %v", n.name, limit)
}
