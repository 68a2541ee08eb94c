// Package wire is the JSON codec between the simulator's line protocol and the events and actions of package policy,
// and the adapter that runs policy instances on it.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"tealtiller/internal/settings"
	"tealtiller/policy"
)

// Kind is the kind of an input line.
type Kind int

// The kinds of input lines; Ignored is an event that is unknown or not needed here.
const (
	Ignored Kind = iota
	BatchBegin
	BatchCommit
	ServerList
	InstanceStart
	InstanceStop
	Members
	Request
	Inherited
	Established
	Outcome
	ConnectionMetric
	ClientGone
	TimerFired
	SiblingMessage
)

// eventKinds maps the event names of the wire to kinds.
var eventKinds = map[string]Kind{
	"beginBatch": BatchBegin, "commit": BatchCommit, "list": ServerList, "powerOn": InstanceStart, "shutdown": InstanceStop,
	"discovery": Members, "order": Request, "alreadyOpen": Inherited, "underWay": Established, "done": Outcome,
	"note": ConnectionMetric, "lapsed": ClientGone, "bell": TimerFired, "memo": SiblingMessage,
}

// attemptResults maps the dispositions of the wire to results of attempts.
var attemptResults = map[string]policy.Result{
	"done": policy.OK, "err": policy.Error, "busy": policy.Rejected, "etimedout": policy.Timeout,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset, "ecanceled": policy.Cancelled,
	"skipped": policy.NotSent,
}

// Bits of the field `bits`: packets of an established connection (mid-flow), and a client that reconnects after its
// connection broke or was moved.
const (
	midFlowBit      = 8
	reconnectingBit = 16
)

// Event is one decoded line. Which fields are set depends on Kind. It is valid until the next line is decoded.
type Event struct {
	Kind        Kind
	Time        time.Duration // BatchBegin
	Turn        int64         // BatchBegin
	Instance    int
	Request     policy.Request // Request and Inherited; other kinds set only its ID
	Server      string
	Result      policy.Result
	RequestOver bool
	Timer       int64 // TimerFired
	MetricKind  policy.MetricKind
	MetricValue float64
	ServerHash  uint32        // SiblingMessage: hash of the server that it is about
	Delay       time.Duration // SiblingMessage: message delay at that server
	MembersKind policy.MembersKind
	ListSlot    int
	Servers     []policy.Server
	Seed        uint64
	Settings    policy.Settings
}

// Decoder turns lines into events. It reuses one Event, and keeps the names that it has seen.
type Decoder struct {
	event    Event
	names    map[string]string
	hasGroup bool // the event has a group, which then is the key instead of the object
}

// NewDecoder returns a decoder that has seen no names yet.
func NewDecoder() *Decoder { return &Decoder{names: map[string]string{}} }

// DecodeLine decodes one line. Unknown fields and unknown events are skipped; malformed input is an error.
func (d *Decoder) DecodeLine(line []byte) (*Event, error) {
	lexer := &jlexer.Lexer{Data: line}
	d.event = Event{Servers: d.event.Servers[:0]}
	d.hasGroup = false
	count := 0
	settings.ForEachField(lexer, func(name string) {
		count++
		kind := eventKinds[name]
		d.event.Kind = kind
		if kind == Ignored || kind == BatchCommit {
			lexer.SkipRecursive()
			return
		}
		settings.ForEachField(lexer, func(field string) { d.decodeField(lexer, field) })
	})
	lexer.Consumed()
	if err := lexer.Error(); err != nil {
		// Not wrapped: an io.EOF from the lexer must not be mistaken for the end of the input.
		return nil, fmt.Errorf("malformed line: %v", err)
	}
	if count != 1 {
		return nil, errors.New("malformed line: expected an object with exactly one key")
	}
	return &d.event, nil
}

func (d *Decoder) decodeField(lexer *jlexer.Lexer, field string) {
	e := &d.event
	switch field {
	case "balancer":
		e.Instance = lexer.Int()
	case "wall":
		e.Time = time.Duration(lexer.Int64())
	case "turn":
		e.Turn = lexer.Int64()
	case "requestId":
		e.Request.ID = lexer.String()
	case "band":
		e.Request.Class = d.intern(lexer)
	case "ttl":
		e.Request.TTL = time.Duration(lexer.Int64())
	case "object":
		if key := lexer.Uint64(); !d.hasGroup {
			e.Request.Key, e.Request.HasKey = key, true
		}
	case "group":
		e.Request.Key, e.Request.HasKey, d.hasGroup = lexer.Uint64(), true, true
	case "bits":
		bits := lexer.Int64()
		e.Request.MidFlow, e.Request.Reconnecting = bits&midFlowBit != 0, bits&reconnectingBit != 0
	case "server":
		e.Server = d.intern(lexer)
	case "disposition":
		result, ok := attemptResults[lexer.UnsafeString()]
		if !ok {
			result = policy.Error // an unknown disposition proves nothing about the request
		}
		e.Result = result
	case "over":
		e.RequestOver = lexer.Bool()
	case "name":
		e.Timer = lexer.Int64()
	case "sort":
		e.MetricKind = policy.MetricKind(lexer.Int())
	case "level":
		e.MetricValue = lexer.Float64()
	case "contents":
		d.decodeSiblingMessage(lexer.Bytes())
	case "form":
		e.MembersKind = policy.MembersKind(lexer.Int())
	case "slot":
		e.ListSlot = lexer.Int()
	case "entries":
		settings.ForEachElement(lexer, func() { e.Servers = append(e.Servers, d.decodeServer(lexer)) })
	case "prng":
		e.Seed = lexer.Uint64()
	case "bootInfo":
		set, err := settings.Decode(lexer.Raw())
		if err != nil {
			lexer.AddError(err)
		}
		e.Settings = set.Policy
	default:
		lexer.SkipRecursive()
	}
}

// decodeSiblingMessage reads what Encoder.NotifySiblings wrote. A message of another length comes from another version
// and is ignored.
func (d *Decoder) decodeSiblingMessage(message []byte) {
	if len(message) != 6 {
		d.event.Kind = Ignored
		return
	}
	d.event.ServerHash = binary.BigEndian.Uint32(message)
	d.event.Delay = time.Duration(binary.BigEndian.Uint16(message[4:])) * time.Millisecond
}

// intern returns one shared string per name of a server, zone or class: there are few of them, and every event carries
// some.
func (d *Decoder) intern(lexer *jlexer.Lexer) string {
	text := lexer.UnsafeString()
	if known, ok := d.names[text]; ok {
		return known
	}
	known := string([]byte(text))
	d.names[known] = known
	return known
}

func (d *Decoder) decodeServer(lexer *jlexer.Lexer) policy.Server {
	var s policy.Server
	settings.ForEachField(lexer, func(field string) {
		switch field {
		case "server":
			s.ID = d.intern(lexer)
		case "area":
			s.Zone = d.intern(lexer)
		case "machine":
			s.Kind = d.intern(lexer)
		case "group":
			s.Cell = lexer.Int()
		case "state":
			s.State = policy.State(lexer.Int())
		case "units":
			s.Weight = lexer.Float64()
		case "startTime":
			s.Started = time.Duration(lexer.Int64())
		default:
			lexer.SkipRecursive()
		}
	})
	return s
}
