package body

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func noInterrupt() {}

func TestReadBodies(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 200<<10) // 3.1 MB.
	for name, tc := range map[string]struct {
		data  string
		size  int
		limit int
		err   error
	}{
		"known":                  {"abc", 3, 10, nil},
		"known, long":            {long, len(long), len(long), nil},
		"known, cut off":         {"ab", 3, 10, io.ErrUnexpectedEOF},
		"known, nothing came":    {"", 3, 10, io.ErrUnexpectedEOF},
		"unknown":                {"abc", -1, 10, nil},
		"unknown, empty":         {"", -1, 10, nil},
		"unknown, at its bound":  {long, -1, len(long), nil},
		"unknown, too large":     {long, -1, len(long) - 1, ErrTooLarge},
		"unknown, a whole block": {strings.Repeat("x", firstSegment), -1, firstSegment, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(tc.data), iotest.DataErrReader(strings.NewReader(tc.data))} {
				budget := NewBudget(0)
				b, err := budget.Read(r, tc.size, tc.limit, noInterrupt)
				if !errors.Is(err, tc.err) {
					t.Fatalf("error %v, want %v", err, tc.err)
				}
				if err == nil && (b.String() != tc.data || b.Size() != len(tc.data)) {
					t.Errorf("%d bytes of %d", b.Size(), len(tc.data))
				}
				b.Release()
				if got := budget.Counts().Reserved; got != 0 {
					t.Errorf("%d bytes stay reserved", got)
				}
			}
		})
	}
}

// A body that breaks off between its parts must not look complete.
func TestBrokenBodyIsNotComplete(t *testing.T) {
	broken := errors.New("broken")
	for _, size := range []int{-1, 10} {
		r := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken))
		if _, err := NewBudget(0).Read(r, size, 10, noInterrupt); !errors.Is(err, broken) {
			t.Errorf("size %d: %v", size, err)
		}
	}
}

func TestBytesCountUntilTheLastRelease(t *testing.T) {
	budget := NewBudget(8 << 20)
	b, err := budget.Read(strings.NewReader("abc"), 3, 10, noInterrupt)
	if err != nil {
		t.Fatal(err)
	}
	b.Retain()
	b.Release()
	if got := budget.Counts().Reserved; got != 3 {
		t.Errorf("%d bytes while an attempt uses them", got)
	}
	b.Release()
	if got := budget.Counts(); got.Reserved != 0 || got.Peak != 3 {
		t.Errorf("%+v after the last release", got)
	}
	var none *Body
	none.Retain()
	none.Release()
	if none.Size() != 0 || none.Segments() != nil || none.String() != "" {
		t.Error("a nil body is not empty")
	}
}

func TestBodiesBeyondTheBudgetAreNotRead(t *testing.T) {
	budget := NewBudget(1 << 20)
	read := iotest.ErrReader(errors.New("read"))
	if _, err := budget.Read(read, 2<<20, 4<<20, noInterrupt); !errors.Is(err, ErrNoRoom) {
		t.Error(err)
	}
	endless := io.LimitReader(zeros{}, 2<<20)
	if _, err := budget.Read(endless, -1, 4<<20, noInterrupt); !errors.Is(err, ErrNoRoom) {
		t.Error(err)
	}
	if got := budget.Counts(); got.Refused != 2 || got.Reserved != 0 || got.Peak > got.Limit {
		t.Errorf("%+v", got)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
