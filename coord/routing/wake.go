package routing

import (
	"container/heap"
	"time"
)

// wakeHeap is a min-heap of requests by the time at which Tick must handle them.
type wakeHeap []*request

// Len implements heap.Interface.
func (h wakeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

// Swap implements heap.Interface.
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wakeIndex = i
	h[j].wakeIndex = j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	r := x.(*request)
	r.wakeIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.wakeIndex = -1
	return r
}

// set sets the wake time of r and adds r if it is absent.
func (h *wakeHeap) set(r *request, at time.Time) {
	r.wakeAt = at
	if r.wakeIndex < 0 {
		heap.Push(h, r)
		return
	}
	heap.Fix(h, r.wakeIndex)
}

// clear removes r if it is present.
func (h *wakeHeap) clear(r *request) {
	if r.wakeIndex >= 0 {
		heap.Remove(h, r.wakeIndex)
	}
}
