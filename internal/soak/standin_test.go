package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
)

func openStore(t *testing.T) (*store, *door, *platform.Store) {
	t.Helper()
	s := newStore()
	d, err := s.open("m", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.close)
	client := platform.NewStore(d.listener.Addr().String())
	t.Cleanup(client.Close)
	return s, d, client
}

func put(t *testing.T, s *store, key string) {
	t.Helper()
	if _, err := s.put(key, "v"); err != nil {
		t.Fatal(err)
	}
}

func watch(client *platform.Store, after platform.Revision, within time.Duration) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	items, _, err := client.Watch(ctx, "", after, within/2)
	return items, err
}

func TestStoreForgetsItsHistory(t *testing.T) {
	s, _, client := openStore(t)
	put(t, s, "a")
	if items, err := watch(client, 1, time.Second); err != nil || len(items) != 1 {
		t.Fatalf("%d items, %v", len(items), err)
	}
	s.compact()
	if _, err := watch(client, 1, time.Second); err == nil {
		t.Fatal("changes that were forgotten can be watched")
	}
}

func TestStoreEndsLeases(t *testing.T) {
	s, d, client := openStore(t)
	d.rewrite = func(value []byte) []byte { return bytes.ToUpper(value) }
	ctx := context.Background()
	lease, _, err := client.GrantLease(ctx, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "a", Value: []byte("v"), Lease: lease}}}); err != nil {
		t.Fatal(err)
	}
	items, _, err := client.Range(ctx, "", time.Second)
	if err != nil || len(items) != 1 || string(items[0].Value) != "V" {
		t.Fatalf("items %v, %v", items, err)
	}
	s.pauseLeases(true, 0)
	s.sweep(time.Now().Add(time.Minute))
	if len(s.items) != 1 {
		t.Fatal("a paused lease ended")
	}
	s.pauseLeases(false, 0)
	s.sweep(time.Now().Add(time.Minute))
	if len(s.items) != 0 {
		t.Fatal("a lease did not end")
	}
}

func TestDoorFaults(t *testing.T) {
	for name, c := range map[string]struct {
		state  doorState
		fails  bool
		effect bool
	}{
		"none":    {doorState{}, false, true},
		"silent":  {doorState{fault: faultSilent}, true, false},
		"cut out": {doorState{fault: faultCutOut}, true, true},
		"busy":    {doorState{fault: faultBusy}, true, false},
		"reset":   {doorState{fault: faultReset}, true, false},
		"slow":    {doorState{fault: faultSlow, latency: 20 * time.Millisecond}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, d, client := openStore(t)
			d.set(c.state)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := client.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "a", Value: []byte("v")}}})
			if (err != nil) != c.fails {
				t.Errorf("error %v", err)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if _, ok := s.items["a"]; ok != c.effect {
				t.Errorf("the write has its effect: %t", ok)
			}
		})
	}
}

func TestMutedConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	s, d, client := openStore(t)
	put(t, s, "a")
	if _, err := watch(client, 1, time.Second); err != nil {
		t.Fatal(err)
	}
	d.mute()
	if _, err := watch(client, 1, 200*time.Millisecond); err == nil {
		t.Fatal("a muted connection answers")
	}
	if _, err := watch(client, 1, time.Second); err != nil {
		t.Fatal(err)
	}
}

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
