package call

// This file passes overload of a service on to the services that call it. It handles
// a service whose slots are needed by both callers' calls and nested ones. Since
// nested calls go first there, less urgent calls elsewhere could take all its slots
// from more urgent ones. So while most of those are refused, a service that calls it
// refuses some of its own less urgent calls before they run, until both fare alike.
// What a service refuses is the sum over its gates: a gate by itself sees only the
// calls that were sent to it.

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Tally counts the decisions of gates about the calls of a priority, nested ones left
// out. Each call counts once: at the gate that ran it, or at the last one that refused
// it. Decisions lose weight with time, so the counts aren't whole.
type Tally struct {
	Priority int
	Served   float64 // got a slot
	Refused  float64 // got none
	Yielded  float64 // refused for more urgent calls at a service that the backend server calls
}

// RefusedShare returns the share of the calls that found no slot, of those that asked for
// one.
func (t Tally) RefusedShare() float64 {
	if t.Served+t.Refused <= 0 {
		return 0
	}
	return t.Refused / (t.Served + t.Refused)
}

const (
	// maxPriorities bounds the priorities that are tracked.
	maxPriorities = 16
	// tallyTime is the time constant with which decisions lose weight in a Tally. It is
	// long enough for some tens of decisions at the gates of a busy service.
	tallyTime = 2 * time.Second
	// maxTallyAge is the age from which the tallies of a gate are ignored.
	maxTallyAge = 3 * time.Second
)

// FormatTallies returns the value of HeaderTally: for each priority the priority, the
// calls served, refused and, if there are any, yielded, separated by colons, and commas
// between them.
func FormatTallies(tallies []Tally) string {
	var buffer [64]byte
	out := buffer[:0]
	for i, t := range tallies {
		if i > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendInt(out, int64(t.Priority), 10)
		out = strconv.AppendFloat(append(out, ':'), t.Served, 'f', 1, 64)
		out = strconv.AppendFloat(append(out, ':'), t.Refused, 'f', 1, 64)
		if t.Yielded > 0 {
			out = strconv.AppendFloat(append(out, ':'), t.Yielded, 'f', 1, 64)
		}
	}
	return string(out)
}

// ParseTallies parses the value of HeaderTally. It skips invalid items.
func ParseTallies(text string) []Tally {
	if text == "" {
		return nil
	}
	var out []Tally
	for item := range strings.SplitSeq(text, ",") {
		if t, ok := parseTally(item); ok && len(out) < maxPriorities {
			out = append(out, t)
		}
	}
	return out
}

func parseTally(item string) (Tally, bool) {
	first, counts, _ := strings.Cut(item, ":")
	priority, err := strconv.Atoi(first)
	if err != nil {
		return Tally{}, false
	}
	var values [3]float64
	n := 0
	for count := range strings.SplitSeq(counts, ":") {
		v, err := strconv.ParseFloat(count, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) || n == len(values) {
			return Tally{}, false
		}
		values[n] = v
		n++
	}
	return Tally{Priority: priority, Served: values[0], Refused: values[1], Yielded: values[2]}, n >= 2
}

// AddTallies adds tallies to those of other gates, by priority, and returns the sums.
func AddTallies(sums, tallies []Tally) []Tally {
	for _, t := range tallies {
		i := slices.IndexFunc(sums, func(s Tally) bool { return s.Priority == t.Priority })
		if i < 0 {
			sums = append(sums, t)
			continue
		}
		sums[i].Served += t.Served
		sums[i].Refused += t.Refused
		sums[i].Yielded += t.Yielded
	}
	return sums
}

// tallyMeter counts the decisions of one gate. The zero value is ready for use.
type tallyMeter struct {
	tallies []Tally
	at      time.Time // to which the weights belong
}

// of returns the tally of a priority at a time, or nil if too many are tracked.
func (m *tallyMeter) of(priority int, now time.Time) *Tally {
	m.decay(now)
	i := slices.IndexFunc(m.tallies, func(t Tally) bool { return t.Priority == priority })
	if i < 0 {
		if len(m.tallies) == maxPriorities {
			return nil
		}
		i = len(m.tallies)
		m.tallies = append(m.tallies, Tally{Priority: priority})
	}
	return &m.tallies[i]
}

// decay brings the weights to a time.
func (m *tallyMeter) decay(now time.Time) {
	factor := math.Exp(-float64(max(0, now.Sub(m.at))) / float64(tallyTime))
	m.at = now
	for i := range m.tallies {
		t := &m.tallies[i]
		t.Served, t.Refused, t.Yielded = t.Served*factor, t.Refused*factor, t.Yielded*factor
	}
}

// current returns the tallies at a time. The caller must not keep them.
func (m *tallyMeter) current(now time.Time) []Tally {
	m.decay(now)
	return m.tallies
}

// Tallies returns the tallies to be sent with responses, as FormatTallies formats them.
func (a *Admission) Tallies(now time.Time) string { return FormatTallies(a.tallies.current(now)) }

// counts reports whether the decision about a waiter counts in the tallies.
func (w *Waiter) counts() bool { return !w.nested && !w.Objective.IsZero() }

// refuse rejects a waiter for want of a slot.
func (a *Admission) refuse(w *Waiter, reason Reason, now time.Time) {
	w.reject(reason)
	if !w.Last || !w.counts() {
		return
	}
	if t := a.tallies.of(w.Priority, now); t != nil {
		t.Refused++
	}
}

// yields decides whether a call must make room for more urgent ones at a service that
// the backend server calls. It spreads these refusals evenly over the calls. Only the
// first gate that is asked decides it.
func (a *Admission) yields(w *Waiter, now time.Time) bool {
	if w.YieldShare <= 0 || w.Repeated || !w.counts() {
		return false
	}
	if a.yieldCarry == nil || len(a.yieldCarry) > maxPriorities {
		a.yieldCarry = map[int]float64{}
	}
	a.yieldCarry[w.Priority] += w.YieldShare
	if a.yieldCarry[w.Priority] < 1 {
		return false
	}
	a.yieldCarry[w.Priority]--
	if t := a.tallies.of(w.Priority, now); t != nil {
		t.Yielded++
	}
	return true
}

// Shortage is the share of the calls of a priority that a service refuses for want of
// slots.
type Shortage struct {
	Priority int
	Refused  float64 // from 0 to 1
}

const (
	// starvedShare is the share from which refused calls count as starved. Nested calls
	// are short, so that the calls which make them get more answers out of each slot of
	// the called service than those that they displace. They make room only where more
	// urgent calls are starved.
	starvedShare = 0.5
	// shortageTolerance is the part of a shortage that is not passed on.
	shortageTolerance = 0.15
	// lastingTime is the time constant of the average by which a shortage counts as
	// lasting.
	lastingTime = 10 * time.Second
	// maxShortageGap bounds the time for which a new share counts in that average.
	maxShortageGap = time.Second
	// minShortageCalls is the weight of the decisions below which they show nothing.
	minShortageCalls = 5
)

// Starvation tells which calls a service starves, by the sums of its gates' tallies. The
// zero value has seen none. It is not safe for concurrent use.
type Starvation struct {
	lasting map[int]float64 // average share refused, by priority
	at      time.Time
}

// Update takes the sums at a time and returns the priorities of which more than
// starvedShare was refused for some time and still is.
func (s *Starvation) Update(sums []Tally, now time.Time) []Shortage {
	if s.lasting == nil || len(s.lasting) > maxPriorities {
		s.lasting = map[int]float64{}
	}
	weight := 1 - math.Exp(-float64(min(max(0, now.Sub(s.at)), maxShortageGap))/float64(lastingTime))
	s.at = now
	var out []Shortage
	for _, t := range sums {
		if t.Served+t.Refused < minShortageCalls {
			continue
		}
		share := t.RefusedShare()
		s.lasting[t.Priority] += weight * (share - s.lasting[t.Priority])
		if share = min(share, s.lasting[t.Priority]); share >= starvedShare {
			out = append(out, Shortage{t.Priority, share})
		}
	}
	return out
}

// YieldShare returns the share of a service's calls of a priority to refuse before they
// run, by the shortages of the services that it calls and by its own sums. The calls are
// served as often then as the more urgent ones that are starved most, and somewhat more
// by shortageTolerance. Those that the service refuses in any case count.
func YieldShare(priority int, shortages []Shortage, own []Tally) float64 {
	wanted := 0.0
	for _, s := range shortages {
		if s.Priority < priority {
			wanted = max(wanted, s.Refused-shortageTolerance)
		}
	}
	refused := 0.0
	for _, t := range own {
		if t.Priority == priority {
			refused = t.RefusedShare()
		}
	}
	if wanted <= refused {
		return 0
	}
	return (wanted - refused) / (1 - refused)
}
