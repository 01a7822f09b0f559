package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// placementRequest requests an endpoint from a service's broker. Times are in milliseconds, shares
// and scores in thousandths.
type placementRequest struct {
	_             struct{} `cbor:",toarray"`
	From          dispatch.PeerID
	Seq           uint64 // Sequence number at the requester; it identifies the grant.
	Hops          uint8
	HomeBroker    dispatch.PeerID // Broker of the requester's zone, to which a forwarded request is returned.
	Service       string
	Flags         uint8
	CrossZoneCost int
	BestScore     int // Score of the best endpoint of the requester's zone.
	Objective     int // Time left; negative once it has passed.
	Deadline      int // Time left.
	Tried         []dispatch.EndpointID
}

// Flags of a placementRequest.
const (
	flagIdempotent = 1 << iota
	flagRetry
	flagHedge
	flagLastAttempt
	flagWaiting

	// priorityShift and maxPriority place the priority of a request in the upper bits of the flags.
	priorityShift = 5
	maxPriority   = 1<<(8-priorityShift) - 1
)

// Hops of a placementRequest.
const (
	hopLocal    = iota // To the broker of the requester's zone.
	hopRemote          // Forwarded to another zone's broker.
	hopReturned        // Returned to the home broker: the other zone had no better endpoint.
)

// placementReply is a broker's reply: an endpoint, or why there is none.
type placementReply struct {
	_               struct{} `cbor:",toarray"`
	Broker          dispatch.PeerID
	To              dispatch.PeerID // Incarnation of the requester: a restart also restarts the sequence numbers.
	Seq             uint64
	Reason          dispatch.Reason // 0 if there is an endpoint.
	Endpoint        dispatch.EndpointID
	HasLimit        bool // The endpoint has a limit of its requests a second.
	Limited         int  // Endpoints whose limits leave no room, if there is no endpoint.
	Wait            int  // How long the request may wait for room, if there is no endpoint.
	Chance          int
	InFlight        int
	BaselineLatency int
	RetryAfter      int
	ExpectedLatency int
}

// grantEnd reports to a broker how a granted request ended, that it is overdue, or what its endpoint has announced.
type grantEnd struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	Seq   uint64
	Kind  dispatch.EventKind
	Value int // As in a dispatch.Event.
}

// limitReport reports the requests a second that the endpoint of a grant takes from all instances.
func limitReport(from dispatch.PeerID, seq uint64, rate float64) grantEnd {
	return grantEnd{From: from, Seq: seq, Kind: dispatch.LimitInForce, Value: toPerMille(rate)}
}

// livenessReport is a coordinator's report of silent instances and of followers of the store.
type livenessReport struct {
	_            struct{} `cbor:",toarray"`
	From         dispatch.PeerID
	Revision     platform.Revision
	Following    bool
	StoreFailing bool
	Leaving      bool
	Config       platform.ConfigVersion
	Silent       []dispatch.PeerID // Instances that are silent or leaving.
	Followers    []dispatch.PeerID // Other instances of the zone that follow the store.
	SilentZones  []string          // Zones in which every instance is silent.
}

const (
	perMille = 1000
	// maxTried bounds the endpoints that a placementRequest excludes; the requester checks the others.
	maxTried = 24
	// maxReportedSilent keeps a livenessReport within a datagram: an instance takes at most 9 bytes.
	maxReportedSilent = 120
)

func toPerMille(x float64) int {
	return int(math.Round(x * perMille))
}

func fromPerMille(n int) float64 {
	return float64(n) / perMille
}

// newPlacementRequest returns the message for a request.
func newPlacementRequest(from dispatch.PeerID, seq uint64, now time.Time, req dispatch.Request) placementRequest {
	msg := placementRequest{
		From: from, Seq: seq, Service: req.Service, CrossZoneCost: toPerMille(req.CrossZoneCost),
		Objective: int(req.Objective.Sub(now).Milliseconds()), Deadline: int(req.Deadline.Sub(now).Milliseconds()),
		Tried: req.Tried[:min(len(req.Tried), maxTried)],
	}
	for flag, set := range map[uint8]bool{flagIdempotent: req.Idempotent, flagRetry: req.Retry, flagHedge: req.Hedge, flagLastAttempt: req.LastAttempt, flagWaiting: req.Waiting} {
		if set {
			msg.Flags |= flag
		}
	}
	msg.Flags |= uint8(min(max(req.Priority, 0), maxPriority)) << priorityShift
	return msg
}

// request returns the request that is to be placed.
func (msg *placementRequest) request(now time.Time) dispatch.Request {
	return dispatch.Request{
		Service: msg.Service, Idempotent: msg.Flags&flagIdempotent != 0, Retry: msg.Flags&flagRetry != 0, Hedge: msg.Flags&flagHedge != 0, LastAttempt: msg.Flags&flagLastAttempt != 0,
		Waiting: msg.Flags&flagWaiting != 0, Priority: int(msg.Flags >> priorityShift),
		Objective: now.Add(time.Duration(msg.Objective) * time.Millisecond), Deadline: now.Add(time.Duration(msg.Deadline) * time.Millisecond),
		Tried: msg.Tried, CrossZoneCost: fromPerMille(msg.CrossZoneCost),
	}
}

// encodeKind encodes a message into a datagram: its kind as the first byte, then CBOR.
func encodeKind(kind byte, m any) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a datagram of kind %d: %w", kind, err)
	}
	return append([]byte{kind}, body...), nil
}

// decodeKind decodes a datagram that is given without its first byte.
func decodeKind[T any](body []byte) (T, error) {
	var m T
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, fmt.Errorf("%w of %d bytes: %w", errDatagram, len(body), err)
	}
	return m, nil
}
