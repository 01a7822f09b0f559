package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// testMessage is the body of the messages in tests.
type testMessage struct {
	Number int `cbor:"1,keyasint"`
}

// registry resolves the instances of a test.
type registry struct {
	mu   sync.Mutex
	byID map[fleet.Ref]fleet.Instance
}

func (r *registry) resolve(ref fleet.Ref) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in, ok := r.byID[ref]
	return in, ok
}

func (r *registry) add(in fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[in.Ref] = in
}

// failingListener fails once, as a machine without memory for another socket does.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// startLinks runs the links of an instance until the test ends. The channel receives the
// senders of delivered messages.
func startLinks(t *testing.T, b *registry, id fleet.InstanceID, change func(*Config)) (*Links, chan fleet.Ref) {
	t.Helper()
	received := make(chan fleet.Ref, 100)
	ref := fleet.Ref{ID: id, Incarnation: 1}
	cfg := Config{
		Self:    fleet.Instance{Ref: ref, Zone: "z1"},
		Fleet:   "test",
		Listen:  "127.0.0.1:0",
		Resolve: b.resolve,
		Deliver: func(from fleet.Ref, _ wire.Envelope) { received <- from },
		Log:     slog.New(slog.DiscardHandler),
	}
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.listener = &failingListener{Listener: l.listener}
	b.add(fleet.Instance{Ref: ref, Zone: "z1", PeerAddr: l.Addr()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	for l.TrySend(ref, wire.KindMembership, testMessage{}) == false {
		time.Sleep(time.Millisecond)
	}
	<-received
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l, received
}

func TestMessagesArriveWithSender(t *testing.T) {
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	a, _ := startLinks(t, b, "a", nil)
	other, received := startLinks(t, b, "b", nil)
	a.Send(other.cfg.Self.Ref, wire.KindClaim, testMessage{Number: 1})
	if from := <-received; from != a.cfg.Self.Ref {
		t.Fatalf("message from %s, want %s", from, a.cfg.Self.Ref)
	}
}

func TestPeerOfAnotherFleetIsRejectedAndCounted(t *testing.T) {
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	foreign, _ := startLinks(t, b, "a", func(c *Config) { c.Fleet = "other" })
	other, received := startLinks(t, b, "b", nil)
	for other.Stats().OtherFleet == 0 {
		foreign.Send(other.cfg.Self.Ref, wire.KindClaim, testMessage{})
		time.Sleep(time.Millisecond)
	}
	if len(received) != 0 {
		t.Fatal("a message of another fleet was delivered")
	}
}

func TestMalformedMessageIsCountedAndLinkStaysOpen(t *testing.T) {
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	a, _ := startLinks(t, b, "a", nil)
	other, received := startLinks(t, b, "b", nil)
	to := other.cfg.Self.Ref
	a.mu.Lock()
	k := a.linkTo(to)
	k.queue.push(item{kind: wire.KindClaim, data: []byte{0xff, 0x00}})
	a.mu.Unlock()
	a.Send(to, wire.KindClaim, testMessage{Number: 2})
	<-received
	if got := other.Stats().Malformed; got != 1 {
		t.Fatalf("malformed messages counted: %d, want 1", got)
	}
}

func TestBlockedDirectionDropsMessagesAndReverseDirectionWorks(t *testing.T) {
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	blocked := fleet.Ref{ID: "b", Incarnation: 1}
	a, receivedByA := startLinks(t, b, "a", func(c *Config) {
		c.LinkBlocked = func(to fleet.Ref) bool { return to == blocked }
	})
	other, received := startLinks(t, b, "b", nil)
	a.Send(blocked, wire.KindClaim, testMessage{})
	other.Send(a.cfg.Self.Ref, wire.KindClaim, testMessage{})
	<-receivedByA
	for !a.Failing(blocked) {
		time.Sleep(time.Millisecond)
	}
	if len(received) != 0 {
		t.Fatal("a message was delivered over a blocked link")
	}
}

func TestPlaintextOutsideLoopbackIsRejected(t *testing.T) {
	_, err := New(Config{Listen: "192.0.2.1:0", Fleet: "test"})
	if !errors.Is(err, ErrPlaintext) {
		t.Fatalf("got %v, want %v", err, ErrPlaintext)
	}
}

func TestQueueDropsOldestStateAndKeepsRequests(t *testing.T) {
	q := newQueue()
	for i := range maxQueuedState + 3 {
		q.push(item{kind: wire.KindEvidence, data: []byte{byte(i)}})
		q.push(item{kind: wire.KindClaim, data: []byte{byte(i)}})
	}
	var evidence, claims []byte
	for it, ok := q.pop(); ok; it, ok = q.pop() {
		if it.kind == wire.KindEvidence {
			evidence = append(evidence, it.data[0])
		} else {
			claims = append(claims, it.data[0])
		}
	}
	if len(evidence) != maxQueuedState || evidence[0] != 3 {
		t.Errorf("queued evidence: %v, want the newest %d", evidence, maxQueuedState)
	}
	if len(claims) != maxQueuedState+3 {
		t.Errorf("queued claims: %d, want %d", len(claims), maxQueuedState+3)
	}
}

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{certificate: certificate, key: key, dir: t.TempDir()}
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, block string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (a *authority) files(t *testing.T, name string) *TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return &TLSFiles{
		Certificate: a.write(t, name+".pem", "CERTIFICATE", der),
		Key:         a.write(t, name+".key", "PRIVATE KEY", private),
		Authority:   filepath.Join(a.dir, "ca.pem"),
	}
}

func TestMutualTLSAcceptsValidPeer(t *testing.T) {
	ca := newAuthority(t)
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	a, _ := startLinks(t, b, "a", func(c *Config) { c.TLS = ca.files(t, "a") })
	other, received := startLinks(t, b, "b", func(c *Config) { c.TLS = ca.files(t, "b") })
	a.Send(other.cfg.Self.Ref, wire.KindClaim, testMessage{})
	if from := <-received; from != a.cfg.Self.Ref {
		t.Fatalf("message from %s, want %s", from, a.cfg.Self.Ref)
	}
}

func TestMutualTLSRejectsCertificateOfAnotherInstance(t *testing.T) {
	ca := newAuthority(t)
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	good, received := startLinks(t, b, "b", func(c *Config) { c.TLS = ca.files(t, "b") })
	impostor, err := New(Config{
		Self: fleet.Instance{Ref: fleet.Ref{ID: "a", Incarnation: 1}}, Fleet: "test", Listen: "127.0.0.1:0",
		TLS: ca.files(t, "mallory"), Resolve: b.resolve, Log: slog.New(slog.DiscardHandler),
		Deliver: func(fleet.Ref, wire.Envelope) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- impostor.Run(ctx) }()
	for good.Stats().Refused == 0 {
		impostor.Send(good.cfg.Self.Ref, wire.KindClaim, testMessage{})
		time.Sleep(time.Millisecond)
	}
	if len(received) != 0 {
		t.Fatal("a message of an instance with a wrong certificate was delivered")
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestMessagesAreForwardedWhileDirectLinkFails(t *testing.T) {
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	third := fleet.Ref{ID: "c", Incarnation: 1}
	blocked := fleet.Ref{ID: "b", Incarnation: 1}
	forwarder, receivedByForwarder := startLinks(t, b, "c", nil)
	_, received := startLinks(t, b, "b", nil)
	a, _ := startLinks(t, b, "a", func(c *Config) {
		c.LinkBlocked = func(to fleet.Ref) bool { return to == blocked }
		c.Forwarders = func(fleet.Ref) []fleet.Ref { return []fleet.Ref{third} }
	})
	a.Send(blocked, wire.KindMembership, testMessage{})
	for !a.Failing(blocked) {
		time.Sleep(time.Millisecond)
	}
	if a.Unreachable(blocked) {
		t.Fatal("an instance reachable by a forwarder is reported unreachable")
	}
	a.Send(blocked, wire.KindClaim, testMessage{Number: 1})
	if from := <-received; from != a.cfg.Self.Ref {
		t.Fatalf("forwarded message from %s, want %s", from, a.cfg.Self.Ref)
	}
	if len(receivedByForwarder) != 0 || forwarder.Stats().Forwarded != 1 {
		t.Fatalf("forwarder delivered %d and forwarded %d, want 0 and 1", len(receivedByForwarder), forwarder.Stats().Forwarded)
	}
	a.Send(blocked, wire.KindMembership, testMessage{})
	a.Send(third, wire.KindClaim, testMessage{})
	<-receivedByForwarder
	if len(received) != 0 {
		t.Fatal("a heartbeat was forwarded by a third instance")
	}
}

func TestForwardedMessageWithForgedSenderIsDropped(t *testing.T) {
	b := &registry{byID: map[fleet.Ref]fleet.Instance{}}
	forwarder, _ := startLinks(t, b, "c", nil)
	victim, received := startLinks(t, b, "b", nil)
	a, _ := startLinks(t, b, "a", nil)
	inner, err := wire.Encode(wire.KindClaim, testMessage{})
	if err != nil {
		t.Fatal(err)
	}
	forged := Forward{From: fleet.Ref{ID: "d", Incarnation: 1}, To: victim.cfg.Self.Ref, Envelope: inner}
	a.Send(forwarder.cfg.Self.Ref, wire.KindForward, forged)
	for forwarder.Stats().Dropped == 0 {
		time.Sleep(time.Millisecond)
	}
	if len(received) != 0 || forwarder.Stats().Forwarded != 0 {
		t.Fatal("a message with a forged sender was forwarded")
	}
}
