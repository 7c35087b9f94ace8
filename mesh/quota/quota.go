// Package quota decides which calls of a workspace are within its quota, which holds
// for all nodes together.
//
// Each node counts the calls of each workspace. The counts of a subtree travel up the
// distribution tree in the heartbeats, and the totals of the fleet travel down in the
// responses. A node admits by a local token bucket, whose rate is the quota times the
// node's share of the total, or with the probability quota/total where a share is too
// small for a bucket. While the total is below the quota, the buckets have headroom.
//
// A [Limiter] makes these decisions for one node. It opens no socket and starts no
// goroutine, and takes the time as an argument.
//
// # Usage
//
//	limiter := quota.New(now, heartbeatInterval, seed)
//	if d := limiter.Admit(workspace, now); !d.Admitted {
//		// refuse the call; it may be repeated after d.RetryAfter
//	}
package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"caroblift.dev/mesh/record"
)

// Decision is the decision on one call. The other fields are its inputs and are set
// only if the call is not admitted.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // when the node will have room for the call
	Quota      float64       // of the workspace, in calls a second
	Refill     float64       // rate of the node's bucket, in calls a second
	Tokens     float64       // in the node's bucket
	Chance     float64       // probability of admission
	Offered    float64       // calls a second of the fleet
	Passed     float64       // calls a second of the fleet that were admitted
	Level      float64       // calls that the fleet has left of the burst; negative if it admitted too many
	Age        time.Duration // of the total
	Nodes      int           // nodes that the total counts
}

// Limiter holds the state of one node. It is safe for concurrent use. The times passed
// to it should not decrease.
type Limiter struct {
	start    time.Time     // origin of all times in the state
	interval time.Duration // of the heartbeats that carry the usage
	seed     uint64        // of the random numbers, different at each node

	active atomic.Bool // whether any node has calls of a workspace with a quota

	mu      sync.RWMutex
	buckets map[string]*bucket // by workspace
	byID    map[uint64]*bucket
	fleet   fleet

	tree tree
}

// fleet is what the node knows of the totals as a whole.
type fleet struct {
	known      bool          // whether a total was received since the start
	settled    bool          // whether the node has been running for startTime
	nodes      int           // nodes that the total counts; before the first one the known members
	measuredAt time.Duration // when the counted second ended, as a mean over the nodes
	receivedAt time.Duration
	interval   time.Duration // of heartbeats
}

// aging returns how far the totals are on their way to being stale, from 0 to 1.
func (f *fleet) aging(at time.Duration) float64 {
	age := float64(at-f.receivedAt) / float64(f.interval)
	return min(max((age-agingFrom)/(staleFrom-agingFrom), 0), 1)
}

// New returns the limiter of a node that starts at the given time and exchanges usage
// with its parent at an interval. Each node needs another seed: if all drew the same
// numbers, their decisions on the same workspace would coincide.
func New(start time.Time, interval time.Duration, seed uint64) *Limiter {
	return &Limiter{
		start: start, interval: interval, seed: seed, buckets: map[string]*bucket{}, byID: map[uint64]*bucket{}, fleet: fleet{nodes: startNodes, interval: interval},
		tree: newTree(),
	}
}

// ID returns the number that stands for a workspace in messages.
func ID(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// Admit decides whether a call of a workspace is within the quota, and counts it. A
// workspace without a rate has no quota; nil stands for no workspace.
func (l *Limiter) Admit(w *record.Workspace, now time.Time) Decision {
	if w == nil || w.Rate <= 0 {
		return Decision{Admitted: true}
	}
	at := now.Sub(l.start)
	l.mu.RLock()
	b, f := l.buckets[w.Name], l.fleet
	l.mu.RUnlock()
	if b == nil {
		b = l.addBucket(w, at)
	}
	return b.admit(w, f, at)
}

// Enable makes the node exchange usage before the first call of a workspace, so that
// the totals are known by then. The owner calls it when a table with a rate comes into force.
func (l *Limiter) Enable() { l.active.Store(true) }

func (l *Limiter) addBucket(w *record.Workspace, at time.Duration) *bucket {
	l.tree.mu.Lock()
	defer l.tree.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active.Store(true)
	b := l.buckets[w.Name]
	if b == nil {
		b = newBucket(w, l.seed, at)
		l.buckets[w.Name], l.byID[b.id] = b, b
		if c, ok := l.tree.totals[b.id]; ok && at-l.tree.receivedAt <= relevantTime {
			b.handleTotal(c, l.fleet)
		}
	}
	return b
}

// idleAfter is how long a workspace's state is kept without a call. It is longer than
// any memory of the decisions.
const idleAfter = 30 * time.Second

// removeIdle removes the state of workspaces without recent calls.
func (l *Limiter) removeIdle(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		if at-b.lastCall() > idleAfter {
			delete(l.buckets, name)
			delete(l.byID, b.id)
		}
	}
}

// Stats describes the state of a limiter, for metrics.
type Stats struct {
	Workspaces int           // with recent calls at this node
	Limited    int           // workspaces of which the last total has refused calls
	Age        time.Duration // of the last total; 0 before the first one
}

// Stats returns the state at the given time.
func (l *Limiter) Stats(now time.Time) Stats {
	l.tree.mu.Lock()
	defer l.tree.mu.Unlock()
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := Stats{Workspaces: len(l.buckets)}
	for _, c := range l.tree.totals {
		if c.tight() {
			s.Limited++
		}
	}
	if l.fleet.known {
		s.Age = now.Sub(l.start) - l.fleet.measuredAt
	}
	return s
}
