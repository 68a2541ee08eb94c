package lab

import (
	"container/heap"
	"time"
)

// event is an action at a moment; events of the same moment run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a heap with the earliest event first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// scheduleAt schedules an action at a moment, at the earliest now.
func (v *VirtualLab) scheduleAt(when time.Duration, do func()) {
	v.eventCount++
	heap.Push(&v.queue, event{max(when, v.now), v.eventCount, do})
}
