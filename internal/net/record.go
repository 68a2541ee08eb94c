package net

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"tealtiller/internal/deadline"
	"tealtiller/internal/operator"
	"tealtiller/internal/placement"
)

// recorder writes what this balancer sees, for plans to be made of. The record is made on the loop and written by a
// goroutine: a slow, full or vanished disk costs records, which are counted, and nothing else.
type recorder struct {
	file string
	out  chan []byte
	next *deadline.Deadline
	fail bool // the last record could not be written
}

// mostRecords is how many records may wait to be written.
const mostRecords = 4

// turn goes over to what the operator's file says now.
func (r *recorder) turn(n *Node, now time.Duration) {
	p := n.cfg.Placement
	n.deadlines.Stop(r.next)
	if r.file != p.RecordPath && r.out != nil {
		close(r.out)
		r.out, r.fail = nil, false
	}
	if r.file = p.RecordPath; r.file == "" {
		return
	}
	p.RecordPath = strings.ReplaceAll(p.RecordPath, "{name}", n.cfg.Name)
	if r.out == nil {
		r.out = make(chan []byte, mostRecords)
		go write(p, r.out, func(err error) { n.post(func(time.Duration) { r.wrote(n, err) }) })
	}
	r.next = n.deadlines.Set(now+p.RecordInterval, func(now time.Duration) {
		r.record(n, now)
		r.turn(n, now)
	})
}

// wrote takes what came of writing a record. Danger: a disk may be full for hours; the log tells its beginning and its end.
func (r *recorder) wrote(n *Node, err error) {
	switch {
	case err != nil:
		n.count.Add("records failed")
		if !r.fail {
			n.log.Error("record-failed", "reason", err)
		}
	case r.fail:
		n.log.Info("records-written-again", "file", r.file)
	}
	r.fail = err != nil
}

func (r *recorder) record(n *Node, now time.Duration) {
	text, err := json.Marshal(n.seen(now))
	if err != nil {
		return // a figure that JSON knows no form for
	}
	select {
	case r.out <- append(text, '\n'):
		n.count.Add("records made")
	default:
		n.count.Add("records dropped")
	}
}

// seen is what stands here now, and what desk hosts last told of themselves.
func (n *Node) seen(now time.Duration) placement.Record {
	rec := placement.Record{Version: placement.RecordVersion, At: n.wallMilliseconds(now), Balancer: n.cfg.Name, Room: n.cfg.Settings.Policy.Zone}
	for _, s := range n.weigher.Servers() {
		h := placement.RecordedHost{ID: s.ID, Room: s.Zone, Kind: s.Kind, Started: n.wallMilliseconds(s.Started), Age: -1}
		if l := n.delays.lags[s.ID]; l != nil && l.report.at > 0 {
			h.X0, h.Age = l.report.x0, (now - l.report.at).Milliseconds()
		}
		rec.Hosts = append(rec.Hosts, h)
	}
	for _, u := range n.upstreams.All() {
		if u.up {
			o := u.downstream.opening
			rec.CountConnection(n.request(o).Key, o.Carrier, u.server, o.Class)
		}
	}
	return rec
}

// write appends records to the file; one that has grown too large is kept as FILE.1 and begun anew.
func write(p operator.Placement, records <-chan []byte, wrote func(error)) {
	for text := range records {
		wrote(add(p, text))
	}
}

func add(p operator.Placement, text []byte) error {
	if info, err := os.Stat(p.RecordPath); err == nil && info.Size()+int64(len(text)) > p.MaxRecordBytes {
		if err := os.Rename(p.RecordPath, p.RecordPath+".1"); err != nil {
			return err
		}
	}
	f, err := os.OpenFile(p.RecordPath, os.O_APPEND|os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	if endsMidLine(f) {
		text = append([]byte("\n"), text...)
	}
	_, err = f.Write(text)
	if closing := f.Close(); err == nil {
		err = closing
	}
	return err
}

// endsMidLine tells whether a file ends in half a record, as a kill or a full disk leaves it. Danger: what is written right
// behind it would be lost with it.
func endsMidLine(f *os.File) bool {
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return false
	}
	var last [1]byte
	_, err = f.ReadAt(last[:], info.Size()-1)
	return err == nil && last[0] != '\n'
}
