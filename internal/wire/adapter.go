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

// Adapter runs the balancer instances of one process. They share nothing but the numbered lists of servers that the
// wire sends.
type Adapter struct {
	in         *bufio.Reader
	out        io.Writer
	warnings   io.Writer
	decoder    *Decoder
	encoder    Encoder
	lineBuffer []byte
	lists      map[int][]policy.Server
	instances  map[int]*policy.Balancer
}

// NewAdapter returns an adapter that reads batches from in, writes replies to out and reports problems to warnings.
func NewAdapter(in io.Reader, out, warnings io.Writer) *Adapter {
	return &Adapter{
		in: bufio.NewReaderSize(in, 1<<20), out: out, warnings: warnings, decoder: NewDecoder(),
		lists: map[int][]policy.Server{}, instances: map[int]*policy.Balancer{},
	}
}

// Run answers batches until the input ends. The end of input between two batches is not an error.
func (a *Adapter) Run() error {
	for {
		begin, err := a.nextEvent()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if begin.Kind != BatchBegin {
			return errors.New("framing: event outside a batch")
		}
		if err := a.runBatch(begin.Time, begin.Turn); err != nil {
			return err
		}
	}
}

func (a *Adapter) runBatch(now time.Duration, turn int64) error {
	for {
		e, err := a.nextEvent()
		if errors.Is(err, io.EOF) {
			return errors.New("framing: input ended inside a batch")
		}
		if err != nil {
			return err
		}
		switch e.Kind {
		case BatchBegin:
			return errors.New("framing: batch started inside a batch")
		case BatchCommit:
			_, err := a.out.Write(a.encoder.EndBatch(turn))
			return err
		case ServerList:
			a.lists[e.ListSlot] = append([]policy.Server(nil), e.Servers...)
		case Members:
			if _, ok := a.lists[e.ListSlot]; !ok && e.MembersKind != policy.WatchFailed {
				return fmt.Errorf("discovery event refers to list %d, which was not sent", e.ListSlot)
			}
			a.dispatch(now, e)
		case Ignored:
		default:
			a.dispatch(now, e)
		}
	}
}

// nextEvent reads and decodes the next line that is not blank.
func (a *Adapter) nextEvent() (*Event, error) {
	for {
		a.lineBuffer = a.lineBuffer[:0]
		for {
			part, err := a.in.ReadSlice('\n')
			a.lineBuffer = append(a.lineBuffer, part...)
			if err == nil {
				break
			}
			if errors.Is(err, io.EOF) && len(a.lineBuffer) > 0 {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return nil, err
			}
		}
		if line := bytes.TrimSpace(a.lineBuffer); len(line) > 0 {
			return a.decoder.DecodeLine(line)
		}
	}
}

// dispatch passes an event to its instance. A panic in package policy is reported to the simulator as an exception,
// which ends the simulated day.
func (a *Adapter) dispatch(now time.Duration, e *Event) {
	defer func() {
		if fault := recover(); fault != nil {
			fmt.Fprintf(a.warnings, "panic in package policy: %v\n", fault)
			a.encoder.Exception(fmt.Sprint(fault))
		}
	}()
	a.encoder.SetInstance(e.Instance)
	if e.Kind == InstanceStart {
		a.instances[e.Instance] = policy.New(e.Settings, e.Seed, &a.encoder)
		return
	}
	b := a.instances[e.Instance]
	if b == nil {
		fmt.Fprintf(a.warnings, "ignored event for instance %d, which is not running\n", e.Instance)
		return
	}
	switch e.Kind {
	case InstanceStop:
		delete(a.instances, e.Instance)
	case Members:
		b.Members(now, e.MembersKind, a.lists[e.ListSlot])
	case Request:
		b.Request(now, e.Request)
	case Inherited:
		b.Inherit(now, e.Request, e.Server)
	case Established:
		b.ConnectionEstablished(now, e.Request.ID)
	case Outcome:
		b.Outcome(now, e.Request.ID, e.Result, e.RequestOver)
	case ConnectionMetric:
		b.ConnectionMetric(now, e.Request.ID, e.MetricKind, e.MetricValue)
	case SiblingMessage:
		b.SiblingDelay(now, e.ServerHash, e.Delay)
	case ClientGone:
		b.ClientGone(now, e.Request.ID)
	case TimerFired:
		b.Wake(now, e.Timer)
	}
}
