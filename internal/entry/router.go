package entry

import (
	"slices"
	"strings"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/rollout"
)

// Match is the route that a request takes.
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

// Router finds the route of a request. It is immutable.
type Router struct {
	config   *rollout.Config
	byPrefix map[string][]candidate
}

// NewRouter returns the router of a configuration.
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

// Find returns the route with the longest prefix of path, by whole segments, that
// takes the method and whose service the account may call. service narrows the
// search unless it is empty. The code is CodeAnswered when there is one.
func (r *Router) Find(account fleet.Account, service fleet.Service, method, path string) (Match, result.Code) {
	a, ok := r.config.Accounts[account]
	if !ok {
		return Match{}, result.CodeUnknownAccount
	}
	code := result.CodeNoRoute
	for prefix := strings.TrimSuffix(path, "/"); ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		for _, c := range r.byPrefix[prefix] {
			if !c.takes(service, method) {
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

func (c candidate) takes(service fleet.Service, method string) bool {
	if service != "" && c.service != service {
		return false
	}
	return c.route.Method == "" || c.route.Method == method
}

// encodedDot is a dot as a path may write it, in lower case.
const encodedDot = "%2e"

// hasDotSegment reports whether a path holds a segment "." or "..", also encoded. An
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
