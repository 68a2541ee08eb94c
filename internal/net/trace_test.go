package net

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/line"
)

// tracingNode logs at the debug level, without timestamps.
func tracingNode(out *bytes.Buffer, groups bool) *Node {
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: withoutTime})
	n := &Node{log: slog.New(handler), tracing: true}
	n.cfg.Settings.KeyByGroup = groups
	return n
}

func opening(t *testing.T) line.OpenRequest {
	o, err := line.ParseOpenRequest([]byte("OPEN me-1 5c0f c=lookup,d=1200,g=10\r\n"))
	require.NoError(t, err)
	return o
}

// To count the hosts of a group over a fleet, the group's key and the desk host must be on one line. With groups
// turned on, the key sent by the client is not the one used for placement.
func TestAttemptsAreTracedWithGroupKey(t *testing.T) {
	for groups, key := range map[bool]string{true: "16", false: "23567"} {
		var out bytes.Buffer
		u := &upstream{node: tracingNode(&out, groups), server: "b"}
		u.downstream = &downstream{node: u.node, opening: opening(t)}
		u.traceAttempt("attempt-up", "returned", true)
		assert.Equal(t, "level=DEBUG msg=attempt-up host=b id=me-1 key="+key+" returned=true\n", out.String())
	}
}

func TestRefusalsAreTracedWithReason(t *testing.T) {
	var out bytes.Buffer
	d := &downstream{node: tracingNode(&out, true), opening: opening(t)}
	d.traceRefusal(noDescriptors, descriptorRetryAfter)
	assert.Equal(t, "level=DEBUG msg=refused id=me-1 key=16 class=lookup reason=\"no descriptors\" back=500ms returned=false mid=false\n",
		out.String())
	out.Reset()
	d.node.tracing = false
	d.traceRefusal(noDescriptors, descriptorRetryAfter)
	assert.Empty(t, out.String(), "without the debug level")
}
