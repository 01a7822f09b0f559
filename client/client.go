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
	// ErrNoEntry says that no entry answered discovery.
	ErrNoEntry = errors.New("no entry answered discovery")
	// ErrNoAnswer says that no whole answer came back. NoAnswerError holds what may be concluded.
	ErrNoAnswer = errors.New("no whole answer")
)

// NoAnswerError says that no whole answer came back, and whether the request may have run.
type NoAnswerError struct {
	Execution string // ExecutionNotRun or ExecutionUnknown.
	Key       string // The request's idempotency key, with which Client.Outcome may be asked; empty without one.
	Cause     error
}

// Error describes the last attempt.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("%v (%s): %v", ErrNoAnswer, e.Execution, e.Cause)
}

// Unwrap returns ErrNoAnswer and the cause.
func (e *NoAnswerError) Unwrap() []error {
	return []error{ErrNoAnswer, e.Cause}
}

// Options are the parameters of a Client.
type Options struct {
	Entries  []string         // Some entries of the fleet, as IP number and port, to ask first.
	Account  fleet.Account    // The client account.
	Zone     fleet.Zone       // Nearest availability zone; may be empty.
	Attempts int              // Entries tried for one request; 0 for DefaultAttempts.
	HTTP     *http.Client     // Shared between clients; nil for one of its own. It must not follow redirects.
	Now      func() time.Time // Nil for time.Now.
	Random   *rand.Rand       // For the unique parts of keys and the choice among entries; nil for a seed of the system.
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
		return nil, fmt.Errorf("client of account %q has no entry to ask", o.Account)
	}
	for _, entry := range o.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return nil, fmt.Errorf("entry %q is no IP number and port: %w", entry, err)
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

// NewHTTP returns an HTTP client that suits Options.HTTP.
func NewHTTP() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerEntry,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
