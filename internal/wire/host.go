package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"tealtiller/policy"
)

// Adapter runs the instances of one process. They share nothing but the wire's numbered lists of servers.
type Adapter struct {
	in        *bufio.Reader
	out       io.Writer
	warn      io.Writer
	dec       *Decoder
	enc       Encoder
	line      []byte
	lists     map[int][]policy.Server
	instances map[int]*policy.Balancer
}

// NewAdapter makes a host that reads batches, writes replies and tells of trouble on warn.
func NewAdapter(in io.Reader, out, warn io.Writer) *Adapter {
	return &Adapter{
		in: bufio.NewReaderSize(in, 1<<20), out: out, warn: warn, dec: NewDecoder(),
		lists: map[int][]policy.Server{}, instances: map[int]*policy.Balancer{},
	}
}

// Run answers batches until the input ends. An end between batches is a clean one.
func (h *Adapter) Run() error {
	for {
		begin, err := h.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if begin.Kind != Begin {
			return errors.New("framing: an event outside a batch")
		}
		if err := h.batch(begin.Time, begin.Turn); err != nil {
			return err
		}
	}
}

func (h *Adapter) batch(now time.Duration, turn int64) error {
	for {
		e, err := h.next()
		if errors.Is(err, io.EOF) {
			return errors.New("framing: input ended inside a batch")
		}
		if err != nil {
			return err
		}
		switch e.Kind {
		case Begin:
			return errors.New("framing: a batch began inside a batch")
		case Commit:
			_, err := h.out.Write(h.enc.Done(turn))
			return err
		case List:
			h.lists[e.Slot] = append([]policy.Server(nil), e.Entries...)
		case Members:
			if _, ok := h.lists[e.Slot]; !ok && e.Form != policy.WatchFailed {
				return fmt.Errorf("list %d was never sent", e.Slot)
			}
			h.guarded(now, e)
		case Skip:
		default:
			h.guarded(now, e)
		}
	}
}

// next reads and decodes one line, passing over blank ones.
func (h *Adapter) next() (*Event, error) {
	for {
		h.line = h.line[:0]
		for {
			part, err := h.in.ReadSlice('\n')
			h.line = append(h.line, part...)
			if err == nil {
				break
			}
			if errors.Is(err, io.EOF) && len(h.line) > 0 {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return nil, err
			}
		}
		if line := bytes.TrimSpace(h.line); len(line) > 0 {
			return h.dec.Line(line)
		}
	}
}

// guarded hands an event to its instance; a fault in the module ends the day with its text.
func (h *Adapter) guarded(now time.Duration, e *Event) {
	defer func() {
		if fault := recover(); fault != nil {
			fmt.Fprintf(h.warn, "fault in the module: %v\n", fault)
			h.enc.Exception(fmt.Sprint(fault))
		}
	}()
	h.enc.For(e.Instance)
	if e.Kind == Start {
		h.instances[e.Instance] = policy.New(e.Settings, e.Seed, &h.enc)
		return
	}
	b := h.instances[e.Instance]
	if b == nil {
		fmt.Fprintf(h.warn, "event for instance %d, which is not running\n", e.Instance)
		return
	}
	switch e.Kind {
	case Stop:
		delete(h.instances, e.Instance)
	case Members:
		b.Members(now, e.Form, h.lists[e.Slot])
	case Request:
		b.Request(now, e.Request)
	case Open:
		b.Inherit(now, e.Request, e.Server)
	case First:
		b.ConnectionEstablished(now, e.Request.ID)
	case Outcome:
		b.Outcome(now, e.Request.ID, e.Result, e.Over)
	case Note:
		b.ConnectionMetric(now, e.Request.ID, e.Note, e.Level)
	case Memo:
		b.SiblingDelay(now, e.Peer, e.Delay)
	case Gone:
		b.ClientGone(now, e.Request.ID)
	case Wake:
		b.Wake(now, e.Timer)
	}
}
