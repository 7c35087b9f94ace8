// Package configcheck finds entries of a valid configuration that cannot do what they say:
// routes that no call matches and limits that contradict each other. A node accepts such a
// configuration, since each entry is correct by itself.
//
// The package opens no sockets and starts no goroutines.
//
// # Usage
//
//	table, held, err := revision.Preview(records)
//	for _, w := range configcheck.Table(table) {
//		fmt.Println(w.Key, w.Field, w.Reason)
//	}
package configcheck

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// Warning is an entry that cannot do what it says.
type Warning struct {
	Key    record.Key // of the entry
	Field  string
	Reason string
	Others []record.Key // entries that it contradicts
}

// checker collects warnings.
type checker struct{ warnings []Warning }

func (c *checker) add(key record.Key, field string, others []record.Key, format string, args ...any) {
	c.warnings = append(c.warnings, Warning{Key: key, Field: field, Reason: fmt.Sprintf(format, args...), Others: others})
}

func routeKey(r *record.Route) record.Key {
	return record.Key{Kind: wire.Kind_KIND_ROUTE, Name: r.Name}
}

func policyKey(name string) record.Key {
	return record.Key{Kind: wire.Kind_KIND_POLICY, Name: name}
}

// Table returns the warnings about a table, by route and then by policy.
func Table(t *revision.Table) []Warning {
	c := &checker{}
	for _, h := range call.HiddenRoutes(t) {
		c.addHidden(h)
	}
	for _, r := range t.Routes {
		c.checkRoute(r)
		if s := t.Services[r.Service]; s != nil && t.Policies[s.Policy] != nil {
			c.checkRouteWithPolicy(r, t.Policies[s.Policy])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Policies)) {
		c.checkPolicy(t.Policies[name])
	}
	return c.warnings
}

func (c *checker) addHidden(h call.HiddenRoute) {
	names, others := make([]string, len(h.HiddenBy)), make([]record.Key, len(h.HiddenBy))
	for i, r := range h.HiddenBy {
		others[i] = routeKey(r)
		names[i] = others[i].String()
	}
	where := "at any host"
	if !h.Entirely {
		where = "at host " + h.Host
	}
	c.add(routeKey(h.Route), "prefix", others, "matches no call %s: %s, tried first, takes all calls of %q", where, strings.Join(names, " with "), h.Route.Prefix)
}

// checkRoute finds contradictions within a route.
func (c *checker) checkRoute(r *record.Route) {
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		c.add(routeKey(r), "objective", nil, "%s is beyond the timeout of %s", r.LatencyObjective, r.Timeout)
	}
	if r.Hedge && r.Repeat == record.RepeatNever {
		c.add(routeKey(r), "hedge", nil, "has no effect: with repeat \"never\" no call runs twice")
	}
}

// checkRouteWithPolicy finds contradictions between a route and the policy of its service.
func (c *checker) checkRouteWithPolicy(r *record.Route, p *record.Policy) {
	for _, t := range []struct {
		field   string
		value   time.Duration
		applies bool
		effect  string
	}{
		{"retry.after", p.Retry.Delay, true, "a call has ended before its retry"},
		{"hedge.after", p.Hedge.Delay, r.Hedge, "a call has ended before its hedge"},
		{"queue.wait", p.Queue.MaxWait, true, "a call has ended before its wait for a slot"},
	} {
		if t.applies && r.Timeout > 0 && t.value >= r.Timeout {
			key := policyKey(p.Name)
			c.add(routeKey(r), "timeout", []record.Key{key}, "%s is not above %s of %s, %s: %s", r.Timeout, t.field, key, t.value, t.effect)
		}
	}
}

// checkPolicy finds contradictions within a policy.
func (c *checker) checkPolicy(p *record.Policy) {
	key := policyKey(p.Name)
	for _, b := range []struct {
		field string
		record.Budget
	}{{"hedge", p.Hedge}, {"retry", p.Retry}} {
		if b.MaxAttempts == 1 && (b.Percent > 0 || b.Delay > 0) {
			c.add(key, b.field+".attempts", nil, "allows the first attempt only, so the rest of %s has no effect", b.field)
		}
	}
	if p.Pace == record.PaceOn && p.Warmup > 0 {
		c.add(key, "warmup", nil, "has no effect: with pace \"on\" the server's responses decide")
	}
}

// Document returns the warnings about what a document says and its table does not show:
// services without a share of their route, and workspaces whose quota allows no call.
func Document(d *wire.Document) []Warning {
	c := &checker{}
	for _, r := range d.GetRoutes() {
		key := record.Key{Kind: wire.Kind_KIND_ROUTE, Name: r.GetName()}
		for i, p := range r.GetParts() {
			if p.GetWeight() == 0 {
				c.add(key, fmt.Sprintf("parts[%d].weight", i), nil, "is 0: service %s gets no call", p.GetService())
			}
		}
	}
	for i, w := range d.GetWorkspaces() {
		field := fmt.Sprintf("workspaces[%d].", i)
		if v := w.GetRate(); v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			c.add(record.Key{}, field+"rate", nil, "of %s is %v, which is no rate", w.GetName(), v)
		}
		switch v := w.GetBurst(); {
		case v < 0 || math.IsNaN(v) || math.IsInf(v, 0):
			c.add(record.Key{}, field+"burst", nil, "of %s is %v, which is no number of requests", w.GetName(), v)
		case v > 0 && v < 1:
			c.add(record.Key{}, field+"burst", nil, "of %s is %v, below one request", w.GetName(), v)
		}
	}
	return c.warnings
}
