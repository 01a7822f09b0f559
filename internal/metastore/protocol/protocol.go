// Package protocol holds the names of the platform's HTTP protocol, which package
// platform/client speaks and package platform/standin answers.
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
	ParamWatch = "watch"  // Of GET PathKeys: the version that the caller holds.
	ParamTTL   = "ttl_ms" // Of POST PathLeases: milliseconds.
)

// Headers.
const (
	HeaderExpectedVersion = "If-Match"         // Of PUT: the expected version; 0 when the key shall be absent.
	HeaderVersion         = "X-Version"        // Of answers: the key's version; 0 when it is absent.
	HeaderLease           = "X-Lease"          // Of PUT: the lease that removes the key; of answers: the granted lease.
	HeaderKnownVersion    = "If-None-Match"    // Of GET PathList: the version that the caller holds; 304 says that it is current.
	HeaderClient          = "X-Client"         // Of requests: the caller's name, for the platform's counts.
	HeaderError           = "X-Platform-Error" // Of answers that failed: one of the words below.
)

// Words of HeaderError.
const (
	ErrorNotFound    = "not-found"
	ErrorConflict    = "conflict"
	ErrorTooLarge    = "too-large"
	ErrorLeaseLost   = "lease-lost"
	ErrorUnavailable = "unavailable" // Nothing was read or written.
	ErrorMalformed   = "malformed"   // Nothing was read or written.
)

// MaxWatchWait bounds the time that one watch waits; 304 then says that nothing changed.
const MaxWatchWait = 30 * time.Second

// MaxKeyBytes bounds a key.
const MaxKeyBytes = 512

// MaxListBytes bounds the encoded list of instances.
const MaxListBytes = 16 << 20

// MinLeaseTTL and MaxLeaseTTL bound the time to live of a lease.
const (
	MinLeaseTTL = 10 * time.Millisecond
	MaxLeaseTTL = time.Hour
)
