package caller

// This file defines the interface by which a deployment uses its own call
// headers.

import (
	"net/http"
	"time"
)

// Dialect translates between the headers that the callers of a deployment use
// and the proxy. A proxy without a Dialect uses the Caroblift headers. Callers with a
// Dialect take the statuses of call.Promises for a promise that a call has not run;
// those of a proxy without one read it from call.HeaderRan.
type Dialect interface {
	// ID returns the ID that the caller gave the call, or "" when it gave none.
	ID(header http.Header) string
	// TimeLeft returns how long the caller will wait for the answer, and false
	// when the header does not state it.
	TimeLeft(header http.Header) (time.Duration, bool)
	// WriteRetryAfter adds the retry delay to the header of an answer that the
	// node itself generates. An after of zero means that a retry does not help.
	WriteRetryAfter(header http.Header, after time.Duration)
}

// KeyDialect is implemented by the Dialect of a deployment whose callers send keys.
// Without it, the proxy takes every caller for one without a key.
type KeyDialect interface {
	// TakeKeys removes from the header of a call whatever callers send under the names
	// of the key and of the workspace, and returns the values of the key.
	TakeKeys(header http.Header) []string
	// CleanTrailer removes what callers must not send to backend servers in a trailer.
	CleanTrailer(trailer http.Header)
}
