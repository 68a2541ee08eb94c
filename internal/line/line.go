// Package line parses the lines that clients and desk hosts send. Lines that are forwarded keep their original bytes.
package line

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// MaxLength is the maximum length of a line in bytes, including the line end.
const MaxLength = 4096

// ErrTooLong is returned for a line that exceeds MaxLength. The texts of this and all other errors of the package are
// part of the protocol: they go to clients in ERR lines.
var ErrTooLong = errors.New("line over 4096 bytes")

var errMalformedOpen = errors.New("want OPEN ID KEY LIST")

// Next returns the first line of a buffer, including the line end; it is nil if the line is not complete yet.
func Next(buf []byte) (line []byte, err error) {
	i := bytes.IndexByte(buf, '\n')
	switch {
	case i >= MaxLength, i < 0 && len(buf) >= MaxLength:
		return nil, ErrTooLong
	case i < 0:
		return nil, nil
	}
	return buf[:i+1], nil
}

// Kind is the kind of a line, given by its first word.
type Kind int

// The kinds of lines.
const (
	Other Kind = iota // none of those below
	Open
	Ping
	Stats
	Up
	Busy
	Bye
	Move
	Err
	Load
	Pong
)

var kindsByCommand = map[string]Kind{"OPEN": Open, "PING": Ping, "STATS": Stats, "UP": Up, "BUSY": Busy, "BYE": Bye,
	"MOVE": Move, "ERR": Err, "LOAD": Load, "PONG": Pong}

// IsCommand reports whether clients send lines of this kind as commands to a balancer.
func (k Kind) IsCommand() bool { return k == Open || k == Ping || k == Stats }

// Parse returns the kind of a line and the text after its first word.
func Parse(line []byte) (Kind, []byte) {
	word, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	return kindsByCommand[string(word)], rest
}

// ReportField returns one value of a load report such as inflight=7,util=0.61.
func ReportField(report []byte, name string) (level float64, ok bool) {
	for _, field := range bytes.Split(report, []byte(",")) {
		if n, value, _ := bytes.Cut(field, []byte("=")); string(n) == name {
			return ParseLoad(value)
		}
	}
	return 0, false
}

// ParseLoad parses the value of a LOAD line; ok is false unless it is a number from 0 to 1e12.
func ParseLoad(rest []byte) (level float64, ok bool) {
	level, err := strconv.ParseFloat(string(rest), 64)
	return level, err == nil && level >= 0 && level <= 1e12
}

// OpenRequest is a parsed OPEN line.
type OpenRequest struct {
	ID           string
	Class        string
	Carrier      string // empty if not specified
	Key          uint64
	Group        uint64
	HasGroup     bool
	Timeout      time.Duration // how long the client waits for an answer
	MidFlow      bool          // the connection is already open; its packets now arrive at this balancer
	Reconnecting bool          // the client reconnects after its connection broke or was moved
	HostID       string        // the desk host that already has the connection; empty if it is new

	raw                      []byte // the received line
	timeoutStart, timeoutEnd int    // position of the value of field d in raw
}

// maxTimeout is the largest timeout that a client may specify.
const maxTimeout = 24 * time.Hour

// establishedTimeout applies to a connection that was established before the balancer started, as its OPEN has no
// timeout.
const establishedTimeout = 40 * time.Second

// ParseOpenRequest parses an OPEN line. The result does not refer to the buffer that is passed in.
func ParseOpenRequest(line []byte) (OpenRequest, error) {
	o := OpenRequest{raw: bytes.Clone(line)}
	body := bytes.TrimSuffix(bytes.TrimSuffix(o.raw, []byte("\n")), []byte("\r"))
	for _, c := range body {
		if c < ' ' || c == 0x7f {
			return o, errors.New("a control character in OPEN")
		}
	}
	words := bytes.SplitN(body, []byte(" "), 5) // a fifth one makes it malformed
	if len(words) != 4 || string(words[0]) != "OPEN" || len(words[1]) == 0 {
		return o, errMalformedOpen
	}
	if o.ID = string(words[1]); !isValidID(o.ID) {
		return o, errors.New("want an id of up to 64 letters, digits and dashes")
	}
	var err error
	if o.Key, err = parseHex(words[2]); err != nil {
		return o, fmt.Errorf("key: %w", err)
	}
	if err := o.parseFields(words[3], len(body)-len(words[3])); err != nil {
		return o, err
	}
	switch {
	case o.Class == "":
		return o, errors.New("OPEN lacks c")
	case o.timeoutEnd == 0 && o.HostID == "":
		return o, errors.New("OPEN lacks d")
	case o.timeoutEnd == 0:
		o.Timeout, o.timeoutStart, o.timeoutEnd = establishedTimeout, len(line), len(line)
	}
	return o, nil
}

// parseFields parses the list; offset is its position in the line. It takes little longer for a list of very many
// fields, which any client can send.
func (o *OpenRequest) parseFields(list []byte, offset int) error {
	names := make([][]byte, 0, usualFields)
	for more := true; more; {
		var field []byte
		field, list, more = bytes.Cut(list, []byte(","))
		name, value, ok := bytes.Cut(field, []byte("="))
		if !ok || len(value) == 0 {
			return errors.New("want NAME=VALUE in the list of OPEN")
		}
		names = append(names, name)
		if err := o.parseField(string(name), value, offset+len(name)+1); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		offset += len(field) + 1
	}
	return checkDistinct(names)
}

// usualFields is the number of fields for which parsing allocates nothing more.
const usualFields = 16

// checkDistinct returns an error if a name is in the list twice: a desk host that parses the forwarded line might use
// the other value. It sorts the names.
func checkDistinct(names [][]byte) error {
	slices.SortFunc(names, bytes.Compare)
	for i, name := range names[1:] {
		if bytes.Equal(names[i], name) {
			return fmt.Errorf("%s: told twice", name)
		}
	}
	return nil
}

// parseField parses one field of the list; offset is the position of its value in the line. Unknown fields are ignored.
func (o *OpenRequest) parseField(name string, value []byte, offset int) (err error) {
	switch name {
	case "c":
		o.Class = string(value)
	case "d":
		ms, err := strconv.ParseUint(string(value), 10, 32)
		if o.Timeout = time.Duration(ms) * time.Millisecond; err != nil || o.Timeout > maxTimeout {
			return errors.New("want one figure in milliseconds")
		}
		o.timeoutStart, o.timeoutEnd = offset, offset+len(value)
	case "t":
		o.Carrier = string(value)
	case "g":
		o.Group, err = parseHex(value)
		o.HasGroup = true
	case "h":
		if _, ok := ParseLoad(value); !ok {
			return errors.New("want a figure")
		}
	case "mid":
		o.MidFlow, err = parseFlag(value)
	case "again":
		o.Reconnecting, err = parseFlag(value)
	case "r":
		_, err = parseFlag(value)
	case "at":
		o.HostID = string(value)
	}
	return err
}

func parseFlag(value []byte) (bool, error) {
	if len(value) != 1 || value[0] != '0' && value[0] != '1' {
		return false, errors.New("want 0 or 1")
	}
	return value[0] == '1', nil
}

func isValidID(id string) bool {
	for _, c := range []byte(id) {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}

func parseHex(text []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return 0, errors.New("want a hexadecimal number")
	}
	return n, nil
}

// Raw returns the line as received.
func (o *OpenRequest) Raw() []byte { return o.raw }

// Forward returns the line as received except for the timeout, which is replaced, by at least 1 ms. A line without a
// timeout is returned unchanged.
func (o *OpenRequest) Forward(timeout time.Duration) []byte {
	out := append([]byte(nil), o.raw[:o.timeoutStart]...)
	if o.timeoutStart == o.timeoutEnd {
		return out
	}
	out = strconv.AppendInt(out, max(timeout.Milliseconds(), 1), 10)
	return append(out, o.raw[o.timeoutEnd:]...)
}
