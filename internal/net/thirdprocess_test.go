package net

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/discovery"
)

// thirdProcess returns a further node at the address of the rig's nodes, which has not been started.
func (r *rig) thirdProcess() *Node {
	r.t.Helper()
	cfg, err := r.load()
	require.NoError(r.t, err)
	list, err := discovery.Parse(cfg.KnownHosts)
	require.NoError(r.t, err)
	return NewNode(cfg, list, io.Discard, r.folder, slog.New(slog.NewTextHandler(&r.log, nil)))
}

// Guards against a third process that leads beside the second one, because the first, which still hands over, has refused
// it: it waits until the first has ended, then joins the second.
func TestThirdProcessWaitsForTheHandover(t *testing.T) {
	r := newRig(t)
	r.settings["aim"] = "9000000000"
	r.establish("a", "d", "1")
	r.steps("beside", "before wait count processes joined 1", "pending connect", "pending send OPEN 2 a c=lookup,d=9000",
		"e accept", "e expect OPEN 2 *", "before wait count operations taken 2", "before stop", "wait count operations taken over 1")
	third := r.thirdProcess()
	joined := make(chan error, 1)
	go func() { joined <- third.joinRunningProcess() }()
	require.Eventually(t, func() bool { return r.log.count("waits-for-handover") == 1 }, stepTimeout, time.Millisecond)
	assert.Empty(t, joined)
	r.steps("e send UP r2", "pending expect UP r2", "before wait exit")
	require.NoError(t, r.withTimeout(func() error { return <-joined }))
	r.steps("wait count processes joined 2")
	assert.False(t, third.leading)
	r.steps("a send hello", "d expect hello")
	require.NoError(t, third.link.conn.Close())
}

// Guards against a third process that leads beside two others for which no handover begins: it ends with a reason.
func TestThirdProcessEndsWithoutAHandover(t *testing.T) {
	r := newRig(t)
	r.steps("a connect", "beside", "before wait count processes joined 1")
	third := r.thirdProcess()
	third.joinWait = 100 * time.Millisecond
	require.ErrorIs(t, r.withTimeout(third.Run), errAnotherProcessWaits)
}
