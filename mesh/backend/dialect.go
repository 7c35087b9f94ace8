package backend

// This file defines the part of the protocol with the backend server that
// differs between deployments.

import (
	"net/http"
	"time"

	"caroblift.dev/mesh/call"
)

// Attempt describes one attempt of a call at the backend server.
type Attempt struct {
	Server      string        // name of the incarnation that the call is meant for; empty when it announced none
	Caller      string        // service on the instance where the call entered the mesh
	TimeLeft    time.Duration // until the deadline; zero when there is none
	HasDeadline bool          // whether there is a deadline
}

// Dialect maps a call to the headers that a backend server expects, and the
// server's answer to an outcome. A gate without a dialect uses the Caroblift-*
// headers.
type Dialect interface {
	// RewriteHeader rewrites the header of a call for the server. It removes
	// whatever the caller has set under the names that the dialect reserves.
	RewriteHeader(header http.Header, a Attempt)
	// CallID returns the ID of the call that the header of a call or of an
	// answer names, or "" when it names none.
	CallID(header http.Header) string
	// ClassifyAnswer returns the verdict on an answer to the header that was
	// sent; its reason is empty for the server's own answer.
	ClassifyAnswer(sent http.Header, answer *http.Response) call.Verdict
}
