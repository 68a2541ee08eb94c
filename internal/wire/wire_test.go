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

func TestDecodedFields(t *testing.T) {
	d := NewDecoder()
	e, err := d.DecodeLine([]byte(`{"order":{"balancer":3,"requestId":"x","band":"sales","group":null,"ttl":9,"object":77,"bits":9,"later":{"a":[1]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Request{ID: "x", Class: "sales", Key: 77, HasKey: true, TTL: 9, MidFlow: true}
	if e.Kind != Request || e.Instance != 3 || e.Request != want {
		t.Errorf("decoded %+v", e)
	}
	if e, _ = d.DecodeLine([]byte(`{"order":{"balancer":3,"requestId":"y","group":0}}`)); !e.Request.HasKey || e.Request.Key != 0 {
		t.Errorf("group 0 was not taken as a key: %+v", e.Request)
	}
	if e, _ = d.DecodeLine([]byte(`{"order":{"balancer":3,"requestId":"z"}}`)); e.Request.HasKey {
		t.Errorf("request without group and object has a key: %+v", e.Request)
	}
	if e, err = d.DecodeLine([]byte(`{"novelty":{"deep":{"a":[1,{"b":2}]}}}`)); err != nil || e.Kind != Ignored {
		t.Errorf("unknown event: %+v, %v", e, err)
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

func TestActions(t *testing.T) {
	var e Encoder
	e.SetInstance(2)
	e.Send("r", "s", 5)
	e.Refuse("r", 0, policy.NoTimeLeft)
	e.Refuse("r", 7, policy.NoServer)
	e.Fail("r")
	e.Move("r")
	e.Wake(9, 1)
	e.Watch(true)
	e.Log("t")
	want := `{"place":{"balancer":2,"requestId":"r","server":"s","allowFor":5}}
{"bounce":{"balancer":2,"requestId":"r"}}
{"bounce":{"balancer":2,"requestId":"r","retryAfter":7}}
{"fail":{"balancer":2,"requestId":"r"}}
{"rebalance":{"balancer":2,"requestId":"r"}}
{"wakeAt":{"balancer":2,"time":9,"name":1}}
{"tail":{"balancer":2,"want":true}}
{"sayLog":{"balancer":2,"text":"t"}}
{"done":{"turn":4}}
`
	if got := string(e.EndBatch(4)); got != want {
		t.Errorf("encoded\n%swant\n%s", got, want)
	}
}

func TestQuoting(t *testing.T) {
	if got := string(appendQuoted(nil, "a\"\\\n\x01é")); got != `"a\"\\\n\u0001é"` {
		t.Errorf("quoted %s", got)
	}
}

func BenchmarkDecodedEvent(b *testing.B) {
	d, line := NewDecoder(), []byte(fmt.Sprintf(orderEvent, 3, 17, 4050608788307276))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.DecodeLine(line); err != nil {
			b.Fatal(err)
		}
	}
}

func TestSiblingMessageRoundTrip(t *testing.T) {
	for _, test := range []struct {
		server     uint32
		sent, want time.Duration
	}{{0xfedcba98, 270 * time.Millisecond, 270 * time.Millisecond}, {7, time.Hour, 65535 * time.Millisecond}} {
		var enc Encoder
		enc.SetInstance(3)
		enc.NotifySiblings(test.server, test.sent)
		line := strings.Split(string(enc.EndBatch(1)), "\n")[0]
		if !strings.HasPrefix(line, `{"writePeer":{"balancer":3,"whom":"*","contents":"`) {
			t.Fatalf("wrote %s", line)
		}
		received := strings.Replace(strings.Replace(line, "writePeer", "memo", 1), `"whom":"*"`, `"originPeer":5`, 1)
		e, err := NewDecoder().DecodeLine([]byte(received))
		if err != nil || e.Kind != SiblingMessage || e.ServerHash != test.server || e.Delay != test.want {
			t.Errorf("%s came back as %+v, %v", line, e, err)
		}
	}
	e, err := NewDecoder().DecodeLine([]byte(`{"memo":{"balancer":3,"originPeer":5,"contents":"aGkgNw=="}}`))
	if err != nil || e.Kind != Ignored {
		t.Errorf("a message of another version: %+v, %v", e, err)
	}
}

func powerOnWithInvariants(invariants string) []byte {
	return []byte(`{"powerOn":{"balancer":0,"prng":7,"bootInfo":{"locality":"z","invariants":{` + invariants + `}}}}`)
}

func TestBudgetAndDrainSettings(t *testing.T) {
	for text, want := range map[string]policy.Settings{
		"": {},
		`"spareAttempts":2.0,"resendRatio":0.03,"ratioSpan":2000000000`: {
			RetryBudgetSpan: 2 * time.Second, RetryBudgetBase: 2, RetryBudgetRatio: 0.03},
		`"spareAttempts":3,"resendRatio":0,"ratioSpan":5000000000`: {RetryBudgetSpan: 5 * time.Second, RetryBudgetBase: 3},
		`"resendRatio":0.1,"ratioSpan":1000000000`:                 {RetryBudgetSpan: time.Second, RetryBudgetRatio: 0.1},
		`"spareAttempts":null,"resendRatio":null,"ratioSpan":null`: {},
		`"onlyDrainingBinds":true`:                                 {GoneServersUsable: true},
		`"onlyDrainingBinds":false`:                                {},
	} {
		e, err := NewDecoder().DecodeLine(powerOnWithInvariants(text))
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		got := e.Settings
		if got.RetryBudgetSpan != want.RetryBudgetSpan || got.RetryBudgetBase != want.RetryBudgetBase || got.Zone != "z" ||
			got.RetryBudgetRatio != want.RetryBudgetRatio || got.GoneServersUsable != want.GoneServersUsable {
			t.Errorf("%s: %+v", text, got)
		}
	}
	for text, want := range map[string]string{
		`"spareAttempts":2`:                           "without its ratioSpan",
		`"resendRatio":0.1,"ratioSpan":0`:             "without its ratioSpan",
		`"ratioSpan":2000000000`:                      "without spareAttempts",
		`"spareAttempts":2,"ratioSpan":-1`:            "ratioSpan of",
		`"spareAttempts":-1,"ratioSpan":1`:            "-1 spare",
		`"resendRatio":-0.5,"ratioSpan":1`:            "ratio of -0.5",
		`"spareAttempts":"two","ratioSpan":1`:         "settings",
		`"onlyDrainingBinds":1`:                       "settings",
		`"spareAttempts":2,"ratioSpan":1.5`:           "settings",
		`"spareAttempts":{},"resendRatio":0.1`:        "settings",
		`"resendRatio":[0.1],"ratioSpan":2000000000`:  "settings",
		`"onlyDrainingBinds":"yes"`:                   "settings",
		`"spareAttempts":2,"ratioSpan":"2000000000"`:  "settings",
		`"spareAttempts":1e999,"ratioSpan":200000000`: "settings",
	} {
		if _, err := NewDecoder().DecodeLine(powerOnWithInvariants(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}

func TestServerKindAndZone(t *testing.T) {
	e, err := NewDecoder().DecodeLine([]byte(listEvent))
	if err != nil || len(e.Servers) != 2 || e.Servers[0].Kind != "m" || e.Servers[0].Zone != "z" {
		t.Errorf("entries %+v, %v", e.Servers, err)
	}
}
