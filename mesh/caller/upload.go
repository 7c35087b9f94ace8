package caller

// This file lets calls whose bodies have not come whole, and the first calls of
// connections, leave slots to other calls.

import (
	"math"
	"sync"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/connlimit"
)

// upload is the place of one call among those of its service.
type upload struct {
	uploads *connlimit.Uploads
	turn    *connlimit.Turn // nil for a call that came whole
	slots   int
	end     sync.Once
}

// beginUpload waits until the call may be sent, if its body has not come whole or it is the
// first one of its connection. It returns the reason if the call ends before that; the call has not been sent.
func (x *exchange) beginUpload() call.Reason {
	if !x.proxy.config.LimitUploads {
		return ""
	}
	u := &upload{uploads: &x.service.uploads}
	x.upload = u
	c, rank := connOf(x.r), 0
	if !x.body.Streamed() && (c == nil || c.state.Preferred()) {
		u.uploads.BeginWhole(x.start)
		return ""
	}
	if c != nil {
		rank = c.state.Rank()
	}
	if x.body.Streamed() {
		rank += connlimit.StreamedRank
	}
	u.slots = x.service.balancer.Slots()
	u.turn = u.uploads.Ask(rank, u.uploads.Limit(u.slots, time.Now()))
	if x.body.Streamed() {
		x.stream.whole = x.endUpload
	}
	select {
	case <-u.turn.Granted():
		return ""
	case <-x.ctx.Done():
		x.endUpload()
		return x.endedEarly()
	}
}

// endUpload gives up the place of the call, when a streamed body has been read to its end or
// at the end of the call.
func (x *exchange) endUpload() {
	if x.upload == nil {
		return
	}
	x.upload.end.Do(func() {
		u := x.upload
		if u.turn == nil {
			u.uploads.EndWhole()
			return
		}
		u.uploads.End(u.turn, u.uploads.Limit(u.slots, time.Now()))
	})
}

// bufferLimit returns how much of a response may be buffered, and takes the memory for
// it until the end of the call. A response of unknown length takes the most that may be
// buffered until adjustBuffer is called.
func (x *exchange) bufferLimit(length int64) int64 {
	limit := x.proxy.config.BufferLimit
	c := connOf(x.r)
	if c == nil || limit <= 0 || length > limit || length >= 0 && length <= freeBuffer {
		return limit
	}
	need := length
	if length < 0 {
		need = limit
	}
	if !c.state.DrawLarge(need) {
		x.streamResponse()
		return 0
	}
	if x.buffered.Add(need) < 0 { // the call has ended, and this is the loser of a hedge
		c.state.Return(need)
		return 0
	}
	return limit
}

// streamResponse takes a turn for a response that holds a slot of the service until the
// caller has taken it. If there is none, the response is not passed on: a caller that takes no
// responses would get the slots of all others.
func (x *exchange) streamResponse() {
	if x.upload == nil || x.responseTurn.Load() != nil {
		return
	}
	turn := x.service.uploads.Try(x.service.uploads.Limit(x.service.balancer.Slots(), time.Now()))
	if turn == nil {
		x.noRoom.Store(true)
		return
	}
	if old := x.responseTurn.Swap(turn); old != nil {
		x.service.uploads.End(old, x.service.uploads.Limit(x.service.balancer.Slots(), time.Now()))
	}
	if x.buffered.Load() < 0 { // the call has ended, and this is the loser of a hedge
		x.endResponseTurn()
	}
}

// freeBuffer is the size of responses that are buffered without asking for room, in bytes.
const freeBuffer = 16 << 10

// adjustBuffer returns the memory that a response of unknown length does not need.
func (x *exchange) adjustBuffer(before, length int64) {
	c := connOf(x.r)
	if c == nil || before >= 0 || length < 0 {
		return
	}
	spare := x.proxy.config.BufferLimit - length
	for held := x.buffered.Load(); held >= spare; held = x.buffered.Load() {
		if x.buffered.CompareAndSwap(held, held-spare) {
			c.state.Return(spare)
			return
		}
	}
}

// bufferEnded marks exchange.buffered at the end of the call: whatever is added leaves it
// negative.
const bufferEnded = math.MinInt64 / 2

// returnBuffer returns the memory and the turn for responses at the end of the call.
func (x *exchange) returnBuffer() {
	if n := x.buffered.Swap(bufferEnded); n > 0 {
		connOf(x.r).state.Return(n)
	}
	x.endResponseTurn()
}

// endResponseTurn ends the turn of a response, if there is one.
func (x *exchange) endResponseTurn() {
	if turn := x.responseTurn.Swap(nil); turn != nil {
		x.service.uploads.End(turn, x.service.uploads.Limit(x.service.balancer.Slots(), time.Now()))
	}
}
