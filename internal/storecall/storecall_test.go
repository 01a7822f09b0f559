package storecall

import (
	"errors"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
)

func TestBudgetShrinksWithFleetSizeAndRefills(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(func() time.Time { return now })
	last := b.Rate()
	for _, n := range []int{12, 44, 810} {
		b.SetFleetSize(n)
		if b.Rate() >= last {
			t.Fatalf("%d instances: %v calls/s each, %v with fewer", n, b.Rate(), last)
		}
		last = b.Rate()
	}
	store := New(standin.New(standin.Options{}), "test", b)
	made := 0
	for range 1000 {
		if _, err := store.Get(t.Context(), "key"); errors.Is(err, metastore.ErrNotFound) {
			made++
		}
	}
	if made != MinBurst {
		t.Fatalf("burst of %d calls, want %v", made, MinBurst)
	}
	if _, err := store.Get(t.Context(), "key"); !errors.Is(err, ErrOverBudget) {
		t.Fatalf("error %v", err)
	}
	now = now.Add(time.Minute)
	if _, err := store.Get(t.Context(), "key"); !errors.Is(err, metastore.ErrNotFound) {
		t.Fatalf("error %v after a minute", err)
	}
	now = now.Add(-time.Hour)
	if _, err := store.Get(t.Context(), "key"); !errors.Is(err, metastore.ErrNotFound) {
		t.Fatalf("error %v after the clock went back", err)
	}
	if got := Calls.Get("test").String(); got != "102" {
		t.Fatalf("%s calls counted, 102 made", got)
	}
}
