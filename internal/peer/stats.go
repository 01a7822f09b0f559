package peer

import "expvar"

// counters are the counters behind Stats.
type counters struct {
	sent, sentBytes, dropped, received, receivedBytes expvar.Int
	refused, malformed, otherFleet, dialFailed        expvar.Int
	forwarded                                         expvar.Int
}

// Stats are the counters of the links since they were created.
type Stats struct {
	Sent          int64 `json:"sent"`
	SentBytes     int64 `json:"sent_bytes"`
	Received      int64 `json:"received"`
	ReceivedBytes int64 `json:"received_bytes"`
	Dropped       int64 `json:"dropped"`
	Refused       int64 `json:"refused"`
	Malformed     int64 `json:"malformed"`
	OtherFleet    int64 `json:"other_fleet"`
	DialFailed    int64 `json:"dial_failed"`
	Forwarded     int64 `json:"forwarded"` // Messages forwarded for other instances.
	Links         int   `json:"links"`
}

// Stats returns the current counters.
func (l *Links) Stats() Stats {
	l.mu.Lock()
	links := len(l.outgoing)
	l.mu.Unlock()
	return Stats{
		Sent:          l.count.sent.Value(),
		SentBytes:     l.count.sentBytes.Value(),
		Received:      l.count.received.Value(),
		ReceivedBytes: l.count.receivedBytes.Value(),
		Dropped:       l.count.dropped.Value(),
		Refused:       l.count.refused.Value(),
		Malformed:     l.count.malformed.Value(),
		OtherFleet:    l.count.otherFleet.Value(),
		DialFailed:    l.count.dialFailed.Value(),
		Forwarded:     l.count.forwarded.Value(),
		Links:         links,
	}
}
