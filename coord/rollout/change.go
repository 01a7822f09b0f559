package rollout

import (
	"maps"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Change is one accepted or proposed change: templates put in place whole, and templates removed.
type Change struct {
	ID             string            `cbor:"1,keyasint" json:"id"`       // Chosen by the operator's tool; unique.
	Revision       fleet.Revision    `cbor:"2,keyasint" json:"revision"` // Set by Propose.
	Author         string            `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	Services       []ServiceTemplate `cbor:"4,keyasint,omitempty" json:"services,omitempty"`
	Accounts       []AccountTemplate `cbor:"5,keyasint,omitempty" json:"accounts,omitempty"`
	RemoveServices []fleet.Service   `cbor:"6,keyasint,omitempty" json:"remove_services,omitempty"`
	RemoveAccounts []fleet.Account   `cbor:"7,keyasint,omitempty" json:"remove_accounts,omitempty"`
}

// Empty reports whether the change touches no template.
func (c Change) Empty() bool {
	return len(c.Services)+len(c.Accounts)+len(c.RemoveServices)+len(c.RemoveAccounts) == 0
}

// With returns the configuration at revision r after a change. Maps that the change does
// not touch are shared with c, which may be nil.
func (c *Config) With(change Change, r fleet.Revision) *Config {
	next := &Config{Revision: r}
	if c != nil {
		next.Services, next.Accounts = c.Services, c.Accounts
	}
	if next.Services == nil || len(change.Services)+len(change.RemoveServices) > 0 {
		next.Services = withServices(next.Services, change)
	}
	if next.Accounts == nil || len(change.Accounts)+len(change.RemoveAccounts) > 0 {
		next.Accounts = withAccounts(next.Accounts, change)
	}
	return next
}

func withServices(before map[fleet.Service]ServiceTemplate, change Change) map[fleet.Service]ServiceTemplate {
	after := maps.Clone(before)
	if after == nil {
		after = make(map[fleet.Service]ServiceTemplate, len(change.Services))
	}
	for _, name := range change.RemoveServices {
		delete(after, name)
	}
	for _, t := range change.Services {
		after[t.Name] = t
	}
	return after
}

func withAccounts(before map[fleet.Account]AccountTemplate, change Change) map[fleet.Account]AccountTemplate {
	after := maps.Clone(before)
	if after == nil {
		after = make(map[fleet.Account]AccountTemplate, len(change.Accounts))
	}
	for _, name := range change.RemoveAccounts {
		delete(after, name)
	}
	for _, t := range change.Accounts {
		after[t.Name] = t
	}
	return after
}
