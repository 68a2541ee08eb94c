package net

import (
	"syscall"

	"golang.org/x/sys/unix"

	"tealtiller/internal/handover"
	"tealtiller/internal/line"
)

// parcel is a message with the descriptors that go along, which are ours until it is written. The client's is the first one.
type parcel struct {
	text  []byte
	files []int
	last  string // said to the client if the message cannot be written
}

// lastLines are what clients are told whose sockets find no other process. Only such sockets go along as are between two lines.
var lastLines = map[handover.Kind]string{handover.KindIdleClient: "BUSY\r\n", handover.KindEstablished: "MOVE\r\n"}

// write sends a parcel, and tells whether it is sent.
func (p *parcel) write(l *link) bool {
	_, _, err := l.conn.WriteMsgUnix(p.text, unix.UnixRights(p.files...), nil)
	return err == nil
}

// returned says the last line to the client of a parcel that cannot be sent. What lies unread is read first: see closing.go.
func (p *parcel) returned() {
	if len(p.files) == 0 || p.last == "" {
		return
	}
	client, unread := p.files[0], make([]byte, 2*line.MaxLength)
	for range mostUnread {
		if n, err := syscall.Read(client, unread); err != nil || n <= 0 {
			break
		}
	}
	_, _ = syscall.Write(client, []byte(p.last))
	_ = syscall.Shutdown(client, syscall.SHUT_WR)
}

// close gives up our descriptors.
func (p *parcel) close() {
	for _, fd := range p.files {
		_ = syscall.Close(fd)
	}
}
