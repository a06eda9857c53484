package trial

import (
	"container/heap"
	"time"
)

// event is something that happens at a simulated time.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// agenda orders events by time, and events of the same time by their making.
type agenda []event

var _ heap.Interface = (*agenda)(nil)

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// timeline runs events in the order of their times.
type timeline struct {
	now    time.Duration
	agenda agenda
	number int
}

// after plans an event.
func (t *timeline) after(d time.Duration, run func()) {
	t.number++
	heap.Push(&t.agenda, event{at: t.now + d, number: t.number, run: run})
}

// runUntil runs the events up to the given time.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.agenda) > 0 && t.agenda[0].at <= end {
		e := heap.Pop(&t.agenda).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}
