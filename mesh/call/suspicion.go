package call

// This file defines what is known of a request during which backend servers ended, and how
// it is treated for that.

import (
	"slices"
	"time"
)

// Standing says how a request is to be treated.
type Standing int

// The values of Standing.
const (
	Unsuspected Standing = iota
	Suspected            // it runs only on probation: alone among suspects, and at few servers
	Condemned            // it is refused
)

// End is the end of a backend server's process while a request ran there.
type End struct {
	Server uint64    // identifies the incarnation of the server
	Weight int       // one of the weights below
	At     time.Time // when it ended
	// Answered means that the server had answered the request whole, within SurvivalTime.
	Answered bool
}

// Weights of an end as evidence against a request that was running.
const (
	WeightBystander = 0 // a suspected request was running, and this one was not suspected
	WeightCrowd     = 1 // others were running too
	WeightAlone     = 2 // no other request that may be at fault was running
)

const (
	// suspectedWeight is the evidence from which a request is suspected. One end among
	// other requests is not enough: servers also end for reasons of their own.
	suspectedWeight = 2
	// condemnedWeight is the evidence from which a request is condemned. It takes at least
	// two ends, each of which the request was alone to explain, or more of weaker ones.
	condemnedWeight = 4
	// maxAnsweredWeight bounds the evidence of ends after answers, but for those that the
	// request was alone to explain: frequent requests are answered just before any end.
	maxAnsweredWeight = suspectedWeight
	// maxEnds is the number of ends that are kept of a request, the latest ones.
	maxEnds = 8
	// suspicionTime is how long an end counts, and how long a condemned request is
	// remembered after it was last refused. Within it a faulty request is expected to come
	// again, or its service to be released anew.
	suspicionTime = 30 * time.Minute
)

// SurvivalTime is how long a server must go on after a whole answer for the answer to clear a
// request under which servers have ended just after they answered.
const SurvivalTime = 100 * time.Millisecond

// trialDelays holds the time before each trial of a condemned request, since the last end
// or the trial before: it then runs again on probation, to learn whether its service was
// mended. All nodes together make these trials and no others, since each one ends a
// further server if nothing was mended.
var trialDelays = [...]time.Duration{time.Minute, 15 * time.Minute}

// Suspicion is what is known of a request during which servers ended.
type Suspicion struct {
	Request   Fingerprint
	Ends      []End     // of distinct servers
	Answered  time.Time // when a server was last known to answer the request; zero if never
	Survived  time.Time // the last such time after which that server was found to go on; zero if never
	Trials    int       // trials that were claimed, by any node
	TrialAt   time.Time // when the latest of them was claimed; zero if none
	RefusedAt time.Time // when it was last refused as condemned; zero if never

	witnessed bool // an end was recorded by this node itself
}

// weight returns the evidence against the request: the ends since it was last cleared.
func (s *Suspicion) weight(now time.Time) (weight int, last time.Time) {
	cleared, answered := s.clearedAt(), 0
	for _, e := range s.Ends {
		if !e.At.After(cleared) || now.Sub(latest(e.At, s.RefusedAt)) >= suspicionTime {
			continue
		}
		last = latest(last, e.At)
		if e.Answered && e.Weight < WeightAlone {
			answered += e.Weight
		} else {
			weight += e.Weight
		}
	}
	return weight + min(answered, maxAnsweredWeight), last
}

// clearedAt returns the time of the last answer that clears the request. If a server has
// ended just after it answered, only an answer that its server survived does.
func (s *Suspicion) clearedAt() time.Time {
	if s.endsAnswered() {
		return s.Survived
	}
	return latest(s.Answered, s.Survived)
}

// endsAnswered reports whether a server has ended just after it answered the request, and
// none was found to survive an answer since.
func (s *Suspicion) endsAnswered() bool {
	return slices.ContainsFunc(s.Ends, func(e End) bool { return e.Answered && e.At.After(s.Survived) })
}

// standing returns how the request is to be treated.
func (s *Suspicion) standing(now time.Time) Standing {
	weight, _ := s.weight(now)
	switch {
	case weight < suspectedWeight:
		return Unsuspected
	case weight < condemnedWeight:
		return Suspected
	}
	return Condemned
}

// trials returns the trials since the request was last cleared.
func (s *Suspicion) trials() int {
	if s.TrialAt.After(s.clearedAt()) {
		return s.Trials
	}
	return 0
}

// trialDue reports whether a condemned request may be tried again.
func (s *Suspicion) trialDue(now time.Time) bool {
	_, last := s.weight(now)
	done := s.trials()
	if done > 0 {
		last = latest(last, s.TrialAt)
	}
	return done < len(trialDelays) && now.Sub(last) >= trialDelays[done]
}

// addTrials takes the number of trials that were claimed by some time, and reports whether
// it was news.
func (s *Suspicion) addTrials(count int, at time.Time) bool {
	if count <= s.trials() || !at.After(s.clearedAt()) {
		return false
	}
	s.Trials, s.TrialAt = count, at
	return true
}

// lastChange returns the latest time at which something was learned of the request.
func (s *Suspicion) lastChange() time.Time {
	last := latest(latest(s.Answered, s.Survived), latest(s.TrialAt, s.RefusedAt))
	for _, e := range s.Ends {
		last = latest(last, e.At)
	}
	return last
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addEnd adds an end and reports whether it was news. Of a server's end the largest weight
// counts, and the earliest time, since news of it take some time.
func (s *Suspicion) addEnd(e End) bool {
	for i := range s.Ends {
		if known := &s.Ends[i]; known.Server == e.Server {
			if e.At.Before(known.At) {
				known.At = e.At
			}
			news := e.Weight > known.Weight || e.Answered && !known.Answered
			known.Answered = known.Answered || e.Answered
			known.Weight = max(known.Weight, e.Weight)
			return news
		}
	}
	if len(s.Ends) == maxEnds {
		oldest := 0
		for i := range s.Ends {
			if s.Ends[i].At.Before(s.Ends[oldest].At) {
				oldest = i
			}
		}
		if e.At.Before(s.Ends[oldest].At) {
			return false
		}
		s.Ends = slices.Delete(s.Ends, oldest, oldest+1)
	}
	s.Ends = append(s.Ends, e)
	return true
}

// clone returns a copy with the trials that count.
func (s *Suspicion) clone() Suspicion {
	out := *s
	out.Ends, out.Trials = slices.Clone(s.Ends), s.trials()
	return out
}

// String returns the name of the standing in log lines.
func (s Standing) String() string {
	return [...]string{"unsuspected", "suspected", "condemned"}[s]
}
