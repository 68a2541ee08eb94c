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
	Room  Kind = "room"  // how many descriptors the other process may have
	Lead  Kind = "lead"  // from now on the other process is the one that serves
	Front Kind = "front" // a client's socket comes along, which has opened nothing yet
	Stand Kind = "stand" // the sockets of a connection that stands come along: the client's, the desk host's
)

// Most is the longest message.
const Most = 60 << 10

// Message is one message.
type Message struct {
	Kind    Kind
	Number  int    // descriptors for Room, milliseconds of silence for Front
	Server  string // the desk host, for Stand
	Opening []byte // the client's first line as it came, for Stand
	// What has been read from a socket and not been passed on.
	FromClient, FromDesk []byte
}

// Append adds the bytes of a message.
func (m Message) Append(out []byte) []byte {
	out = fmt.Appendf(out, "%s %d %d %d %d %s\n", m.Kind, m.Number, len(m.Opening), len(m.FromClient), len(m.FromDesk), m.Server)
	out = append(out, m.Opening...)
	out = append(out, m.FromClient...)
	return append(out, m.FromDesk...)
}

// Files is how many descriptors come along with a message.
func (m Message) Files() int { return map[Kind]int{Front: 1, Stand: 2}[m.Kind] }

var errNone = errors.New("handover: not a message")

// Parse reads a message; its parts are copies.
func Parse(raw []byte) (m Message, err error) {
	head, rest, ok := bytes.Cut(raw, []byte("\n"))
	if !ok || len(raw) > Most {
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
	for i, part := range []*[]byte{&m.Opening, &m.FromClient, &m.FromDesk} {
		if lengths[i] < 0 || lengths[i] > len(rest) {
			return m, errNone
		}
		*part, rest = bytes.Clone(rest[:lengths[i]]), rest[lengths[i]:]
	}
	switch {
	case len(rest) > 0, m.Number < 0:
		return m, errNone
	case m.Kind != Room && m.Kind != Lead && m.Kind != Front && m.Kind != Stand:
		return m, errNone
	}
	return m, nil
}
