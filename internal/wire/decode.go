// Package wire is the JSON codec between the simulator's wire and the events and actions of package
// policy.
package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/mailru/easyjson/jlexer"

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
	"done": policy.OK, "err": policy.Error, "busy": policy.TurnedAway, "etimedout": policy.Timeout,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset, "ecanceled": policy.Cancelled,
	"skipped": policy.Moot,
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
	Note     policy.NoteKind
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
	object(l, func(name string) {
		count++
		kind := kinds[name]
		d.event.Kind = kind
		if kind == Skip || kind == Commit {
			l.SkipRecursive()
			return
		}
		object(l, func(field string) { d.field(l, field) })
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

// object calls visit for each field of the object that comes next.
func object(l *jlexer.Lexer, visit func(field string)) {
	l.Delim('{')
	for !l.IsDelim('}') && l.Ok() {
		field := l.UnsafeFieldName(false)
		l.WantColon()
		visit(field)
		l.WantComma()
	}
	l.Delim('}')
}

// array calls visit for each element of the array that comes next.
func array(l *jlexer.Lexer, visit func()) {
	l.Delim('[')
	for !l.IsDelim(']') && l.Ok() {
		visit()
		l.WantComma()
	}
	l.Delim(']')
}

func (d *Decoder) field(l *jlexer.Lexer, field string) {
	e := &d.event
	if l.IsNull() {
		l.Skip()
		return
	}
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
		e.Request.MidFlow, e.Request.Returned = bits&midFlowBit != 0, bits&returnedBit != 0
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
		e.Note = policy.NoteKind(l.Int())
	case "level":
		e.Level = l.Float64()
	case "contents":
		d.memo(l.Bytes())
	case "form":
		e.Form = policy.MembersKind(l.Int())
	case "slot":
		e.Slot = l.Int()
	case "entries":
		array(l, func() { e.Entries = append(e.Entries, d.entry(l)) })
	case "prng":
		e.Seed = l.Uint64()
	case "bootInfo":
		set, err := decodeSettings(l.Raw())
		if err != nil {
			l.AddError(err)
		}
		e.Settings = set
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
	object(l, func(field string) {
		if l.IsNull() {
			l.Skip()
			return
		}
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

// settings mirrors the parts of the wire's settings object that the module acts on.
type settings struct {
	Tick     time.Duration `json:"tick"`
	Siblings int           `json:"siblings"`
	Allowed  struct {
		TryLimit int  `json:"tryLimit"`
		Peers    bool `json:"peers"`
	} `json:"allowed"`
	Discovery  string `json:"discovery"`
	Locality   string `json:"locality"`
	FamilyInfo struct {
		MessageAim []time.Duration `json:"messageAim"`
	} `json:"familyInfo"`
	Grades []struct {
		Name         string        `json:"name"`
		Aim          time.Duration `json:"aim"`
		Effect       string        `json:"effect"`
		DedupScope   string        `json:"dedupScope"`
		RepeatWindow time.Duration `json:"repeatWindow"`
	} `json:"grades"`
	Invariants struct {
		AskWithin         time.Duration `json:"askWithin"`
		ColdFrom          float64       `json:"coldFrom"`
		WarmAfter         time.Duration `json:"warmAfter"`
		StopSendingWithin time.Duration `json:"stopSendingWithin"`
		OverloadFactor    float64       `json:"overloadFactor"`
		Fall              time.Duration `json:"fall"`
		SpareAttempts     *float64      `json:"spareAttempts"`
		ResendRatio       *float64      `json:"resendRatio"`
		RatioSpan         time.Duration `json:"ratioSpan"`
		OnlyDrainingBinds bool          `json:"onlyDrainingBinds"`
	} `json:"invariants"`
}

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
var scopes = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

func decodeSettings(raw []byte) (policy.Settings, error) {
	var in settings
	if err := json.Unmarshal(raw, &in); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	out := policy.Settings{
		Classes:        make(map[string]policy.Class, len(in.Grades)),
		MaxAttempts:    max(in.Allowed.TryLimit, 1),
		Siblings:       in.Siblings,
		Peers:          in.Allowed.Peers,
		Tick:           max(in.Tick, time.Millisecond),
		MustAsk:        in.Discovery == "subscribe",
		AskWithin:      in.Invariants.AskWithin,
		DrainGrace:     in.Invariants.StopSendingWithin,
		ColdFrom:       in.Invariants.ColdFrom,
		WarmAfter:      in.Invariants.WarmAfter,
		OverloadFactor: in.Invariants.OverloadFactor,
		Fall:           in.Invariants.Fall,

		OnlyDrainingBinds: in.Invariants.OnlyDrainingBinds,
		Zone:              in.Locality,
	}
	if err := in.budget(&out); err != nil {
		return policy.Settings{}, err
	}
	for i, g := range in.Grades {
		effect, ok := effects[g.Effect]
		if !ok {
			effect = policy.Unsafe // the strictest, for a word not known
		}
		scope, ok := scopes[g.DedupScope]
		if !ok {
			scope = policy.ScopeCell
		}
		class := policy.Class{Aim: g.Aim, Effect: effect, Scope: scope, Window: g.RepeatWindow}
		if i < len(in.FamilyInfo.MessageAim) {
			class.MessageAim = in.FamilyInfo.MessageAim[i]
		}
		out.Classes[g.Name] = class
	}
	return out, nil
}

// budget hands on the budget of attempts. Half of one is malformed: it would be kept by nobody.
func (in *settings) budget(out *policy.Settings) error {
	spare, ratio, span := in.Invariants.SpareAttempts, in.Invariants.ResendRatio, in.Invariants.RatioSpan
	given := spare != nil || ratio != nil
	switch {
	case span < 0:
		return fmt.Errorf("settings: ratioSpan of %v", span)
	case given && span == 0:
		return errors.New("settings: a budget of attempts without its ratioSpan")
	case !given && span > 0:
		return errors.New("settings: a ratioSpan without spareAttempts or resendRatio")
	}
	out.BudgetSpan = span
	if spare != nil {
		out.SpareAttempts = *spare
	}
	if ratio != nil {
		out.AttemptShare = *ratio
	}
	if out.SpareAttempts < 0 || out.AttemptShare < 0 {
		return fmt.Errorf("settings: a budget of %v spare attempts and a ratio of %v", out.SpareAttempts, out.AttemptShare)
	}
	return nil
}
