package connlimit

// This file judges the progress of connections and selects those that are closed.

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// The minimum rate: while the node waits for a client, in the middle of a body or of a
// response, the client must send or take minRate bytes a second on average over
// rateWindow. A phone on a 2G link has several times this rate.
const (
	minRate    = 1 << 10
	rateWindow = 15 * time.Second
)

const (
	// stallTime is the time without progress, while the node waits for the client, after
	// which a connection may be closed when room is short. A lost packet is sent again
	// within 0.2 to 0.5 s.
	stallTime = 600 * time.Millisecond
	// rotateTime is the time without progress after which a connection that holds room
	// for a long header or a body yields it to others that wait for such room.
	rotateTime = time.Second
	// maxRotated bounds how many connections yield at one scan. Each of those that take
	// their place costs the processor time of a long header.
	maxRotated = 8
	// idleTime is the time for which a connection between requests is not closed, and
	// unusedTime that for a client that has just connected to send its request.
	idleTime   = time.Second
	unusedTime = 100 * time.Millisecond
	// scanPause is the shortest time between two scans that are made to find room.
	scanPause = 20 * time.Millisecond
	// ScanInterval is the interval at which Scan must be called.
	ScanInterval = 200 * time.Millisecond
)

// judgement is what scans know of the progress of a connection. It is guarded by
// Account.mu.
type judgement struct {
	sequence    uint64    // of the phase that is judged
	since       time.Time // when the phase was first seen
	moved       int64     // bytes moved at the last scan
	progressAt  time.Time // when bytes last moved or the node did not wait for the client
	windowAt    time.Time // start of the window of the minimum rate
	windowMoved int64     // bytes moved then
	heads       int64     // charge for headers that no handler had begun to serve
}

// class is the order in which connections are closed when room is short.
type class int

const (
	classStalled  class = iota // in the middle of a request, without progress
	classLongHead              // in a header that is longer than those of ordinary callers
	classUnused                // no request yet
	classIdle                  // between two requests
	classActive                // never closed for room
)

// victim is a connection that may be closed, as it was when it was selected.
type victim struct {
	conn     *Conn
	class    class
	sequence uint64
	moved    int64
	charged  int64
	address  int64 // memory that the address holds
	pace     float64
}

// judge updates the judgement of a connection and returns its class, its rate and whether
// it is below the minimum rate.
func (c *Conn) judge(now time.Time) (class class, pace float64, slow bool) {
	j := &c.judgement
	sequence, moved, waits := c.sequence.Load(), c.moved.Load(), c.waitsForClient()
	if sequence != j.sequence {
		j.sequence, j.since, j.progressAt, j.windowAt, j.windowMoved = sequence, now, now, now, moved
	}
	if moved != j.moved || !waits {
		j.progressAt, j.moved = now, moved
	}
	if !waits {
		j.windowAt, j.windowMoved = now, moved
	}
	window := now.Sub(j.windowAt)
	pace = float64(moved-j.windowMoved) / max(window.Seconds(), ScanInterval.Seconds())
	if window >= rateWindow {
		slow = c.inTransfer() && pace < minRate && !c.account.nodes
		j.windowAt, j.windowMoved = now, moved
	}
	if c.idle() {
		return c.idleClass(now.Sub(j.since)), pace, slow
	}
	if waits && (now.Sub(j.progressAt) >= stallTime || window >= rotateTime && pace < minRate) {
		return classStalled, pace, slow
	}
	return c.activeClass(), pace, slow
}

// activeClass returns the class of a connection in the middle of a request that makes progress.
func (c *Conn) activeClass() class {
	if c.phase() == phaseHead && c.headCharge.Load() >= FreeHead*headFactor {
		return classLongHead
	}
	return classActive
}

// idleClass returns the class of a connection that has been between requests for some time.
func (c *Conn) idleClass(age time.Duration) class {
	used := c.used.Load()
	switch {
	case !used && age >= unusedTime:
		return classUnused
	case used && age >= idleTime:
		return classIdle
	}
	return classActive
}

// releaseHeads releases the charge for headers that were whole at the last scan. They are
// refused, or handlers serve them by now, which have a charge of their own.
func (c *Conn) releaseHeads() {
	if c.phase() != phaseStreams {
		return
	}
	if !c.frames.heading.Load() {
		c.release(takeUpTo(&c.headCharge, c.judgement.heads))
	}
	c.judgement.heads = c.headCharge.Load()
}

// Scan judges all connections and returns those to close: those below the minimum rate
// and, while others wait for room, some that hold it without progress.
func (a *Account) Scan(now time.Time) (closed []*Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pipeline.scan()
	for _, c := range a.scan(now) {
		closed = append(closed, a.close(c, ReasonSlow))
	}
	a.grantRoom()
	if !a.pressed.Swap(false) && a.waiting.Load() == 0 {
		return closed
	}
	rotated := 0
	for _, v := range slices.Backward(a.victims) {
		if v.class != classStalled || rotated == maxRotated {
			break
		}
		if v.charged > connCharge+FreeHead*headFactor && now.Sub(v.conn.judgement.progressAt) >= rotateTime {
			rotated++
			closed = append(closed, a.close(v.conn, ReasonMemory))
		}
	}
	return closed
}

// scan judges all connections and selects the victims. It returns the connections below
// the minimum rate, and those that take no responses while others wait for their turns. The
// caller holds a.mu.
func (a *Account) scan(now time.Time) (slow []*Conn) {
	a.scannedAt = now
	short := a.short()
	a.scarce.Store(short)
	var held map[netip.Addr]int64
	if short {
		held = a.memoryByAddress()
	}
	clear(a.victims)
	a.victims = a.victims[:0]
	for c := range a.conns {
		class, pace, below := c.judge(now)
		c.releaseHeads()
		if below || class == classStalled && c.inTurn.Load() && a.pipeline.waits() {
			slow = append(slow, c)
			continue
		}
		if short && class < classActive {
			a.victims = append(a.victims, victim{
				conn: c, class: class, sequence: c.judgement.sequence, moved: c.judgement.moved, charged: c.charged.Load(), address: held[c.address], pace: pace,
			})
		}
	}
	slices.SortFunc(a.victims, func(x, y victim) int {
		return cmp.Or(cmp.Compare(y.class, x.class), cmp.Compare(x.address, y.address), cmp.Compare(x.charged, y.charged), cmp.Compare(y.pace, x.pace))
	})
	return slow
}

// shortPercent is the share of the resources in use above which scans select victims.
const shortPercent = 60

// short reports whether room may run out before the next scan. The caller holds a.mu.
func (a *Account) short() bool {
	return a.pressed.Load() || a.waiting.Load() > 0 || !a.fits(0, shortPercent) || a.own.Conns > 0 && len(a.conns) > (a.own.Conns+a.common.Conns)*shortPercent/100 || !a.fitsConn()
}

// evict selects connections to close, until n bytes, and a connection if conn is true,
// fit. It returns nil if they do not fit however many are closed. The caller holds a.mu.
func (a *Account) evict(conn bool, n int64, reason Reason, now time.Time) (closed []*Conn) {
	for !a.fits(n, 100) || conn && !a.fitsConn() {
		if len(a.victims) == 0 && now.Sub(a.scannedAt) >= scanPause {
			a.scan(now)
		}
		if len(a.victims) == 0 {
			for _, c := range closed {
				c.Stop()
			}
			return nil
		}
		v := a.victims[len(a.victims)-1]
		a.victims = a.victims[:len(a.victims)-1]
		if v.conn.sequence.Load() == v.sequence && v.conn.moved.Load() == v.moved { // it has made no progress since
			closed = append(closed, a.close(v.conn, reason))
		}
	}
	return closed
}

// close takes a connection that is to be closed out of the account. The caller holds a.mu.
func (a *Account) close(c *Conn, reason Reason) *Conn {
	c.reason.Store(int32(reason))
	if a.remove(c) {
		a.closed[reason]++
	}
	return c
}
