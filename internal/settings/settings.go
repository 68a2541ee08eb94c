// Package settings decodes the settings object that every balancer gets at its start, either in the simulator's first
// message or in the configuration file of a real balancer. Only the fields that the program uses are decoded.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"tealtiller/policy"
)

// Settings are the policy's settings and those that only a real balancer needs.
type Settings struct {
	Policy         policy.Settings
	ConnectTimeout time.Duration // time after which a connection attempt to a host has failed
	KeyByGroup     bool          // connections are placed by their group instead of their own key
	ProbesAllowed  bool          // desk hosts may be probed for load reports
	SendRetryAfter bool          // refusals may include a retry time
	PassThrough    bool          // packets pass through: connections outlive this process
	MaxDeadline    time.Duration // the longest deadline of any class
}

var effectsByName = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

var scopesByName = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

// ForEachField calls visit for each non-null field of the object at the lexer's position; null is treated as an empty
// object.
func ForEachField(l *jlexer.Lexer, visit func(field string)) {
	if l.IsNull() {
		l.Skip()
		return
	}
	l.Delim('{')
	for !l.IsDelim('}') && l.Ok() {
		field := l.UnsafeFieldName(false)
		l.WantColon()
		if l.IsNull() { // same as a missing field
			l.Skip()
		} else {
			visit(field)
		}
		l.WantComma()
	}
	l.Delim('}')
}

// ForEachElement calls visit for each element of the array at the lexer's position; null is treated as an empty array.
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

// classEntry is one element of the array of classes.
type classEntry struct {
	name     string
	class    policy.Class
	deadline time.Duration
}

// decoder holds the fields decoded so far, including those that are combined at the end.
type decoder struct {
	lexer            *jlexer.Lexer
	settings         Settings
	classes          []classEntry
	messageTargets   []time.Duration
	retryBudgetBase  *float64
	retryBudgetRatio *float64
}

// Decode parses the settings object from the simulator; unknown fields are skipped.
func Decode(raw []byte) (Settings, error) {
	return decode(raw, false, func(*decoder) error { return nil })
}

// DecodeStrict parses the settings object of a real balancer, and fails if a field is missing that its answers depend
// on. Only real balancers probe desk hosts; the simulator reports load as metrics of connections.
func DecodeStrict(raw []byte) (Settings, error) { return decode(raw, true, (*decoder).checkComplete) }

// checkComplete returns an error if required fields are missing. Without this check, a number that is missing or null
// would be taken as 0, and 0 attempts as 1.
func (d *decoder) checkComplete() error {
	if len(d.classes) == 0 {
		return errors.New("settings: no classes")
	}
	if n := d.settings.Policy.MaxAttempts; n <= 0 {
		return fmt.Errorf("settings: tryLimit is missing or not above 0: %d", n)
	}
	for _, c := range d.classes {
		if c.name == "" || c.deadline <= 0 {
			return fmt.Errorf("settings: class %q: name or deadline is missing, or the deadline is not above 0: %v", c.name, c.deadline)
		}
	}
	return nil
}

func decode(raw []byte, canProbe bool, check func(*decoder) error) (Settings, error) {
	d := &decoder{lexer: &jlexer.Lexer{Data: raw}}
	p := &d.settings.Policy
	ForEachField(d.lexer, d.decodeSettings)
	d.lexer.Consumed()
	if err := d.lexer.Error(); err != nil {
		// Not wrapped, as a caller could take the lexer's EOF for the end of its own input.
		return Settings{}, fmt.Errorf("settings: %v", err)
	}
	if err := cmp.Or(d.applyRetryBudget(), check(d)); err != nil {
		return Settings{}, err
	}
	p.MaxAttempts = max(p.MaxAttempts, 1)
	p.Probes = canProbe && d.settings.ProbesAllowed
	p.Tick = max(p.Tick, time.Millisecond)
	p.Classes = make(map[string]policy.Class, len(d.classes))
	for i, c := range d.classes {
		if i < len(d.messageTargets) {
			c.class.MessageTarget = d.messageTargets[i]
		}
		p.Classes[c.name] = c.class
	}
	return d.settings, nil
}
