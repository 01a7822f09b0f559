package soak

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts the ends of pipes.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }

func TestLinkHoldsBytesBackWhileItIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener{conns: make(chan net.Conn, 2)}
		n := newLink(l)
		connect := func() (instance, upstream net.Conn) {
			a, b := net.Pipe()
			l.conns <- b
			c, err := n.Accept()
			if err != nil {
				t.Fatal(err)
			}
			return a, c
		}
		arrives := func(from, to net.Conn) bool {
			got := make(chan error, 1)
			go func() { _, err := io.ReadFull(to, make([]byte, 1)); got <- err }()
			go func() { _, _ = from.Write([]byte("x")) }()
			select {
			case err := <-got:
				return err == nil
			case <-time.After(time.Minute):
				return false
			}
		}
		instance, upstream := connect()
		if !arrives(instance, upstream) || !arrives(upstream, instance) {
			t.Fatal("a whole link loses bytes")
		}
		n.set(linkState{cutOut: true})
		if !arrives(instance, upstream) || arrives(upstream, instance) {
			t.Error("a link that is cut one way does not pass the other, or both")
		}
		n.set(linkState{delay: time.Second})
		began := time.Now()
		if instance, upstream := connect(); !arrives(upstream, instance) || time.Since(began) < time.Second {
			t.Error("a slow link is not slow")
		}
		n.set(linkState{})
		n.mute()
		if arrives(instance, upstream) {
			t.Error("a connection that is mute passes bytes")
		}
		newInstance, newUpstream := connect()
		if !arrives(newInstance, newUpstream) {
			t.Error("a connection made after a mute is mute")
		}
		for _, c := range []net.Conn{instance, upstream, newInstance, newUpstream} {
			_ = c.Close()
		}
	})
}
