package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

func TestRelayLosesDatagramsByRule(t *testing.T) {
	n := newNetwork(0)
	to, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = to.Close() }()
	p, err := n.open("b", netip.MustParseAddrPort("127.0.0.1:0"), to.LocalAddr().(*net.UDPAddr).AddrPort(), func(netip.Addr) string { return "a" })
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	from, err := net.DialUDP("udp4", nil, p.conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.Close() }()
	arrives := func() bool {
		if _, err := from.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = to.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := to.Read(make([]byte, 8))
		return err == nil
	}
	if !arrives() {
		t.Fatal("a datagram is lost without a fault")
	}
	end := n.add(func(from, to string) (linkFault, bool) { return linkFault{loss: 1}, from == "a" && to == "b" })
	if arrives() {
		t.Fatal("a datagram passes a cut")
	}
	end()
	if !arrives() {
		t.Fatal("a datagram is lost after a fault")
	}
}

func TestScheduleFollowsFromTheSeed(t *testing.T) {
	o := Options{Duration: 45 * time.Second}
	draw := func(seed uint64) (out []time.Duration) {
		plan, err := schedule(o, rand.New(rand.NewPCG(seed, 1)))
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range plan {
			out = append(out, s.at, time.Duration(s.seed))
		}
		return out
	}
	if !reflect.DeepEqual(draw(1), draw(1)) || reflect.DeepEqual(draw(1), draw(2)) {
		t.Fatal("the schedule does not follow from the seed")
	}
	o.Faults = []string{"none"}
	if _, err := schedule(o, rand.New(rand.NewPCG(1, 1))); err == nil {
		t.Fatal("an unknown fault is accepted")
	}
}
