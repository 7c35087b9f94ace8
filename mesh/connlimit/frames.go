package connlimit

// This file follows the frames of an HTTP/2 connection as far as the account needs them.

import (
	"sync/atomic"
	"time"
)

// FloodPause is how long a connection whose client floods it is no longer read before it
// is closed. A client that connects again at once then sends its flood once in this time.
const FloodPause = time.Second

// Allowance of control frames, which are all frames but those of headers and bodies.
const (
	maxControl      = 100 // at once
	controlPerS     = 50
	controlPerBytes = 1 << 10 // one more for as many bytes sent or received in bodies
	controlPerHead  = 4       // as many more for each request
)

// Allowance of streams that clients reset: freeResets and as many as were not reset on each
// connection, and beyond these resetRate a second of all connections of a port.
const (
	freeResets = 10
	resetRate  = 200
	// nodeResetRate is that of ports for other nodes, whose calls all end at their deadlines
	// while a backend server is slow. It exceeds the calls that a gate takes.
	nodeResetRate = 1000
)

// Frame types.
const (
	frameData         = 0
	frameHeaders      = 1
	frameReset        = 3
	frameContinuation = 9
	frameHeaderSize   = 9 // bytes
	flagEndHeaders    = 4
)

const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// frames follows the frames of one connection. Only the atomic fields may be used by other
// goroutines than the one that reads.
type frames struct {
	matched  int // bytes of the preface
	mismatch bool
	header   [frameHeaderSize]byte
	have     int  // bytes of header
	left     int  // bytes of the payload in progress
	kind     byte // of that frame
	control  bucket
	paid     int64 // control frames that are paid for and have not come
	counted  int64 // of earned, in frames, that paid holds

	reset int64 // streams that the client reset

	earned    atomic.Int64 // bytes in either direction that pay for control frames
	heading   atomic.Bool  // in the middle of a header
	completed atomic.Int64 // streams that a handler has served, of which some were reset
}

// matchPreface matches bytes with HTTP/2's preface. If they begin it beyond doubt, it
// returns those after the preface and true.
func (f *frames) matchPreface(b []byte) (rest []byte, ok bool) {
	if f.mismatch {
		return nil, false
	}
	for len(b) > 0 && f.matched < len(preface) {
		if b[0] != preface[f.matched] {
			f.mismatch = true
			return nil, false
		}
		f.matched++
		b = b[1:]
	}
	return b, f.matched >= prefaceUnique
}

// prefaceUnique is the number of bytes of the preface with which no request of HTTP/1 begins.
const prefaceUnique = len("PRI * ")

// receivedFrames records bytes of an HTTP/2 connection.
func (c *Conn) receivedFrames(b []byte) (closed []*Conn, reason Reason) {
	f := &c.frames
	n := c.follow(b)
	if n.head > 0 {
		c.moved.Add(n.head)
		ok := false
		if closed, ok = c.Draw(n.head * headFactor); !ok {
			c.closeFor(ReasonMemory)
			return closed, ReasonMemory
		}
		c.headCharge.Add(n.head * headFactor)
	}
	if n.body > 0 {
		c.unread.Add(n.body)
		f.earned.Add(n.body)
	}
	if n.resets > 0 && !c.allowResets(n.resets, time.Now()) {
		c.closeFor(ReasonResets)
		return closed, ReasonResets
	}
	if n.control != 0 && !f.allow(n.control, time.Now()) {
		c.closeFor(ReasonFlood)
		return closed, ReasonFlood
	}
	return closed, ReasonNone
}

// content is what some bytes of an HTTP/2 connection hold.
type content struct {
	head, body      int64 // bytes of headers and of bodies
	resets, control int64 // frames; control frames less those that requests pay for
}

// follow returns what bytes hold, and keeps where they end.
func (c *Conn) follow(b []byte) (n content) {
	f := &c.frames
	for f.matched < len(preface) && len(b) > 0 {
		f.matched++
		b = b[1:]
	}
	for len(b) > 0 {
		if f.left == 0 {
			have := copy(f.header[f.have:], b)
			f.have += have
			b = b[have:]
			if f.have < frameHeaderSize {
				break
			}
			f.begin(&n)
			continue
		}
		size := min(f.left, len(b))
		f.left -= size
		b = b[size:]
		switch f.kind {
		case frameData:
			n.body += int64(size)
		case frameHeaders, frameContinuation:
			n.head += int64(size)
		}
	}
	return n
}

// begin begins the frame of which the header has been read.
func (f *frames) begin(n *content) {
	f.have = 0
	f.left = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
	f.kind = f.header[3]
	if f.kind == frameHeaders || f.kind == frameContinuation {
		f.heading.Store(f.header[4]&flagEndHeaders == 0)
	}
	switch {
	case f.kind == frameReset:
		n.resets++
	case f.kind == frameHeaders:
		n.control -= controlPerHead
	case f.kind != frameData || f.left == 0:
		n.control++
	}
}

// allowResets takes streams that the client reset from the allowance.
func (c *Conn) allowResets(n int64, now time.Time) bool {
	c.frames.reset += n
	if c.frames.reset <= freeResets+max(0, c.frames.completed.Load()-c.frames.reset) {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.account.resets.take(float64(n), now)
}

// allow takes control frames from what bodies and requests have paid for, and the rest from
// the allowance. What was paid for does not lapse: a client may take a long response from
// its buffers late, and confirm it then.
func (f *frames) allow(n int64, now time.Time) bool {
	earned := f.earned.Load() / controlPerBytes
	f.paid += earned - f.counted
	f.counted = earned
	if f.paid >= n {
		f.paid -= n
		return true
	}
	n -= f.paid
	f.paid = 0
	f.control.rate, f.control.burst = controlPerS, maxControl
	return f.control.take(float64(n), now)
}

// HeaderMemory returns the memory of a parsed header, in bytes.
func HeaderMemory(header map[string][]string) int64 {
	n := int64(0)
	for name, values := range header {
		n += fieldMemory + int64(len(name))
		for _, v := range values {
			n += int64(len(v)) + valueMemory
		}
	}
	return n
}

// Memory of an entry of a header and of each of its values beside the texts, in bytes.
const (
	fieldMemory = 80
	valueMemory = 16
)
