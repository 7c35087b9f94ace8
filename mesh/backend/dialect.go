package backend

// This file defines the part of the protocol with the backend server that
// differs between deployments.

import (
	"net/http"
	"regexp"
	"slices"
	"time"

	"caroblift.dev/mesh/call"
)

// Attempt describes one attempt of a call at the backend server.
type Attempt struct {
	Server      string        // name of the incarnation that the call is meant for; empty when it announced none
	Caller      string        // service on the instance where the call entered the mesh
	Workspace   string        // name of the workspace that makes the call; empty when it is none's
	TimeLeft    time.Duration // until the deadline; zero when there is none
	HasDeadline bool          // whether there is a deadline
}

// Dialect maps a call to the headers that a backend server expects, and reads the
// headers of its answers. A gate without a dialect uses the Caroblift-*
// headers.
type Dialect interface {
	// RewriteHeader rewrites the header of a call for the server. It removes
	// whatever the caller has set under the names that the dialect reserves.
	RewriteHeader(header http.Header, a Attempt)
	// CallID returns the ID of the call that the header of a call or of an
	// answer names, or "" when it names none.
	CallID(header http.Header) string
	// Answer returns what the status and header of an answer state about its call.
	Answer(answer *http.Response) Answer
	// Statement returns what the header of an answer states about the server.
	Statement(header http.Header) Statement
}

// Answer is what an answer of a backend server states about its call, whichever that
// is.
type Answer struct {
	NotExecuted bool // the server states that it did not execute the call
	Invalid     bool // the server has not produced the answer itself, or it states that it both ran the call and did not
}

// Judge returns the verdict on an answer to a call whose header was sent; its reason
// is empty for the server's own answer, which is to be passed on. A connection may
// deliver an answer to another call, so only an answer that names this call says
// anything about it.
func Judge(d Dialect, sent http.Header, answer *http.Response) call.Verdict {
	id := d.CallID(sent)
	if d.CallID(answer.Header) != id {
		return call.MayHaveRun(call.ReasonCrossed)
	}
	a := d.Answer(answer)
	switch {
	case a.Invalid, joined(answer):
		return call.MayHaveRun(call.ReasonCrossed)
	case a.NotExecuted && answer.StatusCode == http.StatusBadRequest:
		return call.Success() // the call itself is at fault; no other server would run it
	case a.NotExecuted && id == "":
		return call.MayHaveRun(call.ReasonUnproven)
	case a.NotExecuted && answer.StatusCode == http.StatusMisdirectedRequest:
		return call.NotRun(call.ReasonMoved, call.ProofRejected)
	case a.NotExecuted:
		return call.NotRun(call.ReasonShed, call.ProofRejected)
	}
	return call.Success()
}

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}\b`)

// joined reports whether the header of an answer continues that of another one, which
// was cut off in its status line or behind the name of a header: the status line of
// the second then stands in the text of the first.
func joined(answer *http.Response) bool {
	if statusLine.MatchString(answer.Status) {
		return true
	}
	for _, values := range answer.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}
