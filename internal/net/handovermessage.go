package net

import (
	"syscall"

	"golang.org/x/sys/unix"

	"tealtiller/internal/handover"
	"tealtiller/internal/line"
)

// outgoingMessage is a handover message with the descriptors sent along, which belong to it until it is closed. The
// client's descriptor comes first.
type outgoingMessage struct {
	text         []byte
	descriptors  []int
	fallbackLine string // written to the client if the message cannot be sent
}

// fallbackLines are the last lines for clients whose sockets could not be handed over. Only sockets whose output ends
// with a complete line are handed over, so these lines cannot split another one.
var fallbackLines = map[handover.Kind]string{handover.KindIdleClient: "BUSY\r\n", handover.KindEstablished: "MOVE\r\n"}

// writeTo sends the message and reports success.
func (m *outgoingMessage) writeTo(l *processLink) bool {
	_, _, err := l.conn.WriteMsgUnix(m.text, unix.UnixRights(m.descriptors...), nil)
	return err == nil
}

// answerFallback writes the last line to the client of a message that cannot be sent.
func (m *outgoingMessage) answerFallback() {
	if len(m.descriptors) > 0 && m.fallbackLine != "" {
		writeFallback(m.descriptors[0], m.fallbackLine)
	}
}

// writeFallback writes the last line to a client whose socket is on no loop, and ends our sending. Unread input is read
// first, as in closing.go.
func writeFallback(client int, lastLine string) {
	unread := make([]byte, 2*line.MaxLength)
	for range maxFinalReads {
		if n, err := syscall.Read(client, unread); err != nil || n <= 0 {
			break
		}
	}
	_, _ = syscall.Write(client, []byte(lastLine))
	_ = syscall.Shutdown(client, syscall.SHUT_WR)
}

// close closes our copies of the descriptors.
func (m *outgoingMessage) close() {
	for _, fd := range m.descriptors {
		_ = syscall.Close(fd)
	}
}
