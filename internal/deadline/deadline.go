// Package deadline keeps all deadlines of the process in one heap.
package deadline

import (
	"container/heap"
	"time"
)

// Queue holds deadlines by time; deadlines of the same time run in the order in which they were set. The zero value is
// an empty queue.
type Queue struct {
	heap         deadlineHeap
	lastSequence uint64
}

// Deadline is an entry of a Queue.
type Deadline struct {
	at       time.Duration
	sequence uint64
	index    int // its index in the heap; -1 if it is not in it
	stopped  bool
	callback func(now time.Duration)
}

// Set adds a deadline. Run calls the callback once the time has come.
func (q *Queue) Set(at time.Duration, callback func(now time.Duration)) *Deadline {
	q.lastSequence++
	d := &Deadline{at: at, sequence: q.lastSequence, callback: callback}
	heap.Push(&q.heap, d)
	return d
}

// Stop removes a deadline if it has not run yet. A nil deadline is ignored.
func (q *Queue) Stop(d *Deadline) {
	if d == nil {
		return
	}
	if d.stopped = true; d.index >= 0 {
		heap.Remove(&q.heap, d.index)
	}
}

// Next returns the time of the earliest deadline; ok is false if there is none.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Run calls the callbacks of all deadlines that are due. Deadlines set meanwhile are not run before the next call of
// Run, so a callback that sets a deadline for the current time cannot keep the loop running.
func (q *Queue) Run(now time.Duration) {
	lastBefore := q.lastSequence
	var postponed []*Deadline
	for len(q.heap) > 0 && q.heap[0].at <= now {
		d := heap.Pop(&q.heap).(*Deadline)
		if d.sequence > lastBefore {
			postponed = append(postponed, d)
			continue
		}
		d.callback(now)
	}
	for _, d := range postponed {
		if !d.stopped { // another callback may have stopped it while it was out of the heap
			heap.Push(&q.heap, d)
		}
	}
}

type deadlineHeap []*Deadline

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *deadlineHeap) Push(x any) {
	d := x.(*Deadline)
	d.index = len(*h)
	*h = append(*h, d)
}
func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	last.index = -1
	*h = (*h)[:len(*h)-1]
	return last
}
