// Package discovery speaks with discovery: the state of its HTTP/1.1 connection, when it is called, and the parser of the
// host lists that it answers with. It holds no socket.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/mailru/easyjson/jlexer"

	"tealtiller/internal/settings"
	"tealtiller/policy"
)

// Member is a desk host as discovery lists it.
type Member struct {
	policy.Server
	Address netip.AddrPort
}

// List is the host list: the whole of it, or what has changed.
type List struct {
	Told     time.Duration // since when its news may count as told; 0 where nothing is known of that
	Revision int64
	Complete bool
	Members  []Member
}

// Servers is the list as the module takes it.
func (l *List) Servers() []policy.Server {
	out := make([]policy.Server, len(l.Members))
	for i, m := range l.Members {
		out[i] = m.Server
		out[i].NotifiedAt = l.Told
	}
	return out
}

var phases = map[string]policy.State{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Gone,
}

// Parse reads a list. A list with a member that makes no sense is refused as a whole: half of one could hide
// a desk host that drains.
func Parse(raw []byte) (*List, error) {
	list, versioned, listed, named := &List{}, false, false, map[string]bool{}
	l := &jlexer.Lexer{Data: raw}
	settings.ForEachField(l, func(field string) {
		switch field {
		case "revision":
			list.Revision, versioned = l.Int64(), true
		case "complete":
			list.Complete = l.Bool()
		case "members":
			listed = true
			settings.ForEachElement(l, func() {
				m, err := member(l)
				if err != nil {
					l.AddError(err)
				}
				if named[m.ID] {
					l.AddError(fmt.Errorf("member %s twice", m.ID))
				}
				named[m.ID] = true
				list.Members = append(list.Members, m)
			})
		default:
			l.SkipRecursive()
		}
	})
	l.Consumed()
	if err := l.Error(); err != nil {
		return nil, fmt.Errorf("discovery: %v", err) // not wrapped: its EOF is not ours
	}
	if !versioned || !listed {
		return nil, errors.New("discovery: no revision or no members")
	}
	return list, nil
}

func member(l *jlexer.Lexer) (m Member, err error) {
	var address, phase string
	settings.ForEachField(l, func(field string) {
		switch field {
		case "id":
			m.ID = l.String()
		case "host_port":
			address = l.String()
		case "locality":
			m.Zone = l.String()
		case "flavor":
			m.Kind = l.String()
		case "cell":
			m.Cell = l.Int()
		case "phase":
			phase = l.String()
		case "size":
			m.Weight = l.Float64()
		case "up_since_ms":
			m.Started = time.Duration(l.Int64()) * time.Millisecond
		default:
			l.SkipRecursive()
		}
	})
	state, ok := phases[phase]
	if !ok || m.ID == "" {
		return m, fmt.Errorf("member %q in phase %q", m.ID, phase)
	}
	m.State = state
	if m.Address, err = netip.ParseAddrPort(address); err != nil && state != policy.Gone {
		return m, fmt.Errorf("member %s: %w", m.ID, err)
	}
	return m, nil
}
