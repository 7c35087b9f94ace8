// Package call decides how a call is handled: its route, backend server, attempts,
// deadline and admission. It opens no connections and starts no goroutines. The
// current time and random numbers are arguments, so that tests control every
// decision.
//
// # Usage
//
//	router := call.NewRouter(table)
//	route := router.Match("quotes.example", "GET", "/quotes/7", header)
//	instance := balancer.Pick(policy, nil, now, rand.IntN)
//	state := admission.Enter(waiter, now)
package call

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"sort"
	"strings"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
)

// Router matches calls against the routes of one table. It is immutable.
type Router struct {
	Table   *revision.Table
	hosts   map[string]*prefixIndex // by host name in lower case
	anyHost *prefixIndex            // routes without a host
}

// prefixIndex finds routes of one host by path prefix.
type prefixIndex struct {
	longest int                 // length of the longest prefix, in bytes
	routes  map[string][]*route // by prefix, most specific first
}

// route is a route with its header names in canonical form.
type route struct {
	*record.Route
	headers []header
}

type header struct{ name, value string }

// NewRouter compiles the routes of a table.
func NewRouter(t *revision.Table) *Router {
	r := &Router{Table: t, hosts: map[string]*prefixIndex{}, anyHost: newPrefixIndex()}
	order := slices.Clone(t.Routes)
	sort.SliceStable(order, func(i, j int) bool { return moreSpecific(order[i], order[j]) })
	for _, declared := range order {
		compiled := compileRoute(declared)
		if len(declared.Hosts) == 0 {
			r.anyHost.add(compiled)
		}
		for _, host := range declared.Hosts {
			host = strings.ToLower(host)
			if r.hosts[host] == nil {
				r.hosts[host] = newPrefixIndex()
			}
			r.hosts[host].add(compiled)
		}
	}
	return r
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{routes: map[string][]*route{}} }

func (p *prefixIndex) add(r *route) {
	p.routes[r.Prefix] = append(p.routes[r.Prefix], r)
	p.longest = max(p.longest, len(r.Prefix))
}

func compileRoute(r *record.Route) *route {
	c := &route{Route: r}
	for name, value := range r.Headers {
		c.headers = append(c.headers, header{textproto.CanonicalMIMEHeaderKey(name), value})
	}
	return c
}

// moreSpecific orders the routes of one host and prefix: those with more headers
// first, then those that list methods, then by name.
func moreSpecific(a, b *record.Route) bool {
	if len(a.Headers) != len(b.Headers) {
		return len(a.Headers) > len(b.Headers)
	}
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		return len(a.Methods) > 0
	}
	return a.Name < b.Name
}

// Match returns the most specific route that accepts a call, or nil. A route that
// lists the host precedes one without hosts, then a longer prefix precedes a
// shorter one, then more headers fewer, then listed methods none.
func (r *Router) Match(host, method, path string, header http.Header) *record.Route {
	if len(r.hosts) > 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		if p := r.hosts[strings.ToLower(host)]; p != nil {
			if found := p.match(method, path, header); found != nil {
				return found
			}
		}
	}
	return r.anyHost.match(method, path, header)
}

// match tries the prefixes of a path that end at a segment boundary, the longest
// first.
func (p *prefixIndex) match(method, path string, header http.Header) *record.Route {
	if found := p.matchPrefix(path, method, header); found != nil {
		return found
	}
	for i := min(len(path)-1, p.longest); i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if found := p.matchPrefix(path[:i+1], method, header); found != nil {
			return found
		}
		if found := p.matchPrefix(path[:i], method, header); found != nil {
			return found
		}
	}
	return nil
}

// matchPrefix returns the first route with exactly this prefix that accepts the
// call.
func (p *prefixIndex) matchPrefix(prefix, method string, header http.Header) *record.Route {
	for _, r := range p.routes[prefix] {
		if r.accepts(method, header) {
			return r.Route
		}
	}
	return nil
}

// accepts reports whether the method and the headers of a call match the route.
func (r *route) accepts(method string, header http.Header) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	for _, h := range r.headers {
		if v := header[h.name]; len(v) == 0 || v[0] != h.value {
			return false
		}
	}
	return true
}

// PickService selects the service for one call of a route. A split route
// selects among its parts at random by weight.
func PickService(r *record.Route, rand Rand) string {
	total := 0
	for _, p := range r.WeightedServices {
		total += p.Weight
	}
	if total <= 0 {
		return r.Service
	}
	n := rand(total)
	for _, p := range r.WeightedServices {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return r.Service
}

// Idempotent reports whether a call of a route may run more than once. The
// setting of the route decides, or else the method.
func Idempotent(r *record.Route, method string) bool {
	switch r.Repeat {
	case record.RepeatAlways:
		return true
	case record.RepeatNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// routePriorities is the number of priorities of routes that are told apart within one
// priority of workspaces. Less urgent routes count as the last of them.
const routePriorities = 8

// CombinePriorities returns the priority of a call of a workspace, which may be nil. That of
// the workspace takes precedence; among calls of the same one the route decides, so that
// an urgent route stays ahead where all workspaces are equal. A workspace without a
// priority has that of the route.
func CombinePriorities(w *record.Workspace, r *record.Route) int {
	first := r.Priority
	if w != nil && w.Priority != nil {
		first = *w.Priority
	}
	return first*routePriorities + min(r.Priority, routePriorities-1)
}
