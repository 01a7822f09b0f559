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

// Options configures a run.
type Options struct {
	Entries  []string        // Addresses of entries for discovery; excludes Direct.
	Direct   []string        // Upstream endpoints to send to in turn, bypassing the fleet.
	Service  fleet.Service   // Service to discover.
	Accounts []fleet.Account // Client accounts, used in turn.
	Zone     fleet.Zone      // Of the callers.
	Method   string
	Path     string // Path and query.
	Body     int    // Bytes of the body.
	Keyed    bool   // Requests are not idempotent and carry a key.
	Unkeyed  bool   // Requests are not idempotent and carry no key.

	Rate        float64       // Requests per second.
	Duration    time.Duration // Of the measurement.
	Warmup      time.Duration // Before the measurement: requests are sent but not counted.
	Timeout     time.Duration // Per request.
	Outstanding int           // Maximum concurrent requests; any more are counted as not sent.
	Seed        uint64        // Of the schedule.
}

// Validate returns an error that lists every invalid option, or nil.
func (o Options) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check((len(o.Entries) > 0) != (len(o.Direct) > 0), "exactly one of entries and direct addresses is required")
	for _, address := range append(append([]string(nil), o.Entries...), o.Direct...) {
		_, err := netip.ParseAddrPort(address)
		check(err == nil, "address %q is not an IP address and port", address)
	}
	check(len(o.Entries) == 0 || o.Service != "", "service is required for discovery")
	check(len(o.Accounts) > 0, "at least one account is required")
	check(o.Method != "" && validMethod(o.Method), "method %q is not an HTTP method", o.Method)
	check(len(o.Path) > 0 && o.Path[0] == '/', "path %q must start with a slash", o.Path)
	check(o.Body >= 0 && o.Body <= MaxBodyBytes, "body of %d bytes is outside 0 to %d", o.Body, MaxBodyBytes)
	check(!(o.Keyed && o.Unkeyed), "keyed and unkeyed are mutually exclusive")
	check(o.Rate > 0 && o.Rate <= MaxRate, "rate %v is outside 0 to %d requests a second", o.Rate, MaxRate)
	check(o.Duration > 0, "duration %v must be positive", o.Duration)
	check(o.Warmup >= 0, "warm-up %v must not be negative", o.Warmup)
	check(o.Timeout > 0, "timeout %v must be positive", o.Timeout)
	check(o.Outstanding > 0 && o.Outstanding <= MaxOutstanding, "outstanding %d is outside 1 to %d", o.Outstanding, MaxOutstanding)
	return errors.Join(errs...)
}

func validMethod(method string) bool {
	_, err := http.NewRequest(method, "http://192.0.2.1/", nil)
	return err == nil
}
