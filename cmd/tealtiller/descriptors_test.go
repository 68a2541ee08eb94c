package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The system allows the process fewer descriptors than the configuration. Idle clients must be closed for one with a
// command, as at the configured limit; else that client would wait until they have been silent for 2.6 s.
func TestFewerDescriptorsThanConfigured(t *testing.T) {
	address := fmt.Sprintf("127.%d.0.1:3000", 100+os.Getpid()%100)
	t.Setenv("EDGE_LISTEN", address)
	watched := serveEmptyList(t)
	start(t, "sh", "-c", `ulimit -n 70; exec "$0"`)
	select {
	case <-watched:
	case <-time.After(20 * time.Second):
		t.Fatal("balancer did not receive the list within 20 s")
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		return c
	}
	begin := time.Now()
	for range 74 { // 100 are configured, of which 24 are reserved by the balancer
		dial()
	}
	client := dial()
	_, err := io.WriteString(client, "PING\r\n")
	require.NoError(t, err)
	answer, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "PONG\r\n", answer)
	assert.Less(t, time.Since(begin), 2500*time.Millisecond)
}

// serveEmptyList starts a discovery that sends an empty list to balancers started afterwards; watched is closed once
// one of them asks for newer lists.
func serveEmptyList(t *testing.T) (watched <-chan struct{}) {
	requested, once := make(chan struct{}), sync.Once{}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("since") {
			once.Do(func() { close(requested) })
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, `{"revision":1,"complete":true,"members":[]}`)
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	t.Setenv("EDGE_DISCOVERY", discovery.Listener.Addr().String())
	return requested
}
