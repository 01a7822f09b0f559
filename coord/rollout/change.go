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
		next.Services = changed(next.Services, change.RemoveServices, change.Services, serviceName)
	}
	if next.Accounts == nil || len(change.Accounts)+len(change.RemoveAccounts) > 0 {
		next.Accounts = changed(next.Accounts, change.RemoveAccounts, change.Accounts, accountName)
	}
	return next
}

// changed returns templates with some removed and others put in place, by their names.
func changed[N comparable, T any](before map[N]T, removed []N, placed []T, name func(T) N) map[N]T {
	after := maps.Clone(before)
	if after == nil {
		after = make(map[N]T, len(placed))
	}
	for _, n := range removed {
		delete(after, n)
	}
	for _, t := range placed {
		after[name(t)] = t
	}
	return after
}

func serviceName(t ServiceTemplate) fleet.Service { return t.Name }

func accountName(t AccountTemplate) fleet.Account { return t.Name }
