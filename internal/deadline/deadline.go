// Package deadline keeps all deadlines of the process in one heap.
package deadline

import (
	"container/heap"
	"time"
)

// Queue holds deadlines in order of time; those of one time fall due in the order in which they were set.
// The zero value is an empty one.
type Queue struct {
	heap entries
	set  uint64
}

// Deadline is one entry of a Queue.
type Deadline struct {
	at    time.Duration
	order uint64
	index int // in the heap; -1 once out of it
	ended bool
	due   func(now time.Duration)
}

// Set adds a deadline. What is due is called by Run.
func (q *Queue) Set(at time.Duration, due func(now time.Duration)) *Deadline {
	q.set++
	d := &Deadline{at: at, order: q.set, due: due}
	heap.Push(&q.heap, d)
	return d
}

// Stop takes a deadline out, if it is still in; nil is none.
func (q *Queue) Stop(d *Deadline) {
	if d == nil {
		return
	}
	if d.ended = true; d.index >= 0 {
		heap.Remove(&q.heap, d.index)
	}
}

// Next is the earliest deadline.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Run calls what has fallen due. What is set meanwhile is not called before the next Run, so that a
// deadline set for now by one that is due cannot keep the loop here.
func (q *Queue) Run(now time.Duration) {
	last := q.set
	var later []*Deadline
	for len(q.heap) > 0 && q.heap[0].at <= now {
		d := heap.Pop(&q.heap).(*Deadline)
		if d.order > last {
			later = append(later, d)
			continue
		}
		d.due(now)
	}
	for _, d := range later {
		if !d.ended { // danger: stopped by what was due meanwhile, while it was out of the heap
			heap.Push(&q.heap, d)
		}
	}
}

type entries []*Deadline

func (e entries) Len() int { return len(e) }
func (e entries) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e entries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}
func (e *entries) Push(x any) {
	d := x.(*Deadline)
	d.index = len(*e)
	*e = append(*e, d)
}
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	last.index = -1
	*e = (*e)[:len(*e)-1]
	return last
}
