package main

import (
	"container/heap"
	"time"
)

// event runs at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue runs events in the order of their times.
type eventQueue struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

// after runs f when d has passed.
func (q *eventQueue) after(d time.Duration, f func()) { q.at(q.now.Add(d), f) }

// at runs f at the given time.
func (q *eventQueue) at(t time.Time, f func()) {
	q.sequence++
	heap.Push(&q.events, event{at: t, sequence: q.sequence, run: f})
}

// runUntil runs the events up to the given time.
func (q *eventQueue) runUntil(end time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = end
}

// eventHeap orders events by time, then by the order in which they were added.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
