package template

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// file is one file of templates.
type file struct {
	Fleet            string                         `toml:"fleet"`
	Templates        map[string]serviceParameters   `toml:"template"`
	Services         map[fleet.Service]serviceEntry `toml:"service"`
	AccountTemplates map[string]accountParameters   `toml:"account_template"`
	Accounts         map[fleet.Account]accountEntry `toml:"account"`
	AccountLists     map[string]accountList         `toml:"accounts"`
}

// serviceParameters are the parameters of a service; nil where they are not given.
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

// serviceEntry is a service: a template's name and what it overrides.
type serviceEntry struct {
	Template string `toml:"template"`
	serviceParameters
}

// route is one route. "{service}" in the path prefix stands for the service's name.
type route struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
	Idempotent bool   `toml:"idempotent"`
}

// accountParameters are the parameters of an account; nil where they are not given.
type accountParameters struct {
	Services *[]fleet.Service `toml:"services"`
	Weight   *int             `toml:"weight"`
}

// accountEntry is an account: a template's name and what it overrides.
type accountEntry struct {
	Template string `toml:"template"`
	accountParameters
}

// accountList names accounts that override nothing.
type accountList struct {
	Template string          `toml:"template"`
	Names    []fleet.Account `toml:"names"`
}
