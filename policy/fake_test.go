package policy

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	t0 = 1000 * time.Second // the clock's origin is arbitrary
)

type action struct {
	name, request, server string
	duration              time.Duration
	timer                 int64
}

// fakeHost is a Host that records the actions.
type fakeHost struct{ actions []action }

func (h *fakeHost) add(a action) { h.actions = append(h.actions, a) }

func (h *fakeHost) Send(r, s string, d time.Duration) {
	h.add(action{name: "send", request: r, server: s, duration: d})
}
func (h *fakeHost) Refuse(r string, d time.Duration, _ Reason) {
	h.add(action{name: "refuse", request: r, duration: d})
}
func (h *fakeHost) Fail(r string)  { h.add(action{name: "fail", request: r}) }
func (h *fakeHost) Move(r string)  { h.add(action{name: "move", request: r}) }
func (h *fakeHost) Probe(s string) { h.add(action{name: "probe", server: s}) }
func (h *fakeHost) Wake(at time.Duration, n int64) {
	h.add(action{name: "wake", duration: at, timer: n})
}
func (h *fakeHost) NotifySiblings(server uint32, d time.Duration) {
	h.add(action{name: "notify", timer: int64(server), duration: d})
}
func (h *fakeHost) Watch(bool)      { h.add(action{name: "watch"}) }
func (h *fakeHost) Log(text string) { h.add(action{name: "log", request: text}) }

// take returns the recorded actions of a name and clears all recorded actions.
func (h *fakeHost) take(name string) (out []action) {
	for _, a := range h.actions {
		if a.name == name {
			out = append(out, a)
		}
	}
	h.actions = nil
	return out
}

// settings returns the settings that most tests use.
func settings() Settings {
	return Settings{
		MaxAttempts: 4, Tick: 5 * ms, MustWatch: true, MaxWatchInterval: 10 * time.Second,
		DrainGrace: 250 * ms, ColdCapacityShare: 0.2, WarmAfter: 20 * time.Second, OverloadFactor: 3,
		OverloadSpan: 1500 * ms,
		Classes: map[string]Class{
			"safe":     {SetupTarget: 500 * ms, MessageTarget: 100 * ms},
			"keyed":    {SetupTarget: 500 * ms, MessageTarget: 100 * ms, Effect: Keyed, DedupScope: ScopeCell, DedupWindow: time.Second},
			"keyedall": {SetupTarget: 500 * ms, MessageTarget: 100 * ms, Effect: Keyed, DedupWindow: time.Second},
			"unsafe":   {SetupTarget: 500 * ms, MessageTarget: 100 * ms, Effect: Unsafe},
		},
	}
}

// fleet returns n ready servers of equal weight.
func fleet(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{ID: fmt.Sprintf("srv-%c%d", 'a'+i%7, i*7919), State: Ready, Weight: 1, Cell: i % 2})
	}
	return out
}

func newBalancer(t testing.TB, servers []Server) (*Balancer, *fakeHost) {
	t.Helper()
	return newBalancerWith(t, settings(), servers)
}

func newBalancerWith(t testing.TB, set Settings, servers []Server) (*Balancer, *fakeHost) {
	t.Helper()
	h := &fakeHost{}
	b := New(set, 1, h)
	b.Members(t0, Cached, servers)
	h.actions = nil
	return b, h
}

// newRequest returns a request of class "safe" with a key.
func newRequest(id string, key uint64) Request {
	return Request{ID: id, Class: "safe", Key: key, HasKey: true, TTL: 2 * time.Second}
}

// tryUntilServed places a request whose attempts fail to connect at some servers, until one is established or the
// request is answered. It returns the servers tried.
func tryUntilServed(b *Balancer, h *fakeHost, now time.Duration, q Request, fails func(server string) bool) (tried []string) {
	h.actions = nil
	b.Request(now, q)
	for out := h.take("send"); len(out) > 0; out = h.take("send") {
		tried = append(tried, out[0].server)
		if !fails(out[0].server) {
			b.ConnectionEstablished(now, q.ID)
			break
		}
		b.Outcome(now, q.ID, ConnectFailed, false)
	}
	return tried
}

// coldServersWithSpentBudgets returns a balancer whose three servers have just started and have spent their slow start
// budgets.
func coldServersWithSpentBudgets(t testing.TB) (*Balancer, *fakeHost) {
	t.Helper()
	servers := fleet(3)
	for i := range servers {
		servers[i].Started = t0
	}
	b, h := newBalancer(t, servers)
	for i := range 50 {
		b.Request(t0+ms, newRequest(fmt.Sprint("r", i), uint64(i)))
	}
	return b, h
}

// sendRequest places a request and returns the server that it is sent to.
func sendRequest(t testing.TB, b *Balancer, h *fakeHost, now time.Duration, q Request) string {
	t.Helper()
	h.actions = nil
	b.Request(now, q)
	sends := h.take("send")
	if len(sends) != 1 {
		t.Fatalf("request %s: %d sends, want 1", q.ID, len(sends))
	}
	return sends[0].server
}

// rankedIDs returns the ids of the servers in the ranking of a key.
func rankedIDs(b *Balancer, key uint64) (out []string) {
	for s := range b.rank(carpHash(fmt.Sprint(key))) {
		out = append(out, s.ID)
	}
	return out
}
