// Package handover encodes the messages between the two processes of a balancer while a new version takes over. It is
// independent of sockets.
package handover

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Kind is the type of a message.
type Kind string

// The kinds of messages.
const (
	KindDescriptorLimit Kind = "room"  // how many descriptors the other process may use
	KindActivate        Kind = "lead"  // the other process is the active one from now on
	KindIdleClient      Kind = "front" // passes on the socket of a client that has not sent OPEN yet
	KindEstablished     Kind = "stand" // passes on both sockets of an established connection, the client's first
)

// MaxMessageSize is the size of the longest message in bytes.
const MaxMessageSize = 60 << 10

// Message is a message; which fields it uses depends on its kind.
type Message struct {
	Kind Kind
	// KindDescriptorLimit: descriptors. KindIdleClient: milliseconds of the client's silence. KindEstablished: for how many
	// milliseconds a line of the client has been unanswered; older versions ignore that.
	Number   int
	Server   string // KindEstablished: the desk host
	OpenLine []byte // KindEstablished: the client's OPEN line as received
	// Bytes that were read from the client's or the desk host's socket and not relayed yet.
	FromClient, FromHost []byte
	// KindActivate: hashes of the ids that clients have used and must not use again. They are encoded in the place of
	// FromClient, which versions that do not know them ignore.
	UsedIDs []uint64
}

// MaxUsedIDs is how many hashes fit a message.
const MaxUsedIDs = (MaxMessageSize - maxHeadSize) / hashSize

const (
	hashSize    = 8
	maxHeadSize = 128 // of KindActivate
)

// Append appends the encoded message to out.
func (m Message) Append(out []byte) []byte {
	for _, hash := range m.UsedIDs {
		m.FromClient = binary.BigEndian.AppendUint64(m.FromClient, hash)
	}
	out = fmt.Appendf(out, "%s %d %d %d %d %s\n", m.Kind, m.Number, len(m.OpenLine), len(m.FromClient), len(m.FromHost), m.Server)
	out = append(out, m.OpenLine...)
	out = append(out, m.FromClient...)
	return append(out, m.FromHost...)
}

// Descriptors returns how many descriptors are passed with a message.
func (m Message) Descriptors() int {
	return map[Kind]int{KindIdleClient: 1, KindEstablished: 2}[m.Kind]
}

var errMalformed = errors.New("handover: not a message")

// Parse decodes a message. The byte slices of the message are copies.
func Parse(raw []byte) (m Message, err error) {
	head, rest, ok := bytes.Cut(raw, []byte("\n"))
	if !ok || len(raw) > MaxMessageSize {
		return m, errMalformed
	}
	fields := bytes.SplitN(head, []byte(" "), 6)
	if len(fields) != 6 {
		return m, errMalformed
	}
	var lengths [3]int
	if _, err := fmt.Sscanf(string(bytes.Join(fields[1:5], []byte(" "))), "%d %d %d %d", &m.Number, &lengths[0], &lengths[1], &lengths[2]); err != nil {
		return m, errMalformed
	}
	m.Kind, m.Server = Kind(fields[0]), string(fields[5])
	for i, part := range []*[]byte{&m.OpenLine, &m.FromClient, &m.FromHost} {
		if lengths[i] < 0 || lengths[i] > len(rest) {
			return m, errMalformed
		}
		*part, rest = bytes.Clone(rest[:lengths[i]]), rest[lengths[i]:]
	}
	switch {
	case len(rest) > 0, m.Number < 0:
		return m, errMalformed
	case m.Kind != KindDescriptorLimit && m.Kind != KindActivate && m.Kind != KindIdleClient && m.Kind != KindEstablished:
		return m, errMalformed
	}
	return m, m.parseUsedIDs()
}

// parseUsedIDs takes the hashes out of FromClient.
func (m *Message) parseUsedIDs() error {
	switch {
	case m.Kind != KindActivate:
		return nil
	case len(m.FromClient)%hashSize != 0:
		return errMalformed
	}
	for hash := range slices.Chunk(m.FromClient, hashSize) {
		m.UsedIDs = append(m.UsedIDs, binary.BigEndian.Uint64(hash))
	}
	m.FromClient = nil
	return nil
}
