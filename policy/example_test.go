package policy_test

import (
	"fmt"
	"time"

	"tealtiller/policy"
)

// printingHost is a Host that prints its actions.
type printingHost struct{}

func (printingHost) Send(request, server string, timeout time.Duration) {
	fmt.Println("send", request, "to", server, "within", timeout)
}
func (printingHost) Refuse(request string, _ time.Duration, _ policy.Reason) {
	fmt.Println("refuse", request)
}
func (printingHost) Fail(request string)                  { fmt.Println("fail", request) }
func (printingHost) Move(request string)                  { fmt.Println("move", request) }
func (printingHost) Wake(time.Duration, int64)            {}
func (printingHost) NotifySiblings(uint32, time.Duration) {}
func (printingHost) Probe(string)                         {}
func (printingHost) Watch(bool)                           {}
func (printingHost) Log(string)                           {}

func Example() {
	b := policy.New(policy.Settings{
		MaxAttempts: 3, Tick: time.Millisecond,
		Classes: map[string]policy.Class{"stream": {SetupTarget: 500 * time.Millisecond}},
	}, 1, printingHost{})
	now := 10 * time.Second // any monotonic clock
	b.Members(now, policy.Full, []policy.Server{
		{ID: "one", State: policy.Ready, Weight: 1},
		{ID: "two", State: policy.Draining, Weight: 1},
	})
	b.Request(now, policy.Request{ID: "r1", Class: "stream", Key: 42, HasKey: true, TTL: 2 * time.Second})
	// Output: send r1 to one within 500ms
}
