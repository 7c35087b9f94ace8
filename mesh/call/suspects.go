package call

// This file remembers the requests during which backend servers ended, and decides which
// requests end servers. It handles a request that crashes each server that runs it: its
// callers and the nodes would send it to one server after the other, and every other call
// at those servers is lost with it.
//
// No single call shows which request is at fault, since a server runs several at once. The
// evidence is what recurs: a request that was running whenever servers ended, and that no
// server has answered since. One that is merely frequent is answered elsewhere meanwhile.

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSuspects bounds the requests that are remembered, some 200 bytes each.
	maxSuspects = 512
	// maxSuspectNews bounds the changes that wait to be passed on.
	maxSuspectNews = 256
)

// Suspects holds the suspicions of a node, which learns of them from its own calls and
// from other nodes. Its methods may be called concurrently; for a request without a
// suspicion they take no lock and allocate nothing.
type Suspects struct {
	answers *answerTimes
	known   atomic.Int32 // number of suspicions

	mu        sync.Mutex
	byRequest map[Fingerprint]*Suspicion
	news      []Fingerprint // of suspicions that changed and were not taken yet
}

// NewSuspects returns Suspects without a suspicion.
func NewSuspects(now time.Time) *Suspects {
	return &Suspects{answers: &answerTimes{since: now}, byRequest: map[Fingerprint]*Suspicion{}}
}

// Standing returns how a request is to be treated now.
func (s *Suspects) Standing(f Fingerprint, now time.Time) Standing {
	if s.known.Load() == 0 {
		return Unsuspected
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.byRequest[f]; known != nil {
		return known.standing(now)
	}
	return Unsuspected
}

// Evidence is what a node knows against a request.
type Evidence struct {
	Weight   int           // of the ends since the request was last answered
	Ends     int           // of servers
	SinceEnd time.Duration // since the latest of them
}

// Evidence returns what is known against a request now.
func (s *Suspects) Evidence(f Fingerprint, now time.Time) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRequest[f]
	if known == nil {
		return Evidence{}
	}
	weight, last := known.weight(now)
	return Evidence{Weight: weight, Ends: len(known.Ends), SinceEnd: now.Sub(last)}
}

// RecordEnd records that a server ended while it ran a request, and returns how the request
// is to be treated from now on.
func (s *Suspects) RecordEnd(f Fingerprint, e End) Standing {
	if e.Weight <= WeightBystander {
		return s.Standing(f, e.At)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.get(f, e.At)
	if known.addEnd(e) {
		s.changed(f)
	}
	return known.standing(e.At)
}

// RecordAnswer records that a server answered a request whole. The ends before that no
// longer count. It reports whether the request was suspected until then.
func (s *Suspects) RecordAnswer(f Fingerprint, now time.Time) (cleared bool) {
	s.answers.record(f, now)
	if s.known.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRequest[f]
	if known == nil {
		return false
	}
	before := known.standing(now)
	s.recordAnswered(known, now)
	return before != Unsuspected
}

// recordAnswered notes that a request with a suspicion was answered. That is news where it
// takes the evidence away. The caller holds s.mu.
func (s *Suspects) recordAnswered(known *Suspicion, at time.Time) bool {
	before, _ := known.weight(at)
	if at.After(known.Answered) {
		known.Answered = at
	}
	if after, _ := known.weight(at); after == before {
		return false
	}
	s.changed(known.Request)
	return true
}

// Merge takes what another node knows, as of now. What is news to this node, or what it
// knows better by its own answers, is to be passed on.
func (s *Suspects) Merge(theirs []Suspicion, now time.Time) {
	if len(theirs) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range theirs {
		news := false
		known := s.get(t.Request, now)
		for _, e := range t.Ends {
			if e.Weight > WeightBystander && now.Sub(e.At) < suspicionTime {
				e.Weight = min(e.Weight, WeightAlone)
				news = known.addEnd(e) || news
			}
		}
		if t.Answered.After(known.Answered) {
			news = s.recordAnswered(known, t.Answered) || news
		}
		if news {
			s.changed(t.Request)
		}
		if len(known.Ends) == 0 {
			s.remove(t.Request)
		}
	}
}

// get returns the suspicion of a request, which is new if there is none. The caller
// holds s.mu.
func (s *Suspects) get(f Fingerprint, now time.Time) *Suspicion {
	if known := s.byRequest[f]; known != nil {
		return known
	}
	if len(s.byRequest) >= maxSuspects {
		s.evict(now)
	}
	known := &Suspicion{Request: f, Answered: s.answers.last(f)}
	s.byRequest[f] = known
	s.known.Store(int32(len(s.byRequest)))
	return known
}

// evict removes the suspicion with the least evidence, and of these the oldest one. The
// caller holds s.mu.
func (s *Suspects) evict(now time.Time) {
	var worst Fingerprint
	var worstWeight int
	var worstAt time.Time
	first := true
	for f, known := range s.byRequest {
		weight, at := known.weight(now)
		if first || cmp.Or(cmp.Compare(weight, worstWeight), at.Compare(worstAt)) < 0 {
			first, worst, worstWeight, worstAt = false, f, weight, at
		}
	}
	s.remove(worst)
}

// remove forgets a suspicion. The caller holds s.mu.
func (s *Suspects) remove(f Fingerprint) {
	delete(s.byRequest, f)
	s.known.Store(int32(len(s.byRequest)))
}

// changed marks a suspicion as news. The oldest news are dropped if there are too many;
// Strongest brings them later. The caller holds s.mu.
func (s *Suspects) changed(f Fingerprint) {
	if slices.Contains(s.news, f) {
		return
	}
	if len(s.news) == maxSuspectNews {
		s.news = s.news[1:]
	}
	s.news = append(s.news, f)
}

// TakeNews returns up to limit suspicions that changed since they were last taken.
func (s *Suspects) TakeNews(limit int) []Suspicion {
	if s.known.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Suspicion
	for len(s.news) > 0 && len(out) < limit {
		if known := s.byRequest[s.news[0]]; known != nil {
			out = append(out, known.clone())
		}
		s.news = s.news[1:]
	}
	return out
}

// Strongest returns up to limit of the suspicions that make a difference, those with the
// most evidence first, and forgets all that no longer count.
func (s *Suspects) Strongest(limit int, now time.Time) []Suspicion {
	if s.known.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	type ranked struct {
		*Suspicion
		weight int
	}
	var all []ranked
	for f, known := range s.byRequest {
		latest := known.Answered
		for _, e := range known.Ends {
			if e.At.After(latest) {
				latest = e.At
			}
		}
		if now.Sub(latest) >= suspicionTime {
			s.remove(f)
			continue
		}
		if weight, _ := known.weight(now); weight >= suspectedWeight {
			all = append(all, ranked{known, weight})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), slices.Compare(a.Request[:], b.Request[:]))
	})
	var out []Suspicion
	for _, r := range all[:min(limit, len(all))] {
		out = append(out, r.clone())
	}
	return out
}

// Counts returns how many requests are suspected and how many are condemned.
func (s *Suspects) Counts(now time.Time) (suspected, condemned int) {
	if s.known.Load() == 0 {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.byRequest {
		switch known.standing(now) {
		case Suspected:
			suspected++
		case Condemned:
			condemned++
		}
	}
	return suspected, condemned
}
