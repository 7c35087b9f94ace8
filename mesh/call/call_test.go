package call_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// TestMain fixes the seed of rapid, so that each run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// matchByScan finds the most specific route by a linear search. It is the
// reference for the compiled Router.
func matchByScan(routes []*record.Route, host, method, path string, h http.Header) *record.Route {
	var best *record.Route
	for _, r := range routes {
		ok := hasPathPrefix(path, r.Prefix) && (len(r.Hosts) == 0 || slices.Contains(r.Hosts, host)) &&
			(len(r.Methods) == 0 || slices.Contains(r.Methods, method))
		for name, value := range r.Headers {
			ok = ok && h.Get(name) == value
		}
		if ok && (best == nil || specificity(r) > specificity(best) || specificity(r) == specificity(best) && r.Name < best.Name) {
			best = r
		}
	}
	return best
}

// hasPathPrefix reports whether prefix matches path up to a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) &&
		(strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/')
}

// specificity returns the precedence of a route that matches a call.
func specificity(r *record.Route) int {
	n := 100*len(r.Prefix) + 10*len(r.Headers) + min(1, len(r.Methods))
	if len(r.Hosts) > 0 {
		n += 100000
	}
	return n
}

// TestRouter compares the compiled Router with a linear search on random routes
// and calls.
func TestRouter(t *testing.T) {
	paths := []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/a/bc"}
	hosts, methods := []string{"x.example", "y.example"}, []string{"GET", "POST"}
	rapid.Check(t, func(t *rapid.T) {
		var routes []*record.Route
		for n := range rapid.IntRange(0, 12).Draw(t, "routes") {
			r := &record.Route{Name: fmt.Sprint("r", n), Prefix: rapid.SampledFrom(paths).Draw(t, "prefix")}
			r.Hosts = rapid.SliceOfNDistinct(rapid.SampledFrom(hosts), 0, 2, rapid.ID[string]).Draw(t, "hosts")
			r.Methods = rapid.SliceOfNDistinct(rapid.SampledFrom(methods), 0, 1, rapid.ID[string]).Draw(t, "methods")
			if rapid.Bool().Draw(t, "header") {
				r.Headers = map[string]string{"x-shop": "one"}
			}
			routes = append(routes, r)
		}
		router := call.NewRouter(&revision.Table{Routes: routes})
		host, method := rapid.SampledFrom(append(hosts, "z")).Draw(t, "host"), rapid.SampledFrom(methods).Draw(t, "method")
		path := rapid.SampledFrom(append(paths, "/a//b", "*", "")).Draw(t, "path")
		h := http.Header{}
		if rapid.Bool().Draw(t, "carried") {
			h.Set("X-Shop", "one")
		}
		require.Equal(t, matchByScan(routes, host, method, path, h), router.Match(strings.ToUpper(host)+":80", method, path, h))
	})
}

// TestOutcomeOfTwoAttempts checks that a call counts as not run only if neither
// attempt ran, in either order of the attempts.
func TestOutcomeOfTwoAttempts(t *testing.T) {
	all := []call.Outcome{call.OutcomeUnknown, call.OutcomeNotRun, call.OutcomeAnswered}
	for _, a := range all {
		for _, b := range all {
			require.Equal(t, a == call.OutcomeNotRun && b == call.OutcomeNotRun, a.Combine(b) == call.OutcomeNotRun)
			require.Equal(t, a.Combine(b), b.Combine(a))
		}
	}
}

func TestRepeatable(t *testing.T) {
	for name, c := range map[string]struct {
		outcome           call.Outcome
		idempotent, extra bool
		want              bool
	}{
		"not run":               {call.OutcomeNotRun, false, true, true},
		"unknown":               {call.OutcomeUnknown, false, false, false},
		"unknown, idempotent":   {call.OutcomeUnknown, true, false, true},
		"unknown, extra":        {call.OutcomeUnknown, true, true, false},
		"answered, not allowed": {call.OutcomeAnswered, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, call.CanRetry(c.outcome, c.idempotent, c.extra))
		})
	}
}

// TestBudget checks that extra attempts stay within the percentage of the calls
// plus the burst, and that the zero Budget allows none.
func TestBudget(t *testing.T) {
	b := call.NewBudget()
	taken := 0
	for range 10000 {
		b.Deposit(10)
		if b.Withdraw() {
			taken++
		}
	}
	require.InDelta(t, 1010, taken, 1)
	require.False(t, new(call.Budget).Withdraw())
}

func TestDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	require.Equal(t, 2*time.Second, call.Timeout(0, 2*time.Second, ""))
	require.Equal(t, 50*time.Millisecond, call.Timeout(time.Second, 2*time.Second, "50"))
	require.Equal(t, time.Second, call.Timeout(time.Second, 2*time.Second, "5000"), "a caller cannot prolong it")
	require.Equal(t, time.Second, call.Timeout(time.Second, 2*time.Second, "-1"))
	left := call.FormatTimeLeft(now.Add(100*time.Millisecond), now)
	require.Equal(t, "99", left, "it shrinks at each hop")
	require.Equal(t, "0", call.FormatTimeLeft(now, now.Add(time.Second)))
}

func instances(n int) []*call.Instance {
	var out []*call.Instance
	for i := range n {
		out = append(out, call.NewInstance(fmt.Sprint("i", i), 6))
	}
	return out
}

// TestEjection checks that failing instances are ejected, but never more than
// half of a service, that an ejection ends, and that one more failure after it
// ejects again unless the instance has succeeded since.
func TestEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	all := instances(5)
	c := &call.Balancer{Near: all[:2], Far: all[2:]}
	for range 100 {
		for _, i := range all {
			c.RecordResult(i, false, now)
		}
	}
	ejected := 0
	for _, i := range all {
		if i.Ejected(now) {
			ejected++
		}
	}
	require.Equal(t, 2, ejected)
	now = now.Add(time.Hour)
	require.False(t, all[0].Ejected(now))
	require.True(t, c.RecordResult(all[0], false, now), "one more failure ejects again")
	for range 5 {
		c.RecordResult(all[1], true, now)
	}
	require.False(t, c.RecordResult(all[1], false, now))
}

// TestPick checks for each policy that Pick never returns an instance that was
// tried, and returns an ejected one only if no other is left.
func TestPick(t *testing.T) {
	for name := range call.Policies() {
		t.Run(name, func(t *testing.T) {
			policy, random := call.Policies()[name], rand.New(rand.NewPCG(1, 2))
			now, all := time.Unix(1000, 0), instances(4)
			c := &call.Balancer{Near: all[:2], Far: all[2:]}
			all[0].Avoid(now)
			var tried []*call.Instance
			for range all {
				i := c.Pick(policy, tried, now, random.IntN)
				require.NotNil(t, i)
				require.NotContains(t, tried, i)
				tried = append(tried, i)
			}
			require.Equal(t, all[0], tried[3])
			require.Nil(t, c.Pick(policy, tried, now, random.IntN))
		})
	}
}

// TestSpill checks that near instances are preferred until they are busier than
// far ones, and again once the report of their load is outdated.
func TestSpill(t *testing.T) {
	policy, random, now := call.TwoChoices[call.ReportedLoad]{}, rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	all := instances(4)
	c := &call.Balancer{Near: all[:2], Far: all[2:]}
	pick := func() *call.Instance { return c.Pick(policy, nil, now, random.IntN) }
	for range 50 {
		require.Contains(t, c.Near, pick())
	}
	for _, i := range c.Near {
		i.RecordLoad(call.LoadReport{InProgress: 6, Slots: 6}, now)
	}
	for range 50 {
		require.Contains(t, c.Far, pick())
	}
	now = now.Add(2 * time.Second)
	require.Contains(t, c.Near, pick(), "an old report counts for nothing")
}

func TestCarriedLoad(t *testing.T) {
	now, i := time.Unix(1000, 0), call.NewInstance("i", 4)
	i.Begin()
	i.RecordLoad(call.LoadReport{InProgress: 3, Slots: 4}, now)
	require.InDelta(t, 3, i.InProgress(now), 0.01)
	require.InDelta(t, 2, i.InProgress(now.Add(500*time.Millisecond)), 0.01)
	i.End()
	require.InDelta(t, 2, i.InProgress(now), 0.01)
	require.InDelta(t, 0, i.InProgress(now.Add(time.Hour)), 0.01)
}

// TestSubset checks that a subset has its fixed size with a quarter for other
// failure domains, that the loss of an instance replaces only one offer, and that
// no instance is in nearly every subset.
func TestSubset(t *testing.T) {
	var offers []member.Offer
	for n := range 60 {
		domain := "xitun"
		if n%3 > 0 {
			domain = "beitun"
		}
		offers = append(offers, member.Offer{
			Node:   &wire.Member{Name: fmt.Sprint("i", n), Domain: domain, State: wire.State_STATE_ALIVE},
			Server: &wire.Server{Service: "quotes", Slots: 6},
		})
	}
	used := map[string]int{}
	for n := range 300 {
		near, far := call.Subset(fmt.Sprint("n", n), "xitun", offers, 20)
		require.Len(t, near, 15)
		require.Len(t, far, 5)
		for _, o := range slices.Concat(near, far) {
			used[o.Node.GetName()]++
		}
		without := slices.DeleteFunc(slices.Clone(offers), func(o member.Offer) bool { return o.Node.GetName() == near[0].Node.GetName() })
		again, _ := call.Subset(fmt.Sprint("n", n), "xitun", without, 20)
		moved := 0
		for _, o := range again {
			if !slices.ContainsFunc(near, func(p member.Offer) bool { return p.Node == o.Node }) {
				moved++
			}
		}
		require.Equal(t, 1, moved)
	}
	for name, n := range used {
		require.Less(t, n, 280, name)
	}
}
