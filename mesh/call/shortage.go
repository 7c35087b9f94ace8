package call

// This file passes overload of a service on to the services that call it. It handles
// a service whose slots are needed by both callers' calls and nested ones. Since
// nested calls go first there, less urgent calls elsewhere could take all its slots
// from more urgent ones. So while most of those are refused, a service that calls it
// refuses, before they run, nearly the same share of its own less urgent calls.

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Shortage is the share of calls of a priority that a service refuses for want of
// slots.
type Shortage struct {
	Priority int
	Refused  float64 // from 0 to 1
}

// FormatShortages returns the value of HeaderShortage: for each shortage its priority
// and its share in percent, separated by a colon, and commas between them.
func FormatShortages(shortages []Shortage) string {
	var out []byte
	for i, s := range shortages {
		if i > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendInt(out, int64(s.Priority), 10)
		out = append(out, ':')
		out = strconv.AppendInt(out, int64(100*s.Refused+0.5), 10)
	}
	return string(out)
}

// ParseShortages parses the value of HeaderShortage. It skips invalid items.
func ParseShortages(text string) []Shortage {
	var out []Shortage
	for item := range strings.SplitSeq(text, ",") {
		left, right, _ := strings.Cut(item, ":")
		priority, err := strconv.Atoi(left)
		percent, percentErr := strconv.ParseUint(right, 10, 8)
		if err == nil && percentErr == nil && len(out) < maxPriorities {
			out = append(out, Shortage{priority, min(float64(percent)/100, 1)})
		}
	}
	return out
}

const (
	// maxPriorities bounds the priorities that are tracked.
	maxPriorities = 16
	// recentWeight and lastingWeight are the weights of a decision in the averages of
	// the share of refused calls. At 30 decisions a second their time constants are
	// 1 and 10 s.
	recentWeight  = 0.03
	lastingWeight = 0.003
	// starvedShare is the lasting share from which a shortage is reported, and
	// shortageTolerance the part of it that is not passed on. Nested calls are short,
	// so that the calls which make them get more answers out of each slot of the
	// called service than those that they displace. They make room only where more
	// urgent calls are starved.
	starvedShare      = 0.5
	shortageTolerance = 0.15
	// shortageLifetime is how long a reported shortage holds without a newer report.
	// It is renewed with each nested call's answer.
	shortageLifetime = time.Second
)

// shortageMeter measures the shares of calls that are refused, by priority. The zero
// value is ready for use.
type shortageMeter struct{ shares []refusedShare }

// refusedShare holds moving averages over the calls of one priority.
type refusedShare struct {
	priority        int
	recent, lasting float64
	updated         time.Time
}

// add records the decision about a call.
func (m *shortageMeter) add(priority int, refused bool, now time.Time) {
	i := slices.IndexFunc(m.shares, func(s refusedShare) bool { return s.priority == priority })
	if i < 0 {
		if len(m.shares) == maxPriorities {
			return
		}
		i = len(m.shares)
		m.shares = append(m.shares, refusedShare{priority: priority})
	}
	s, result := &m.shares[i], 0.0
	if refused {
		result = 1
	}
	s.recent += recentWeight * (result - s.recent)
	s.lasting += lastingWeight * (result - s.lasting)
	s.updated = now
}

// current returns the priorities of which a share worth reporting was refused for
// some time and still is.
func (m *shortageMeter) current(now time.Time) []Shortage {
	var out []Shortage
	for _, s := range m.shares {
		if min(s.recent, s.lasting) >= starvedShare && now.Sub(s.updated) <= shortageLifetime {
			out = append(out, Shortage{s.priority, min(s.recent, s.lasting) - shortageTolerance})
		}
	}
	return out
}

// shortageLimiter refuses calls by the shortages of the services to which the backend
// server's nested calls go. The zero value refuses none. Its size is bounded by the
// services that the server calls.
type shortageLimiter struct {
	reports map[string]shortageReport // by service
	carry   map[int]float64           // by priority: sum of the shares since the last refusal
}

type shortageReport struct {
	shortages []Shortage
	at        time.Time
}

// record stores the newest report of a service.
func (l *shortageLimiter) record(service string, shortages []Shortage, now time.Time) {
	if l.reports == nil {
		l.reports = map[string]shortageReport{}
	}
	l.reports[service] = shortageReport{shortages, now}
}

// share returns the share of the calls of a priority to refuse: the largest share
// that any called service refuses of more urgent ones.
func (l *shortageLimiter) share(priority int, now time.Time) float64 {
	share := 0.0
	for _, r := range l.reports {
		if now.Sub(r.at) > shortageLifetime {
			continue
		}
		for _, s := range r.shortages {
			if s.Priority < priority {
				share = max(share, s.Refused)
			}
		}
	}
	return share
}

// refuses decides whether to refuse the next call of a priority. It spreads the
// refusals evenly over the calls.
func (l *shortageLimiter) refuses(priority int, now time.Time) bool {
	share := l.share(priority, now)
	if share == 0 {
		return false
	}
	if l.carry == nil || len(l.carry) > maxPriorities {
		l.carry = map[int]float64{}
	}
	l.carry[priority] += share
	if l.carry[priority] < 1 {
		return false
	}
	l.carry[priority]--
	return true
}

// RecordShortages records the shortages that a service reported to a nested call of
// the backend server.
func (a *Admission) RecordShortages(service string, shortages []Shortage, now time.Time) {
	a.called.record(service, shortages, now)
}

// Shortages returns the shortages to report to nested calls; nil if there are none.
func (a *Admission) Shortages(now time.Time) []Shortage { return a.shortages.current(now) }

// refuse rejects a waiter for want of slots, here or at a service that the backend
// server calls.
func (a *Admission) refuse(w *Waiter, reason Reason, now time.Time) {
	w.reject(reason)
	if !w.nested && !w.Objective.IsZero() {
		a.shortages.add(w.Priority, true, now)
	}
}

// yields reports whether a call must make room for more urgent ones at a service that
// the backend server calls. Only the first gate that is asked decides it.
func (a *Admission) yields(w *Waiter, now time.Time) bool {
	return !w.nested && !w.Repeated && !w.Objective.IsZero() && a.called.refuses(w.Priority, now)
}
