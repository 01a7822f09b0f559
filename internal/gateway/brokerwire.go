package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// question asks a service's broker for an endpoint. Times are milliseconds, shares parts of
// a thousand.
type placementRequest struct {
	_             struct{} `cbor:",toarray"`
	From          dispatch.PeerID
	Seq           uint64 // Of the asker; it names the grant.
	Hops          uint8
	HomeBroker    dispatch.PeerID // Broker of the asker's zone, to which a question that was passed on comes back.
	Service       string
	Flags         uint8
	CrossZoneCost int
	BestScore     int // Worth of the best endpoint at home.
	Objective     int // Left; negative once it has passed.
	Deadline      int // Left.
	Tried         []dispatch.EndpointID
}

// Flags of a question.
const (
	flagIdempotent = 1 << iota
	flagRetry
	flagHedge
)

// Hops of a question.
const (
	hopLocal    = iota // To the broker of the asker's zone.
	hopRemote          // Passed on to another zone's broker.
	hopReturned        // Back home: nothing better was found.
)

// reply answers a question: an endpoint, or why none.
type placementReply struct {
	_               struct{} `cbor:",toarray"`
	Broker          dispatch.PeerID
	To              dispatch.PeerID // The asker's life: one that has restarted counts its questions anew.
	Seq             uint64
	Reason          dispatch.Reason // 0 where there is an endpoint.
	Endpoint        dispatch.EndpointID
	Chance          int
	InFlight        int
	BaselineLatency int
	RetryAfter      int
	ExpectedLatency int
}

// ending tells a broker what became of a grant.
type grantEnd struct {
	_             struct{} `cbor:",toarray"`
	From          dispatch.PeerID
	Seq           uint64
	Kind          dispatch.EventKind
	LatencyMillis int
}

// roll is what a keeper tells of who is there.
type livenessReport struct {
	_            struct{} `cbor:",toarray"`
	From         dispatch.PeerID
	Revision     platform.Revision
	Following    bool
	StoreFailing bool
	Leaving      bool
	Silent       []dispatch.PeerID // Instances that are silent or leaving.
	Followers    []dispatch.PeerID // Other instances of the zone that follow the store.
	SilentZones  []string          // Zones of which nobody is heard.
}

const (
	perMille = 1000
	// triedMost bounds the endpoints that a question excludes.
	maxTried = 24
	// silentMost keeps a roll within a datagram: an instance takes at most 9 bytes.
	maxReportedSilent = 120
)

func toPerMille(x float64) int {
	return int(math.Round(x * perMille))
}

func fromPerMille(n int) float64 {
	return float64(n) / perMille
}

// questionOf returns the question for a request.
func newPlacementRequest(from dispatch.PeerID, seq uint64, now time.Time, req dispatch.Request) placementRequest {
	msg := placementRequest{
		From: from, Seq: seq, Service: req.Service, CrossZoneCost: toPerMille(req.CrossZoneCost),
		Objective: int(req.Objective.Sub(now).Milliseconds()), Deadline: int(req.Deadline.Sub(now).Milliseconds()),
		Tried: req.Tried[:min(len(req.Tried), maxTried)],
	}
	for flag, set := range map[uint8]bool{flagIdempotent: req.Idempotent, flagRetry: req.Retry, flagHedge: req.Hedge} {
		if set {
			msg.Flags |= flag
		}
	}
	return msg
}

// ask returns the request that a question is about.
func (msg *placementRequest) request(now time.Time) dispatch.Request {
	return dispatch.Request{
		Service: msg.Service, Idempotent: msg.Flags&flagIdempotent != 0, Retry: msg.Flags&flagRetry != 0, Hedge: msg.Flags&flagHedge != 0,
		Objective: now.Add(time.Duration(msg.Objective) * time.Millisecond), Deadline: now.Add(time.Duration(msg.Deadline) * time.Millisecond),
		Tried: msg.Tried, CrossZoneCost: fromPerMille(msg.CrossZoneCost),
	}
}

// encodeKind encodes a message into a datagram of a kind.
func encodeKind(kind byte, m any) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a message of kind %d: %w", kind, err)
	}
	return append([]byte{kind}, body...), nil
}

// decodeKind decodes a datagram, without its first byte.
func decodeKind[T any](body []byte) (T, error) {
	var m T
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, fmt.Errorf("%w of %d bytes: %w", errDatagram, len(body), err)
	}
	return m, nil
}
