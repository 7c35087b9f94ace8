package call

// This file finds routes that no call can match, by the order in which the Router tries
// them.

import (
	"maps"
	"slices"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
)

// HiddenRoute is a route that gets no call of a host, since others that precede it accept
// all of them.
type HiddenRoute struct {
	Route    *record.Route
	Host     string          // empty for hosts that no route names
	HiddenBy []*record.Route // accept its calls together
	Entirely bool            // it gets no call of any of its hosts
}

// HiddenRoutes returns the routes of a table that are hidden at a host, ordered by host and
// prefix.
func HiddenRoutes(t *revision.Table) []HiddenRoute {
	router := NewRouter(t)
	hidden := router.anyHost.hidden("")
	for _, host := range slices.Sorted(maps.Keys(router.hosts)) {
		hidden = append(hidden, router.hosts[host].hidden(host)...)
	}
	count := map[*record.Route]int{}
	for _, h := range hidden {
		count[h.Route]++
	}
	for i, h := range hidden {
		hidden[i].Entirely = count[h.Route] >= len(h.Route.Hosts)
	}
	return hidden
}

// hidden returns the routes of one host that others hide.
func (p *prefixIndex) hidden(host string) []HiddenRoute {
	var out []HiddenRoute
	for _, prefix := range slices.Sorted(maps.Keys(p.routes)) {
		routes := p.routes[prefix]
		for i, r := range routes {
			if by := r.hiddenBy(routes[:i]); len(by) > 0 {
				out = append(out, HiddenRoute{Route: r.Route, Host: host, HiddenBy: by})
			}
		}
	}
	return out
}

// hiddenBy returns those of the preceding routes of the same host and prefix that accept all
// calls of a route together, or nil if some call is left.
func (r *route) hiddenBy(preceding []*route) []*record.Route {
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""} // any method, which only a route without methods accepts
	}
	var by []*record.Route
	for _, m := range methods {
		i := slices.IndexFunc(preceding, func(o *route) bool {
			return (len(o.Methods) == 0 || slices.Contains(o.Methods, m)) && r.impliesHeadersOf(o)
		})
		if i < 0 {
			return nil
		}
		if !slices.Contains(by, preceding[i].Route) {
			by = append(by, preceding[i].Route)
		}
	}
	return by
}

// impliesHeadersOf reports whether each call with the headers of r has those of o.
func (r *route) impliesHeadersOf(o *route) bool {
	for _, h := range o.headers {
		if !slices.Contains(r.headers, h) {
			return false
		}
	}
	return true
}
