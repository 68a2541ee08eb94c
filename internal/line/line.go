// Package line parses the lines that clients and desk hosts send. What goes on unchanged is kept as the
// bytes that came.
package line

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// MaxLength is the longest line, its end included.
const MaxLength = 4096

// Errors of lines.
var (
	ErrTooLong = errors.New("line over 4096 bytes")
	errNoOpen  = errors.New("want OPEN ID KEY LIST")
)

// Next takes the first line off a buffer, its end included. It is empty where the line is not complete yet.
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

// Kind is what a line says, told by its first word.
type Kind int

// The kinds of lines.
const (
	Other Kind = iota
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

var kinds = map[string]Kind{"OPEN": Open, "PING": Ping, "STATS": Stats, "UP": Up, "BUSY": Busy, "BYE": Bye,
	"MOVE": Move, "ERR": Err, "LOAD": Load, "PONG": Pong}

// IsCommand tells whether a line of this kind begins something at a balancer.
func (k Kind) IsCommand() bool { return k == Open || k == Ping || k == Stats }

// Parse tells the kind of a line and what follows its first word.
func Parse(line []byte) (Kind, []byte) {
	word, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	return kinds[string(word)], rest
}

// ReportField reads one figure of a load report such as inflight=7,util=0.61.
func ReportField(report []byte, name string) (figure float64, ok bool) {
	for _, field := range bytes.Split(report, []byte(",")) {
		if n, value, _ := bytes.Cut(field, []byte("=")); string(n) == name {
			return ParseLoad(value)
		}
	}
	return 0, false
}

// ParseLoad reads the figure of a LOAD line.
func ParseLoad(rest []byte) (level float64, ok bool) {
	level, err := strconv.ParseFloat(string(rest), 64)
	return level, err == nil && level >= 0 && level <= 1e12
}

// OpenRequest is a parsed OPEN line.
type OpenRequest struct {
	ID       string
	Class    string
	Carrier  string // empty where none is told
	Key      uint64
	Group    uint64
	HasGroup bool
	Timeout  time.Duration // how long the client waits
	MidFlow  bool
	Returned bool
	HostID   string // the desk host that already holds the connection

	text     []byte // the line as it came
	from, to int    // where the figure of d stands in it
}

const longestWait, longestHandOver = 24 * time.Hour, 40 * time.Second

// ParseOpenRequest reads an OPEN line. It keeps a copy of its bytes.
func ParseOpenRequest(line []byte) (OpenRequest, error) {
	o := OpenRequest{text: bytes.Clone(line)}
	body := bytes.TrimSuffix(bytes.TrimSuffix(o.text, []byte("\n")), []byte("\r"))
	for _, c := range body {
		if c < ' ' || c == 0x7f {
			return o, errors.New("a control character in OPEN")
		}
	}
	words := bytes.Split(body, []byte(" "))
	if len(words) != 4 || string(words[0]) != "OPEN" || len(words[1]) == 0 {
		return o, errNoOpen
	}
	if o.ID = string(words[1]); !validID(o.ID) {
		return o, errors.New("want an id of up to 64 letters, digits and dashes")
	}
	var err error
	if o.Key, err = hex(words[2]); err != nil {
		return o, fmt.Errorf("key: %w", err)
	}
	var seen [][]byte
	at := len(body) - len(words[3])
	for _, field := range bytes.Split(words[3], []byte(",")) {
		name, value, ok := bytes.Cut(field, []byte("="))
		if !ok || len(value) == 0 {
			return o, errors.New("want NAME=VALUE in the list of OPEN")
		}
		if slices.ContainsFunc(seen, func(s []byte) bool { return bytes.Equal(s, name) }) {
			return o, fmt.Errorf("%s: told twice", name) // whoever reads on might take the other one
		}
		seen = append(seen, name)
		if err := o.field(string(name), value, at+len(name)+1); err != nil {
			return o, fmt.Errorf("%s: %w", name, err)
		}
		at += len(field) + 1
	}
	switch {
	case o.Class == "":
		return o, errors.New("OPEN lacks c")
	case o.to == 0 && o.HostID == "":
		return o, errors.New("OPEN lacks d")
	case o.to == 0: // it stood before the run: nobody told how long to wait
		o.Timeout, o.from, o.to = longestHandOver, len(line), len(line)
	}
	return o, nil
}

func (o *OpenRequest) field(name string, value []byte, at int) (err error) {
	switch name {
	case "c":
		o.Class = string(value)
	case "d":
		ms, err := strconv.ParseUint(string(value), 10, 32)
		if o.Timeout = time.Duration(ms) * time.Millisecond; err != nil || o.Timeout > longestWait {
			return errors.New("want one figure in milliseconds")
		}
		o.from, o.to = at, at+len(value)
	case "t":
		o.Carrier = string(value)
	case "g":
		o.Group, err = hex(value)
		o.HasGroup = true
	case "h":
		if _, ok := ParseLoad(value); !ok {
			return errors.New("want a figure")
		}
	case "mid":
		o.MidFlow, err = flag(value)
	case "again":
		o.Returned, err = flag(value)
	case "r":
		_, err = flag(value)
	case "at":
		o.HostID = string(value)
	}
	return err
}

func flag(value []byte) (bool, error) {
	if len(value) != 1 || value[0] != '0' && value[0] != '1' {
		return false, errors.New("want 0 or 1")
	}
	return value[0] == '1', nil
}

func validID(id string) bool {
	for _, c := range []byte(id) {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}

func hex(text []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return 0, errors.New("want a hexadecimal number")
	}
	return n, nil
}

// Raw is the line as it came.
func (o *OpenRequest) Raw() []byte { return o.text }

// Forward is the line as it came, but for how long the sender will wait: at least a millisecond.
func (o *OpenRequest) Forward(wait time.Duration) []byte {
	out := append([]byte(nil), o.text[:o.from]...)
	if o.from == o.to {
		return out
	}
	out = strconv.AppendInt(out, max(wait.Milliseconds(), 1), 10)
	return append(out, o.text[o.to:]...)
}
