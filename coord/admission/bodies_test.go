package admission

import (
	"testing"
	"time"
)

const (
	bodyLimit = 80 << 20 // Of which large bodies use 70 MB.
	slowAfter = 2 * time.Second
)

var start = time.Unix(1_000_000, 0)

func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	b := NewBodies[int](bodyLimit, slowAfter)
	var granted []*Body[int]
	for i := range 5 {
		body := b.Begin(start, i)
		if ok, yielded := b.Reserve(start, body, 14<<20); !ok || yielded != nil || !b.Received(body) {
			t.Fatalf("body %d is refused", i)
		}
		granted = append(granted, body)
	}
	sixth := b.Begin(start, 5)
	if ok, _ := b.Reserve(start, sixth, 14<<20); ok {
		t.Error("a large body uses the share of small ones")
	}
	b.Release(sixth)
	if ok, _ := b.Reserve(start.Add(time.Hour), b.Begin(start, 6), SmallBody); !ok {
		t.Error("a small body is refused beside large ones")
	}
	b.Release(granted[0])
	if ok, yielded := b.Reserve(start, b.Begin(start, 7), 13<<20); !ok || yielded != nil {
		t.Error("refused although the bytes are free again")
	}
	for range 2 { // Released once only.
		b.Release(granted[1])
	}
	if got, want := b.Reserved(), int64(3*14<<20+SmallBody+13<<20); got != want {
		t.Errorf("%d bytes reserved, want %d", got, want)
	}
}

func TestSlowBodiesYield(t *testing.T) {
	b := NewBodies[int](bodyLimit, slowAfter)
	slow, quick := b.Begin(start, 0), b.Begin(start.Add(time.Second), 1)
	for _, body := range []*Body[int]{slow, quick} {
		if ok, _ := b.Reserve(start.Add(time.Second), body, 30<<20); !ok {
			t.Fatal("refused")
		}
	}
	next := b.Begin(start.Add(slowAfter-1), 2)
	if ok, yielded := b.Reserve(start.Add(slowAfter-1), next, 30<<20); ok || yielded != nil {
		t.Error("a body yields before it is slow")
	}
	ok, yielded := b.Reserve(start.Add(slowAfter), next, 30<<20)
	if !ok || len(yielded) != 1 || yielded[0] != slow {
		t.Fatalf("granted %v, %d bodies yield", ok, len(yielded))
	}
	if ok, _ := b.Reserve(start.Add(slowAfter), slow, 1); ok || b.Received(slow) {
		t.Error("a body that has yielded goes on")
	}
	if !b.Received(quick) || !b.Received(next) {
		t.Error("another body has yielded")
	}
	late := b.Begin(start.Add(time.Hour), 3)
	if ok, yielded := b.Reserve(start.Add(time.Hour), late, 30<<20); ok || yielded != nil {
		t.Error("a body that was received completely yields")
	}
	b.Release(slow)
	b.Release(quick)
	b.Release(next)
	b.Release(late)
	if b.Reserved() != 0 || b.arriving.Len() != 0 {
		t.Errorf("%d bytes, %d bodies are left", b.Reserved(), b.arriving.Len())
	}
}

// Bodies yield only if the newcomer fits then.
func TestBodiesDoNotYieldInVain(t *testing.T) {
	b := NewBodies[int](bodyLimit, slowAfter)
	inService, slow := b.Begin(start, 0), b.Begin(start, 1)
	for _, body := range []*Body[int]{inService, slow} {
		if ok, _ := b.Reserve(start, body, 30<<20); !ok {
			t.Fatal("refused")
		}
	}
	b.Received(inService)
	later := start.Add(time.Minute)
	if ok, yielded := b.Reserve(later, b.Begin(later, 2), 60<<20); ok || yielded != nil {
		t.Error("a body yields in vain")
	}
	if !b.Received(slow) {
		t.Error("the slow body has yielded")
	}
}

func TestBodiesThatGrowAreCounted(t *testing.T) {
	b := NewBodies[int](bodyLimit, slowAfter)
	body := b.Begin(start, 0)
	grown := int64(0)
	for ; grown < bodyLimit; grown += 1 << 20 {
		if ok, _ := b.Reserve(start.Add(time.Minute), body, 1<<20); !ok {
			break
		}
	}
	if want := int64(bodyLimit - bodyLimit/smallDivisor); grown != want || b.Reserved() != want {
		t.Errorf("grew to %d bytes, %d reserved, want %d", grown, b.Reserved(), want)
	}
}

func TestNoLimitOfBodies(t *testing.T) {
	b := NewBodies[int](0, slowAfter)
	for i := range 100 {
		if ok, yielded := b.Reserve(start.Add(time.Hour), b.Begin(start, i), 64<<20); !ok || yielded != nil {
			t.Fatal("limited")
		}
	}
}
