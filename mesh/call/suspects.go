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

	newsReady chan struct{} // receives when news wait
	duties    duties

	mu        sync.Mutex
	byRequest map[Fingerprint]*Suspicion
	news      []Fingerprint            // of suspicions that changed and were not taken yet
	claimed   map[Fingerprint]struct{} // requests whose next call here is a trial
}

// NewSuspects returns Suspects without a suspicion.
func NewSuspects(now time.Time) *Suspects {
	return &Suspects{
		answers: &answerTimes{since: now}, byRequest: map[Fingerprint]*Suspicion{}, claimed: map[Fingerprint]struct{}{},
		newsReady: make(chan struct{}, 1), duties: duties{ready: make(chan struct{}, 1)},
	}
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

// Admit returns how a call of a request is to be treated, and whether a condemned one is a
// trial, which this node has claimed and which now begins.
func (s *Suspects) Admit(f Fingerprint, now time.Time) (standing Standing, trial bool) {
	if s.known.Load() == 0 {
		return Unsuspected, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRequest[f]
	if known == nil {
		return Unsuspected, false
	}
	if standing = known.standing(now); standing != Condemned {
		return standing, false
	}
	if _, trial = s.claimed[f]; trial {
		delete(s.claimed, f)
		return Condemned, true
	}
	known.RefusedAt = now
	if known.trialDue(now) {
		s.duties.add(ClaimTrial, f)
	}
	return Condemned, false
}

// TrialDue returns what is known of a request if it may be tried again now.
func (s *Suspects) TrialDue(f Fingerprint, now time.Time) (Suspicion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.byRequest[f]; known != nil && known.standing(now) == Condemned && known.trialDue(now) {
		return known.clone(), true
	}
	return Suspicion{}, false
}

// RecordTrials records the number of trials of a request that were claimed until now. own
// means that this node has claimed the latest one.
func (s *Suspects) RecordTrials(f Fingerprint, count int, own bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRequest[f]
	if known == nil {
		return
	}
	if known.addTrials(count, now) {
		s.changed(f)
	}
	if own {
		s.claimed[f] = struct{}{}
	}
}

// ReturnTrial makes the next call of a request the trial after all, since the call that was to
// be the trial reached no server.
func (s *Suspects) ReturnTrial(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRequest[f] != nil {
		s.claimed[f] = struct{}{}
	}
}

// Evidence is what a node knows against a request.
type Evidence struct {
	Suspicion
	Standing Standing
	Weight   int           // of the ends since the request was last answered
	SinceEnd time.Duration // since the latest of them
}

// Evidence returns what is known against a request now.
func (s *Suspects) Evidence(f Fingerprint, now time.Time) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRequest[f]
	if known == nil {
		return Evidence{Suspicion: Suspicion{Request: f}}
	}
	weight, last := known.weight(now)
	return Evidence{Suspicion: known.clone(), Standing: known.standing(now), Weight: weight, SinceEnd: now.Sub(last)}
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
	before := known.standing(e.At)
	known.witnessed = true
	if known.addEnd(e) {
		s.changed(f)
	}
	standing := known.standing(e.At)
	if standing == Condemned && before != Condemned {
		s.duties.add(KeepCondemned, f)
	}
	return standing
}

// RecordAnswer records that a server answered a request whole. The ends before that no
// longer count, unless a server ended just after it answered the request. It reports whether
// the request was suspected until then.
func (s *Suspects) RecordAnswer(f Fingerprint, now time.Time) (cleared bool) {
	s.answers.record(f, now)
	return s.recordAnswer(f, now, false, now)
}

// RecordSurvival records that a server which answered a request whole at a time has gone on
// for SurvivalTime. The ends before that no longer count. It reports whether the request was
// suspected until then.
func (s *Suspects) RecordSurvival(f Fingerprint, answeredAt, now time.Time) (cleared bool) {
	return s.recordAnswer(f, answeredAt, true, now)
}

// AwaitsSurvival reports whether only RecordSurvival clears a request.
func (s *Suspects) AwaitsSurvival(f Fingerprint) bool {
	if s.known.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byRequest[f]
	return known != nil && known.endsAnswered()
}

// recordAnswer records an answer and whether its server was found to go on after it.
func (s *Suspects) recordAnswer(f Fingerprint, at time.Time, survived bool, now time.Time) (cleared bool) {
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
	s.recordAnswered(known, at, survived, now)
	if before == Unsuspected || known.standing(now) != Unsuspected {
		return false
	}
	if before == Condemned {
		delete(s.claimed, f)
		s.duties.add(DropAnswered, f)
	}
	return true
}

// recordAnswered notes that a request with a suspicion was answered. That is news where it
// takes evidence away. The caller holds s.mu.
func (s *Suspects) recordAnswered(known *Suspicion, at time.Time, survived bool, now time.Time) bool {
	before, _ := known.weight(now)
	known.Answered = latest(known.Answered, at)
	if survived {
		known.Survived = latest(known.Survived, at)
	}
	if after, _ := known.weight(now); after == before {
		return false
	}
	s.changed(known.Request)
	return true
}

// Merge takes what another node knows, as of now. What is news to this node, or what it
// knows better by its own answers, is to be passed on.
func (s *Suspects) Merge(theirs []Suspicion, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range theirs {
		if s.merge(t, now) {
			s.changed(t.Request)
		}
	}
}

// Restore takes what the platform holds, which every node that starts reads for itself.
func (s *Suspects) Restore(kept []Suspicion, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range kept {
		s.merge(k, now)
	}
}

// merge takes what is known elsewhere of a request, and reports whether it is to be passed
// on. The caller holds s.mu.
func (s *Suspects) merge(t Suspicion, now time.Time) (news bool) {
	known := s.get(t.Request, now)
	before := known.standing(now)
	for _, e := range t.Ends {
		if e.Weight > WeightBystander && now.Sub(latest(e.At, t.RefusedAt)) < suspicionTime {
			e.Weight = min(e.Weight, WeightAlone)
			news = known.addEnd(e) || news
		}
	}
	if t.Answered.After(known.Answered) {
		news = s.recordAnswered(known, t.Answered, false, now) || news
	}
	if t.Survived.After(known.Survived) {
		news = s.recordAnswered(known, t.Survived, true, now) || news
	}
	news = known.addTrials(min(t.Trials, len(trialDelays)), t.TrialAt) || news
	known.RefusedAt = latest(known.RefusedAt, t.RefusedAt)
	if known.witnessed && before != Condemned && known.standing(now) == Condemned {
		s.duties.add(KeepCondemned, t.Request) // no node may have condemned it by an end that it recorded
	}
	if len(known.Ends) == 0 {
		s.remove(t.Request)
	}
	return news
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
	delete(s.claimed, f)
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
	signal(s.newsReady)
}

// NewsReady returns a channel that receives when there are news to take.
func (s *Suspects) NewsReady() <-chan struct{} { return s.newsReady }

// signal makes a channel of one element receive.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it will receive for an earlier signal
	}
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
		if now.Sub(known.lastChange()) >= suspicionTime {
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
