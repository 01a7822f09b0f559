package upstream

import (
	"fmt"
	"net/netip"
	"time"
)

// Faults are the gray faults of an endpoint. The zero value has none. Shares are of
// requests, 0 to 1. The faults of work do not affect the health and load probes.
type Faults struct {
	SlowFactor   float64       `json:"slow_factor" toml:"slow_factor"`     // Multiplies service times; 0 for 1.
	FailShare    float64       `json:"fail_share" toml:"fail_share"`       // Run, then answered with status 500.
	FailFast     bool          `json:"fail_fast" toml:"fail_fast"`         // Requests that fail take no time.
	CutOffShare  float64       `json:"cut_off_share" toml:"cut_off_share"` // Run, then the connection is closed after half of the answer.
	GarbageShare float64       `json:"garbage_share" toml:"garbage_share"` // Run, then answered with bytes that are not HTTP.
	SilentShare  float64       `json:"silent_share" toml:"silent_share"`   // Run, then the connection is closed without an answer.
	FlapPeriod   time.Duration `json:"flap_period" toml:"flap_period"`     // The faults are active in the first half of each period; 0 for always. Nanoseconds in JSON.
	Health       string        `json:"health" toml:"health"`               // What the health probe reports: "" for the truth, "up" or "down".
	Load         *float64      `json:"load" toml:"load"`                   // What the load probe and header report; nil for the truth.
}

// Values of Faults.Health.
const (
	HealthTrue = ""
	HealthUp   = "up"
	HealthDown = "down"
)

func (f Faults) validate() error {
	for name, share := range map[string]float64{
		"fail_share": f.FailShare, "cut_off_share": f.CutOffShare, "garbage_share": f.GarbageShare, "silent_share": f.SilentShare,
	} {
		if !(share >= 0 && share <= 1) {
			return fmt.Errorf("%s %v is outside 0 to 1", name, share)
		}
	}
	if !(f.SlowFactor >= 0) || f.FlapPeriod < 0 {
		return fmt.Errorf("slow_factor %v and flap_period %v must not be negative", f.SlowFactor, f.FlapPeriod)
	}
	if f.Health != HealthTrue && f.Health != HealthUp && f.Health != HealthDown {
		return fmt.Errorf("health %q is none of \"\", %q, %q", f.Health, HealthUp, HealthDown)
	}
	return nil
}

// active reports whether the faults are active now. since is when they were set.
func (f Faults) active(now, since time.Time) bool {
	if f.FlapPeriod == 0 {
		return true
	}
	return now.Sub(since)%f.FlapPeriod < f.FlapPeriod/2
}

// faultKind is the fault in the answer to a request that ran.
type faultKind uint8

const (
	faultNone faultKind = iota
	faultFail
	faultTruncate
	faultGarbage
	faultNoAnswer
)

// draw chooses a faultKind according to the shares. u is uniform in [0, 1).
func (f Faults) draw(u float64) faultKind {
	for _, choice := range []struct {
		share float64
		kind  faultKind
	}{{f.FailShare, faultFail}, {f.CutOffShare, faultTruncate}, {f.GarbageShare, faultGarbage}, {f.SilentShare, faultNoAnswer}} {
		if u < choice.share {
			return choice.kind
		}
		u -= choice.share
	}
	return faultNone
}

// Connectivity is the state of the network between a caller's address and an endpoint.
type Connectivity uint8

// Kinds of Connectivity.
const (
	ConnectivityNormal    Connectivity = iota
	ConnectivityClosed                 // Connections are closed immediately, including open ones.
	ConnectivityBlackhole              // Connections are accepted, but no data from the caller arrives.
	ConnectivityNoReplies              // Requests arrive and run, but no byte of an answer is sent.
)

// connectivityByName maps the names of ParseConnectivity.
var connectivityByName = map[string]Connectivity{"open": ConnectivityNormal, "close": ConnectivityClosed, "none": ConnectivityBlackhole, "mute": ConnectivityNoReplies}

// ParseConnectivity returns the Connectivity with a name: "open", "close", "none" or "mute".
func ParseConnectivity(name string) (Connectivity, error) {
	connectivity, ok := connectivityByName[name]
	if !ok {
		return 0, fmt.Errorf(`reach %q is none of "open", "close", "none", "mute"`, name)
	}
	return connectivity, nil
}

// ConnectivityFunc returns the connectivity from a caller's address. It must be safe for concurrent use.
type ConnectivityFunc func(caller netip.Addr) Connectivity
