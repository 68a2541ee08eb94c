package net

import (
	"errors"
	stdnet "net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// rendezvous is where the two processes of a balancer meet; empty where they have no folder in common.
func (n *Node) rendezvous() string {
	if n.folder == "" {
		return ""
	}
	return filepath.Join(n.folder, "tealtiller-"+strings.ReplaceAll(n.cfg.ListenAddr, "/", "_"))
}

// join joins the process that serves already. Without one, one that comes later may join us. It is called before
// the listener is up, so that no client reaches a process that does not know whether it leads.
func (n *Node) join() {
	path := n.rendezvous()
	if path == "" {
		return
	}
	c, err := stdnet.DialUnix("unixpacket", nil, &stdnet.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil { // nobody listens there: no file, or one that a killed process left
		n.await()
		return
	}
	n.log.Info("joined-running-process")
	n.leading = false
	n.share = apprentice
	n.linked(&link{node: n, conn: c})
}

// await has a new version meet us, one at a time. Where the folder cannot take the socket now, it is tried again.
func (n *Node) await() {
	path := n.rendezvous()
	_ = os.Remove(path)
	if err := n.listenAt(path); err != nil {
		n.log.Error("takeover-impossible", "reason", err)
		n.awaitLater(path)
	}
}

// awaitAgain is how long after a failure the socket is tried again.
const awaitAgain = time.Second

// awaitLater tries until the socket is there. Danger: meanwhile another process may have made one, which is its own.
func (n *Node) awaitLater(path string) {
	n.deadlines.Set(n.now()+awaitAgain, func(time.Duration) {
		if _, err := os.Lstat(path); err == nil || n.gone() {
			return
		}
		if n.listenAt(path) != nil {
			n.awaitLater(path)
			return
		}
		n.log.Info("takeover-possible")
	})
}

func (n *Node) listenAt(path string) error {
	l, err := stdnet.ListenUnix("unixpacket", &stdnet.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // danger: by then the file may be the other process's
	n.awaiting = l
	go n.meet(l)
	return nil
}

// meeting is the listener at which processes meet.
type meeting interface {
	AcceptUnix() (*stdnet.UnixConn, error)
}

// meetAgain is how long a listener is left alone that could not accept.
const meetAgain = 100 * time.Millisecond

// meet takes in who comes. Danger: for want of a descriptor it fails for a moment only, and who has connected by then waits
// to be met, with clients that it has passed on.
func (n *Node) meet(l meeting) {
	<-n.booted
	for {
		c, err := l.AcceptUnix()
		switch {
		case errors.Is(err, stdnet.ErrClosed):
			return
		case err != nil:
			time.Sleep(meetAgain)
		default:
			n.post(func(time.Duration) { n.met(c) })
		}
	}
}

// met joins a process that has come, unless there is one already.
func (n *Node) met(c *stdnet.UnixConn) {
	if n.link != nil || n.gone() {
		_ = c.Close()
		return
	}
	n.log.Info("new-process-joined")
	n.linked(&link{node: n, conn: c, elder: true})
	n.shareOut(apprentice)
	if n.stopping { // told before it came: what stands here goes on there
		n.stepBack()
	}
}
