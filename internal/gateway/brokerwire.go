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
type question struct {
	_         struct{} `cbor:",toarray"`
	From      dispatch.PeerID
	Seq       uint64 // Of the asker; it names the grant.
	Hops      uint8
	Home      dispatch.PeerID // Broker of the asker's zone, to which a question that was passed on comes back.
	Service   string
	Flags     uint8
	Crossing  int
	Best      int // Worth of the best endpoint at home.
	Objective int // Left; negative once it has passed.
	Deadline  int // Left.
	Tried     []dispatch.EndpointID
}

// Flags of a question.
const (
	flagIdempotent = 1 << iota
	flagRepeat
	flagHedge
)

// Hops of a question.
const (
	hopHome  = iota // To the broker of the asker's zone.
	hopAway         // Passed on to another zone's broker.
	hopAgain        // Back home: nothing better was found.
)

// reply answers a question: an endpoint, or why none.
type reply struct {
	_          struct{} `cbor:",toarray"`
	Broker     dispatch.PeerID
	To         dispatch.PeerID // The asker's life: one that has restarted counts its questions anew.
	Seq        uint64
	Reason     dispatch.Reason // 0 where there is an endpoint.
	Endpoint   dispatch.EndpointID
	Chance     int
	InFlight   int
	Usual      int
	RetryAfter int
	Expected   int
}

// ending tells a broker what became of a grant.
type ending struct {
	_    struct{} `cbor:",toarray"`
	From dispatch.PeerID
	Seq  uint64
	Kind dispatch.EventKind
	Took int
}

// roll is what a keeper tells of who is there.
type roll struct {
	_         struct{} `cbor:",toarray"`
	From      dispatch.PeerID
	Revision  platform.Revision
	Following bool
	Troubled  bool
	Leaving   bool
	Silent    []dispatch.PeerID // Instances that are silent or leaving.
	Followers []dispatch.PeerID // Other instances of the zone that follow the store.
	Dark      []string          // Zones of which nobody is heard.
}

const (
	perMille = 1000
	// triedMost bounds the endpoints that a question excludes.
	triedMost = 24
	// silentMost keeps a roll within a datagram: an instance takes at most 9 bytes.
	silentMost = 120
)

func toPerMille(x float64) int {
	return int(math.Round(x * perMille))
}

func fromPerMille(n int) float64 {
	return float64(n) / perMille
}

// questionOf returns the question for a request.
func questionOf(from dispatch.PeerID, seq uint64, now time.Time, a dispatch.Request) question {
	q := question{
		From: from, Seq: seq, Service: a.Service, Crossing: toPerMille(a.CrossZoneCost),
		Objective: int(a.Objective.Sub(now).Milliseconds()), Deadline: int(a.Deadline.Sub(now).Milliseconds()),
		Tried: a.Tried[:min(len(a.Tried), triedMost)],
	}
	for flag, set := range map[uint8]bool{flagIdempotent: a.Idempotent, flagRepeat: a.Retry, flagHedge: a.Hedge} {
		if set {
			q.Flags |= flag
		}
	}
	return q
}

// ask returns the request that a question is about.
func (q *question) ask(now time.Time) dispatch.Request {
	return dispatch.Request{
		Service: q.Service, Idempotent: q.Flags&flagIdempotent != 0, Retry: q.Flags&flagRepeat != 0, Hedge: q.Flags&flagHedge != 0,
		Objective: now.Add(time.Duration(q.Objective) * time.Millisecond), Deadline: now.Add(time.Duration(q.Deadline) * time.Millisecond),
		Tried: q.Tried, CrossZoneCost: fromPerMille(q.Crossing),
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
