package rollout

// This file judges a version by the calls at its servers, against those at the other servers
// of the service at the same time. It handles versions that fail or are slow at some of their
// calls, from the start or later, and services in trouble, whose other servers fail as well.

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// slowBuckets is how many buckets above the median of the other servers a duration is
	// slow: from 2.2 times the median, and 2.6 times with certainty. Bad versions are 3 times
	// slower or more, and good servers differ by less than 2.
	slowBuckets = 10
	// minCallsForMedian is the least number of calls of the other servers that give a median.
	minCallsForMedian = 8
	// minServersToDrop is the number of servers of the version from which the worst one does
	// not count, since the server itself may be at fault.
	minServersToDrop = 3
	// unknownDispersion is assumed when too few of the other servers have calls to measure it.
	unknownDispersion = 2
	// minShare is the least share of bad calls that is assumed of the other servers.
	minShare = 0.004
)

// Criteria say how much evidence it takes to call a version bad.
type Criteria struct {
	Margins    float64 // multiplies the least differences of the shares of bad calls
	BadCalls   float64 // least number of bad calls
	Deviations float64 // least distance from the others in standard deviations
	Factor     float64 // least ratio of the shares of bad calls, which counts where the others fail as well
}

// Criteria of phases. A verdict is asked for about ten times a second and in several ways, and
// the calls of a server are not independent of each other, so it takes many deviations.
var (
	canaryCriteria = Criteria{Margins: 1, BadCalls: 5, Deviations: 4.5, Factor: 1.5}
	// shiftCriteria are for failures while the calls move: each moment costs more calls than
	// all of the canaries, which had found little.
	shiftCriteria = Criteria{Margins: 1, BadCalls: 4, Deviations: 3.5, Factor: 2}
	// settleCriteria are for comparisons with calls of an earlier time.
	settleCriteria = Criteria{Margins: 2, BadCalls: 5, Deviations: 4.5, Factor: 2}
	// doubtCriteria keep the calls from moving, and doubtAtBound ends a roll-out that has
	// nearly used up its bound.
	doubtCriteria = Criteria{Margins: 0.5, BadCalls: 2, Deviations: 2.2, Factor: 1.5}
	doubtAtBound  = Criteria{Margins: 0.5, BadCalls: 3, Deviations: 3, Factor: 2.5}
	// agreeCriteria are for the latest calls when a verdict rests on all of them: trouble of the
	// service that began late concerns more of the canaries' calls, whose number grows.
	agreeCriteria = Criteria{Margins: 0.5, BadCalls: 1, Deviations: 1, Factor: 2}
)

// Least differences between the shares of bad calls of a bad version and of the others.
const (
	failureMargin = 0.04
	slowMargin    = 0.15
	// fewSlowMargin is added to slowMargin for one server, and less for more of them, since good
	// servers differ in speed.
	fewSlowMargin  = 0.5
	rejectedMargin = 0.35 // servers reject when they are full, and new ones are full sooner
)

// Verdict is the result of a comparison.
type Verdict struct {
	Bad    bool
	Kind   string // of the bad calls: "failures", "slow" or "rejected"
	Route  string // "" for all routes together
	Share  float64
	Others float64 // share of bad calls of the other servers
	Calls  int     // of the version, those of the worst server excepted
	Score  float64 // distance in standard deviations
}

// String returns the verdict as a reason for operators.
func (v Verdict) String() string {
	if !v.Bad {
		return "good"
	}
	route := "all routes"
	if v.Route != "" {
		route = "route " + v.Route
	}
	return fmt.Sprintf("%s: %.1f%% of %d calls on %s, %.1f%% at the other servers", v.Kind, 100*v.Share, v.Calls, route, 100*v.Others)
}

// share is a number of calls and how many of them are bad.
type share struct{ calls, bad float64 }

// Judge compares the servers of a version with the others.
func Judge(version, others []Tallies, criteria Criteria) Verdict {
	routes := map[string]bool{}
	for _, t := range version {
		for route := range t {
			routes[route] = true
		}
	}
	strict := criteria // for what differs between good servers too
	if strict.Deviations > doubtAtBound.Deviations {
		strict.BadCalls, strict.Deviations = canaryCriteria.BadCalls, canaryCriteria.Deviations
	}
	strict.Margins = max(1, strict.Margins)
	best := Verdict{}
	consider := func(v Verdict) {
		if v.Score > best.Score && (v.Bad || !best.Bad) || v.Bad && !best.Bad {
			best = v
		}
	}
	sorted := slices.Sorted(maps.Keys(routes))
	for _, route := range sorted {
		consider(compare("failures", route, shares(version, route, failed), shares(others, route, failed), failureMargin, criteria))
		consider(compare("rejected", route, shares(version, route, rejected), shares(others, route, rejected), rejectedMargin, strict))
		if slow, ok := slowFrom(others, route); ok {
			late := func(t *Tally) share {
				bad := t.Durations.from(slow)
				pending := t.Pending.from(slow)
				return share{float64(t.Durations.from(0) + pending), float64(bad + pending)}
			}
			consider(compare("slow", route, shares(version, route, late), shares(others, route, late), slowMargin+fewSlowMargin/math.Sqrt(max(1, float64(len(version)))), strict))
		}
	}
	if len(sorted) > 1 {
		consider(compare("failures", "", allShares(version, sorted), allShares(others, sorted), failureMargin, criteria))
	}
	return best
}

func failed(t *Tally) share { return share{float64(t.Calls), float64(t.Failures)} }

func rejected(t *Tally) share { return share{float64(t.Calls + t.Rejected), float64(t.Rejected)} }

// shares returns the shares of the servers that have calls of a route.
func shares(servers []Tallies, route string, of func(*Tally) share) (out []share) {
	for _, t := range servers {
		if r := t[route]; r != nil {
			if s := of(r); s.calls > 0 {
				out = append(out, s)
			}
		}
	}
	return out
}

// allShares returns the shares of failures over routes.
func allShares(servers []Tallies, routes []string) (out []share) {
	for _, t := range servers {
		var sum share
		for _, route := range routes {
			if r := t[route]; r != nil {
				s := failed(r)
				sum.calls += s.calls
				sum.bad += s.bad
			}
		}
		if sum.calls > 0 {
			out = append(out, sum)
		}
	}
	return out
}

// slowFrom returns the bucket from which calls of a route are slow.
func slowFrom(others []Tallies, route string) (int, bool) {
	var all Histogram
	for _, t := range others {
		if r := t[route]; r != nil {
			all.add(&r.Durations)
		}
	}
	if all.from(0) < minCallsForMedian {
		return 0, false
	}
	median, _ := all.median()
	return median + slowBuckets, true
}

// total returns the sum of shares.
func total(all []share) (sum share) {
	for _, s := range all {
		sum.calls += s.calls
		sum.bad += s.bad
	}
	return sum
}

// compare compares the shares of bad calls. The distance is the signed root of the likelihood
// ratio, which holds for few calls too, reduced by how much more the other servers differ
// among each other than by chance.
func compare(kind, route string, version, others []share, margin float64, criteria Criteria) Verdict {
	if len(version) >= minServersToDrop {
		version = withoutWorst(version)
	}
	v, o := total(version), total(others)
	out := Verdict{Kind: kind, Route: route, Calls: int(v.calls)}
	if v.calls == 0 || v.bad < criteria.BadCalls {
		return out
	}
	out.Share = v.bad / v.calls
	out.Others = max(minShare, (o.bad+0.5)/(o.calls+1))
	if out.Share < out.Others*criteria.Factor+margin*criteria.Margins || len(version) > 1 && !widespread(version, out.Share) && (criteria != doubtCriteria || len(version) > 2) {
		return out
	}
	both := (v.bad + out.Others*o.calls) / (v.calls + o.calls)
	g := 2 * (v.calls*divergence(out.Share, both) + o.calls*divergence(out.Others, both))
	out.Score = math.Sqrt(max(0, g) / dispersion(others, out.Others))
	out.Bad = out.Score >= criteria.Deviations
	return out
}

// withoutWorst returns the shares without the highest one.
func withoutWorst(all []share) []share {
	worst := slices.MaxFunc(all, func(a, b share) int {
		switch d := a.bad/a.calls - b.bad/b.calls; {
		case d > 0:
			return 1
		case d < 0:
			return -1
		}
		return 0
	})
	dropped := false
	return slices.DeleteFunc(slices.Clone(all), func(s share) bool {
		if dropped || s != worst {
			return false
		}
		dropped = true
		return true
	})
}

// widespread reports whether at least two servers have a notable share of bad calls.
func widespread(all []share, mean float64) bool {
	n := 0
	for _, s := range all {
		if s.bad > 0 && s.bad/s.calls >= mean/4 {
			n++
		}
	}
	return n >= 2
}

// divergence returns the relative entropy of two shares.
func divergence(p, q float64) float64 {
	sum := 0.0
	if p > 0 {
		sum += p * math.Log(p/q)
	}
	if p < 1 {
		sum += (1 - p) * math.Log((1-p)/(1-q))
	}
	return sum
}

// dispersion returns how much more the shares of servers differ than by chance: the mean of
// the squared deviations in units of their expectation, and 1 at least.
func dispersion(all []share, mean float64) float64 {
	sum, n := 0.0, 0
	for _, s := range all {
		if s.calls >= 3 {
			expected := s.calls * mean
			sum += (s.bad - expected) * (s.bad - expected) / (expected * (1 - mean))
			n++
		}
	}
	if n < 3 {
		return unknownDispersion
	}
	return max(1, sum/float64(n-1))
}
