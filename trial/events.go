package trial

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// eventQueue orders events by time, and events of the same time in the order in
// which they were scheduled.
type eventQueue []event

var _ heap.Interface = (*eventQueue)(nil)

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// timeline runs events in order and holds the simulated time.
type timeline struct {
	now    time.Duration
	events eventQueue
	number int
}

// schedule adds an event that runs after the given delay.
func (t *timeline) schedule(d time.Duration, run func()) {
	t.number++
	heap.Push(&t.events, event{at: t.now + d, number: t.number, run: run})
}

// runUntil runs the events up to the given time.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}
