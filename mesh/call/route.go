// Package call decides what happens to a call: its route, the backend server,
// its attempts and its deadline. It opens no connection and starts no
// goroutine.
//
// # Usage
//
//	router := call.NewRouter(table)
//	route := router.Match("quotes.example", "GET", "/quotes/7", header)
package call

import (
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
)

// Router matches calls against the routes of one table.
type Router struct {
	Table *revision.Table
	order []*record.Route // most specific first
}

// NewRouter returns the router of a table.
func NewRouter(t *revision.Table) *Router {
	r := &Router{Table: t, order: slices.Clone(t.Routes)}
	sort.SliceStable(r.order, func(i, j int) bool { return moreSpecific(r.order[i], r.order[j]) })
	return r
}

// moreSpecific orders routes: named hosts first, then longer prefixes, then
// more headers, then named methods, then by name.
func moreSpecific(a, b *record.Route) bool {
	if (len(a.Hosts) > 0) != (len(b.Hosts) > 0) {
		return len(a.Hosts) > 0
	}
	if len(a.Prefix) != len(b.Prefix) {
		return len(a.Prefix) > len(b.Prefix)
	}
	if len(a.Headers) != len(b.Headers) {
		return len(a.Headers) > len(b.Headers)
	}
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		return len(a.Methods) > 0
	}
	return a.Name < b.Name
}

// Match returns the most specific route of a call, or nil.
func (r *Router) Match(host, method, path string, header http.Header) *record.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, route := range r.order {
		if matches(route, host, method, path, header) {
			return route
		}
	}
	return nil
}

func matches(r *record.Route, host, method, path string, header http.Header) bool {
	if len(r.Hosts) > 0 && !slices.ContainsFunc(r.Hosts, func(h string) bool { return strings.EqualFold(h, host) }) {
		return false
	}
	if !underPrefix(path, r.Prefix) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	for name, value := range r.Headers {
		if header.Get(name) != value {
			return false
		}
	}
	return true
}

// underPrefix matches whole path segments.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Idempotent tells whether a call of the route may run more than once.
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
