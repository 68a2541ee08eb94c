package policy_test

import (
	"fmt"
	"time"

	"tealtiller/policy"
)

// printer is a host that prints what it is told to do.
type printer struct{}

func (printer) Send(request, server string, timeout time.Duration) {
	fmt.Println("send", request, "to", server, "within", timeout)
}
func (printer) Refuse(request string, _ time.Duration, _ policy.Reason) {
	fmt.Println("refuse", request)
}
func (printer) Fail(request string)                  { fmt.Println("fail", request) }
func (printer) Move(request string)                  { fmt.Println("move", request) }
func (printer) Wake(time.Duration, int64)            {}
func (printer) NotifySiblings(uint32, time.Duration) {}
func (printer) Probe(string)                         {}
func (printer) Watch(bool)                           {}
func (printer) Log(string)                           {}

func Example() {
	b := policy.New(policy.Settings{
		MaxAttempts: 3, Tick: time.Millisecond,
		Classes: map[string]policy.Class{"stream": {SetupTarget: 500 * time.Millisecond}},
	}, 1, printer{})
	now := 10 * time.Second // any monotonic clock
	b.Members(now, policy.Full, []policy.Server{
		{ID: "one", State: policy.Ready, Weight: 1},
		{ID: "two", State: policy.Draining, Weight: 1},
	})
	b.Request(now, policy.Request{ID: "r1", Class: "stream", Key: 42, HasKey: true, TTL: 2 * time.Second})
	// Output: send r1 to one within 500ms
}
