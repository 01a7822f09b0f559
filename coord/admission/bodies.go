package admission

import (
	"container/list"
	"time"
)

const (
	// SmallBody is the size in bytes up to which a body may use the share that large ones leave.
	SmallBody = 64 << 10
	// smallDivisor is the share of the limit that only small bodies use: large ones do not keep them out.
	smallDivisor = 8
)

// Bodies decides which bodies of requests are received while their bytes are limited. Bytes are reserved
// before they are received, until the request is answered.
//
// A body that does not fit is refused. Before that, bodies that have been arriving for longer than
// SlowAfter yield their bytes, the longest first: a slow sender does not keep others out for longer.
type Bodies[T any] struct {
	limit     int64 // 0: no limit.
	slowAfter time.Duration
	reserved  int64
	arriving  list.List // Of *Body[T], in the order of their begin.
}

// Body is the body of a request.
type Body[T any] struct {
	Owner    T
	begun    time.Time
	reserved int64
	element  *list.Element // In arriving, or nil.
	yielded  bool
}

// NewBodies returns a Bodies with a limit in bytes; 0: no limit.
func NewBodies[T any](limit int64, slowAfter time.Duration) *Bodies[T] {
	return &Bodies[T]{limit: limit, slowAfter: slowAfter}
}

// Limit returns the limit in bytes; 0: no limit.
func (b *Bodies[T]) Limit() int64 { return b.limit }

// Reserved returns the bytes reserved.
func (b *Bodies[T]) Reserved() int64 { return b.reserved }

// Begin records that a body begins to arrive.
func (b *Bodies[T]) Begin(now time.Time, owner T) *Body[T] {
	body := &Body[T]{Owner: owner, begun: now}
	body.element = b.arriving.PushBack(body)
	return body
}

// Reserve reserves more bytes of an arriving body. It reports false if they do not fit or the body has
// yielded. The bodies returned have yielded to it: no more of them is to be received, and their requests
// are to be refused.
func (b *Bodies[T]) Reserve(now time.Time, body *Body[T], bytes int64) (ok bool, yielded []*Body[T]) {
	if body.yielded {
		return false, nil
	}
	limit := b.limit
	if body.reserved+bytes > SmallBody {
		limit -= limit / smallDivisor
	}
	if excess := b.reserved + bytes - limit; b.limit > 0 && excess > 0 {
		if yielded = b.slow(now, body, excess); yielded == nil {
			return false, nil
		}
		for _, slow := range yielded {
			b.Release(slow)
			slow.yielded = true
		}
	}
	body.reserved += bytes
	b.reserved += bytes
	return true, yielded
}

// slow returns the bodies other than one that have been arriving for too long, as many as free a number
// of bytes, or nil if all together do not.
func (b *Bodies[T]) slow(now time.Time, other *Body[T], bytes int64) []*Body[T] {
	var out []*Body[T]
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		body := e.Value.(*Body[T])
		if now.Sub(body.begun) < b.slowAfter {
			return nil
		}
		if body == other || body.reserved == 0 {
			continue
		}
		out = append(out, body)
		if bytes -= body.reserved; bytes <= 0 {
			return out
		}
	}
	return nil
}

// Received records that a body is complete, and reports whether it has not yielded.
func (b *Bodies[T]) Received(body *Body[T]) bool {
	b.arrived(body)
	return !body.yielded
}

func (b *Bodies[T]) arrived(body *Body[T]) {
	if body.element != nil {
		b.arriving.Remove(body.element)
		body.element = nil
	}
}

// Release returns the bytes of a body.
func (b *Bodies[T]) Release(body *Body[T]) {
	b.arrived(body)
	b.reserved -= body.reserved
	body.reserved = 0
}
