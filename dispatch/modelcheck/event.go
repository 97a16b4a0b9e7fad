package modelcheck

import (
	"container/heap"
	"time"
)

// event is a function to run at a time. Events of equal time run in the order in which
// they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// clock is a virtual clock with its pending events.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

func (c *clock) at(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// step runs the next event. It returns false if there is none up to the end.
func (c *clock) step(end time.Time) bool {
	if len(c.events) == 0 || c.events[0].at.After(end) {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	return true
}
