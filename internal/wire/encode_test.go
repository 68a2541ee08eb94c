package wire

import (
	"strings"
	"testing"
	"time"

	"tealtiller/policy"
)

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
