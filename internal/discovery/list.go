// Package discovery implements the client side of the discovery protocol: the HTTP/1.1 calls, when they are made and
// retried, the parsing of host lists, and the lease on them. It is independent of sockets.
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

// Member is a desk host in the host list.
type Member struct {
	policy.Server
	Address netip.AddrPort
}

// List is a host list: the full list, or the changed members only.
type List struct {
	NotifiedAt time.Duration // since when its changes may count as notified; 0 if unknown
	Revision   int64
	Complete   bool
	Members    []Member
}

// Servers returns the members in the form that the policy module uses.
func (l *List) Servers() []policy.Server {
	out := make([]policy.Server, len(l.Members))
	for i, m := range l.Members {
		out[i] = m.Server
		out[i].NotifiedAt = l.NotifiedAt
	}
	return out
}

var statesByPhase = map[string]policy.State{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Gone,
}

// Parse parses a host list. A list with an invalid member is rejected as a whole, because the rest of it could hide
// that a desk host is draining.
func Parse(raw []byte) (*List, error) {
	list, hasRevision, hasMembers, seen := &List{}, false, false, map[string]bool{}
	l := &jlexer.Lexer{Data: raw}
	settings.ForEachField(l, func(field string) {
		switch field {
		case "revision":
			list.Revision, hasRevision = l.Int64(), true
		case "complete":
			list.Complete = l.Bool()
		case "members":
			hasMembers = true
			settings.ForEachElement(l, func() {
				m, err := parseMember(l)
				if err != nil {
					l.AddError(err)
				}
				if seen[m.ID] {
					l.AddError(fmt.Errorf("member %s twice", m.ID))
				}
				seen[m.ID] = true
				list.Members = append(list.Members, m)
			})
		default:
			l.SkipRecursive()
		}
	})
	l.Consumed()
	if err := l.Error(); err != nil {
		return nil, fmt.Errorf("discovery: %v", err) // not wrapped: its EOF is not the connection's
	}
	if !hasRevision || !hasMembers {
		return nil, errors.New("discovery: list without revision or members")
	}
	return list, nil
}

func parseMember(l *jlexer.Lexer) (m Member, err error) {
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
	state, ok := statesByPhase[phase]
	if !ok || m.ID == "" {
		return m, fmt.Errorf("member %q in phase %q", m.ID, phase)
	}
	m.State = state
	if m.Address, err = netip.ParseAddrPort(address); err != nil && state != policy.Gone {
		return m, fmt.Errorf("member %s: %w", m.ID, err)
	}
	return m, nil
}
