// Package relay passes a caller's request from one instance to another over the peer links.
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
	// ErrUnreachable says that there is no link to the instance; the request did not leave.
	ErrUnreachable = errors.New("instance unreachable")
	// ErrNoReply says that the request left and no reply came in time.
	ErrNoReply = errors.New("no reply from instance")
)

// Call is a request passed to another instance.
type Call struct {
	ID      uint64           `cbor:"1,keyasint"` // Unique among the calls of the sending life.
	Role    claim.Role       `cbor:"2,keyasint"` // Part that the receiver shall play for a keyed request.
	Request exchange.Request `cbor:"3,keyasint"`
}

// Reply is the answer to a Call.
type Reply struct {
	ID     uint64          `cbor:"1,keyasint"`
	Answer exchange.Answer `cbor:"2,keyasint"`
}

// Caller passes requests to other instances.
type Caller interface {
	// Call sends a request to one life of an instance and waits for its answer until ctx ends.
	Call(ctx context.Context, to fleet.Ref, role claim.Role, r exchange.Request) (exchange.Answer, error)
	// Reachable reports whether a link to the instance is up, without sending.
	Reachable(to fleet.Ref) bool
}

// Handler runs a request that another instance passed on. It must return an answer before ctx ends.
type Handler interface {
	HandleRelayed(ctx context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer
}
