package sockpeek

import (
	"net"
	"testing"
	"time"
)

func TestLookTellsTheStatesApart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	if got := Peek(near); got != Idle {
		t.Errorf("open connection: %d, want %d", got, Idle)
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	await(t, near, Readable)
	var one [1]byte
	if _, err := near.Read(one[:]); err != nil || one[0] != 'x' {
		t.Errorf("the byte that was looked at reads as %q: %v", one, err)
	}
	_ = far.Close()
	await(t, near, Closed)
	a, _ := net.Pipe()
	if got := Peek(a); got != Unknown {
		t.Errorf("a pipe: %d, want %d", got, Unknown)
	}
}

// await looks until the state is seen; the bound judges no speed.
func await(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); Peek(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("state %d, want %d", Peek(c), want)
		}
	}
}
