package net

import (
	"context"
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/poolconfig"
	"tealtiller/policy"
)

// pool keeps the watch on the pool config: one connection to discovery, one call at a time on it.
type pool struct {
	node    *Node
	address string
	client  *poolconfig.Client
	call    *call // the connection that is in use; one that failed is left to itself
	on      bool
	fails   int // calls failed in a row, where the list is pushed
}

// pushed tells that the list is pushed to an agent on our own machine: the module never asks for it, so the watch
// is kept here from the start, and one that broke is made anew. Danger: what the agent has counts as told to us,
// watched or not; a balancer that never calls it routes to desk hosts that drained long ago.
func (p *pool) pushed() bool { return !p.node.cfg.Settings.Policy.MustAsk }

// call is one connection to discovery.
type call struct {
	pool    *pool
	conn    gnet.Conn
	cancel  context.CancelFunc
	waiting bool // for an answer
	limit   *deadline.Deadline
}

// watchWait is how long discovery may hold an answer back, callLimit when we take a call for lost: what
// discovery tells counts as told 2 s after the wait, arrived or not. A call for the whole list waits for
// nothing, and after a move of discovery all counts as told 4 s later: its limit leaves time for a second call.
const (
	watchWait  = 8 * time.Second
	callLimit  = 9500 * time.Millisecond
	wholeLimit = 2 * time.Second
	dialLimit  = time.Second
)

// turn goes over to another discovery, at once and with no failure told: a call that the module has put off
// after a failure was for the old one. The list stays until the new one tells the whole of its own.
func (p *pool) turn(address string) {
	p.address, p.client = address, poolconfig.NewClient(address, poolconfig.None)
	if p.call != nil {
		p.drop()
	}
	p.on, p.fails = true, 0
	p.dial()
}

func (p *pool) watch(on bool) {
	if p.on == on {
		return
	}
	if p.on = on; on {
		p.dial()
	} else if p.call != nil {
		p.drop()
	}
}

func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	p.call = &call{pool: p, cancel: cancel}
	p.node.dial(ctx, p.call, p.address)
}

// ask makes the next call on the connection, at once: a watch lasts only as long as calls follow closely.
func (p *pool) ask(now time.Duration) {
	c := p.call
	c.waiting = true
	limit := callLimit
	if p.client.Whole() {
		limit = wholeLimit
	}
	c.limit = p.node.deadlines.Set(now+limit, func(now time.Duration) {
		if p.call == c {
			p.failed(now, errors.New("pool config: no answer in time"))
		}
	})
	p.node.count.Add("discovery calls")
	p.node.trace("discovery-call", "whole", p.client.Whole())
	p.node.write(c.conn, p.client.Call(watchWait))
}

// drop leaves the connection in use.
func (p *pool) drop() {
	c := p.call
	p.call = nil
	c.cancel()
	p.node.deadlines.Stop(c.limit)
	p.node.end(c.conn, false)
}

// failed tells the module, once, that the watch has broken; it asks again when it sees fit.
func (p *pool) failed(now time.Duration, err error) {
	p.drop()
	p.on = false
	p.node.count.Add("discovery calls failed")
	p.node.log.Warn("discovery-call-failed", "reason", err)
	p.node.table.Members(now, policy.Failed, nil)
	if p.pushed() {
		p.fails++
		p.node.deadlines.Set(now+poolconfig.Pause(p.fails), func(time.Duration) {
			if !p.node.gone() {
				p.watch(true)
			}
		})
	}
}

func (c *call) opened(now time.Duration, conn gnet.Conn) gnet.Action {
	c.cancel()
	c.conn = conn
	if c.pool.call != c {
		return gnet.Close
	}
	c.pool.ask(now)
	return gnet.None
}

func (c *call) traffic(now time.Duration) {
	if c.conn == nil || c.pool.call != c {
		return
	}
	data, _ := c.conn.Peek(-1)
	if len(data) == 0 {
		return
	}
	c.pool.take(now, data, false)
	if c.conn != nil {
		_, _ = c.conn.Discard(-1)
	}
}

func (c *call) detach(bool) { c.conn = nil }

func (c *call) closed(now time.Duration, _ bool) {
	c.cancel()
	switch p := c.pool; {
	case p.call != c:
	case c.waiting:
		p.take(now, nil, true)
	default:
		p.failed(now, errors.New("pool config: discovery is out of reach"))
	}
}

// take takes a part of an answer, or the end of the connection.
func (p *pool) take(now time.Duration, data []byte, ended bool) {
	list, keep, err := p.client.Feed(data, ended)
	switch {
	case err != nil:
		p.failed(now, err)
		return
	case list == nil && ended:
		p.failed(now, errors.New("pool config: the answer broke off"))
		return
	case list == nil:
		return
	}
	p.node.count.Add("discovery answers")
	p.node.trace("discovery-answer", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	p.node.deadlines.Stop(p.call.limit)
	p.call.waiting, p.fails = false, 0
	kind := policy.Delta
	if list.Complete {
		kind = policy.Full
	}
	if keep {
		p.ask(now)
	} else {
		p.drop()
		p.dial()
	}
	p.node.members(now, kind, list)
}
