package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// standInHost answers OPEN with UP after a delay, and each line after it with an echo. It records the requests.
type standInHost struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	delay   time.Duration
	dribble bool                   // after UP, a line of almost the longest length is written slowly, and never ended
	opened  map[string][]time.Time // arrivals of OPEN by id
	lines   map[string]int         // lines after OPEN by id
}

func newStandInHost(t *testing.T) *standInHost {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	h := &standInHost{t: t, address: l.Addr().String(), opened: map[string][]time.Time{}, lines: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *standInHost) setDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

func (h *standInHost) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 8192)
	first, err := r.ReadString('\n')
	words := strings.Fields(first)
	if err != nil || len(words) < 2 || words[0] != "OPEN" {
		return
	}
	h.mu.Lock()
	h.opened[words[1]] = append(h.opened[words[1]], time.Now())
	delay, dribble := h.delay, h.dribble
	h.mu.Unlock()
	time.Sleep(delay)
	if _, err := fmt.Fprintf(c, "UP r-%s\r\n", words[1]); err != nil {
		return
	}
	if dribble {
		go dribbleLine(c)
	}
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		h.mu.Lock()
		h.lines[words[1]]++
		h.mu.Unlock()
		if _, err := io.WriteString(c, "ECHO "+text); err != nil {
			return
		}
	}
}

// longestUnfinishedLine is the length of the longest line without its end that a balancer has to keep.
const longestUnfinishedLine = 4080

// dribbleLine writes a line in pieces and never ends it.
func dribbleLine(w io.Writer) {
	for range longestUnfinishedLine / 40 {
		if _, err := io.WriteString(w, strings.Repeat("x", 40)); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// timesOpened returns when each request with an id arrived.
func (h *standInHost) timesOpened(id string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.opened[id]...)
}
