// Package handover is what the two processes of one balancer say to each other while a new version takes over:
// its messages, as bytes. It holds no socket.
package handover

import (
	"bytes"
	"errors"
	"fmt"
)

// Kind is what a message says.
type Kind string

// The kinds of messages.
const (
	KindDescriptorLimit Kind = "room"  // how many descriptors the other process may have
	KindActivate        Kind = "lead"  // from now on the other process is the one that serves
	KindIdleClient      Kind = "front" // a client's socket comes along, which has opened nothing yet
	KindEstablished     Kind = "stand" // the sockets of a connection that stands come along: the client's, the desk host's
)

// MaxMessageSize is the longest message.
const MaxMessageSize = 60 << 10

// Message is one message.
type Message struct {
	Kind     Kind
	Number   int    // descriptors for Room, milliseconds of silence for Front
	Server   string // the desk host, for Stand
	OpenLine []byte // the client's first line as it came, for Stand
	// What has been read from a socket and not been passed on.
	FromClient, FromHost []byte
}

// Append adds the bytes of a message.
func (m Message) Append(out []byte) []byte {
	out = fmt.Appendf(out, "%s %d %d %d %d %s\n", m.Kind, m.Number, len(m.OpenLine), len(m.FromClient), len(m.FromHost), m.Server)
	out = append(out, m.OpenLine...)
	out = append(out, m.FromClient...)
	return append(out, m.FromHost...)
}

// Descriptors is how many descriptors come along with a message.
func (m Message) Descriptors() int {
	return map[Kind]int{KindIdleClient: 1, KindEstablished: 2}[m.Kind]
}

var errNone = errors.New("handover: not a message")

// Parse reads a message; its parts are copies.
func Parse(raw []byte) (m Message, err error) {
	head, rest, ok := bytes.Cut(raw, []byte("\n"))
	if !ok || len(raw) > MaxMessageSize {
		return m, errNone
	}
	words := bytes.SplitN(head, []byte(" "), 6)
	if len(words) != 6 {
		return m, errNone
	}
	var lengths [3]int
	if _, err := fmt.Sscanf(string(bytes.Join(words[1:5], []byte(" "))), "%d %d %d %d", &m.Number, &lengths[0], &lengths[1], &lengths[2]); err != nil {
		return m, errNone
	}
	m.Kind, m.Server = Kind(words[0]), string(words[5])
	for i, part := range []*[]byte{&m.OpenLine, &m.FromClient, &m.FromHost} {
		if lengths[i] < 0 || lengths[i] > len(rest) {
			return m, errNone
		}
		*part, rest = bytes.Clone(rest[:lengths[i]]), rest[lengths[i]:]
	}
	switch {
	case len(rest) > 0, m.Number < 0:
		return m, errNone
	case m.Kind != KindDescriptorLimit && m.Kind != KindActivate && m.Kind != KindIdleClient && m.Kind != KindEstablished:
		return m, errNone
	}
	return m, nil
}
