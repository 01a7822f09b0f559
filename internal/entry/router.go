package entry

import (
	"slices"
	"strings"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/rollout"
)

// Match is the result of routing a request.
type Match struct {
	Service  rollout.ServiceTemplate
	Route    rollout.Route
	Account  rollout.AccountTemplate
	Revision fleet.Revision
}

// candidate is one route of one service.
type candidate struct {
	service fleet.Service
	route   rollout.Route
}

// Router finds the routes of requests. It is immutable.
type Router struct {
	config   *rollout.Config
	byPrefix map[string][]candidate
}

// NewRouter returns a router for the routes of a configuration.
func NewRouter(config *rollout.Config) *Router {
	r := &Router{config: config, byPrefix: make(map[string][]candidate)}
	for name, service := range config.Services {
		for _, route := range service.Routes {
			prefix := strings.TrimSuffix(route.PathPrefix, "/")
			r.byPrefix[prefix] = append(r.byPrefix[prefix], candidate{service: name, route: route})
		}
	}
	return r
}

// Config returns the configuration that the router was made from.
func (r *Router) Config() *rollout.Config {
	return r.config
}

// Find returns the route with the longest path prefix, by whole segments, that accepts the
// method and belongs to a service the account may call. A non-empty service restricts the
// search to that service. The code is CodeAnswered if there is a match.
func (r *Router) Find(account fleet.Account, service fleet.Service, method, path string) (Match, result.Code) {
	a, ok := r.config.Accounts[account]
	if !ok {
		return Match{}, result.CodeUnknownAccount
	}
	code := result.CodeNoRoute
	for prefix := strings.TrimSuffix(path, "/"); ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		for _, c := range r.byPrefix[prefix] {
			if !c.matches(service, method) {
				continue
			}
			if !slices.Contains(a.Services, c.service) {
				code = result.CodeAccountNotAllowed
				continue
			}
			m := Match{Service: r.config.Services[c.service], Route: c.route, Account: a, Revision: r.config.Revision}
			return m, result.CodeAnswered
		}
		if !strings.Contains(prefix, "/") {
			return Match{}, code
		}
	}
}

func (c candidate) matches(service fleet.Service, method string) bool {
	if service != "" && c.service != service {
		return false
	}
	return c.route.Method == "" || c.route.Method == method
}

// encodedDot is a percent-encoded dot, in lower case.
const encodedDot = "%2e"

// hasDotSegment reports whether a path has a segment "." or "..", plain or encoded. An
// upstream that resolves it would serve another path than the one that was routed.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return false
	}
	plain := strings.ReplaceAll(strings.ToLower(path), encodedDot, ".")
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
