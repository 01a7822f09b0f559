package template

import (
	"maps"
	"slices"
	"strings"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// servicePlaceholder is replaced by the service's name in path prefixes.
const servicePlaceholder = "{service}"

// Defaults of parameters that neither the entry nor its template sets.
const (
	defaultWeight  = 1
	defaultMaxBody = 64 * tomlfile.KiB
)

// resolve resolves all entries that were read, and checks them.
func (r *resolver) resolve() *Set {
	if r.fleet.value == "" {
		r.addError("templates", "fleet", "", "must be set in one of the files")
	}
	set := &Set{Fleet: r.fleet.value, Sizes: make(map[fleet.Service]Size)}
	r.checkTemplates()
	for _, name := range sortedKeys(r.services) {
		service, size := r.resolveService(name, r.services[name])
		set.Services = append(set.Services, service)
		set.Sizes[name] = size
	}
	r.checkDuplicateRoutes(set.Services)
	for _, name := range sortedKeys(r.accounts) {
		set.Accounts = append(set.Accounts, r.resolveAccount(name, r.accounts[name]))
	}
	return set
}

// origin is where a resolved parameter was written.
type origin struct {
	file string
	key  string // Key of the entry or template, without the parameter.
}

// effectiveValue returns the entry's own value, else its template's (shared), with its origin, and
// whether there is one.
func effectiveValue[T any](own, shared *T, ownAt, sharedAt origin) (T, origin, bool) {
	switch {
	case own != nil:
		return *own, ownAt, true
	case shared != nil:
		return *shared, sharedAt, true
	default:
		var zero T
		return zero, ownAt, false
	}
}

func (r *resolver) resolveService(name fleet.Service, entry located[serviceEntry]) (rollout.ServiceTemplate, Size) {
	at := origin{file: entry.file, key: "service." + trimName(string(name))}
	r.checkName(at, string(name))
	shared, sharedAt := r.serviceTemplate(at, entry.value.Template)
	own := entry.value.serviceParameters
	s := rollout.ServiceTemplate{Name: name}
	s.FloorSlots = resolveParameter(r, "floor_slots", own.FloorSlots, shared.FloorSlots, at, sharedAt, nil, floorBound)
	s.Deadline = resolveParameter(r, "deadline", own.Deadline, shared.Deadline, at, sharedAt, nil, deadlineBound)
	s.RetryShare = resolveParameter(r, "retry_share", own.RetryShare, shared.RetryShare, at, sharedAt, nil, shareBound)
	s.FalseEjectionsPerEndpointMonth = resolveParameter(r, "false_ejections_per_endpoint_month", own.FalseEjections, shared.FalseEjections, at, sharedAt, nil, ejectionsBound)
	s.RequestsPerSecond = resolveParameter(r, "requests_per_second", own.RequestsPerSecond, shared.RequestsPerSecond, at, sharedAt, nil, rateBound)
	maxBody := defaultMaxBody
	s.MaxBodyBytes = int(resolveParameter(r, "max_body", own.MaxBody, shared.MaxBody, at, sharedAt, &maxBody, bodyBound))
	s.Routes = r.resolveRoutes(name, own.Routes, shared.Routes, at, sharedAt)
	none := 0
	size := Size{
		Endpoints:        resolveParameter(r, "endpoints", own.Endpoints, shared.Endpoints, at, sharedAt, &none, countBound),
		SlotsPerEndpoint: resolveParameter(r, "slots_per_endpoint", own.SlotsPerEndpoint, shared.SlotsPerEndpoint, at, sharedAt, &none, countBound),
	}
	r.checkFloor(s, size, own.FloorSlots, at, sharedAt)
	return s, size
}

// serviceTemplate returns the template that a service refers to; empty if none.
func (r *resolver) serviceTemplate(at origin, name string) (serviceParameters, origin) {
	if name == "" {
		return serviceParameters{}, at
	}
	template, ok := r.templates[name]
	if !ok {
		r.addError(at.file, at.key+".template", tomlfile.FormatValue(name), "no such template; the templates are %v", sortedKeys(r.templates))
		return serviceParameters{}, at
	}
	return template.value, origin{file: template.file, key: "template." + trimName(name)}
}

func (r *resolver) resolveRoutes(name fleet.Service, own, shared *[]route, at, sharedAt origin) []rollout.Route {
	routes, place, _ := effectiveValue(own, shared, at, sharedAt)
	if len(routes) == 0 {
		r.addError(place.file, place.key+".routes", "", "must contain at least one route")
	}
	var out []rollout.Route
	for _, route := range routes {
		out = append(out, rollout.Route{
			Method:     route.Method,
			PathPrefix: strings.ReplaceAll(route.PathPrefix, servicePlaceholder, string(name)),
			Idempotent: route.Idempotent,
		})
	}
	return out
}

func (r *resolver) resolveAccount(name fleet.Account, entry located[accountEntry]) rollout.AccountTemplate {
	at := origin{file: entry.file, key: r.accountKeys[name]}
	r.checkName(at, string(name))
	var shared accountParameters
	sharedAt := at
	if entry.value.Template != "" {
		template, ok := r.accountTemplates[entry.value.Template]
		if !ok {
			r.addError(at.file, at.key+".template", tomlfile.FormatValue(entry.value.Template), "no such account template; the account templates are %v", sortedKeys(r.accountTemplates))
		} else {
			shared, sharedAt = template.value, origin{file: template.file, key: "account_template." + trimName(entry.value.Template)}
		}
	}
	weight := defaultWeight
	a := rollout.AccountTemplate{Name: name}
	a.Weight = resolveParameter(r, "weight", entry.value.Weight, shared.Weight, at, sharedAt, &weight, weightBound)
	a.Services = r.resolveServices(entry.value.Services, shared.Services, at, sharedAt)
	return a
}

// resolveServices returns the services that an account may call. It checks only the account's own
// list; lists of templates are checked once, by checkTemplates.
func (r *resolver) resolveServices(own, shared *[]fleet.Service, at, sharedAt origin) []fleet.Service {
	services, place, given := effectiveValue(own, shared, at, sharedAt)
	if !given {
		r.addError(at.file, at.key+".services", "", "must be set here or in a template")
	}
	if own != nil {
		r.checkServices(place, services)
	}
	return services
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
