// Package wire is the JSON codec between the simulator's wire and the events and actions of package
// policy.
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

// Kind is the kind of a line.
type Kind int

// The kinds of lines; Skip is an event that nothing here needs or knows.
const (
	Skip Kind = iota
	Begin
	Commit
	List
	Start
	Stop
	Members
	Request
	Open
	First
	Outcome
	Note
	Gone
	Wake
	Memo
)

var kinds = map[string]Kind{
	"beginBatch": Begin, "commit": Commit, "list": List, "powerOn": Start, "shutdown": Stop,
	"discovery": Members, "order": Request, "alreadyOpen": Open, "underWay": First, "done": Outcome,
	"note": Note, "lapsed": Gone, "bell": Wake, "memo": Memo,
}

var results = map[string]policy.Result{
	"done": policy.OK, "err": policy.Error, "busy": policy.Rejected, "etimedout": policy.Timeout,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset, "ecanceled": policy.Cancelled,
	"skipped": policy.NotSent,
}

// Bits of `bits`: packets of an established connection, a client that is back after a break or a move.
const (
	midFlowBit  = 8
	returnedBit = 16
)

// Event is one decoded line. Which fields are set depends on Kind. It is valid until the next line is
// decoded.
type Event struct {
	Kind     Kind
	Time     time.Duration // Begin
	Turn     int64         // Begin
	Instance int
	Request  policy.Request // Request, Open; others set its ID alone
	Server   string
	Result   policy.Result
	Over     bool
	Timer    int64 // Wake
	Note     policy.MetricKind
	Level    float64
	Peer     uint32        // Memo: the hash of the server that it tells of
	Delay    time.Duration // Memo
	Form     policy.MembersKind
	Slot     int
	Entries  []policy.Server
	Seed     uint64
	Settings policy.Settings
}

// Decoder turns lines into events, reusing one Event and the names that it has seen.
type Decoder struct {
	event   Event
	names   map[string]string
	grouped bool // the event told a group, which is the key then
}

// NewDecoder makes a decoder.
func NewDecoder() *Decoder { return &Decoder{names: map[string]string{}} }

// Line decodes one line; unknown fields and unknown events are skipped, anything malformed is an error.
func (d *Decoder) Line(line []byte) (*Event, error) {
	l := &jlexer.Lexer{Data: line}
	d.event = Event{Entries: d.event.Entries[:0]}
	d.grouped = false
	count := 0
	settings.ForEachField(l, func(name string) {
		count++
		kind := kinds[name]
		d.event.Kind = kind
		if kind == Skip || kind == Commit {
			l.SkipRecursive()
			return
		}
		settings.ForEachField(l, func(field string) { d.field(l, field) })
	})
	l.Consumed()
	if err := l.Error(); err != nil {
		return nil, fmt.Errorf("malformed line: %v", err) // not wrapped: its EOF is not ours
	}
	if count != 1 {
		return nil, errors.New("malformed line: want an object with one key")
	}
	return &d.event, nil
}

func (d *Decoder) field(l *jlexer.Lexer, field string) {
	e := &d.event
	switch field {
	case "balancer":
		e.Instance = l.Int()
	case "wall":
		e.Time = time.Duration(l.Int64())
	case "turn":
		e.Turn = l.Int64()
	case "requestId":
		e.Request.ID = l.String()
	case "band":
		e.Request.Class = d.name(l)
	case "ttl":
		e.Request.TTL = time.Duration(l.Int64())
	case "object":
		if key := l.Uint64(); !d.grouped {
			e.Request.Key, e.Request.HasKey = key, true
		}
	case "group":
		e.Request.Key, e.Request.HasKey, d.grouped = l.Uint64(), true, true
	case "bits":
		bits := l.Int64()
		e.Request.MidFlow, e.Request.Reconnecting = bits&midFlowBit != 0, bits&returnedBit != 0
	case "server":
		e.Server = d.name(l)
	case "disposition":
		result, ok := results[l.UnsafeString()]
		if !ok {
			result = policy.Error // an unknown end proves nothing
		}
		e.Result = result
	case "over":
		e.Over = l.Bool()
	case "name":
		e.Timer = l.Int64()
	case "sort":
		e.Note = policy.MetricKind(l.Int())
	case "level":
		e.Level = l.Float64()
	case "contents":
		d.memo(l.Bytes())
	case "form":
		e.Form = policy.MembersKind(l.Int())
	case "slot":
		e.Slot = l.Int()
	case "entries":
		settings.ForEachElement(l, func() { e.Entries = append(e.Entries, d.entry(l)) })
	case "prng":
		e.Seed = l.Uint64()
	case "bootInfo":
		set, err := settings.Decode(l.Raw())
		if err != nil {
			l.AddError(err)
		}
		e.Settings = set.Policy
	default:
		l.SkipRecursive()
	}
}

// memo reads what Encoder.Tell wrote; a message of another length is of another version and skipped.
func (d *Decoder) memo(message []byte) {
	if len(message) != 6 {
		d.event.Kind = Skip
		return
	}
	d.event.Peer = binary.BigEndian.Uint32(message)
	d.event.Delay = time.Duration(binary.BigEndian.Uint16(message[4:])) * time.Millisecond
}

// name interns a server's, zone's or class's name: there are few of them and every event bears some.
func (d *Decoder) name(l *jlexer.Lexer) string {
	text := l.UnsafeString()
	if known, ok := d.names[text]; ok {
		return known
	}
	known := string([]byte(text))
	d.names[known] = known
	return known
}

func (d *Decoder) entry(l *jlexer.Lexer) policy.Server {
	var s policy.Server
	settings.ForEachField(l, func(field string) {
		switch field {
		case "server":
			s.ID = d.name(l)
		case "area":
			s.Zone = d.name(l)
		case "machine":
			s.Kind = d.name(l)
		case "group":
			s.Cell = l.Int()
		case "state":
			s.State = policy.State(l.Int())
		case "units":
			s.Weight = l.Float64()
		case "startTime":
			s.Started = time.Duration(l.Int64())
		default:
			l.SkipRecursive()
		}
	})
	return s
}
