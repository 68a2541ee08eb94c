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
	KeyByGroup     bool          // a connection's group is its key
	ProbesAllowed  bool          // desk hosts may be asked for load reports
	SendRetryAfter bool          // a refused client may be told when to come back
	PassThrough    bool          // packets pass through: connections outlive this process
	MaxDeadline    time.Duration // the longest of any class
}

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

var scopes = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

// ForEachField calls visit for each field of the object that comes next; null has none.
func ForEachField(l *jlexer.Lexer, visit func(field string)) {
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

// ForEachElement calls visit for each element of the array that comes next; null has none.
func ForEachElement(l *jlexer.Lexer, visit func()) {
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
	ForEachField(d.l, d.top)
	d.l.Consumed()
	if err := d.l.Error(); err != nil {
		return Settings{}, fmt.Errorf("settings: %v", err) // not wrapped: its EOF is not ours
	}
	if err := cmp.Or(d.budget(), check(d)); err != nil {
		return Settings{}, err
	}
	p.MaxAttempts = max(p.MaxAttempts, 1)
	p.Probes = asks && d.out.ProbesAllowed
	p.Tick = max(p.Tick, time.Millisecond)
	p.Classes = make(map[string]policy.Class, len(d.grades))
	for i, g := range d.grades {
		if i < len(d.messageAims) {
			g.class.MessageTarget = d.messageAims[i]
		}
		p.Classes[g.name] = g.class
	}
	return d.out, nil
}
