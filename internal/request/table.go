// Package request tracks the clients' requests for a connection and their attempts, each at one host. It passes the
// module's actions on to the transport and reports their outcomes to the module. It is independent of sockets and of
// the protocol.
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

// Transport acts on the clients' and the hosts' connections. Owner is the id that it passed when it submitted the
// request. None of its methods may call the table: their results are reported later.
type Transport interface {
	// Begin starts an attempt at a host, to be abandoned at until. An error means that no attempt was started; with
	// ErrNoDescriptors the host is not the cause.
	Begin(owner slot.ID, server string, until time.Duration) error
	// Abandon ends the open attempt; sent reports whether it may have run.
	Abandon(owner slot.ID) (sent bool)
	// Busy and Failed send a final answer to the client.
	Busy(owner slot.ID, retryAfter time.Duration, why policy.Reason)
	Failed(owner slot.ID)
	// Move asks the client of an established connection to reconnect, and closes both sides.
	Move(owner slot.ID)
	// Probe requests a load report from a server; the result is passed to the table later.
	Probe(server string)
	// Watch turns the watch on the host list on or off.
	Watch(on bool)
	// Log writes a message of the module to the log.
	Log(text string)
}

// Module makes the balancing decisions: one policy.Balancer, or several behind the same interface. It acts through the
// policy.Host that it was created with. None of its methods is called while another one is running.
type Module interface {
	ApplySettings(policy.Settings)
	Members(now time.Duration, kind policy.MembersKind, entries []policy.Server)
	Lease(now, until time.Duration)
	ServerCounts(now time.Duration) (listed, avoided int)
	Request(now time.Duration, request policy.Request)
	Inherit(now time.Duration, request policy.Request, server string)
	MayWrite(now time.Duration, id string) bool
	ConnectionEstablished(now time.Duration, id string)
	Outcome(now time.Duration, id string, result policy.Result, finished bool)
	ClientGone(now time.Duration, id string)
	ConnectionMetric(now time.Duration, id string, kind policy.MetricKind, level float64)
	ServerDelay(now time.Duration, server string, delay time.Duration)
	ProbeResult(now time.Duration, server string, report policy.Report)
	TakeOver(now time.Duration)
	Wake(now time.Duration, id int64)
}

// Table holds all requests of a balancer.
type Table struct {
	transport       Transport
	module          Module
	deadlines       *deadline.Queue
	counts          counters.Set
	requests        slot.Table[*request]
	openByClientID  map[string]slot.ID           // requests that have a client's id
	history         idHistory                    // ids of clients' requests that have ended and may have run
	outcomes        map[string]counters.Outcomes // by class
	pendingOutcomes []func(now time.Duration)    // outcomes of the module's own actions, not yet delivered to it
	now             time.Duration                // the time of the current event
}

type request struct {
	id              slot.ID
	moduleID        string // the id that the module uses
	clientID        string // the id that the client sent; empty if it sent none
	class           string // its class when it was submitted
	owner           slot.ID
	attemptOpen     bool // an attempt, or the connection that it established, is open
	established     bool
	attemptWritten  bool // the first line of the open attempt was written
	mayHaveRun      bool // an attempt that has ended was written, and not turned away
	answered        bool // no answer is due any more: it was sent, or the client left
	midFlow         bool // its connection was established before this balancer started
	attemptDeadline *deadline.Deadline
}

// New returns an empty table and creates its module.
func New(newModule func(policy.Host) Module, transport Transport, deadlines *deadline.Queue, counts counters.Set) *Table {
	t := &Table{transport: transport, deadlines: deadlines, counts: counts, openByClientID: map[string]slot.ID{}, history: newIDHistory(),
		outcomes: map[string]counters.Outcomes{}}
	t.module = newModule(moduleHost{t})
	return t
}

// CallModule runs a call that the module's owner makes to it directly, then delivers the outcomes of its actions.
func (t *Table) CallModule(now time.Duration, call func()) {
	t.now = now
	call()
	t.deliverOutcomes()
}

// Reconfigure passes new settings to the module.
func (t *Table) Reconfigure(set policy.Settings) { t.module.ApplySettings(set) }

// Len returns the number of requests, established connections included.
func (t *Table) Len() int { return t.requests.Len() }

// AnswerCounts returns the number of final answers of each kind by class, including classes no longer configured.
func (t *Table) AnswerCounts() map[string]counters.Outcomes { return maps.Clone(t.outcomes) }

// MemberCounts returns how many servers the host list contains, and how many of them the module avoids now.
func (t *Table) MemberCounts(now time.Duration) (listed, avoided int) {
	return t.module.ServerCounts(now)
}

// Unanswered returns the number of requests that still wait for their final answer.
func (t *Table) Unanswered() (n int) {
	for _, req := range t.requests.All() {
		if !req.established && !req.answered {
			n++
		}
	}
	return n
}

func (t *Table) add(owner slot.ID, incoming policy.Request) *request {
	req := &request{owner: owner, clientID: incoming.ID, class: incoming.Class}
	req.id = t.requests.Add(req)
	if incoming.ID != "" {
		t.openByClientID[incoming.ID] = req.id
	}
	req.moduleID = strconv.FormatUint(uint64(req.id), 16)
	return req
}

func (t *Table) findByModuleID(moduleID string) *request {
	id, err := strconv.ParseUint(moduleID, 16, 64)
	if err != nil {
		return nil
	}
	req, _ := t.requests.Get(slot.ID(id))
	return req
}

// Submit adds a client's request under the client's own id, which must not be open. It carries out the module's actions
// on the request before it returns the request's id.
func (t *Table) Submit(now time.Duration, owner slot.ID, incoming policy.Request) slot.ID {
	req := t.add(owner, incoming)
	incoming.ID, t.now = req.moduleID, now
	t.module.Request(now, incoming)
	t.deliverOutcomes()
	return req.id
}

// AttemptEnded records how the open attempt, or the connection that it established, has ended.
func (t *Table) AttemptEnded(now time.Duration, id slot.ID, result policy.Result) {
	if req, ok := t.requests.Get(id); ok && req.attemptOpen {
		t.now = now
		t.endAttempt(req, result)
		t.deliverOutcomes()
	}
}

// AnsweredFailed records that the transport itself has answered with ERR: the client violated the protocol, or the
// request was pending at the drain deadline. The request then ends as if the client had left.
func (t *Table) AnsweredFailed(now time.Duration, id slot.ID) {
	if req, ok := t.requests.Get(id); ok && !req.answered {
		t.countOutcome(req.class, failed)
	}
	t.ClientLeft(now, id)
}

// ClientLeft records that the client has disconnected. An established connection has ended with it.
func (t *Table) ClientLeft(now time.Duration, id slot.ID) {
	req, ok := t.requests.Get(id)
	if !ok {
		return
	}
	t.now = now
	if !req.answered {
		req.answered = true
		t.module.ClientGone(now, req.moduleID)
	}
	if req.attemptOpen {
		if !req.established {
			t.transport.Abandon(req.owner)
		}
		t.endAttempt(req, policy.Cancelled)
	} else {
		t.remove(req)
	}
	t.deliverOutcomes()
}

// ConnectionMetric passes a measurement of an established connection to the module.
func (t *Table) ConnectionMetric(now time.Duration, id slot.ID, kind policy.MetricKind, level float64) {
	if req, ok := t.requests.Get(id); ok {
		t.now = now
		t.module.ConnectionMetric(now, req.moduleID, kind, level)
		t.deliverOutcomes()
	}
}

// ObserveDelay passes on how long a message currently takes at a server.
func (t *Table) ObserveDelay(now time.Duration, server string, delay time.Duration) {
	t.now = now
	t.module.ServerDelay(now, server, delay)
	t.deliverOutcomes()
}

// ProbeResult passes on a server's load report, or that a server has not answered the request for one.
func (t *Table) ProbeResult(now time.Duration, server string, report policy.Report) {
	t.now = now
	t.module.ProbeResult(now, server, report)
	t.deliverOutcomes()
}

// UpdateMembers passes a change of the host list to the module.
func (t *Table) UpdateMembers(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	t.now = now
	t.module.Members(now, kind, entries)
	t.deliverOutcomes()
}

// SetLease passes on until when the host list may be used.
func (t *Table) SetLease(now, until time.Duration) {
	t.now = now
	t.module.Lease(now, until)
	t.deliverOutcomes()
}

// deliverOutcomes reports the outcomes of the module's own actions to it. They are queued until the module has
// returned, because reporting them within the action would re-enter the module.
func (t *Table) deliverOutcomes() {
	for len(t.pendingOutcomes) > 0 {
		next := t.pendingOutcomes[0]
		t.pendingOutcomes = t.pendingOutcomes[1:]
		next(t.now)
	}
}

func (t *Table) remove(req *request) {
	t.deadlines.Stop(req.attemptDeadline)
	t.requests.Remove(req.id)
	delete(t.openByClientID, req.clientID)
	if req.clientID != "" && (req.mayHaveRun || req.established) {
		t.history.add(hashID(req.clientID))
	}
}
