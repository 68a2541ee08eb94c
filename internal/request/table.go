// Package request holds the clients' requests for a connection, and their attempts, each at one host. It carries the
// module's actions to whatever stands before and behind it, and tells the module what came of them. It knows no
// sockets and no protocol.
package request

import (
	"maps"
	"strconv"
	"time"

	"tealtiller/internal/counters"
	"tealtiller/internal/deadline"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// Transport is the protocol's side. Owner is the number under which it gave a request in. None of its
// methods may call the table: what comes of them is told later.
type Transport interface {
	// Begin starts an attempt at a host, which is given up at a time. An error means that nothing
	// was begun; with ErrNoRoom the host is not to blame.
	Begin(owner slot.ID, server string, until time.Duration) error
	// Abandon ends the attempt that is out; sent tells whether it may have run.
	Abandon(owner slot.ID) (sent bool)
	// Busy and Failed are final answers.
	Busy(owner slot.ID, retryAfter time.Duration, why policy.Reason)
	Failed(owner slot.ID)
	// Move sends the client of a standing connection away and ends both sides.
	Move(owner slot.ID)
	// Ask asks a server for a report; Reported tells what came of it.
	Ask(server string)
	Watch(on bool)
	Log(text string)
}

// Module decides: one policy.Balancer, or several behind one face. It acts through the policy.Host that it was made
// with, and none of its methods is called while another one is at work.
type Module interface {
	ApplySettings(policy.Settings)
	Members(now time.Duration, kind policy.MembersKind, entries []policy.Server)
	Lease(now, until time.Duration)
	ServerCounts(now time.Duration) (listed, avoided int)
	Request(now time.Duration, q policy.Request)
	Inherit(now time.Duration, q policy.Request, server string)
	MayWrite(now time.Duration, id string) bool
	ConnectionEstablished(now time.Duration, id string)
	Outcome(now time.Duration, id string, result policy.Result, over bool)
	ClientGone(now time.Duration, id string)
	ConnectionMetric(now time.Duration, id string, kind policy.MetricKind, level float64)
	ServerDelay(now time.Duration, server string, delay time.Duration)
	ProbeResult(now time.Duration, server string, report policy.Report)
	TakeOver(now time.Duration)
	Wake(now time.Duration, name int64)
}

// Table holds all requests of a balancer.
type Table struct {
	carrier   Transport
	module    Module
	deadlines *deadline.Queue
	count     counters.Set
	requests  slot.Table[*request]
	open      map[string]slot.ID // by the client's id
	ends      map[string]counters.Outcomes
	queue     []func(now time.Duration)
	now       time.Duration
}

type request struct {
	id       slot.ID
	name     string // as the module knows it
	client   string // as the client calls it; empty where it has no id
	class    string // as it was when taken
	owner    slot.ID
	out      bool // an attempt is out
	stands   bool
	answered bool // nothing more is owed: answered, or the client left
	handed   bool // it stood before this balancer started
	until    *deadline.Deadline
}

// New makes an empty table with a module that starts from nothing.
func New(module func(policy.Host) Module, carrier Transport, q *deadline.Queue, count counters.Set) *Table {
	t := &Table{carrier: carrier, deadlines: q, count: count, open: map[string]slot.ID{},
		ends: map[string]counters.Outcomes{}}
	t.module = module(host{t})
	return t
}

// CallModule carries out what the module has asked for in a call that its owner made past the table.
func (t *Table) CallModule(now time.Duration, call func()) {
	t.now = now
	call()
	t.settle()
}

// Reconfigure has the module go on by other settings.
func (t *Table) Reconfigure(set policy.Settings) { t.module.ApplySettings(set) }

// Len is how many requests there are, standing connections included.
func (t *Table) Len() int { return t.requests.Len() }

// AnswerCounts counts the final answers by class, also of classes that are no longer in use.
func (t *Table) AnswerCounts() map[string]counters.Outcomes { return maps.Clone(t.ends) }

// MemberCounts is how many servers the list names, and how many of them the module avoids now.
func (t *Table) MemberCounts(now time.Duration) (listed, avoided int) {
	return t.module.ServerCounts(now)
}

// Unanswered is how many requests still wait for their final answer.
func (t *Table) Unanswered() (n int) {
	for _, req := range t.requests.All() {
		if !req.stands && !req.answered {
			n++
		}
	}
	return n
}

// IsOpen tells whether a request of this client's id is open. Danger: another client that sends the same id
// would have the desk hosts refuse what they already hold, and be taken to be ill for it.
func (t *Table) IsOpen(client string) bool {
	_, ok := t.open[client]
	return ok
}

func (t *Table) add(owner slot.ID, q policy.Request) *request {
	req := &request{owner: owner, client: q.ID, class: q.Class}
	req.id = t.requests.Add(req)
	if q.ID != "" {
		t.open[q.ID] = req.id
	}
	req.name = strconv.FormatUint(uint64(req.id), 16)
	return req
}

func (t *Table) find(name string) *request {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return nil
	}
	req, _ := t.requests.Get(slot.ID(id))
	return req
}

// Submit takes a client's request, under the client's own id, which must not be open; what the module does with
// it is carried out before this returns.
func (t *Table) Submit(now time.Duration, owner slot.ID, q policy.Request) slot.ID {
	req := t.add(owner, q)
	q.ID, t.now = req.name, now
	t.module.Request(now, q)
	t.settle()
	return req.id
}

// AttemptEnded tells how the attempt that was out has ended, or the connection that it brought up.
func (t *Table) AttemptEnded(now time.Duration, id slot.ID, result policy.Result) {
	if req, ok := t.requests.Get(id); ok && req.out {
		t.now = now
		t.ended(req, result)
		t.settle()
	}
}

// ProtocolError tells that the client broke the protocol, for which the carrier has answered it.
func (t *Table) ProtocolError(now time.Duration, id slot.ID) {
	if req, ok := t.requests.Get(id); ok && !req.answered {
		t.counted(req.class, failed)
	}
	t.ClientLeft(now, id)
}

// ClientLeft tells that the client has gone. A connection that stood has ended with it.
func (t *Table) ClientLeft(now time.Duration, id slot.ID) {
	req, ok := t.requests.Get(id)
	if !ok {
		return
	}
	t.now = now
	if !req.answered {
		req.answered = true
		t.module.ClientGone(now, req.name)
	}
	if req.out {
		if !req.stands {
			t.carrier.Abandon(req.owner)
		}
		t.ended(req, policy.Cancelled)
	} else {
		t.remove(req)
	}
	t.settle()
}

// Note tells of a standing connection.
func (t *Table) Note(now time.Duration, id slot.ID, kind policy.MetricKind, level float64) {
	if req, ok := t.requests.Get(id); ok {
		t.now = now
		t.module.ConnectionMetric(now, req.name, kind, level)
		t.settle()
	}
}

// ObserveDelay tells how long a message takes now at a server.
func (t *Table) ObserveDelay(now time.Duration, server string, delay time.Duration) {
	t.now = now
	t.module.ServerDelay(now, server, delay)
	t.settle()
}

// Reported tells what a server's report lets expect of a message's time, or that it gave none.
func (t *Table) Reported(now time.Duration, server string, report policy.Report) {
	t.now = now
	t.module.ProbeResult(now, server, report)
	t.settle()
}

// UpdateMembers tells what is new of the host list.
func (t *Table) UpdateMembers(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	t.now = now
	t.module.Members(now, kind, entries)
	t.settle()
}

// SetLease tells until when the host list may be used.
func (t *Table) SetLease(now, until time.Duration) {
	t.now = now
	t.module.Lease(now, until)
	t.settle()
}

// settle tells the module the outcomes that its own actions had. Danger: telling them inside the action
// would enter the module while it is at work.
func (t *Table) settle() {
	for len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		next(t.now)
	}
}

func (t *Table) remove(req *request) {
	t.deadlines.Stop(req.until)
	t.requests.Remove(req.id)
	delete(t.open, req.client)
}
