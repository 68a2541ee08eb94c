package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline has clients send 200 lines at once on connections that stand, and read the answers as they come. Each has to
// get the answers unchanged, or MOVE between two of them.
func pipeline(w *world) error {
	const hosts, rounds, clients, lines, size = 4, 30, 10, 200, 4000
	t, err := w.newTakeover(hosts, cardiffNorth())
	if err != nil {
		return err
	}
	// A segment and a receive buffer as a client on an Ethernet has them, not those of the loopback interface.
	ethernet := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			}
		}); e != nil {
			return e
		}
		return err
	}}
	var text strings.Builder
	for i := range lines {
		text.WriteString(pipelineLine(i, size) + "\r\n")
	}
	for round := range rounds {
		var done sync.WaitGroup
		for i := range clients {
			c, err := ethernet.Dial("tcp", t.listen)
			if err != nil {
				return err
			}
			k := newConnection(c, newID())
			fmt.Fprint(c, t.site.openLine(k.id, fmt.Sprintf("%016x", i)))
			if a := k.read(t.site.answerLimit()); firstWord(a) != "UP" {
				return fmt.Errorf("not up: %s", a)
			}
			done.Add(1)
			go func() {
				defer done.Done()
				defer c.Close()
				if w.trouble {
					go func() {
						n, err := c.Write([]byte(text.String()))
						w.note("client %s has written %d of %d bytes, error: %v", k.id, n, text.Len(), err)
					}()
				}
				w.readAnswers(k, lines, size)
			}()
		}
		done.Wait()
		w.note("round %d ends", round+1)
	}
	return nil
}

func pipelineLine(i, size int) string {
	return fmt.Sprintf("LINE %06d %s", i, strings.Repeat("x", size))
}

// readAnswers reads the answers to the lines of a client. Without the disruption it sends each line first.
func (w *world) readAnswers(k *connection, lines, size int) {
	for i := 0; i < lines; i++ {
		if !w.trouble {
			fmt.Fprintf(k.c, "%s\r\n", pipelineLine(i, size))
		}
		a := k.read(7050 * time.Millisecond)
		var number int
		switch _, err := fmt.Sscanf(a, "ECHO LINE %d ", &number); {
		case a == "MOVE":
			w.note("client %s was moved after answer %d of %d", k.id, i, lines)
			return
		case strings.HasPrefix(a, "("):
			w.breach("client %s was cut off without MOVE after answer %d of %d: %.7s", k.id, i, lines, a)
			return
		case err != nil || a != "ECHO "+pipelineLine(number, size):
			w.breach("client %s got a line that no desk host sent, after answer %d of %d: %d bytes, %.20q ... %q", k.id, i, lines,
				len(a), a, a[max(len(a)-20, 0):])
		case number != i:
			w.breach("client %s did not get the answers %d to %d of %d, but the ones before and after them", k.id, i+1, number, lines)
			i = number
		}
	}
	w.note("client %s has read to the end", k.id)
}
