// Package call decides what happens to a call: its route, the backend server,
// its attempts, its deadline and its admission. It opens no connection and
// starts no goroutine; time and randomness come from the caller of a method, so
// that a test drives every decision by hand.
//
// # Usage
//
//	router := call.NewRouter(table)
//	route := router.Match("quotes.example", "GET", "/quotes/7", header)
//	instance := choice.Pick(policy, nil, now, rand.IntN)
//	verdict := admission.Enter(waiter, now)
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

// Router matches calls against the routes of one table. It is compiled once and
// never changes.
type Router struct {
	Table *revision.Table
	hosts map[string]*prefixes // by lower-case host name
	any   *prefixes            // routes without a host
}

// prefixes finds the routes of one host by path prefix.
type prefixes struct {
	longest int                 // bytes of the longest prefix
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
	r := &Router{Table: t, hosts: map[string]*prefixes{}, any: newPrefixes()}
	order := slices.Clone(t.Routes)
	sort.SliceStable(order, func(i, j int) bool { return moreSpecific(order[i], order[j]) })
	for _, rt := range order {
		c := compile(rt)
		if len(rt.Hosts) == 0 {
			r.any.add(c)
		}
		for _, host := range rt.Hosts {
			host = strings.ToLower(host)
			if r.hosts[host] == nil {
				r.hosts[host] = newPrefixes()
			}
			r.hosts[host].add(c)
		}
	}
	return r
}

func newPrefixes() *prefixes { return &prefixes{routes: map[string][]*route{}} }

func (p *prefixes) add(r *route) {
	p.routes[r.Prefix] = append(p.routes[r.Prefix], r)
	p.longest = max(p.longest, len(r.Prefix))
}

func compile(r *record.Route) *route {
	c := &route{Route: r}
	for name, value := range r.Headers {
		c.headers = append(c.headers, header{textproto.CanonicalMIMEHeaderKey(name), value})
	}
	return c
}

// moreSpecific orders routes of one host and prefix: more headers first, then
// named methods, then by name.
func moreSpecific(a, b *record.Route) bool {
	if len(a.Headers) != len(b.Headers) {
		return len(a.Headers) > len(b.Headers)
	}
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		return len(a.Methods) > 0
	}
	return a.Name < b.Name
}

// Match returns the most specific route of a call, or nil: a named host goes
// before none, then the longer prefix, then more headers, then a named method.
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
	return r.any.match(method, path, header)
}

// match tries the prefixes of a path that end at a segment, the longest first.
func (p *prefixes) match(method, path string, header http.Header) *record.Route {
	if found := p.at(path, method, header); found != nil {
		return found
	}
	for i := min(len(path)-1, p.longest); i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if found := p.at(path[:i+1], method, header); found != nil {
			return found
		}
		if found := p.at(path[:i], method, header); found != nil {
			return found
		}
	}
	return nil
}

func (p *prefixes) at(prefix, method string, header http.Header) *record.Route {
	for _, r := range p.routes[prefix] {
		if r.accepts(method, header) {
			return r.Route
		}
	}
	return nil
}

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

// Part returns the service that one call of a route goes to: each by its
// weight, where the route is split.
func Part(r *record.Route, rand Rand) string {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	if total <= 0 {
		return r.Service
	}
	n := rand(total)
	for _, p := range r.Parts {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return r.Service
}

// Idempotent tells whether a call of the route may run more than once: the
// route decides, and where it does not, the method.
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
