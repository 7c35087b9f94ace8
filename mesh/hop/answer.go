// Package hop holds the code that is shared by both ends of a connection between
// two nodes, the entry node and the backend server's node: request bodies,
// responses, failures, dialing, and the registry of calls in progress.
//
// # Usage
//
//	calls := hop.NewCallRegistry()
//	entry := calls.Begin(id)
//	defer calls.End(entry)
//	hop.CopyResponse(w, resp)
package hop

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"caroblift.dev/mesh/call"
)

// bufferSize is the size of the buffer for copying a body, in bytes.
const bufferSize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// CopyResponse writes a response to w: end-to-end headers, body and trailers. A
// response of unknown length is flushed after each read. If the body ends early
// or can't be written, CopyResponse panics with http.ErrAbortHandler, so that a
// truncated response never looks complete.
func CopyResponse(w http.ResponseWriter, resp *http.Response) {
	if err := copyResponse(w, resp); err != nil {
		abort(w)
	}
}

// copyResponse writes a response to w and returns the error of reading its body.
func copyResponse(w http.ResponseWriter, resp *http.Response) error {
	header := w.Header()
	call.StripHopByHop(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if len(resp.Trailer) > 0 {
		declareTrailers(header, resp.Trailer)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		if !strings.HasPrefix(name, call.HeaderPrefix) {
			header[http.TrailerPrefix+name] = values
		}
	}
	return nil
}

// abort ends the connection or stream of a response that can't be completed. A client that
// has received no part of it may resend the request on its own, so the header is sent first.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// declareTrailers lists the trailers in the Trailer header, without those of the
// system.
func declareTrailers(header, trailer http.Header) {
	for name := range trailer {
		if !strings.HasPrefix(name, call.HeaderPrefix) {
			header.Add("Trailer", name)
		}
	}
}

// copyBody copies the body of a response to w and returns the error of reading it.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	streamed := resp.ContentLength < 0
	var flusher *http.ResponseController
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if streamed {
			if flusher == nil {
				flusher = http.NewResponseController(w)
			}
			_ = flusher.Flush()
		}
	}
}

// WriteFailure writes the response to a failed call: the reason, whether the
// call ran, and the delay after which to retry if it didn't run.
func WriteFailure(w http.ResponseWriter, v call.Verdict, after time.Duration) {
	SetFailureHeaders(w.Header(), v, after)
	w.WriteHeader(v.Status())
}

// SetFailureHeaders sets the headers of a response that reports a failure and
// has no body. The headers with the retry delay are set only if the delay is
// positive and the call didn't run.
func SetFailureHeaders(h http.Header, v call.Verdict, after time.Duration) {
	h[call.HeaderReason] = []string{string(v.Reason())}
	h[call.HeaderRan] = []string{v.Outcome().String()}
	if after > 0 && v.Outcome() == call.OutcomeNotRun {
		h[call.HeaderAfter] = []string{strconv.FormatInt(after.Milliseconds(), 10)}
		h["Retry-After"] = []string{strconv.Itoa(int((after + time.Second - 1) / time.Second))}
	}
	h["Content-Length"] = []string{"0"}
}

// IsUpgrade reports whether a request asks to switch the protocol of its
// connection. Nodes don't forward such requests.
func IsUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0
}
