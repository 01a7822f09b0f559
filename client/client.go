package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/httpanswer"
)

// Defaults of Options.
const (
	DefaultAttempts = 3
	connectTimeout  = time.Second
	idleTimeout     = 90 * time.Second
	idlePerEntry    = 64
)

// Errors of a Client.
var (
	// ErrNoEntry means that no entry answered discovery.
	ErrNoEntry = errors.New("no entry answered discovery")
	// ErrNoAnswer means that no complete answer was received. It is wrapped by NoAnswerError.
	ErrNoAnswer = errors.New("no complete answer")
)

// NoAnswerError means that no complete answer was received. It says whether the request may have run.
type NoAnswerError struct {
	Execution string // ExecutionNotRun or ExecutionUnknown.
	Key       string // The request's idempotency key, for Client.Outcome; empty without one.
	Cause     error
}

// Error returns the execution and the error of the last attempt.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("%v (%s): %v", ErrNoAnswer, e.Execution, e.Cause)
}

// Unwrap returns ErrNoAnswer and the cause.
func (e *NoAnswerError) Unwrap() []error {
	return []error{ErrNoAnswer, e.Cause}
}

// Options are the parameters of a Client.
type Options struct {
	Entries  []string         // Some entries of the fleet, each an IP address and port, for the first discovery.
	Account  fleet.Account    // The client account.
	Zone     fleet.Zone       // Nearest availability zone; may be empty.
	Attempts int              // Maximum number of attempts of one request; 0 for DefaultAttempts.
	HTTP     *http.Client     // May be shared between clients; nil for a new one. It must not follow redirects.
	Now      func() time.Time // Nil for time.Now.
	Random   *rand.Rand       // For the unique parts of keys and the order of Entries; nil for a random seed.
}

// Client sends requests of one client account to the fleet. It is safe for concurrent use.
type Client struct {
	entries  []string
	account  fleet.Account
	zone     fleet.Zone
	attempts int
	http     *http.Client
	now      func() time.Time

	mu     sync.Mutex
	random *rand.Rand
	cache  map[fleet.Service]*cacheEntry
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, fmt.Errorf("client of account %q has no entries for discovery", o.Account)
	}
	for _, entry := range o.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return nil, fmt.Errorf("entry %q is not an IP address and port: %w", entry, err)
		}
	}
	if o.Attempts <= 0 {
		o.Attempts = DefaultAttempts
	}
	if o.HTTP == nil {
		o.HTTP = NewHTTP()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Client{
		entries:  append([]string(nil), o.Entries...),
		account:  o.Account,
		zone:     o.Zone,
		attempts: o.Attempts,
		http:     o.HTTP,
		now:      o.Now,
		random:   o.Random,
		cache:    make(map[fleet.Service]*cacheEntry),
	}, nil
}

// NewHTTP returns an HTTP client for Options.HTTP.
func NewHTTP() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerEntry,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: httpanswer.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
