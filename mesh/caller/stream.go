package caller

// This file defines the body of a call that is passed on while it is read from the
// caller's connection.

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errCallEnded is the error of reading the body of a call that has been answered.
var errCallEnded = errors.New("the call has been answered")

// After an answer that precedes the end of the body, the rest is read and dropped within
// these bounds. Closing a connection on which bytes arrive resets it, and a caller that
// still writes its body would not read the answer.
const (
	drainTimeout = 500 * time.Millisecond
	maxDrain     = 256 << 10 // bytes; net/http lingers by itself on a longer rest
)

// streamedBody is a request body that the next hop's transport reads while the call is
// served. net/http takes what follows the body on an HTTP/1.1 connection for the next
// request, so nothing may read the body once the handler has returned, and the
// connection may be used again only if the body was read to its end before that.
type streamedBody struct {
	io.ReadCloser
	length int64  // -1 if unknown
	atEOF  func() // called by the read that meets the end, when the trailer is known

	whole    func()     // called once when the body has been read to its end; may be nil
	mu       sync.Mutex // held by a read
	read     int64
	ended    atomic.Bool
	complete atomic.Bool
}

// newStreamedBody returns the body of a request for streaming.
func newStreamedBody(r *http.Request) *streamedBody {
	return &streamedBody{ReadCloser: r.Body, length: r.ContentLength}
}

// Read implements io.Reader. It fails once the call has ended.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended.Load() {
		return 0, errCallEnded
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == io.EOF && b.atEOF != nil {
		b.atEOF()
	}
	if err == io.EOF || b.read == b.length {
		if !b.complete.Swap(true) && b.whole != nil {
			b.whole()
		}
	}
	return n, err
}

// Close does nothing: net/http closes the body when the handler has returned.
func (b *streamedBody) Close() error { return nil }

// interruptAt makes a read in progress fail when ctx ends: a transport may wait for it
// before it gives up the call. The returned function must be called before the call's
// own end ends ctx.
func (b *streamedBody) interruptAt(ctx context.Context, w http.ResponseWriter) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if !b.complete.Load() {
			interruptRead(w)
		}
	})
}

// interruptRead makes a read of the caller's connection fail that is in progress. It has
// no effect on a connection that is closed.
func interruptRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // long past
}

// end makes later reads fail, waits for one in progress and drops the rest of the body
// within bounds. Afterwards net/http has the connection to itself. answered says that
// the answer is complete; without one there is nothing to wait for.
func (b *streamedBody) end(w http.ResponseWriter, answered bool) {
	b.ended.Store(true)
	if b.complete.Load() {
		return
	}
	if !answered {
		interruptRead(w)
		b.mu.Lock()
		defer b.mu.Unlock()
		return
	}
	_ = http.NewResponseController(w).Flush() // an error shows in the reads below
	timer := time.AfterFunc(drainTimeout, func() { interruptRead(w) })
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.CopyN(io.Discard, b.ReadCloser, maxDrain) // the connection is closed whatever is left
}
