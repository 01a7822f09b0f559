// Package relay forwards a caller's request from one instance to another over the peer links.
package relay

import (
	"context"
	"errors"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// Errors of Caller.Call.
var (
	// ErrUnreachable means that the request was not sent, because there is no working link to the
	// instance or the request could not be queued.
	ErrUnreachable = errors.New("instance unreachable")
	// ErrNoReply means that the request was sent and no reply arrived in time.
	ErrNoReply = errors.New("no reply from instance")
)

// Call is the message that relays a request.
type Call struct {
	ID      uint64           `cbor:"1,keyasint"` // Unique among the calls of the sender's incarnation.
	Role    claim.Role       `cbor:"2,keyasint"` // Role of the receiver for a keyed request.
	Request exchange.Request `cbor:"3,keyasint"`
}

// Reply is the message that answers a Call.
type Reply struct {
	ID     uint64          `cbor:"1,keyasint"`
	Answer exchange.Answer `cbor:"2,keyasint"`
}

// Caller relays requests to other instances.
type Caller interface {
	// Call sends a request to one incarnation of an instance and waits for its answer until ctx
	// ends. It returns ErrUnreachable or ErrNoReply.
	Call(ctx context.Context, to fleet.Ref, role claim.Role, r exchange.Request) (exchange.Answer, error)
	// Reachable reports whether a link to the instance is up, without sending.
	Reachable(to fleet.Ref) bool
}

// Handler runs a request that another instance relayed. It must return an answer before ctx ends.
type Handler interface {
	HandleRelayed(ctx context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer
}
