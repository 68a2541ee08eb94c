package net

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	stdnet "net"
	"regexp"
	"strings"
	"syscall"
	"time"
)

type peer struct {
	*stdnet.TCPConn
	r *bufio.Reader
}

func (r *rig) peer(who, verb, text string) error {
	p := r.peers[who]
	if p == nil {
		p = &peer{}
		r.peers[who] = p
	}
	text = strings.NewReplacer("KNOWN", r.known, `\r`, "\r", `\n`, "\n", "LONG", strings.Repeat("x", 5000),
		"MANY PINGS", strings.Repeat("PING\r\n", 20)).Replace(text)
	switch verb {
	case "connect":
		c, err := stdnet.Dial("tcp", r.address)
		if err != nil {
			return err
		}
		p.take(c)
	case "call":
		c, err := stdnet.Dial("tcp", r.admin)
		if err != nil {
			return err
		}
		if p.take(c); text != "" {
			_, err = fmt.Fprintf(p, "GET %s HTTP/1.1\r\nHost: node\r\n\r\n", text)
		}
		return err
	case "accept":
		from := r.upstreams
		if strings.HasPrefix(who, "pool") {
			from = r.discoveryConns
		}
		return r.withTimeout(func() error { p.take(<-from); return nil })
	case "send":
		line, open := strings.CutSuffix(text, "...")
		if !open {
			line += "\r\n"
		}
		_, err := io.WriteString(p, line)
		return err
	case "answer":
		_, err := fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err
	case "expect":
		got, err := p.r.ReadString('\n')
		if err != nil {
			return err
		}
		pattern := "^" + strings.ReplaceAll(regexp.QuoteMeta(text), `\*`, ".*") + "\r?\n$"
		if !regexp.MustCompile(pattern).MatchString(got) {
			return fmt.Errorf("got %q", got)
		}
	case "wait":
		if kind, what, ok := strings.Cut(text, " "); ok {
			got, err := io.ReadAll(p.r)
			if has := strings.Contains(string(got), what); err == nil && has != (kind == "text") {
				return fmt.Errorf("got %q", got)
			}
			return err
		}
		_, err := io.Copy(io.Discard, p.r)
		if reset := errors.Is(err, syscall.ECONNRESET); reset != (text == "reset") || err != nil && !reset {
			return fmt.Errorf("ended with %v", err)
		}
	case "close":
		return p.Close()
	case "half":
		return p.CloseWrite()
	case "reset":
		_ = p.SetLinger(0)
		return p.Close()
	default:
		return fmt.Errorf("unknown step %q", verb)
	}
	return nil
}

func (p *peer) take(c stdnet.Conn) {
	p.TCPConn, p.r = c.(*stdnet.TCPConn), bufio.NewReader(c)
	_ = c.SetDeadline(time.Now().Add(stepTimeout))
}

func (r *rig) withTimeout(f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-time.After(stepTimeout):
		return fmt.Errorf("step not completed within %v", stepTimeout)
	}
}
