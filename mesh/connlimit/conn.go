package connlimit

// This file defines one connection: the phase that it is in, and what it draws from the
// account before it reads.

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Phases of a connection.
const (
	phaseIdle    uint64 = iota // between requests
	phaseHead                  // in a header
	phaseBody                  // in the body of a request that a handler reads
	phaseServe                 // the request is read
	phaseStreams               // HTTP/2
	phaseBits    = 3
)

// Conn is one connection of an account. Its methods may be called concurrently, but only
// one goroutine at a time reads.
type Conn struct {
	account *Account
	address netip.Addr
	stop    func()

	sequence atomic.Uint64 // number of the phase, with the phase in the lowest phaseBits
	charged  atomic.Int64  // memory, in bytes
	moved    atomic.Int64  // bytes that the client has sent in heads and bodies, and taken
	reading  atomic.Bool   // the node waits for bytes of the client
	writing  atomic.Bool   // the node waits until the client takes bytes
	waiting  atomic.Bool   // the connection waits for room
	room     chan struct{} // closed when it no longer waits; guarded by Account.mu
	used     atomic.Bool   // a request has been served
	gone     atomic.Bool   // the connection is closed
	reason   atomic.Int32  // for which it was closed

	received   atomic.Int64 // bytes
	receivedAt int64        // bytes received at the end of the last request
	inTurn     atomic.Bool  // a pipelined request has its turn
	early      atomic.Bool  // bytes came after a request and before the end of its response
	headBytes  int64        // of the header in progress
	headCharge atomic.Int64 // for it

	frames   frames       // HTTP/2 only
	streams  atomic.Int32 // requests in progress
	turns    atomic.Int32 // of these, those that wait for the client
	bodies   atomic.Int32 // of these, those whose bodies have not been read to their end
	unread   atomic.Int64 // bytes of bodies that no handler has read yet
	reserved atomic.Int64 // memory charged for them

	judgement judgement // guarded by Account.mu
}

func (c *Conn) phase() uint64 { return c.sequence.Load() & (1<<phaseBits - 1) }

// setPhase begins a phase.
func (c *Conn) setPhase(phase uint64) {
	c.sequence.Store((c.sequence.Load()>>phaseBits+1)<<phaseBits | phase)
}

// Stop closes the connection.
func (c *Conn) Stop() { c.stop() }

// Reason returns why the connection was closed, or ReasonNone.
func (c *Conn) Reason() Reason { return Reason(c.reason.Load()) }

// Close takes the connection out of the account once it is closed.
func (c *Conn) Close() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.gone.Store(true)
	if !c.account.remove(c) {
		c.account.used.Add(-c.charged.Swap(0)) // taken after the connection was selected for closing
	}
}

// closeFor counts the reason for which the connection is closed.
func (c *Conn) closeFor(reason Reason) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.close(c, reason)
}

// waitsForClient reports whether the client is to send or to take bytes.
func (c *Conn) waitsForClient() bool {
	if c.waiting.Load() {
		return false
	}
	if c.writing.Load() {
		return true
	}
	switch c.phase() {
	case phaseHead:
		return true
	case phaseBody:
		return c.reading.Load()
	case phaseStreams:
		streams := c.streams.Load()
		return streams > 0 && c.turns.Load() >= streams || streams == 0 && c.charged.Load() > connCharge
	}
	return false
}

// inTransfer reports whether the connection is in the middle of a body or of a response.
// The header timeout bounds the other phases.
func (c *Conn) inTransfer() bool { return c.phase() != phaseHead }

// idle reports whether the connection is between requests.
func (c *Conn) idle() bool {
	switch c.phase() {
	case phaseIdle:
		return !c.writing.Load()
	case phaseStreams:
		return c.streams.Load() == 0 && c.charged.Load() <= connCharge
	}
	return false
}

// charge adds n bytes that were taken from the account to those of the connection. It
// returns all of them if the connection is closed.
func (c *Conn) charge(n int64) {
	c.charged.Add(n)
	if c.gone.Load() {
		c.account.used.Add(-c.charged.Swap(0))
	}
}

// release returns n bytes to the account.
func (c *Conn) release(n int64) {
	for n > 0 {
		charged := c.charged.Load()
		n = min(n, charged)
		if c.charged.CompareAndSwap(charged, charged-n) {
			c.account.used.Add(-n)
			return
		}
	}
}

// Draw takes n bytes for a request of ordinary size. closed are connections that must be
// closed to make room. If ok is false there is none.
func (c *Conn) Draw(n int64) (closed []*Conn, ok bool) {
	if c.account.take(n, 100) {
		c.charge(n)
		return nil, true
	}
	if closed, ok = c.account.makeRoom(n, time.Now()); ok {
		c.charge(n)
	}
	return closed, ok
}

// DrawLarge takes n bytes for a long header, a body or a buffered response, and reports
// whether there is room. It closes no connection.
func (c *Conn) DrawLarge(n int64) bool {
	if c.account.take(n, largePercent) {
		c.charge(n)
		return true
	}
	c.account.pressed.Store(true)
	return false
}

// Return returns bytes of Draw or DrawLarge.
func (c *Conn) Return(n int64) { c.release(n) }

// BeforeRead returns the number of bytes up to size that may be read now. Zero means that
// the connection must wait for room and ask again.
func (c *Conn) BeforeRead(size int) int {
	switch c.phase() {
	case phaseIdle:
		return min(size, FreeHead)
	case phaseHead:
		if left := FreeHead - c.headBytes; left > 0 {
			return min(size, int(left))
		}
		if !c.DrawLarge(FreeHead * headFactor) {
			return 0
		}
		c.headCharge.Add(FreeHead * headFactor)
		return min(size, FreeHead)
	case phaseStreams:
		if (c.streams.Load() > freeStreams || c.headCharge.Load() > FreeHead*headFactor) && !c.account.fits(streamCharge, largePercent) {
			return 0
		}
		if need := c.unread.Load() - c.reserved.Load(); need > unreadStep && !c.account.nodes {
			if !c.DrawLarge(need) {
				return 0
			}
			c.reserved.Add(need)
		}
	}
	return size
}

// unreadStep is the memory of bodies that is not charged, and the step in which more is.
const unreadStep = 16 << 10

// SetReading says that the node begins or ends to wait for bytes of the client.
func (c *Conn) SetReading(reading bool) { c.reading.Store(reading) }

// SetWriting says that the node begins or ends to wait until the client takes bytes.
func (c *Conn) SetWriting(writing bool) { c.writing.Store(writing) }

// Wrote records that the client took n bytes.
func (c *Conn) Wrote(n int) {
	c.moved.Add(int64(n))
	c.frames.earned.Add(int64(n))
}

// Received records bytes that were read. closed are connections that must be closed to
// make room. If the reason is not ReasonNone, the connection itself must be closed: at
// once, or after FloodPause if its client floods it.
func (c *Conn) Received(b []byte) (closed []*Conn, reason Reason) {
	c.received.Add(int64(len(b)))
	switch c.phase() {
	case phaseIdle:
		if len(b) == 0 {
			return nil, ReasonNone
		}
		c.headBytes = 0
		c.setPhase(phaseHead)
		return c.receivedHead(b)
	case phaseHead:
		return c.receivedHead(b)
	case phaseBody:
		c.moved.Add(int64(len(b)))
	case phaseServe:
		c.early.Store(true)
	case phaseStreams:
		return c.receivedFrames(b)
	}
	return nil, ReasonNone
}

// receivedHead records bytes of a header.
func (c *Conn) receivedHead(b []byte) (closed []*Conn, reason Reason) {
	c.moved.Add(int64(len(b)))
	free := max(0, min(int64(len(b)), FreeHead-c.headBytes))
	c.headBytes += int64(len(b))
	if !c.used.Load() {
		if rest, ok := c.frames.matchPreface(b); ok {
			c.setPhase(phaseStreams)
			c.release(c.headCharge.Swap(0))
			return c.receivedFrames(rest)
		}
	}
	if free > 0 {
		ok := false
		if closed, ok = c.Draw(free * headFactor); !ok {
			c.closeFor(ReasonMemory)
			return closed, ReasonMemory
		}
		c.headCharge.Add(free * headFactor)
	}
	return closed, ReasonNone
}

// Request is a request in progress on a connection.
type Request struct {
	Version   int   // major version of HTTP
	HasBody   bool  // the body is not empty
	Header    int64 // memory of the header in bytes; HTTP/2 only
	Pipelined bool  // the client has not read the responses before it, or has not waited for them
	charged   int64
}

// Begin records that a handler begins to serve a request, of which the first three fields
// are set, and sets the others. ok is false if there is no room for it; End must be called in any case.
func (c *Conn) Begin(r *Request) (closed []*Conn, ok bool) {
	need := int64(streamCharge)
	if r.Version == 2 {
		c.streams.Add(1)
		need += r.Header
		c.release(takeUpTo(&c.headCharge, r.Header))
		r.Pipelined = c.turns.Load() >= freeStreams && c.account.scarce.Load()
		if r.HasBody {
			c.bodies.Add(1)
		}
	} else {
		r.Pipelined = c.used.Load() && c.received.Load() == c.receivedAt || c.early.Swap(false)
		if r.HasBody {
			c.setPhase(phaseBody)
		} else {
			c.setPhase(phaseServe)
		}
	}
	if !r.Pipelined {
		c.account.pipeline.ordinary.Add(1)
	}
	if c.streams.Load() > freeStreams {
		ok = c.DrawLarge(need)
	} else {
		closed, ok = c.Draw(need)
	}
	if ok {
		r.charged = need
	}
	return closed, ok
}

// takeUpTo subtracts up to n from a value that is not negative, and returns what it subtracted.
func takeUpTo(v *atomic.Int64, n int64) int64 {
	for {
		have := v.Load()
		taken := min(have, n)
		if v.CompareAndSwap(have, have-taken) {
			return taken
		}
	}
}

// freeStreams is the number of streams of a connection that are served as ordinary
// requests while room is short. Others take the share of memory that long requests have.
const freeStreams = 8

// BodyRead records that the body of an HTTP/1 request has been read to its end.
func (c *Conn) BodyRead() { c.setPhase(phaseServe) }

// End records that a handler has returned.
func (c *Conn) End(r *Request) {
	c.release(r.charged)
	c.used.Store(true)
	if r.Version != 2 {
		return // net/http may wait for the rest of the body; see Idle
	}
	c.frames.completed.Add(1)
	c.streams.Add(-1)
	if r.HasBody && c.bodies.Add(-1) == 0 { // what was left of aborted bodies has been dropped
		c.unread.Store(0)
		c.release(c.reserved.Swap(0))
	}
}

// Idle records that a connection of HTTP/1 is between two requests.
func (c *Conn) Idle() {
	if c.phase() == phaseStreams {
		return
	}
	c.release(c.headCharge.Swap(0))
	c.receivedAt = c.received.Load()
	c.headBytes = 0
	c.setPhase(phaseIdle)
}

// Rank returns the rank of the connection's requests among those of connections that wait for
// the same: the number of streams that it has in progress.
func (c *Conn) Rank() int { return int(c.streams.Load()) }

// Preferred reports whether the requests of the connection go before others when servers
// lack slots: its client has been served before and has few requests in progress, or takes
// its responses while there is room.
func (c *Conn) Preferred() bool {
	few := c.streams.Load() <= freeStreams
	return c.used.Load() && (few || c.turns.Load() < freeStreams && !c.account.scarce.Load())
}

// AskTurn asks for the turn of a pipelined request. EndTurn must be called at its end.
func (c *Conn) AskTurn() *Turn { return c.account.pipeline.Ask(c.Rank(), c.account.pipeline.limit()) }

// HasTurn says that the turn of a pipelined request has come.
func (c *Conn) HasTurn() { c.inTurn.Store(true) }

// EndTurn ends the turn of a pipelined request.
func (c *Conn) EndTurn(turn *Turn) {
	c.inTurn.Store(false)
	c.account.pipeline.End(turn, c.account.pipeline.limit())
}

// BeginTurn says that a handler of an HTTP/2 stream waits for the client.
func (c *Conn) BeginTurn() { c.turns.Add(1) }

// EndClientTurn says that a handler of an HTTP/2 stream no longer waits for the client,
// and that the body's next n bytes have been read.
func (c *Conn) EndClientTurn(n int) {
	c.turns.Add(-1)
	if n == 0 {
		return
	}
	c.moved.Add(int64(n))
	unread := max(0, c.unread.Add(-int64(n)))
	if spare := c.reserved.Load() - unread; spare > unreadStep {
		c.release(takeUpTo(&c.reserved, spare))
	}
}
