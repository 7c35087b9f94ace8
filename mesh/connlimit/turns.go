package connlimit

// This file lets requests that depend on their clients wait behind those of others.

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Turns hands out turns by rank, and those of equal rank in the order in which they are
// asked for. The zero value has none in use.
type Turns struct {
	mu      sync.Mutex
	running int
	queue   []*Turn
}

// Turn is a turn that was asked for.
type Turn struct {
	rank    int
	granted chan struct{}
}

// Granted returns a channel that is closed when the turn has come.
func (t *Turn) Granted() <-chan struct{} { return t.granted }

// Ask asks for a turn, of which at most limit are in use at a time. Lower ranks come first.
func (t *Turns) Ask(rank, limit int) *Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	turn := &Turn{rank: rank, granted: make(chan struct{})}
	n, _ := slices.BinarySearchFunc(t.queue, rank+1, func(waiting *Turn, rank int) int { return cmp.Compare(waiting.rank, rank) })
	t.queue = slices.Insert(t.queue, n, turn)
	t.grant(limit)
	return turn
}

// Try returns a turn of StreamedRank if one is free now, or else nil.
func (t *Turns) Try(limit int) *Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) > 0 || t.running >= limit-limit/4 {
		return nil
	}
	t.running++
	return &Turn{rank: StreamedRank}
}

// End returns a turn, or no longer waits for it.
func (t *Turns) End(turn *Turn, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := slices.Index(t.queue, turn); n >= 0 {
		t.queue = slices.Delete(t.queue, n, n+1)
		return
	}
	t.running--
	t.grant(limit)
}

// Grant grants turns after the limit has changed.
func (t *Turns) Grant(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grant(limit)
}

// StreamedRank is the least rank of requests that depend on their clients until they are whole. A
// quarter of the turns is left to lower ranks, which end sooner. It exceeds the number of
// streams of a connection.
const StreamedRank = 1 << 16

func (t *Turns) grant(limit int) {
	for len(t.queue) > 0 {
		allowed := limit
		if t.queue[0].rank >= StreamedRank {
			allowed = limit - limit/4
		}
		if t.running >= allowed {
			return
		}
		t.running++
		close(t.queue[0].granted)
		t.queue = slices.Delete(t.queue, 0, 1)
	}
}

// Pipelined requests that may be in progress at a time at one port, each on a connection
// of its own: a few while other callers send requests, which then find most slots of the
// backend servers free, and many otherwise.
const (
	maxPipelinedAmongOthers = 2
	maxPipelined            = 64
)

// quietScans is the number of scans without ordinary requests, one second, after which
// pipelined requests leave no room for them.
const quietScans = 5

// pipeline orders the pipelined requests of one port.
type pipeline struct {
	Turns
	ordinary atomic.Int64 // requests that were not pipelined, so far
	seen     int64        // of these, at the last scan; guarded by Account.mu
	quiet    atomic.Int32 // scans since ordinary requests came
}

// scan notes whether ordinary requests came since the last scan.
func (p *pipeline) scan() {
	if seen := p.ordinary.Load(); seen != p.seen {
		p.seen = seen
		p.quiet.Store(0)
	} else {
		p.quiet.Add(1)
	}
	p.Grant(p.limit())
}

// waits reports whether requests wait for their turns.
func (p *pipeline) waits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// limit returns the number of pipelined requests that may be in progress.
func (p *pipeline) limit() int {
	if p.quiet.Load() >= quietScans {
		return maxPipelined
	}
	return maxPipelinedAmongOthers
}

// Uploads orders the requests to one service whose bodies have not come whole, and the
// first ones of connections. One of the former holds a slot of a backend server for as
// long as its client likes, and a client that opens many connections sends many of the
// latter at once, so some slots are left to other requests. The zero value is ready for
// use.
type Uploads struct {
	Turns

	mu     sync.Mutex
	whole  int       // requests in progress that came whole
	peaks  [2]int    // most of these at a time, in this and the last interval
	period time.Time // start of this interval
}

// peakInterval is the interval for which the most whole requests at a time are remembered.
const peakInterval = 5 * time.Second

// advance begins a new interval if one has passed. The caller holds u.mu.
func (u *Uploads) advance(now time.Time) {
	switch passed := now.Sub(u.period); {
	case passed >= 2*peakInterval:
		u.peaks, u.period = [2]int{u.whole, 0}, now
	case passed >= peakInterval:
		u.peaks, u.period = [2]int{u.whole, u.peaks[0]}, now
	}
}

// BeginWhole records that a request that came whole begins.
func (u *Uploads) BeginWhole(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	u.whole++
	u.peaks[0] = max(u.peaks[0], u.whole)
}

// EndWhole records that a request that came whole ends.
func (u *Uploads) EndWhole() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.whole--
}

// Limit returns how many requests may be in progress whose bodies have not come whole,
// at a service with the given slots. One slot more than whole requests have used of late
// is left to these, but at most half. Zero slots mean that they are not known.
func (u *Uploads) Limit(slots int, now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	if slots <= 0 {
		return unknownSlots
	}
	return max(1, slots-min(max(u.peaks[0], u.peaks[1])+1, slots/2))
}

// unknownSlots is the limit of uploads to a service whose slots are not known.
const unknownSlots = 1 << 16
