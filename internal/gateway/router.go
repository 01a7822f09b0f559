package gateway

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/damaskcove/damaskcove/platform"
)

// router finds the route of a request. It is immutable.
type router struct {
	byHost map[string][]platform.Route // Longest prefix first.
}

func newRouter(c *platform.Config) *router {
	r := &router{byHost: make(map[string][]platform.Route)}
	for _, route := range c.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, routes := range r.byHost {
		slices.SortFunc(routes, func(a, b platform.Route) int {
			if d := len(b.Prefix) - len(a.Prefix); d != 0 {
				return d
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return r
}

// find returns the route of the host with the longest prefix of the path.
func (r *router) find(host, uri string) (platform.Route, bool) {
	path, _, _ := strings.Cut(uri, "?")
	for _, route := range r.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return platform.Route{}, false
}

// hostName returns the name in a Host header in lower case, without its port.
func hostName(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(host)
}

// pickService returns a random service, by the weights.
func pickService(split []platform.WeightedService) string {
	if len(split) == 1 {
		return split[0].Service
	}
	total := 0
	for _, p := range split {
		total += p.Weight
	}
	n := rand.IntN(total)
	for _, p := range split {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return split[len(split)-1].Service
}
