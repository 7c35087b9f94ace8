// Package rollout decides how a service moves to a new version of its backend servers: which
// servers may get calls, when the next phase begins, and whether the version is good. It
// opens no sockets and starts no goroutines.
//
// A [Board] holds the states of all roll-outs that a node knows. A [Guard] decides at the
// gate which calls may run at its backend server, and counts them. A [Leader] collects the
// counts of all gates and decides on the phases.
//
// # Usage
//
//	board := rollout.NewBoard()
//	guard := rollout.NewGuard(board, limits, "quotes-1")
//	if !guard.Admit(rollout.Server{Service: "quotes", Version: "v2"}, time.Now()) {
//		// refuse the call
//	}
package rollout

import (
	"slices"
	"time"
)

// Limits bounds what a version may do before it is known to be good.
type Limits struct {
	Share    float64       // of the service's calls from the order to its time limit that a bad version may get
	Slack    float64       // calls beyond that share
	Rollback time.Duration // after the 50th bad answer of a version until its calls have ended
}

// Phase is a phase of a roll-out.
type Phase int

// Phases of a roll-out. PhaseNone means that no order is in force.
const (
	PhaseNone       Phase = iota // servers of any version may be used
	PhaseCanary                  // a few servers of the new version get calls
	PhaseShift                   // the calls move to all servers of the new version
	PhaseSettle                  // the other servers get no calls and finish what runs there
	PhaseCompleted               // only servers of the new version may be used
	PhaseRolledBack              // only the other servers may be used
)

// phaseNames are the names of phases in stored objects and log lines.
var phaseNames = [...]string{"none", "canary", "shift", "settle", "completed", "rolledback"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// ParsePhase returns the phase with a name, or false if there is none.
func ParsePhase(name string) (Phase, bool) {
	i := slices.Index(phaseNames[:], name)
	return Phase(max(i, 0)), i >= 0
}

// Active reports whether the roll-out is under way.
func (p Phase) Active() bool { return p == PhaseCanary || p == PhaseShift || p == PhaseSettle }

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// State is the state of the roll-out of one service. Times are of this node's clock.
type State struct {
	Service  string
	Version  string // to which the service moves
	Number   uint64 // increases with each change of the service's state
	Order    string // identifies the operator's order
	Phase    Phase
	Canaries []string // instances whose servers get calls in PhaseCanary, sorted
	Reason   string   // of the phase
	Leader   string   // instance that wrote the state
	Duration time.Duration
	Ordered  time.Time // when the order was first read
	Entered  time.Time // when the phase began

	// The following change without a new number.

	Heard  time.Time // when the leader last confirmed the state
	Halted bool      // the version is known to be bad, although the phase does not say so yet
	Rate   float64   // calls a second of the service; 0 while the canaries may get none
	Load   float64   // calls a second of one of the other servers
}

const (
	// shiftRamp is the time in which the calls move to the new version, with the square of the
	// time. In the first 1.5 s the version gets as many calls as the service in 0.4 s. With
	// those of the canaries that is below a tenth of the calls of 12 s.
	shiftRamp = 1800 * time.Millisecond
	// shiftTime is the duration of PhaseShift. It leaves time to see the last calls of the ramp.
	shiftTime = 2300 * time.Millisecond
	// settleTime is reserved for PhaseSettle before the time limit: the longest call of 2.5 s,
	// and the messages.
	settleTime = 2700 * time.Millisecond
	// maxObserved bounds the time of the canaries where the time limit is long.
	maxObserved = time.Minute
	// minSettleTime is what PhaseSettle takes where no call is long.
	minSettleTime = 700 * time.Millisecond
	// warmTime is how long a server counts as cold after its first announcement, and how long
	// the canaries' share grows at the start.
	warmTime = 3 * time.Second
	// coldFactor is how many times longer calls may take at a cold server.
	coldFactor = 2
	// coldShare is the share of the canaries' load that they get at first. Servers that are
	// slower by coldFactor hold about as many calls with it as others with all their load.
	coldShare = 0.4
	// canaryPart is the part of Limits.Share that the canaries get.
	canaryPart = 0.9
	// pulsePeriod is the period of the canaries' load where their share is less than the load
	// of that many servers. It is long against the delay of news.
	pulsePeriod = 2 * time.Second
	// minPulse and maxPulse bound the part of the period in which they get it.
	minPulse = 0.25
	maxPulse = 0.8
	// maxEntryShare leaves calls to the other servers, with which the version is compared.
	maxEntryShare = 0.5
	// exposureDivisor divides the bounds of Limits, to leave room for delays of messages.
	exposureDivisor = 2
	// entryMargin is the share of the canaries' allowance that entry nodes use, so that
	// gates rarely refuse.
	entryMargin = 0.9
)

const (
	// staleAtGate is the age of the leader's last confirmation from which a gate beside a
	// server of the new version admits nothing.
	staleAtGate = 2 * time.Second
	// staleAtEntry is the age from which an entry node sends nothing to the new version
	// while the other servers may be used. Confirmations reach it with heartbeats of 0.5 s
	// over several nodes.
	staleAtEntry = 3 * time.Second
)

// canaryRate returns the calls a second that the canaries may get together: a little less
// than the bound allows as of now, so that it holds even if the service's calls stop. The
// leader ends it when half of what the bound allows in the end is used.
func (s *State) canaryRate(limits Limits, now time.Time) float64 {
	if s.Rate == 0 {
		return 0
	}
	warm := min(1, coldShare+(1-coldShare)*max(0, now.Sub(s.Entered).Seconds())/warmTime.Seconds())
	return s.Rate*s.canaryShare(limits)*warm + limits.Slack/s.observed().Seconds()
}

// observed returns the time from the order until PhaseShift is due.
func (s *State) observed() time.Duration { return max(time.Second, s.ShiftAt().Sub(s.Ordered)) }

// canaryShare returns the share of the service's calls by which the canaries use up half of
// the bound until PhaseShift is due, or a little less than the bound if that is more.
func (s *State) canaryShare(limits Limits) float64 {
	return limits.Share * min(canaryPart, s.Duration.Seconds()/s.observed().Seconds()/exposureDivisor)
}

// pulse returns the part of each pulsePeriod in which the canaries get their calls, so that
// they are as busy as the other servers then, and whether it is that part now.
func (s *State) pulse(rate float64, now time.Time) (part float64, on bool) {
	if len(s.Canaries) == 0 || s.Load <= 0 {
		return 1, true
	}
	part = max(minPulse, rate/(s.Load*float64(len(s.Canaries))))
	if part > maxPulse {
		return 1, true
	}
	return part, now.Sub(s.Entered)%pulsePeriod < time.Duration(part*float64(pulsePeriod))
}

// EntryShare returns the share of attempts that entry nodes send to the new version.
func (s *State) EntryShare(limits Limits, now time.Time) float64 {
	fresh := now.Sub(s.Heard) < staleAtEntry
	switch s.Phase {
	case PhaseCanary:
		if fresh && !s.Halted && len(s.Canaries) > 0 {
			rate := s.canaryRate(limits, now)
			part, on := s.pulse(rate, now)
			if !on {
				return 0
			}
			return min(maxEntryShare, rate*entryMargin/max(1, s.Rate)/part)
		}
	case PhaseShift:
		if fresh && !s.Halted {
			moved := max(0, now.Sub(s.Entered).Seconds()/shiftRamp.Seconds())
			return min(1, s.canaryShare(limits)+moved*moved)
		}
	case PhaseSettle, PhaseCompleted:
		return 1
	}
	return 0
}

// ShiftAt returns when PhaseShift is due: as late as the time limit allows, so that the
// version is observed for long, but not longer than maxObserved.
func (s *State) ShiftAt() time.Time {
	wait := min(s.Duration-shiftTime-settleTime, maxObserved)
	return s.Ordered.Add(max(wait, min(s.Duration*2/5, maxObserved)))
}

// Use says how a server may be used.
type Use int

// Uses of a server.
const (
	UseNone  Use = iota // gets no calls
	UseNew              // gets the share of the new version
	UseOther            // gets the remaining calls
)

// UseOf returns how entry nodes may use the server of a version on an instance. A nil state
// is one of PhaseNone.
func (s *State) UseOf(version, instance string) Use {
	switch {
	case s == nil || s.Phase == PhaseNone:
		return UseOther
	case version != s.Version && (s.Phase == PhaseSettle || s.Phase == PhaseCompleted):
		return UseNone
	case version != s.Version:
		return UseOther
	case s.Halted, s.Phase == PhaseRolledBack, s.Phase == PhaseCanary && !slices.Contains(s.Canaries, instance):
		return UseNone
	}
	return UseNew
}
