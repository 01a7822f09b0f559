package template

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// file is the content of one TOML file.
type file struct {
	Fleet            string                         `toml:"fleet"`
	Templates        map[string]serviceParameters   `toml:"template"`
	Services         map[fleet.Service]serviceEntry `toml:"service"`
	AccountTemplates map[string]accountParameters   `toml:"account_template"`
	Accounts         map[fleet.Account]accountEntry `toml:"account"`
	AccountLists     map[string]accountList         `toml:"accounts"`
}

// serviceParameters are the parameters of a service; nil if not set.
type serviceParameters struct {
	FloorSlots        *int           `toml:"floor_slots"`
	Deadline          *time.Duration `toml:"deadline"`
	RetryShare        *float64       `toml:"retry_share"`
	FalseEjections    *float64       `toml:"false_ejections_per_endpoint_month"`
	RequestsPerSecond *float64       `toml:"requests_per_second"`
	MaxBody           *tomlfile.Size `toml:"max_body"`
	Routes            *[]route       `toml:"routes"`
	Endpoints         *int           `toml:"endpoints"`
	SlotsPerEndpoint  *int           `toml:"slots_per_endpoint"`
}

// serviceEntry is a service: the name of its template and the parameters that it overrides.
type serviceEntry struct {
	Template string `toml:"template"`
	serviceParameters
}

// route is one route. "{service}" in the path prefix is replaced by the service's name.
type route struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
	Idempotent bool   `toml:"idempotent"`
}

// accountParameters are the parameters of an account; nil if not set.
type accountParameters struct {
	Services *[]fleet.Service `toml:"services"`
	Weight   *int             `toml:"weight"`
}

// accountEntry is an account: the name of its template and the parameters that it overrides.
type accountEntry struct {
	Template string `toml:"template"`
	accountParameters
}

// accountList lists accounts of one template that override nothing.
type accountList struct {
	Template string          `toml:"template"`
	Names    []fleet.Account `toml:"names"`
}
