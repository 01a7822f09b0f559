package upstream

import (
	"fmt"
	"net/netip"
	"time"
)

// Faults are the gray faults of an endpoint. The zero value has none. Shares are of
// requests, 0 to 1. Health and load endpoints are not touched by the faults of work.
type Faults struct {
	SlowFactor   float64       `json:"slow_factor" toml:"slow_factor"`     // Multiplies service times; 0 for 1.
	FailShare    float64       `json:"fail_share" toml:"fail_share"`       // Answered with status 500 after running.
	FailFast     bool          `json:"fail_fast" toml:"fail_fast"`         // Failing requests take no time.
	CutOffShare  float64       `json:"cut_off_share" toml:"cut_off_share"` // Run, answered halfway, then the connection is closed.
	GarbageShare float64       `json:"garbage_share" toml:"garbage_share"` // Run, answered with bytes that are no HTTP.
	SilentShare  float64       `json:"silent_share" toml:"silent_share"`   // Run, then the connection is closed without an answer.
	FlapPeriod   time.Duration `json:"flap_period" toml:"flap_period"`     // The faults hold in the first half of each period; 0 for always. Nanoseconds in JSON.
	Health       string        `json:"health" toml:"health"`               // What the health endpoint claims: "", "up" or "down".
	Load         *float64      `json:"load" toml:"load"`                   // What the load endpoint and header claim; nil for the truth.
}

// Claims of Faults.Health.
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

// active reports whether the faults hold now, given when they were set.
func (f Faults) active(now, since time.Time) bool {
	if f.FlapPeriod == 0 {
		return true
	}
	return now.Sub(since)%f.FlapPeriod < f.FlapPeriod/2
}

// ending is how a request that ran is answered.
type ending uint8

const (
	endWhole ending = iota
	endFailed
	endCutOff
	endGarbage
	endSilent
)

// draw chooses an ending with u, uniform in [0, 1).
func (f Faults) draw(u float64) ending {
	for _, choice := range []struct {
		share float64
		end   ending
	}{{f.FailShare, endFailed}, {f.CutOffShare, endCutOff}, {f.GarbageShare, endGarbage}, {f.SilentShare, endSilent}} {
		if u < choice.share {
			return choice.end
		}
		u -= choice.share
	}
	return endWhole
}

// Connectivity says how far an endpoint can be reached from a caller's address.
type Connectivity uint8

// Kinds of reach.
const (
	ConnectivityNormal    Connectivity = iota
	ConnectivityClosed                 // Connections are closed at once, also those that were open.
	ConnectivityBlackhole              // Connections are taken, and nothing that is sent arrives.
	ConnectivityNoReplies              // Requests arrive and run, and no byte of an answer comes back.
)

// reachNames are the words for each kind of reach.
var reachNames = map[string]Connectivity{"open": ConnectivityNormal, "close": ConnectivityClosed, "none": ConnectivityBlackhole, "mute": ConnectivityNoReplies}

// ParseConnectivity returns the reach that a word names: "open", "close", "none" or "mute".
func ParseConnectivity(word string) (Connectivity, error) {
	reach, ok := reachNames[word]
	if !ok {
		return 0, fmt.Errorf(`reach %q is none of "open", "close", "none", "mute"`, word)
	}
	return reach, nil
}

// ConnectivityFunc tells the reach from a caller's address. It must be safe for concurrent use.
type ConnectivityFunc func(caller netip.Addr) Connectivity
