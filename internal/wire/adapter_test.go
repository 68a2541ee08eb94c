package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"tealtiller/policy"
)

const powerOnEvent = `{"powerOn":{"balancer":%d,"prng":7,"bootInfo":{"siblings":2,"tick":5000000,"unknownKey":[1],` +
	`"allowed":{"tryLimit":4},"discovery":"subscribe","familyInfo":{"messageAim":[250000000]},` +
	`"grades":[{"name":"sales","aim":500000000,"effect":"safe","dedupScope":"all"}],` +
	`"invariants":{"askWithin":10000000000,"coldFrom":0.17,"warmAfter":24000000000,` +
	`"stopSendingWithin":250000000,"overloadFactor":3.0,"fall":1500000000}}}}`

const listEvent = `{"list":{"slot":3,"entries":[{"server":"s-a","area":"z","machine":"m","group":0,"state":1,"units":1,` +
	`"startTime":null},{"server":"s-b","area":"z","machine":"m","group":1,"state":2,"units":1.5,"startTime":61}]}}`

const orderEvent = `{"order":{"balancer":%d,"requestId":"id-%d","expected":null,"team":0,"band":"sales",` +
	`"group":%d,"ttl":2000000000,"object":4569004829183723,"bits":1}}`

func batchOf(turn int, events ...string) string {
	return fmt.Sprintf("{\"beginBatch\":{\"wall\":%d,\"turn\":%d}}\n%s\n{\"commit\":{}}\n",
		int64(turn)*1e9, turn, strings.Join(events, "\n"))
}

func runAdapter(t *testing.T, in string) (out, warn string, err error) {
	t.Helper()
	var o, w bytes.Buffer
	err = NewAdapter(strings.NewReader(in), &o, &w).Run()
	return o.String(), w.String(), err
}

func startEvents(n int) []string {
	return []string{fmt.Sprintf(powerOnEvent, n), listEvent, fmt.Sprintf(`{"discovery":{"balancer":%d,"form":2,"revision":1,"slot":3}}`, n)}
}

func TestRoundTrip(t *testing.T) {
	in := batchOf(1, append(startEvents(0), fmt.Sprintf(orderEvent, 0, 1, 5))...) +
		batchOf(2, `{"underWay":{"balancer":0,"requestId":"id-1","hop":0,"server":"s-a","timeTaken":5}}`,
			`{"note":{"balancer":0,"requestId":"id-1","hop":0,"sort":2,"server":"s-a","level":317.8}}`,
			`{"done":{"balancer":0,"requestId":"id-1","hop":0,"server":"s-a","disposition":"done","timeTaken":9,"over":true,"gauge":null}}`)
	out, warn, err := runAdapter(t, in)
	if err != nil || warn != "" {
		t.Fatalf("error %v, warnings %q", err, warn)
	}
	for _, want := range []string{
		`{"place":{"balancer":0,"requestId":"id-1","server":"s-a","allowFor":500000000}}`,
		`{"wakeAt":{"balancer":0,"time":`, `{"done":{"turn":1}}`, `"text":"passed over s-a for `,
		`{"done":{"turn":2}}`,
	} {
		if !strings.Contains(out, want) {
			t.Errorf("reply lacks %s:\n%s", want, out)
		}
	}
}

func TestMalformedInputIsReported(t *testing.T) {
	for name, test := range map[string]struct{ in, want string }{
		"no JSON":       {"{\"beginBatch\":{\"wall\":1,\"turn\":1}}\nnonsense\n", "malformed"},
		"cut line":      {"{\"beginBatch\":{\"wall\":1", "malformed"},
		"two keys":      {batchOf(1, `{"a":{},"b":{}}`), "one key"},
		"outside":       {`{"bell":{"balancer":0,"name":1}}` + "\n", "outside a batch"},
		"nested":        {"{\"beginBatch\":{\"wall\":1,\"turn\":1}}\n{\"beginBatch\":{\"wall\":1,\"turn\":2}}\n", "inside a batch"},
		"ended inside":  {"{\"beginBatch\":{\"wall\":1,\"turn\":1}}\n", "ended inside"},
		"unknown list":  {batchOf(1, fmt.Sprintf(powerOnEvent, 0), `{"discovery":{"balancer":0,"form":1,"revision":1,"slot":9}}`), "list 9"},
		"settings type": {batchOf(1, `{"powerOn":{"balancer":0,"prng":1,"bootInfo":{"tick":"x"}}}`), "settings"},
	} {
		if _, _, err := runAdapter(t, test.in); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, test.want)
		}
	}
	out, warn, err := runAdapter(t, batchOf(1, `{"bell":{"balancer":4,"name":1}}`))
	if err != nil || !strings.Contains(warn, "instance 4") || out != "{\"done\":{\"turn\":1}}\n" {
		t.Errorf("event for an instance that is not running: %q, %q, %v", out, warn, err)
	}
}

func TestPanicBecomesException(t *testing.T) {
	var out, warn bytes.Buffer
	a := NewAdapter(strings.NewReader(""), &out, &warn)
	a.instances[1] = new(policy.Balancer) // not created by New: it panics on the first request
	a.dispatch(time.Second, &Event{Kind: Request, Instance: 1, Request: policy.Request{ID: "x", TTL: time.Second}})
	if got := string(a.encoder.EndBatch(1)); !strings.Contains(got, `{"exception":{"text":"`) {
		t.Errorf("reply %s", got)
	}
}

func TestStopRemovesInstance(t *testing.T) {
	_, warn, err := runAdapter(t, batchOf(1, startEvents(0)...)+batchOf(2, `{"shutdown":{"balancer":0}}`, fmt.Sprintf(orderEvent, 0, 1, 1)))
	if err != nil || !strings.Contains(warn, "not running") {
		t.Errorf("warnings %q, %v", warn, err)
	}
}

// Instances must share no state: two instances in one process act exactly as they do in two processes.
func TestInstancesAreIndependent(t *testing.T) {
	script := func(ns ...int) string {
		var events []string
		for _, n := range ns {
			events = append(events, startEvents(n)...)
			for i := range 20 {
				events = append(events, fmt.Sprintf(orderEvent, n, n*100+i, i%4))
			}
		}
		return batchOf(1, events...)
	}
	both, _, _ := runAdapter(t, script(0, 1))
	a, _, _ := runAdapter(t, script(0))
	b, _, _ := runAdapter(t, script(1))
	end := "{\"done\":{\"turn\":1}}\n"
	if both != strings.TrimSuffix(a, end)+b || !strings.Contains(both, "place") {
		t.Error("actions differ between two instances in one process and in two processes")
	}
}
