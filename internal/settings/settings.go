// Package settings decodes the settings object that every instance gets at its start: from the simulator's
// first message, or from the configuration of a real balancer. Only what the program uses is taken out.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"tealtiller/policy"
)

// Settings are the module's settings and those that only a balancer on sockets needs.
type Settings struct {
	Policy         policy.Settings
	ConnectTimeout time.Duration // a connection that is not up by then failed
	Groups         bool          // a connection's group is its key
	Probes         bool          // desk hosts may be asked for load reports
	RetryAfter     bool          // a refused client may be told when to come back
	PassThrough    bool          // packets pass through: connections outlive this process
	Deadline       time.Duration // the longest of any class
}

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

var scopes = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

// Object calls visit for each field of the object that comes next; null has none.
func Object(l *jlexer.Lexer, visit func(field string)) {
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('{')
	for !l.IsDelim('}') && l.Ok() {
		field := l.UnsafeFieldName(false)
		l.WantColon()
		if l.IsNull() { // not told
			l.Skip()
		} else {
			visit(field)
		}
		l.WantComma()
	}
	l.Delim('}')
}

// Array calls visit for each element of the array that comes next; null has none.
func Array(l *jlexer.Lexer, visit func()) {
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('[')
	for !l.IsDelim(']') && l.Ok() {
		visit()
		l.WantComma()
	}
	l.Delim(']')
}

type grade struct {
	name     string
	class    policy.Class
	deadline time.Duration
}

type decoder struct {
	l           *jlexer.Lexer
	out         Settings
	grades      []grade
	messageAims []time.Duration
	spare       *float64
	ratio       *float64
}

// Decode reads the settings object; unknown fields are skipped.
func Decode(raw []byte) (Settings, error) {
	return decode(raw, false, func(*decoder) error { return nil })
}

// DecodeWhole reads the settings object of a real balancer, in which nothing that its answers depend on may lack. Only
// such a one asks desk hosts for reports; on the simulator's wire notes on connections tell of load.
func DecodeWhole(raw []byte) (Settings, error) { return decode(raw, true, (*decoder).whole) }

// whole tells what lacks. Danger: a number that is not told, or null, would be taken as 0, and 0 attempts as 1.
func (d *decoder) whole() error {
	if len(d.grades) == 0 {
		return errors.New("settings: no classes")
	}
	if n := d.out.Policy.MaxAttempts; n <= 0 {
		return fmt.Errorf("settings: tryLimit of %d, or none", n)
	}
	for _, g := range d.grades {
		if g.name == "" || g.deadline <= 0 {
			return fmt.Errorf("settings: class %q with a deadline of %v, or none", g.name, g.deadline)
		}
	}
	return nil
}

func decode(raw []byte, asks bool, check func(*decoder) error) (Settings, error) {
	d := &decoder{l: &jlexer.Lexer{Data: raw}}
	p := &d.out.Policy
	Object(d.l, d.top)
	d.l.Consumed()
	if err := d.l.Error(); err != nil {
		return Settings{}, fmt.Errorf("settings: %v", err) // not wrapped: its EOF is not ours
	}
	if err := cmp.Or(d.budget(), check(d)); err != nil {
		return Settings{}, err
	}
	p.MaxAttempts = max(p.MaxAttempts, 1)
	p.Asks = asks && d.out.Probes
	p.Tick = max(p.Tick, time.Millisecond)
	p.Classes = make(map[string]policy.Class, len(d.grades))
	for i, g := range d.grades {
		if i < len(d.messageAims) {
			g.class.MessageAim = d.messageAims[i]
		}
		p.Classes[g.name] = g.class
	}
	return d.out, nil
}

func (d *decoder) time() time.Duration { return time.Duration(d.l.Int64()) }

func (d *decoder) top(field string) {
	p := &d.out.Policy
	switch field {
	case "tick":
		p.Tick = d.time()
	case "siblings":
		p.Siblings = d.l.Int()
	case "allowed":
		Object(d.l, d.allowed)
	case "discovery":
		p.MustAsk = d.l.String() == "subscribe"
	case "locality":
		p.Zone = d.l.String()
	case "familyInfo":
		Object(d.l, d.family)
	case "grades":
		Array(d.l, func() {
			// the strictest, for a word not known
			g := grade{class: policy.Class{Effect: policy.Unsafe, Scope: policy.ScopeCell}}
			Object(d.l, func(field string) { d.grade(&g, field) })
			d.grades = append(d.grades, g)
		})
	case "invariants":
		Object(d.l, d.invariants)
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) allowed(field string) {
	switch field {
	case "tryLimit":
		d.out.Policy.MaxAttempts = d.l.Int()
	case "peers":
		d.out.Policy.Peers = d.l.Bool()
	case "probing":
		d.out.Probes = d.l.Bool()
	case "retryAfter":
		d.out.RetryAfter = d.l.Bool()
	case "connectTimeout":
		d.out.ConnectTimeout = d.time()
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) family(field string) {
	switch field {
	case "messageAim":
		Array(d.l, func() { d.messageAims = append(d.messageAims, d.time()) })
	case "tenantQuotaConnections":
		Array(d.l, func() { d.out.Policy.Shared += max(d.l.Float64(), 0) })
	case "groups":
		d.out.Groups = d.l.Bool()
	case "mode":
		d.out.PassThrough = d.l.String() == "pass"
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) grade(g *grade, field string) {
	switch field {
	case "name":
		g.name = d.l.String()
	case "aim":
		g.class.Aim = d.time()
	case "deadline":
		g.deadline = d.time()
		d.out.Deadline = max(d.out.Deadline, g.deadline)
	case "effect":
		if effect, ok := effects[d.l.String()]; ok {
			g.class.Effect = effect
		}
	case "dedupScope":
		if scope, ok := scopes[d.l.String()]; ok {
			g.class.Scope = scope
		}
	case "repeatWindow":
		g.class.Window = d.time()
	default:
		d.l.SkipRecursive()
	}
}

func (d *decoder) invariants(field string) {
	p := &d.out.Policy
	switch field {
	case "askWithin":
		p.AskWithin = d.time()
	case "coldFrom":
		p.ColdFrom = d.l.Float64()
	case "warmAfter":
		p.WarmAfter = d.time()
	case "stopSendingWithin":
		p.DrainGrace = d.time()
	case "overloadFactor":
		p.OverloadFactor = d.l.Float64()
	case "fall":
		p.Fall = d.time()
	case "spareAttempts":
		d.spare = new(d.l.Float64())
	case "resendRatio":
		d.ratio = new(d.l.Float64())
	case "ratioSpan":
		p.BudgetSpan = d.time()
	case "onlyDrainingBinds":
		p.OnlyDrainingBinds = d.l.Bool()
	default:
		d.l.SkipRecursive()
	}
}

// budget hands on the budget of attempts. Half of one is malformed: it would be kept by nobody.
func (d *decoder) budget() error {
	p := &d.out.Policy
	given := d.spare != nil || d.ratio != nil
	switch {
	case p.BudgetSpan < 0:
		return fmt.Errorf("settings: ratioSpan of %v", p.BudgetSpan)
	case given && p.BudgetSpan == 0:
		return errors.New("settings: a budget of attempts without its ratioSpan")
	case !given && p.BudgetSpan > 0:
		return errors.New("settings: a ratioSpan without spareAttempts or resendRatio")
	}
	if d.spare != nil {
		p.SpareAttempts = *d.spare
	}
	if d.ratio != nil {
		p.AttemptShare = *d.ratio
	}
	if p.SpareAttempts < 0 || p.AttemptShare < 0 {
		return fmt.Errorf("settings: a budget of %v spare attempts and a ratio of %v", p.SpareAttempts, p.AttemptShare)
	}
	return nil
}
