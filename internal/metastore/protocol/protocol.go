// Package protocol defines the paths, headers and limits of the platform's HTTP
// protocol. Package metastore/client sends the requests and package
// metastore/standin serves them.
//
// docs/design/30-platform-protocol.md describes each call.
package protocol

import "time"

// Paths of the protocol.
const (
	PathKeys      = "/v1/kv/" // Followed by the key, path-escaped.
	PathLeases    = "/v1/leases"
	PathKeepAlive = "/keepalive" // After PathLeases and "/<lease>".
	PathList      = "/v1/list"
)

// Query parameters.
const (
	ParamWatch = "watch"  // Of GET PathKeys: the last version that the caller has read; the call waits for another.
	ParamTTL   = "ttl_ms" // Of POST PathLeases: milliseconds.
)

// Headers.
const (
	HeaderExpectedVersion = "If-Match"         // Of PUT: the expected version; 0 when the key must be absent.
	HeaderVersion         = "X-Version"        // Of responses: the key's version; 0 when the key is absent.
	HeaderLease           = "X-Lease"          // Of PUT: the lease whose expiry removes the key; of responses: the granted lease.
	HeaderKnownVersion    = "If-None-Match"    // Of GET PathList: the version that the caller has cached; the status is 304 while it is current.
	HeaderClient          = "X-Client"         // Of requests: the caller's name, under which the platform counts calls.
	HeaderError           = "X-Platform-Error" // Of error responses: one of the Error values below.
)

// Values of HeaderError.
const (
	ErrorNotFound    = "not-found"
	ErrorConflict    = "conflict"
	ErrorTooLarge    = "too-large"
	ErrorLeaseLost   = "lease-lost"
	ErrorUnavailable = "unavailable" // Nothing was read or written.
	ErrorMalformed   = "malformed"   // Nothing was read or written.
)

// MaxWatchWait bounds the time that one watch request waits. The response is then 304
// when the key has not changed.
const MaxWatchWait = 30 * time.Second

// MaxKeyBytes is the longest key.
const MaxKeyBytes = 512

// MaxListBytes is the largest encoded instance list.
const MaxListBytes = 16 << 20

// MinLeaseTTL and MaxLeaseTTL are the limits of a lease's time to live.
const (
	MinLeaseTTL = 10 * time.Millisecond
	MaxLeaseTTL = time.Hour
)
