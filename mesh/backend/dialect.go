package backend

// This file defines what differs between deployments in how a backend server
// is spoken to.

import (
	"net/http"
	"time"

	"caroblift.dev/mesh/call"
)

// Attempt is one call on its way to the backend server.
type Attempt struct {
	Server   string        // name of the life of the server that is meant
	Caller   string        // service on the instance where the call entered
	Left     time.Duration // until the deadline; zero when there is none
	Deadline bool          // there is a deadline
}

// Dialect maps a call to the headers that a backend server expects, and its
// answer to an outcome. A gate without one speaks the product's own headers.
type Dialect interface {
	// Ask changes the header of a call into that which the server expects. It
	// removes whatever a caller set in the names of the system.
	Ask(header http.Header, a Attempt)
	// Judge tells what an answer means: Answered with no reason for the
	// server's own answer, or else why it does not count.
	Judge(sent http.Header, answer *http.Response) (call.Reason, call.Outcome)
}
