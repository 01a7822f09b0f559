package load

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Bounds of Options.
const (
	MaxRate        = 1_000_000
	MaxOutstanding = 50_000
	MaxBodyBytes   = 1 << 20
)

// Options say what to send, and how fast.
type Options struct {
	Entries  []string        // Entry addresses to discover at; not with Direct.
	Direct   []string        // Upstream endpoints to send to, in turn, without the fleet.
	Service  fleet.Service   // Service to discover.
	Accounts []fleet.Account // Client accounts, in turn.
	Zone     fleet.Zone      // Of the callers.
	Method   string
	Path     string // Path and query.
	Body     int    // Bytes of the body.
	Keyed    bool   // Requests are not idempotent and carry a key.
	Unkeyed  bool   // Requests are not idempotent and carry no key.

	Rate        float64       // Requests a second.
	Duration    time.Duration // Of the measurement.
	Warmup      time.Duration // Before it; sent and not counted.
	Timeout     time.Duration // Of one request.
	Outstanding int           // Requests under way at most; beyond it they are counted as not sent.
	Seed        uint64        // Of the times.
}

// Validate returns every fault of the options.
func (o Options) Validate() error {
	var errs []error
	fault := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	fault((len(o.Entries) > 0) != (len(o.Direct) > 0), "give either entries or direct addresses")
	for _, address := range append(append([]string(nil), o.Entries...), o.Direct...) {
		_, err := netip.ParseAddrPort(address)
		fault(err == nil, "address %q is no IP number and port", address)
	}
	fault(len(o.Entries) == 0 || o.Service != "", "service must be given to discover it")
	fault(len(o.Accounts) > 0, "at least one account must be given")
	fault(o.Method != "" && validMethod(o.Method), "method %q is no HTTP method", o.Method)
	fault(len(o.Path) > 0 && o.Path[0] == '/', "path %q must start with a slash", o.Path)
	fault(o.Body >= 0 && o.Body <= MaxBodyBytes, "body of %d bytes is outside 0 to %d", o.Body, MaxBodyBytes)
	fault(!(o.Keyed && o.Unkeyed), "keyed and unkeyed exclude each other")
	fault(o.Rate > 0 && o.Rate <= MaxRate, "rate %v is outside 0 to %d requests a second", o.Rate, MaxRate)
	fault(o.Duration > 0, "duration %v must be over 0", o.Duration)
	fault(o.Warmup >= 0, "warm-up %v must not be negative", o.Warmup)
	fault(o.Timeout > 0, "timeout %v must be over 0", o.Timeout)
	fault(o.Outstanding > 0 && o.Outstanding <= MaxOutstanding, "outstanding %d is outside 1 to %d", o.Outstanding, MaxOutstanding)
	return errors.Join(errs...)
}

func validMethod(method string) bool {
	_, err := http.NewRequest(method, "http://192.0.2.1/", nil)
	return err == nil
}
