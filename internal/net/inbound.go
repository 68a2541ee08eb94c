package net

import "github.com/panjf2000/gnet/v2"

// inbound is the receiving side of a connection: what has come and is not used up, first of all what the process
// before us had read of it.
type inbound struct {
	conn gnet.Conn // nil once closed
	kept []byte
}

func (i *inbound) buffered() int { return len(i.kept) + i.conn.InboundBuffered() }

func (i *inbound) peek() []byte {
	buf, _ := i.conn.Peek(-1)
	if len(i.kept) == 0 {
		return buf
	}
	i.kept = append(i.kept, buf...)
	_, _ = i.conn.Discard(-1)
	return i.kept
}

func (i *inbound) discard(n int) {
	if len(i.kept) == 0 {
		_, _ = i.conn.Discard(n)
		return
	}
	if n < 0 {
		_, _ = i.conn.Discard(n)
		n = len(i.kept)
	}
	i.kept = i.kept[n:]
}
