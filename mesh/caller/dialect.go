package caller

// This file defines what differs between deployments in how callers speak.

import (
	"net/http"
	"time"
)

// Dialect reads what callers say in headers of their own and writes what they
// understand. A proxy without one speaks the product's own headers.
type Dialect interface {
	// ID returns the caller's name for a call, or nothing.
	ID(header http.Header) string
	// Left returns how long the caller will wait, and false when it does not
	// say.
	Left(header http.Header) (time.Duration, bool)
	// Refused writes into the header of an answer of the node's own, after
	// which time the caller may come back; zero means that it need not.
	Refused(header http.Header, after time.Duration)
}
