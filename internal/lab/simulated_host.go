package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"

	"tealtiller/policy"
)

// simulatedHost is a desk host that speaks the protocol on sockets, with the behaviour of the model.
type simulatedHost struct {
	*Machine
	lab              *SocketLab
	address          string
	state            policy.State // as discovery lists it
	listener         net.Listener
	held             map[string]*heldConnection // established connections, by the client's id
	conns            map[net.Conn]bool
	dark             bool // unresponsive: what arrives is read and never answered
	acceptsWhileDark bool // with dark, the link is cut one way: connections are established, but the answers are lost
}

// heldConnection is an established connection. Its packets may stop arriving through one balancer and continue through
// another.
type heldConnection struct {
	load  float64
	group uint64
	conn  net.Conn
}

// listen accepts connections at an address of the host's own, which it keeps across restarts.
func (h *simulatedHost) listen() error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.lab.mu.Lock()
	h.listener, h.address = l, l.Addr().String()
	h.lab.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

// shutDown stops the process: its connections are reset.
func (h *simulatedHost) shutDown() {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	_ = h.listener.Close()
	for c := range h.conns {
		resetConnection(c)
	}
	h.held = map[string]*heldConnection{}
	h.Stop(h.lab.now())
}

func (h *simulatedHost) isDark() bool {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	return h.dark
}

// endDarkness makes the host reachable again: open connections are reset, and it starts cold.
func (h *simulatedHost) endDarkness() {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	h.dark, h.acceptsWhileDark = false, false
	for c := range h.conns {
		resetConnection(c)
	}
	h.held = map[string]*heldConnection{}
	h.Stop(h.lab.now())
	h.Start(h.lab.now())
}

func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
		_ = t.Close()
	}
}

// serve answers probes until an OPEN arrives, which takes over the connection.
func (h *simulatedHost) serve(c *net.TCPConn) {
	h.connectionOpened(c)
	defer h.connectionClosed(c)
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if h.isDark() && !strings.HasPrefix(text, "OPEN") {
			_, _ = io.Copy(io.Discard, r) // until the balancer gives up or the darkness ends
			return
		}
		command, _, _ := strings.Cut(strings.TrimSpace(text), " ")
		if command == "OPEN" {
			h.open(c, r, text)
			return
		}
		if _, err := io.WriteString(c, h.reply(command)); err != nil {
			return
		}
	}
}

// reply answers a line that is not an OPEN.
func (h *simulatedHost) reply(command string) string {
	switch command {
	case "PING":
		return "PONG\r\n"
	case "STATS":
		h.lab.mu.Lock()
		defer h.lab.mu.Unlock()
		rep := h.Report(h.lab.now())
		return fmt.Sprintf("PONG eps=%.2f,util=%.3f,x0=%.3f\r\n", rep.ErrorsPerSecond, rep.Util, rep.X0)
	}
	return syntaxLine
}

// syntaxLine answers a line that cannot be parsed.
const syntaxLine = "SYNTAX\r\n"

func (h *simulatedHost) connectionOpened(c net.Conn) {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	h.conns[c] = true
}

func (h *simulatedHost) connectionClosed(c net.Conn) {
	_ = c.Close()
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	delete(h.conns, c)
}
