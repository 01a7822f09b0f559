package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is what happens to the datagrams between two machines.
type linkFault struct {
	loss  float64 // Share of the datagrams that is lost.
	delay time.Duration
}

// network relays the datagrams between the instances through a socket per instance. The store's doors
// replace the address that an instance registers by that of its socket.
type network struct {
	mu    sync.Mutex
	loss  float64                                         // Between all machines, without a fault.
	rules map[int]func(from, to string) (linkFault, bool) // By number of the fault.
	last  int

	mark   keyMark
	leaked func(from, to string) // Called when a datagram holds a key; nil for never.
}

func newNetwork(loss float64) *network {
	return &network{loss: loss, rules: map[int]func(from, to string) (linkFault, bool){}}
}

// add starts a fault; the returned function ends it.
func (n *network) add(rule func(from, to string) (linkFault, bool)) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	id := n.last
	n.rules[id] = rule
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.rules, id)
	}
}

func (n *network) between(from, to string) linkFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := linkFault{loss: n.loss}
	for _, rule := range n.rules {
		if f, ok := rule(from, to); ok {
			total.loss, total.delay = max(total.loss, f.loss), max(total.delay, f.delay)
		}
	}
	return total
}

// datagramProxy is the socket by which the others reach one instance.
type datagramProxy struct {
	conn *net.UDPConn
}

// open relays datagrams that arrive at addr to the instance's own address. name returns the machine
// of a sender's address.
func (n *network) open(machine string, addr, to netip.AddrPort, name func(netip.Addr) string) (*datagramProxy, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("relay datagrams to %s: %w", machine, err)
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			size, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			sender := name(from.Addr().Unmap())
			if n.mark.in(buffer[:size]) {
				n.leaked(sender, machine)
			}
			f := n.between(sender, machine)
			switch {
			case rand.Float64() < f.loss:
			case f.delay > 0:
				data := bytes.Clone(buffer[:size])
				time.AfterFunc(f.delay, func() { _, _ = conn.WriteToUDPAddrPort(data, to) })
			default:
				_, _ = conn.WriteToUDPAddrPort(buffer[:size], to)
			}
		}
	}()
	return &datagramProxy{conn}, nil
}

func (p *datagramProxy) close() { _ = p.conn.Close() }

// replaceAddr replaces the binary form of an address in a registration.
func replaceAddr(value []byte, old, by netip.AddrPort) []byte {
	a, errA := old.MarshalBinary()
	b, errB := by.MarshalBinary()
	if errA != nil || errB != nil {
		return value
	}
	return bytes.ReplaceAll(value, a, b)
}
