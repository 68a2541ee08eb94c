package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["restart-last"] = restartLast }

// node is one balancer behind the front.
type node struct {
	name, listen string
	current      *balancer
	restarts     int
	in           atomic.Bool // the front sends new connections there
}

// startNode starts the balancer's process; its TMPDIR is empty at each start.
func (f *fleet) startNode(n *node) {
	f.started++
	shared := filepath.Join(temp, fmt.Sprintf("tmp-%d", f.started))
	if err := os.Mkdir(shared, 0o700); err != nil {
		cannotRun("%v", err)
	}
	n.current = start(fmt.Sprintf("%s-%d", n.name, n.restarts), n.name, n.listen, f.disc.address(), shared, listJSON(41, true, members(f.hosts)), f.cfg)
	n.current.awaitPong(10 * time.Second)
	n.in.Store(true)
}

// restart restarts a balancer as planned: SIGTERM, new connections for a while, SIGKILL when its time is up.
func (f *fleet) restart(n *node) {
	older := n.current
	older.signal(syscall.SIGTERM)
	time.AfterFunc(300*time.Millisecond, func() { n.in.Store(false) })
	select {
	case <-time.After(f.killAfter()):
		older.signal(syscall.SIGKILL)
		<-older.done
	case <-older.done:
	}
	n.restarts++
	f.startNode(n)
}

// restartLast: clients end their connections, each after a last line, while the balancers are restarted in turn.
func restartLast() bool {
	const (
		connections = 300                     // over all balancers
		meanLife    = 8 * time.Second         // of a connection
		answerTime  = 50 * time.Millisecond   // of the desk hosts; the strictest class wants a message within 60 ms
		rounds      = 9                       // in each, all balancers are restarted in turn
		pause       = 1500 * time.Millisecond // between two restarts
		restartTime = time.Second             // about as long as one takes
	)
	f := newSurroundings(14, proxyQuiet())
	for _, h := range f.hosts {
		h.answerTime = answerTime
	}
	var nodes []*node
	for i := range 3 {
		n := &node{name: fmt.Sprintf("n%d", i), listen: freeAddress()}
		f.startNode(n)
		nodes = append(nodes, n)
	}
	var clients sync.WaitGroup
	var number, ended, moved, lost atomic.Int64
	stop := make(chan struct{})
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	one := func(life time.Duration) {
		n := number.Add(1)
		id := fmt.Sprintf("c%d", n)
		to := nodes[rand.Intn(len(nodes))]
		if !to.in.Load() {
			return
		}
		k, err := open(to.listen, id, "dose-check", int(n%40), 3200*time.Millisecond)
		if err != nil {
			rec.add("client %s not connected: %v", id, err)
			return
		}
		defer k.conn.Close()
		if a := k.await(3750 * time.Millisecond); !strings.HasPrefix(a.text, "UP") {
			return
		}
		for end := time.Now().Add(life); ; {
			rest := min(time.Until(end), 2*time.Second)
			time.Sleep(rest)
			if rest < 2*time.Second || stopped() {
				break
			}
			fmt.Fprintf(k.conn, "message of %s\r\n", id)
			_ = k.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
			if text, err := k.in.ReadString('\n'); err != nil || strings.HasPrefix(text, "MOVE") {
				rec.add("client %s at %s received %q %v", id, to.name, text, err)
				return
			}
		}
		last := "last of " + id
		_, err = fmt.Fprintf(k.conn, "%s\r\n", last)
		if err == nil {
			err = k.conn.(*net.TCPConn).CloseWrite()
		}
		rec.add("client %s at %s sent %q and ended its sending: %v", id, to.name, last, err)
		if err != nil {
			return
		}
		_ = k.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		rest, err := io.ReadAll(k.in)
		rec.add("client %s received %q, then the end (%v)", id, rest, err)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() { // neither cut off nor answered: not this rule
			rec.add("client %s is still connected", id)
			return
		}
		ended.Add(1)
		switch {
		case strings.Contains(string(rest), "MOVE"): // told to come again: nothing is owed
			moved.Add(1)
		case !strings.Contains(string(rest), last):
			lost.Add(1)
			rec.add("BROKEN: %s at %s was cut off without MOVE before the answer to its last line", id, to.name)
		}
	}
	for range connections {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
			for !stopped() {
				one(time.Duration(rand.ExpFloat64() * float64(meanLife)))
				time.Sleep(time.Duration(70+rand.Intn(1100)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(6 * time.Second)
	for range rounds {
		for _, n := range nodes {
			time.Sleep(pause)
			if trouble {
				f.restart(n)
			} else {
				time.Sleep(restartTime)
			}
		}
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	summary := fmt.Sprintf("connections ended by clients: %d, moved meanwhile: %d, cut off without MOVE and without an answer: %d", ended.Load(), moved.Load(), lost.Load())
	rec.add("%s", summary)
	fmt.Println(summary)
	if ended.Load() < connections {
		cannotRun("too little was played: %s", summary)
	}
	return lost.Load() == 0
}
