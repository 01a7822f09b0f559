package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Bounds of templates.
const (
	MaxNameBytes = 128
	MaxDeadline  = 10 * time.Minute
	MaxBodyBytes = 64 << 20
	MaxWeight    = 1_000_000
)

// Fault is one fault of a template.
type Fault struct {
	Template string `json:"template"` // "service NAME" or "account NAME".
	Field    string `json:"field"`
	Value    string `json:"value"`
	Text     string `json:"text"`    // What the value should be.
	Unknown  bool   `json:"unknown"` // The value names a template that does not exist.
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s is %s, %s", f.Template, f.Field, f.Value, f.Text)
}

// Validate returns every fault of the configuration, sorted by template and field.
func (c *Config) Validate() []Fault {
	var faults []Fault
	for name, t := range c.Services {
		faults = append(faults, t.faults(name)...)
	}
	for name, t := range c.Accounts {
		faults = append(faults, c.accountFaults(name, t)...)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Template, b.Template), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Value, b.Value))
	})
	return faults
}

// checker collects the faults of one template.
type checker struct {
	template string
	faults   []Fault
}

func (k *checker) require(ok bool, field string, value any, text string) {
	if !ok {
		k.faults = append(k.faults, Fault{Template: k.template, Field: field, Value: fmt.Sprint(value), Text: text})
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && !strings.ContainsAny(name, "/ \t\r\n\x00")
}

func (t ServiceTemplate) faults(key fleet.Service) []Fault {
	k := checker{template: "service " + string(key)}
	k.require(validName(string(t.Name)), "name", fmt.Sprintf("%q", t.Name), "must be 1 to 128 bytes without spaces and slashes")
	k.require(t.Name == key, "name", fmt.Sprintf("%q", t.Name), "must be the name it is filed under")
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
	return k.faults
}

func (c *Config) accountFaults(key fleet.Account, t AccountTemplate) []Fault {
	k := checker{template: "account " + string(key)}
	k.require(validName(string(t.Name)), "name", fmt.Sprintf("%q", t.Name), "must be 1 to 128 bytes without spaces and slashes")
	k.require(t.Name == key, "name", fmt.Sprintf("%q", t.Name), "must be the name it is filed under")
	k.require(t.Weight >= 1 && t.Weight <= MaxWeight, "weight", t.Weight, "must be 1 to 1000000")
	for _, s := range t.Services {
		if _, ok := c.Services[s]; ok {
			continue
		}
		k.faults = append(k.faults, Fault{
			Template: k.template, Field: "services", Value: fmt.Sprintf("%q", s),
			Text: "no such service", Unknown: true,
		})
	}
	return k.faults
}
