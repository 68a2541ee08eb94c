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

// recorder writes records of this balancer's connections, from which placement plans are made. A record is made on the
// loop and written by a goroutine: a slow, full or missing disk only costs records, which are counted.
type recorder struct {
	file    string
	out     chan []byte
	next    *deadline.Deadline
	failing bool // the last record could not be written
}

// maxQueuedRecords is how many records may wait to be written.
const maxQueuedRecords = 4

// configure applies the operator's file.
func (r *recorder) configure(n *Node, now time.Duration) {
	p := n.cfg.Placement
	n.deadlines.Stop(r.next)
	if r.file != p.RecordPath && r.out != nil {
		close(r.out)
		r.out, r.failing = nil, false
	}
	if r.file = p.RecordPath; r.file == "" {
		return
	}
	p.RecordPath = strings.ReplaceAll(p.RecordPath, "{name}", n.cfg.Name)
	if r.out == nil {
		r.out = make(chan []byte, maxQueuedRecords)
		go writeRecords(p, r.out, func(err error) { n.post(func(time.Duration) { r.recordWritten(n, err) }) })
	}
	r.next = n.deadlines.Set(now+p.RecordInterval, func(now time.Duration) {
		r.record(n, now)
		r.configure(n, now)
	})
}

// recordWritten handles the result of a write. A disk may be full for hours, so only the first failure and the
// recovery are logged.
func (r *recorder) recordWritten(n *Node, err error) {
	switch {
	case err != nil:
		n.counters.Add("records failed")
		if !r.failing {
			n.log.Error("record-failed", "reason", err)
		}
	case r.failing:
		n.log.Info("records-written-again", "file", r.file)
	}
	r.failing = err != nil
}

// record takes a snapshot and queues it.
func (r *recorder) record(n *Node, now time.Duration) {
	text, err := json.Marshal(n.snapshot(now))
	if err != nil {
		return // a number that JSON cannot represent
	}
	select {
	case r.out <- append(text, '\n'):
		n.counters.Add("records made")
	default:
		n.counters.Add("records dropped")
	}
}

// snapshot is a record of the established connections and of the hosts' last load reports.
func (n *Node) snapshot(now time.Duration) placement.Record {
	record := placement.Record{Version: placement.RecordVersion, At: n.wallMilliseconds(now), Balancer: n.cfg.Name,
		Room: n.cfg.Settings.Policy.Zone}
	for _, s := range n.weigher.Servers() {
		h := placement.RecordedHost{ID: s.ID, Room: s.Zone, Kind: s.Kind, Started: n.wallMilliseconds(s.Started), Age: -1}
		if status := n.delays.hosts[s.ID]; status != nil && status.report.receivedAt > 0 {
			h.X0, h.Age = status.report.load, (now - status.report.receivedAt).Milliseconds()
		}
		record.Hosts = append(record.Hosts, h)
	}
	for _, u := range n.upstreams.All() {
		if u.up {
			o := u.downstream.opening
			record.CountConnection(n.policyRequest(o).Key, o.Carrier, u.server, o.Class)
		}
	}
	return record
}

// writeRecords writes records until the channel is closed.
func writeRecords(p operator.Placement, records <-chan []byte, written func(error)) {
	for text := range records {
		written(appendRecord(p, text))
	}
}

// appendRecord appends a record to the file. A file that would exceed its size limit is renamed to FILE.1 first.
func appendRecord(p operator.Placement, text []byte) error {
	if info, err := os.Stat(p.RecordPath); err == nil && info.Size()+int64(len(text)) > p.MaxRecordBytes {
		if err := os.Rename(p.RecordPath, p.RecordPath+".1"); err != nil {
			return err
		}
	}
	f, err := os.OpenFile(p.RecordPath, os.O_APPEND|os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	if endsInPartialLine(f) {
		text = append([]byte("\n"), text...)
	}
	_, err = f.Write(text)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// endsInPartialLine reports whether a file ends in an incomplete record, as left by a kill or a full disk. A record
// appended directly to it would be lost as well.
func endsInPartialLine(f *os.File) bool {
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return false
	}
	var last [1]byte
	_, err = f.ReadAt(last[:], info.Size()-1)
	return err == nil && last[0] != '\n'
}
