package rollout

import (
	"maps"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Change is one proposed or accepted change: templates to add or replace as a whole, and templates to remove.
type Change struct {
	ID             string            `cbor:"1,keyasint" json:"id"`       // Unique; chosen by the operator's tool.
	Revision       fleet.Revision    `cbor:"2,keyasint" json:"revision"` // Set by Propose.
	Author         string            `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	Services       []ServiceTemplate `cbor:"4,keyasint,omitempty" json:"services,omitempty"`
	Accounts       []AccountTemplate `cbor:"5,keyasint,omitempty" json:"accounts,omitempty"`
	RemoveServices []fleet.Service   `cbor:"6,keyasint,omitempty" json:"remove_services,omitempty"`
	RemoveAccounts []fleet.Account   `cbor:"7,keyasint,omitempty" json:"remove_accounts,omitempty"`
}

// Empty reports whether the change affects no template.
func (c Change) Empty() bool {
	return len(c.Services)+len(c.Accounts)+len(c.RemoveServices)+len(c.RemoveAccounts) == 0
}

// With returns the configuration at revision r after a change. Maps that the change does
// not affect are shared with c, which may be nil.
func (c *Config) With(change Change, r fleet.Revision) *Config {
	next := &Config{Revision: r}
	if c != nil {
		next.Services, next.Accounts = c.Services, c.Accounts
	}
	if next.Services == nil || len(change.Services)+len(change.RemoveServices) > 0 {
		next.Services = applyTemplates(next.Services, change.RemoveServices, change.Services, serviceName)
	}
	if next.Accounts == nil || len(change.Accounts)+len(change.RemoveAccounts) > 0 {
		next.Accounts = applyTemplates(next.Accounts, change.RemoveAccounts, change.Accounts, accountName)
	}
	return next
}

// applyTemplates returns a copy of the templates by name, with some removed and others added or replaced.
func applyTemplates[N comparable, T any](before map[N]T, removed []N, updated []T, name func(T) N) map[N]T {
	after := maps.Clone(before)
	if after == nil {
		after = make(map[N]T, len(updated))
	}
	for _, n := range removed {
		delete(after, n)
	}
	for _, t := range updated {
		after[name(t)] = t
	}
	return after
}

func serviceName(t ServiceTemplate) fleet.Service { return t.Name }

func accountName(t AccountTemplate) fleet.Account { return t.Name }
