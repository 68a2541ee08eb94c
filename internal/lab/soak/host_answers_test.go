package soak

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tealtiller/internal/lab/drainsearch"
	"tealtiller/internal/lab/hostlist"
)

// A host whose goroutine was held up counted the attempts of the request at its turn, without the lock: a data race, and
// the answer scripted for a later attempt. The first attempt gets the first answer, although a second was recorded.
func TestHostGivesTheAnswerOfItsOwnAttempt(t *testing.T) {
	w := &world{script: &Script{MaxAttempts: 2}, requests: map[string]*requestRecord{}, origin: time.Now()}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.jitter = newJitter(w)
	defer w.close()
	n := &node{world: w, attempted: make(chan struct{}, 1)}
	h := &host{world: w, listed: hostlist.Host{ID: "s-0"}}
	q := w.newRequest(n, "0", drainsearch.Request{Answers: []drainsearch.Answer{drainsearch.AnswerBusy, drainsearch.AnswerErr}})
	n.process++ // so that the audit, which this test has not, is not asked
	balancerSide, hostSide := net.Pipe()
	defer balancerSide.Close()
	first := w.recordAttempt(h, hostSide, q.id, w.now())
	require.NotNil(t, first)
	require.NotNil(t, w.recordAttempt(h, hostSide, q.id, w.now()))
	go h.answer(hostSide, bufio.NewReader(hostSide), first)
	line, err := bufio.NewReader(balancerSide).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "BUSY\r\n", line)
}
