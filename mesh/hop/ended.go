package hop

// This file passes on to the entry node that the backend server's process has ended in the
// middle of its answer, whose header has been sent by then.

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
)

// EndedError is the error of reading the body of an answer during which the backend
// server's process ended.
type EndedError struct{ End call.End }

// Error implements error.
func (e *EndedError) Error() string { return "backend server ended while it answered" }

// CopyToEntry is CopyResponse for an answer to the call's entry node. An answer during which
// the backend server ended has call.HeaderEnded as a trailer, by which EndOf knows that it
// is not complete.
func CopyToEntry(w http.ResponseWriter, resp *http.Response) {
	err := copyResponse(w, resp)
	if err == nil {
		return
	}
	var ended *EndedError
	if !errors.As(err, &ended) {
		abort(w)
	}
	w.Header()[http.TrailerPrefix+call.HeaderEnded] = []string{ended.End.Format()}
}

// EndOf returns the end of the backend server during an answer whose body was read until
// err, which is io.EOF at its end. It returns false if the server is not known to have ended.
func EndOf(resp *http.Response, err error, now time.Time) (call.End, bool) {
	var ended *EndedError
	if errors.As(err, &ended) {
		return ended.End, true
	}
	if values := resp.Trailer[call.HeaderEnded]; len(values) > 0 {
		return call.ParseEnd(values[0], now)
	}
	return call.End{}, false
}
