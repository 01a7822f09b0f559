package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Limits of template fields.
const (
	MaxNameBytes = 128
	MaxDeadline  = 10 * time.Minute
	MaxBodyBytes = 64 << 20
	MaxWeight    = 1_000_000
)

// FieldError describes one invalid field of a template.
type FieldError struct {
	Template string `json:"template"` // "service NAME" or "account NAME".
	Field    string `json:"field"`
	Value    string `json:"value"`
	Text     string `json:"text"`    // What the value should be.
	Unknown  bool   `json:"unknown"` // The value refers to a template that does not exist.
}

// String returns the error as one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s: %s is %s, %s", f.Template, f.Field, f.Value, f.Text)
}

// Validate returns an error for every invalid field of the configuration, sorted by template and field.
func (c *Config) Validate() []FieldError {
	var fieldErrors []FieldError
	for name, t := range c.Services {
		fieldErrors = append(fieldErrors, t.validate(name)...)
	}
	for name, t := range c.Accounts {
		fieldErrors = append(fieldErrors, c.validateAccount(name, t)...)
	}
	slices.SortFunc(fieldErrors, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Template, b.Template), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Value, b.Value))
	})
	return fieldErrors
}

// fieldChecker collects the field errors of one template.
type fieldChecker struct {
	template string
	errors   []FieldError
}

func (k *fieldChecker) require(ok bool, field string, value any, text string) {
	if !ok {
		k.errors = append(k.errors, FieldError{Template: k.template, Field: field, Value: fmt.Sprint(value), Text: text})
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && !strings.ContainsAny(name, "/ \t\r\n\x00")
}

func (t ServiceTemplate) validate(key fleet.Service) []FieldError {
	k := fieldChecker{template: "service " + string(key)}
	k.require(validName(string(t.Name)), "name", fmt.Sprintf("%q", t.Name), "must be 1 to 128 bytes without spaces and slashes")
	k.require(t.Name == key, "name", fmt.Sprintf("%q", t.Name), "must equal the key of the template")
	k.require(t.FloorSlots >= 0, "floor_slots", t.FloorSlots, "must not be negative")
	k.require(t.Deadline > 0 && t.Deadline <= MaxDeadline, "deadline", t.Deadline, "must be above 0s and at most 10m")
	k.require(t.RetryShare >= 0 && t.RetryShare <= 1, "retry_share", t.RetryShare, "must be 0 to 1")
	k.require(t.FalseEjectionsPerEndpointMonth > 0, "false_ejections_per_endpoint_month", t.FalseEjectionsPerEndpointMonth, "must be above 0")
	k.require(t.RequestsPerSecond >= 0, "requests_per_second", t.RequestsPerSecond, "must not be negative")
	k.require(t.MaxBodyBytes > 0 && t.MaxBodyBytes <= MaxBodyBytes, "max_body_bytes", t.MaxBodyBytes, "must be 1 to 67108864")
	k.require(len(t.Routes) > 0, "routes", "empty", "must hold at least one route")
	for i, r := range t.Routes {
		field := fmt.Sprintf("routes[%d].path_prefix", i)
		k.require(strings.HasPrefix(r.PathPrefix, "/"), field, fmt.Sprintf("%q", r.PathPrefix), "must begin with a slash")
	}
	return k.errors
}

func (c *Config) validateAccount(key fleet.Account, t AccountTemplate) []FieldError {
	k := fieldChecker{template: "account " + string(key)}
	k.require(validName(string(t.Name)), "name", fmt.Sprintf("%q", t.Name), "must be 1 to 128 bytes without spaces and slashes")
	k.require(t.Name == key, "name", fmt.Sprintf("%q", t.Name), "must equal the key of the template")
	k.require(t.Weight >= 1 && t.Weight <= MaxWeight, "weight", t.Weight, "must be 1 to 1000000")
	for _, s := range t.Services {
		if _, ok := c.Services[s]; ok {
			continue
		}
		k.errors = append(k.errors, FieldError{
			Template: k.template, Field: "services", Value: fmt.Sprintf("%q", s),
			Text: "no such service", Unknown: true,
		})
	}
	return k.errors
}
