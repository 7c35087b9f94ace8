package caller

// This file defines the body of a call that is passed on while it is read from the
// caller's connection.

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errCallEnded is the error of reading the body of a call that has been answered.
var errCallEnded = errors.New("the call has been answered")

// drainTimeout bounds how long net/http reads on from the connection of a caller that was
// answered before its body was read. Closing a connection on which bytes arrive would
// reset it, and the caller might lose the answer.
const drainTimeout = 500 * time.Millisecond

// streamedBody is a request body that the next hop's transport reads while the call is
// served. net/http takes what follows the body on an HTTP/1.1 connection for the next
// request, so nothing may read the body once the handler has returned, and the
// connection may be used again only if the body was read to its end before that.
type streamedBody struct {
	io.ReadCloser
	length int64 // -1 if unknown

	mu       sync.Mutex // held by a read
	read     int64
	ended    bool
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
	if b.ended {
		return 0, errCallEnded
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err == io.EOF || b.read == b.length {
		b.complete.Store(true)
	}
	return n, err
}

// Close does nothing: net/http closes the body when the handler has returned.
func (b *streamedBody) Close() error { return nil }

// end makes later reads fail and interrupts one in progress. Afterwards net/http has the
// connection to itself.
func (b *streamedBody) end(w http.ResponseWriter) {
	if b.complete.Load() {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Unix(1, 0)) // fails only on a connection that is closed
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
}
