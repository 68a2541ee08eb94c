package wire

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"tealtiller/policy"
)

// Encoder appends actions to a reply. Names of requests and servers go back as they came.
type Encoder struct {
	buf      []byte
	instance int
}

// For makes the actions that follow those of an instance.
func (e *Encoder) For(instance int) { e.instance = instance }

// Done ends the reply to a batch and returns it; the bytes are valid until the next action.
func (e *Encoder) Done(turn int64) []byte {
	e.buf = append(e.buf, `{"done":{"turn":`...)
	e.buf = strconv.AppendInt(e.buf, turn, 10)
	e.buf = append(e.buf, "}}\n"...)
	out := e.buf
	e.buf = e.buf[:0]
	return out
}

func (e *Encoder) begin(action string) {
	e.buf = append(e.buf, `{"`...)
	e.buf = append(e.buf, action...)
	e.buf = append(e.buf, `":{"balancer":`...)
	e.buf = strconv.AppendInt(e.buf, int64(e.instance), 10)
}

func (e *Encoder) end() { e.buf = append(e.buf, "}}\n"...) }

func (e *Encoder) text(field, value string) {
	e.buf = append(e.buf, `,"`...)
	e.buf = append(e.buf, field...)
	e.buf = append(e.buf, `":`...)
	e.buf = appendQuoted(e.buf, value)
}

func (e *Encoder) number(field string, value int64) {
	e.buf = append(e.buf, `,"`...)
	e.buf = append(e.buf, field...)
	e.buf = append(e.buf, `":`...)
	e.buf = strconv.AppendInt(e.buf, value, 10)
}

// appendQuoted writes a JSON string; what is not plain ASCII goes the slow way.
func appendQuoted(buf []byte, value string) []byte {
	for i := range len(value) {
		if c := value[i]; c < 0x20 || c >= 0x7f || c == '"' || c == '\\' {
			return append(buf, quoteSlow(value)...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, value...)
	return append(buf, '"')
}

// Send starts an attempt.
func (e *Encoder) Send(request, server string, timeout time.Duration) {
	e.begin("place")
	e.text("requestId", request)
	e.text("server", server)
	e.number("allowFor", int64(timeout))
	e.end()
}

// Refuse is a final answer; the wire tells no reason.
func (e *Encoder) Refuse(request string, retryAfter time.Duration, _ policy.Reason) {
	e.begin("bounce")
	e.text("requestId", request)
	if retryAfter > 0 {
		e.number("retryAfter", int64(retryAfter))
	}
	e.end()
}

// Fail is a final answer.
func (e *Encoder) Fail(request string) { e.named("fail", request) }

// Move ends an open connection politely.
func (e *Encoder) Move(request string) { e.named("rebalance", request) }

func (e *Encoder) named(action, request string) {
	e.begin(action)
	e.text("requestId", request)
	e.end()
}

// Wake sets a timer.
func (e *Encoder) Wake(at time.Duration, name int64) {
	e.begin("wakeAt")
	e.number("time", int64(at))
	e.number("name", name)
	e.end()
}

// Probe says nothing: on this wire load is told by notes on connections, and no settings from it allow asking.
func (e *Encoder) Probe(string) {}

// NotifySiblings sends a message to all peers: the server's hash, and milliseconds in two bytes, as each is paid for.
func (e *Encoder) NotifySiblings(server uint32, delay time.Duration) {
	message := binary.BigEndian.AppendUint32(nil, server)
	message = binary.BigEndian.AppendUint16(message, uint16(min(delay.Milliseconds(), math.MaxUint16)))
	e.begin("writePeer")
	e.text("whom", "*")
	e.text("contents", base64.StdEncoding.EncodeToString(message))
	e.end()
}

// Watch subscribes to the list of servers, or ends that.
func (e *Encoder) Watch(on bool) {
	e.begin("tail")
	e.buf = append(e.buf, `,"want":`...)
	e.buf = strconv.AppendBool(e.buf, on)
	e.end()
}

// Log adds a line to the report.
func (e *Encoder) Log(text string) {
	e.begin("sayLog")
	e.text("text", text)
	e.end()
}

// Exception declares that the decisions failed.
func (e *Encoder) Exception(text string) {
	e.buf = append(e.buf, `{"exception":{"text":`...)
	e.buf = appendQuoted(e.buf, text)
	e.end()
}

// quoteSlow is the general JSON string; marshalling a string cannot fail.
func quoteSlow(value string) []byte {
	out, _ := json.Marshal(value)
	return out
}
