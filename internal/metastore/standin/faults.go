package standin

import (
	"fmt"
	"time"
)

// Outage is the way in which the platform fails calls.
type Outage string

// Kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // Each call fails at once with ErrUnavailable.
	OutageDrop   Outage = "drop"   // Each call's connection is closed without a response; nothing is written.
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	Store       Outage        `json:"store"`        // Of the key-value store.
	List        Outage        `json:"list"`         // Of the instance list.
	Delay       time.Duration `json:"delay"`        // Before each call takes effect, in nanoseconds in JSON.
	LoseReplies int           `json:"lose_replies"` // Number of further writes that take effect but whose response is lost.
	ListLag     time.Duration `json:"list_lag"`     // Age of the list that Read returns, in nanoseconds in JSON.
}

func (f Faults) validate() error {
	for _, outage := range []Outage{f.Store, f.List} {
		if outage != OutageNone && outage != OutageRefuse && outage != OutageDrop {
			return fmt.Errorf("outage %q is none of \"\", %q, %q", outage, OutageRefuse, OutageDrop)
		}
	}
	if f.Delay < 0 || f.ListLag < 0 || f.LoseReplies < 0 {
		return fmt.Errorf("delay %v, list lag %v and lost replies %d must not be negative", f.Delay, f.ListLag, f.LoseReplies)
	}
	return nil
}
