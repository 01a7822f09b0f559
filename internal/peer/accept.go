package peer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/coder/websocket"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// accept accepts a link from another instance and delivers its messages.
func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(wire.MaxEnvelopeBytes)
	from, err := l.handshake(r, conn)
	if err != nil {
		l.count.refused.Add(1)
		l.cfg.Log.Warn("peer refused", "address", r.RemoteAddr, "error", err.Error())
		_ = conn.Close(websocket.StatusPolicyViolation, "refused")
		return
	}
	l.read(conn, from)
}

// read delivers messages until the link ends.
func (l *Links) read(conn *websocket.Conn, from fleet.Instance) {
	l.mu.Lock()
	ctx := l.ctx
	l.mu.Unlock()
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		l.count.received.Add(1)
		l.count.receivedBytes.Add(int64(len(data)))
		envelope, err := wire.Decode(data)
		if err != nil {
			l.count.malformed.Add(1)
			l.cfg.Log.Warn("peer message dropped", "from", from.Ref.String(), "error", err.Error())
			continue
		}
		l.receive(from.Ref, envelope)
	}
}

// handshake reads the Hello and verifies the sender's fleet and identity.
func (l *Links) handshake(r *http.Request, conn *websocket.Conn) (fleet.Instance, error) {
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return fleet.Instance{}, fmt.Errorf("read hello: %w", err)
	}
	envelope, err := wire.Decode(data)
	if err != nil {
		return fleet.Instance{}, err
	}
	var hello Hello
	if envelope.Kind != wire.KindHello {
		return fleet.Instance{}, fmt.Errorf("%w: first message has kind %d, want %d", wire.ErrMalformed, envelope.Kind, wire.KindHello)
	}
	if err := wire.DecodeBody(envelope, &hello); err != nil {
		return fleet.Instance{}, err
	}
	if hello.Fleet != l.cfg.Fleet {
		l.count.otherFleet.Add(1)
		return fleet.Instance{}, fmt.Errorf("instance %s is of fleet %q, want %q", hello.From.Ref, hello.Fleet, l.cfg.Fleet)
	}
	if err := verifyIdentity(r, hello.From); err != nil {
		return fleet.Instance{}, err
	}
	l.recordPeer(hello.From)
	return hello.From, nil
}

// verifyIdentity checks that the certificate of a TLS link names the instance in the Hello.
func verifyIdentity(r *http.Request, in fleet.Instance) error {
	if r.TLS == nil {
		return nil
	}
	name := r.TLS.PeerCertificates[0].Subject.CommonName
	if name != string(in.Ref.ID) {
		return fmt.Errorf("certificate names %q, hello names %q", name, in.Ref.ID)
	}
	return nil
}

// maxHelloPeers bounds the peers whose address is kept from their Hello.
const maxHelloPeers = 4096

func (l *Links) recordPeer(in fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.helloPeers) >= maxHelloPeers {
		clear(l.helloPeers)
	}
	l.helloPeers[in.Ref] = in
}
