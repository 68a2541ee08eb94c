package net

import (
	"bytes"
	"fmt"
	"io"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/mutation"
)

// messages is a short correct exchange of a client and its desk host, after which the desk host closes the connection.
var messages = []mutation.Message{
	{From: "client", To: "desk", Kind: "opening", Body: []byte("OPEN 1f a c=lookup,d=300\r\n")},
	{From: "desk", To: "client", Kind: "up", Body: []byte("UP r1\r\n")},
	{From: "client", To: "desk", Kind: "line", Body: []byte("hello\r\n")},
	{From: "desk", To: "client", Kind: "load", Body: []byte("LOAD 0.5\r\n")},
	{From: "desk", To: "client", Kind: "line", Body: []byte("back\r\n")},
	{From: "desk", To: "client", Kind: "bye", Body: []byte("BYE\r\n")},
}

// A short exchange with one line mutated, by each kind of mutation: the client gets one final answer, after UP nothing
// but complete lines of its desk host, followed by at most MOVE; no request or connection is left when it has gone.
func TestMutatedLine(t *testing.T) {
	cases := 0
	for c := range mutation.Cases(messages, mutation.Options{MaxPositions: 12}) {
		cases++
		t.Run(fmt.Sprint(c.Index), func(t *testing.T) {
			t.Parallel()
			playMessages(t, c)
		})
	}
	assert.Greater(t, cases, 120)
}

func playMessages(t *testing.T, c mutation.Case) {
	r := newRig(t)
	r.settings["patience"] = "200ms"
	r.start()
	var client, fromHost []byte
	for _, m := range c.Run {
		if m.From == "client" {
			client = append(client, m.Body...)
		} else {
			fromHost = append(fromHost, m.Body...)
		}
	}
	done := make(chan struct{})
	go func() { // the only desk host, which answers each attempt alike
		for {
			select {
			case d := <-r.upstreams:
				go answerEveryAttempt(d, fromHost)
			case <-done: // an abandoned attempt may still send to r.upstreams, so that is never closed
				return
			}
		}
	}()
	t.Cleanup(func() { close(done) })
	require.NoError(t, r.step("a connect"))
	_, err := r.peers["a"].Write(client)
	require.NoError(t, err)
	got, err := io.ReadAll(r.peers["a"].r)
	require.NoError(t, err, "%v: %q", c, got)
	first, rest, complete := strings.Cut(string(got), "\r\n")
	require.True(t, complete, "%v: %q", c, got)
	word, _, _ := strings.Cut(first, " ")
	switch word {
	case "UP":
		passed := strings.TrimSuffix(string(got), "MOVE\r\n")
		assert.True(t, bytes.HasPrefix(fromHost, []byte(passed)), "%v: %q of %q", c, got, fromHost)
	case "BUSY", "ERR", "PONG":
		assert.Empty(t, rest, "%v: %q", c, got)
	default:
		t.Errorf("%v: %q", c, got)
	}
	require.NoError(t, r.peers["a"].Close())
	require.NoError(t, r.waitForValue("0", func() int64 { return int64(r.node.table.Len() + r.node.downstreams.Len()) }), "%v", c)
}

// answerEveryAttempt reads a first line and sends the same answer, whatever the line is.
func answerEveryAttempt(d stdnet.Conn, answer []byte) {
	_ = d.SetDeadline(time.Now().Add(stepTimeout))
	one := make([]byte, 1)
	for n, err := d.Read(one); n > 0 && err == nil && one[0] != '\n'; n, err = d.Read(one) {
	}
	_, _ = d.Write(answer)
	_ = d.(*stdnet.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, d)
	_ = d.Close()
}
