package admission

import (
	"math/rand/v2"
	"testing"
)

// openIdle opens a connection that is idle.
func openIdle(c *Connections[int], owner int) *Connection[int] {
	conn := c.Open(owner)
	c.Idle(conn)
	return conn
}

const testDescriptors = 80 // Of which 70 are shared.

func TestLongestIdleConnectionsMakeRoom(t *testing.T) {
	c := NewConnections[int](testDescriptors)
	var all []*Connection[int]
	for i := range 68 {
		if !c.MayAccept(Use{}) || c.CloseIdle(Use{}, true) != nil {
			t.Fatalf("no room for connection %d", i)
		}
		all = append(all, openIdle(c, i))
	}
	openIdle(c, 68)
	if c.MayAccept(Use{}) {
		t.Error("the limit is exceeded")
	}
	c.Busy(all[0]) // Now needs an upstream, and is no longer idle.
	c.Busy(all[2])
	c.Idle(all[2]) // The youngest of the idle ones.
	got := c.CloseIdle(Use{}, true)
	if len(got) != 2 || got[0] != all[1] || got[1] != all[3] {
		t.Fatalf("closes %v", got)
	}
	if again := c.CloseIdle(Use{}, true); again != nil {
		t.Errorf("closes %d more while those are closing", len(again))
	}
	if c.MayAccept(Use{}) {
		t.Error("accepts before they are closed")
	}
	c.Close(got[0])
	c.Close(got[1])
	if !c.MayAccept(Use{}) {
		t.Error("does not accept after they are closed")
	}
}

func TestConnectionsOfOthersAreCounted(t *testing.T) {
	c := NewConnections[int](testDescriptors)
	for i := range 35 {
		c.Open(i)
		if got := c.Counted(Use{Others: 3}); got != 2*(i+1)+3 {
			t.Fatalf("counted %d", got)
		}
	}
	if c.MayAccept(Use{}) || c.CloseIdle(Use{}, true) != nil {
		t.Error("accepts beyond the limit, or closes connections with requests")
	}
	c = NewConnections[int](testDescriptors)
	openIdle(c, 0)
	if c.MayAccept(Use{Upstreams: 68}) || !c.MayAccept(Use{Upstreams: 60, Others: 7}) {
		t.Error("open connections to upstreams are not counted")
	}
}

func TestRequestOnClosingConnectionIsServed(t *testing.T) {
	c := NewConnections[int](testDescriptors)
	first := openIdle(c, 0)
	for i := range 68 {
		openIdle(c, i+1)
	}
	if got := c.CloseIdle(Use{}, true); len(got) != 1 || got[0] != first {
		t.Fatalf("closes %v", got)
	}
	c.Busy(first) // Its request was faster.
	if got := c.CloseIdle(Use{}, true); len(got) != 2 {
		t.Errorf("closes %d in its place and for its upstream", len(got))
	}
}

func TestNoLimit(t *testing.T) {
	c := NewConnections[int](0)
	for i := range 100_000 {
		openIdle(c, i)
	}
	if !c.MayAccept(Use{}) || c.CloseIdle(Use{}, true) != nil {
		t.Error("limited")
	}
}

// Whatever connections do, those with requests and their upstreams stay within the limit as long as
// connections are only accepted and kept as the rule allows.
func TestDescriptorsStayWithinLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := NewConnections[int](testDescriptors)
	open := map[*Connection[int]]bool{}
	pick := func(busy bool) *Connection[int] {
		for conn := range open {
			if conn.busy == busy && !conn.closing {
				return conn
			}
		}
		return nil
	}
	for step := range 100_000 {
		switch rng.IntN(4) {
		case 0:
			for _, conn := range c.CloseIdle(Use{}, true) {
				c.Close(conn)
				delete(open, conn)
			}
			if c.MayAccept(Use{}) {
				open[c.Open(step)] = true
			}
		case 1:
			if conn := pick(false); conn != nil {
				c.Busy(conn)
			}
		case 2:
			if conn := pick(true); conn != nil {
				c.Idle(conn)
			}
		case 3:
			if conn := pick(rng.IntN(2) == 0); conn != nil && rng.IntN(4) == 0 {
				c.Close(conn)
				delete(open, conn)
			}
		}
		for _, conn := range c.CloseIdle(Use{}, false) {
			if conn.busy {
				t.Fatal("closes a connection with a request")
			}
			c.Close(conn)
			delete(open, conn)
		}
		busy := 0
		for conn := range open {
			if conn.busy {
				busy++
			}
		}
		if len(open) != c.open || busy != c.busy || c.closing != 0 {
			t.Fatalf("step %d: counts %d/%d, %d/%d, %d", step, len(open), c.open, busy, c.busy, c.closing)
		}
		if need := len(open) + busy; need > c.Limit() {
			t.Fatalf("step %d: %d descriptors needed", step, need)
		}
	}
}
