package net

import (
	"context"
	stdnet "net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowLoop enrols a connection, but closes the duplicated descriptor only when the test says so.
type slowLoop struct {
	gnet.EventLoop
	enrolled chan gnet.RegisteredResult
	events   chan gnet.Runnable
}

func (l slowLoop) Enroll(context.Context, stdnet.Conn) (<-chan gnet.RegisteredResult, error) {
	return l.enrolled, nil
}

func (l slowLoop) Execute(_ context.Context, event gnet.Runnable) error {
	l.events <- event
	return nil
}

// When dozens of desk hosts are dialled at once, each connection has a second descriptor until a goroutine closes it.
// When these were not counted, the listener ran out of descriptors, which ended the loop and the process.
func TestDuplicateDescriptorsAreCounted(t *testing.T) {
	loop := slowLoop{enrolled: make(chan gnet.RegisteredResult, 1), events: make(chan gnet.Runnable, 1)}
	n := &Node{loop: loop, origin: time.Now()}
	n.cfg.MaxSockets = reservedDescriptors + 10
	n.dialling = 1
	done := make(chan error, 1)
	go func() { done <- n.enroll(&probe{}, nil) }()
	assert.Equal(t, 8, n.descriptorsLeft())
	n.connections, n.dialling, n.duplicates = 1, 0, 1 // as after OnOpen
	assert.Equal(t, 8, n.descriptorsLeft())
	loop.enrolled <- gnet.RegisteredResult{}
	select {
	case <-loop.events:
		t.Error("counted as closed before the duplicate was closed")
	default:
	}
	close(loop.enrolled)
	require.NoError(t, (<-loop.events).Run(context.Background()))
	require.NoError(t, <-done)
	assert.Equal(t, 9, n.descriptorsLeft())
}
