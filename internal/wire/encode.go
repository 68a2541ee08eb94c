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

// Encoder appends actions to the reply to a batch. It implements policy.Host. Ids of requests and servers are written
// as they were received.
type Encoder struct {
	buf      []byte
	instance int
}

// SetInstance sets the balancer instance to which the following actions belong.
func (e *Encoder) SetInstance(instance int) { e.instance = instance }

// EndBatch ends the reply to a batch and returns it. The bytes are valid until the next action.
func (e *Encoder) EndBatch(turn int64) []byte {
	e.buf = append(e.buf, `{"done":{"turn":`...)
	e.buf = strconv.AppendInt(e.buf, turn, 10)
	e.buf = append(e.buf, "}}\n"...)
	out := e.buf
	e.buf = e.buf[:0]
	return out
}

func (e *Encoder) beginAction(action string) {
	e.buf = append(e.buf, `{"`...)
	e.buf = append(e.buf, action...)
	e.buf = append(e.buf, `":{"balancer":`...)
	e.buf = strconv.AppendInt(e.buf, int64(e.instance), 10)
}

func (e *Encoder) endAction() { e.buf = append(e.buf, "}}\n"...) }

func (e *Encoder) stringField(field, value string) {
	e.buf = append(e.buf, `,"`...)
	e.buf = append(e.buf, field...)
	e.buf = append(e.buf, `":`...)
	e.buf = appendQuoted(e.buf, value)
}

func (e *Encoder) intField(field string, value int64) {
	e.buf = append(e.buf, `,"`...)
	e.buf = append(e.buf, field...)
	e.buf = append(e.buf, `":`...)
	e.buf = strconv.AppendInt(e.buf, value, 10)
}

// appendQuoted appends a JSON string. Values that need escaping, or are not plain ASCII, go through encoding/json.
func appendQuoted(buf []byte, value string) []byte {
	for i := range len(value) {
		if c := value[i]; c < 0x20 || c >= 0x7f || c == '"' || c == '\\' {
			return append(buf, marshalString(value)...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, value...)
	return append(buf, '"')
}

// Send starts an attempt.
func (e *Encoder) Send(request, server string, timeout time.Duration) {
	e.beginAction("place")
	e.stringField("requestId", request)
	e.stringField("server", server)
	e.intField("allowFor", int64(timeout))
	e.endAction()
}

// Refuse is the final answer to a request that is turned away. The wire carries no reason.
func (e *Encoder) Refuse(request string, retryAfter time.Duration, _ policy.Reason) {
	e.beginAction("bounce")
	e.stringField("requestId", request)
	if retryAfter > 0 {
		e.intField("retryAfter", int64(retryAfter))
	}
	e.endAction()
}

// Fail is the final answer to a request that failed.
func (e *Encoder) Fail(request string) { e.requestAction("fail", request) }

// Move ends an open connection gracefully, so that its client connects again.
func (e *Encoder) Move(request string) { e.requestAction("rebalance", request) }

func (e *Encoder) requestAction(action, request string) {
	e.beginAction(action)
	e.stringField("requestId", request)
	e.endAction()
}

// Wake sets a timer.
func (e *Encoder) Wake(at time.Duration, timer int64) {
	e.beginAction("wakeAt")
	e.intField("time", int64(at))
	e.intField("name", timer)
	e.endAction()
}

// Probe does nothing: on this wire, load is reported by metrics on connections, and none of its settings allow probes.
func (e *Encoder) Probe(string) {}

// NotifySiblings sends a message to all siblings. It holds the hash of the server and the delay as milliseconds in two
// bytes; it is compact because what siblings send is charged for.
func (e *Encoder) NotifySiblings(server uint32, delay time.Duration) {
	message := binary.BigEndian.AppendUint32(nil, server)
	message = binary.BigEndian.AppendUint16(message, uint16(min(delay.Milliseconds(), math.MaxUint16)))
	e.beginAction("writePeer")
	e.stringField("whom", "*")
	e.stringField("contents", base64.StdEncoding.EncodeToString(message))
	e.endAction()
}

// Watch subscribes to the list of servers, or ends the subscription.
func (e *Encoder) Watch(on bool) {
	e.beginAction("tail")
	e.buf = append(e.buf, `,"want":`...)
	e.buf = strconv.AppendBool(e.buf, on)
	e.endAction()
}

// Log adds a line to the simulator's report.
func (e *Encoder) Log(text string) {
	e.beginAction("sayLog")
	e.stringField("text", text)
	e.endAction()
}

// Exception reports that the instance failed.
func (e *Encoder) Exception(text string) {
	e.buf = append(e.buf, `{"exception":{"text":`...)
	e.buf = appendQuoted(e.buf, text)
	e.endAction()
}

// marshalString encodes any string as JSON; marshalling a string cannot fail.
func marshalString(value string) []byte {
	out, _ := json.Marshal(value)
	return out
}
