package template

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// bound is the inclusive range of a parameter.
type bound[T cmp.Ordered] struct{ low, high T }

// Bounds of the parameters. They must lie within those that rollout.Config.Validate checks.
var (
	floorBound     = bound[int]{0, 1_000_000}
	deadlineBound  = bound[time.Duration]{time.Millisecond, rollout.MaxDeadline}
	shareBound     = bound[float64]{0, 1}
	ejectionsBound = bound[float64]{1e-9, 1000}
	rateBound      = bound[float64]{0, 10_000_000}
	bodyBound      = bound[tomlfile.Size]{1, rollout.MaxBodyBytes}
	countBound     = bound[int]{0, 1_000_000}
	weightBound    = bound[int]{1, rollout.MaxWeight}
)

// contains reports whether value is in range. NaN is not.
func (b bound[T]) contains(value T) bool {
	return value >= b.low && value <= b.high
}

// resolveParameter returns the entry's own value, else its template's (shared), else defaultValue.
// It reports an error if there is none of them, or if the entry's own value is out of range.
// Values of templates are checked once, by checkTemplates, not for each entry that uses them.
func resolveParameter[T cmp.Ordered](r *resolver, parameter string, own, shared *T, at, sharedAt origin, defaultValue *T, b bound[T]) T {
	value, _, given := effectiveValue(own, shared, at, sharedAt)
	switch {
	case !given && defaultValue != nil:
		return *defaultValue
	case !given:
		r.addError(at.file, at.key+"."+parameter, "", "must be set here or in a template")
	case own != nil:
		checkBound(r, at, parameter, own, b)
	}
	return value
}

func checkBound[T cmp.Ordered](r *resolver, at origin, parameter string, value *T, b bound[T]) {
	if value != nil && !b.contains(*value) {
		r.addError(at.file, at.key+"."+parameter, fmt.Sprint(*value), "must be from %v to %v", b.low, b.high)
	}
}

// checkTemplates checks the values of all templates, including templates that no entry uses, and
// the routes that services override.
func (r *resolver) checkTemplates() {
	for _, name := range sortedKeys(r.templates) {
		template := r.templates[name]
		r.checkParameters(origin{file: template.file, key: "template." + trimName(name)}, template.value)
	}
	for _, name := range sortedKeys(r.services) {
		entry := r.services[name]
		if entry.value.Routes != nil {
			r.checkRouteSyntax(origin{file: entry.file, key: "service." + trimName(string(name))}, *entry.value.Routes)
		}
	}
	for _, name := range sortedKeys(r.accountTemplates) {
		template := r.accountTemplates[name]
		at := origin{file: template.file, key: "account_template." + trimName(name)}
		checkBound(r, at, "weight", template.value.Weight, weightBound)
		if template.value.Services != nil {
			r.checkServices(at, *template.value.Services)
		}
	}
}

func (r *resolver) checkParameters(at origin, p serviceParameters) {
	checkBound(r, at, "floor_slots", p.FloorSlots, floorBound)
	checkBound(r, at, "deadline", p.Deadline, deadlineBound)
	checkBound(r, at, "retry_share", p.RetryShare, shareBound)
	checkBound(r, at, "false_ejections_per_endpoint_month", p.FalseEjections, ejectionsBound)
	checkBound(r, at, "requests_per_second", p.RequestsPerSecond, rateBound)
	checkBound(r, at, "max_body", p.MaxBody, bodyBound)
	checkBound(r, at, "endpoints", p.Endpoints, countBound)
	checkBound(r, at, "slots_per_endpoint", p.SlotsPerEndpoint, countBound)
	if p.Routes != nil {
		r.checkRouteSyntax(at, *p.Routes)
	}
}

// methods are the HTTP methods that a route may have. The empty one matches any.
var methods = []string{
	"", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (r *resolver) checkRouteSyntax(at origin, routes []route) {
	for i, route := range routes {
		key := fmt.Sprintf("%s.routes[%d]", at.key, i)
		if !slices.Contains(methods, route.Method) {
			r.addError(at.file, key+".method", tomlfile.FormatValue(route.Method), "must be one of %v, or empty for any", methods[1:])
		}
		if !strings.HasPrefix(route.PathPrefix, "/") || strings.ContainsAny(route.PathPrefix, "?# \t\r\n") {
			r.addError(at.file, key+".path_prefix", tomlfile.FormatValue(route.PathPrefix), `must start with "/" and contain no space, "?" or "#"`)
		}
		if strings.HasPrefix(route.PathPrefix, "/.damaskcove") {
			r.addError(at.file, key+".path_prefix", tomlfile.FormatValue(route.PathPrefix), `must not start with "/.damaskcove", which is reserved for the fleet`)
		}
	}
}

func (r *resolver) checkServices(at origin, services []fleet.Service) {
	seen := make(map[fleet.Service]bool, len(services))
	for i, service := range services {
		key := fmt.Sprintf("%s.services[%d]", at.key, i)
		if _, ok := r.services[service]; !ok {
			r.addError(at.file, key, tomlfile.FormatValue(string(service)), "no such service; the services are %v", sortedKeys(r.services))
		}
		if seen[service] {
			r.addError(at.file, key, tomlfile.FormatValue(string(service)), "is a duplicate")
		}
		seen[service] = true
	}
}

func (r *resolver) checkName(at origin, name string) {
	if name == "" || len(name) > rollout.MaxNameBytes || strings.ContainsFunc(name, isInvalidNameRune) {
		r.addError(at.file, at.key, tomlfile.FormatValue(name), "name must be 1 to %d letters, digits, dots, dashes and underscores", rollout.MaxNameBytes)
	}
}

func isInvalidNameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	default:
		return !strings.ContainsRune("._-", c)
	}
}

// checkFloor checks that the floor allows ejecting at least one endpoint. It needs the size of
// the service, and checks nothing if the operator did not give it.
func (r *resolver) checkFloor(s rollout.ServiceTemplate, size Size, own *int, at, sharedAt origin) {
	total := size.Endpoints * size.SlotsPerEndpoint
	if total == 0 || s.FloorSlots <= total-size.SlotsPerEndpoint {
		return
	}
	place := sharedAt
	if own != nil {
		place = at
	}
	r.addError(place.file, place.key+".floor_slots", fmt.Sprint(s.FloorSlots),
		"allows no endpoint of service %q to be ejected; must be at most %d with %d endpoints of %d slots",
		s.Name, total-size.SlotsPerEndpoint, size.Endpoints, size.SlotsPerEndpoint)
}

// routeKey identifies a route.
type routeKey struct{ method, prefix string }

// checkDuplicateRoutes checks that each combination of method and path prefix belongs to one service.
func (r *resolver) checkDuplicateRoutes(services []rollout.ServiceTemplate) {
	owner := make(map[routeKey]fleet.Service)
	for _, s := range services {
		for i, route := range s.Routes {
			key := routeKey{route.Method, strings.TrimSuffix(route.PathPrefix, "/")}
			if other, ok := owner[key]; ok {
				file := r.services[s.Name].file
				r.addError(file, fmt.Sprintf("service.%s.routes[%d]", trimName(string(s.Name)), i), tomlfile.FormatValue(route.Method+" "+route.PathPrefix), "is also a route of service %q", other)
				continue
			}
			owner[key] = s.Name
		}
	}
}
