// Package hop holds what both ends of the connection between two nodes do with
// a call: its body, its answer, its refusal, and the record of calls in
// progress. The entry node and the node beside the backend server both use it.
//
// # Usage
//
//	calls := hop.NewCalls()
//	entry := calls.Begin(id)
//	defer calls.End(entry)
//	hop.Copy(w, resp)
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

// bufferSize is the memory that copying one body takes, in bytes.
const bufferSize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Copy hands an answer to the one who waits for it: header, body and trailers.
// A streamed answer is flushed piece by piece. When the body breaks off, Copy
// panics with http.ErrAbortHandler, so that a cut answer never looks whole.
func Copy(w http.ResponseWriter, resp *http.Response) {
	header := w.Header()
	call.StripHop(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if len(resp.Trailer) > 0 {
		announce(header, resp.Trailer)
	}
	w.WriteHeader(resp.StatusCode)
	copyBody(w, resp)
	for name, values := range resp.Trailer {
		if !strings.HasPrefix(name, call.HeaderPrefix) {
			header[http.TrailerPrefix+name] = values
		}
	}
}

// announce names the trailers ahead of the body.
func announce(header, trailer http.Header) {
	for name := range trailer {
		if !strings.HasPrefix(name, call.HeaderPrefix) {
			header.Add("Trailer", name)
		}
	}
}

func copyBody(w http.ResponseWriter, resp *http.Response) {
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	stream := resp.ContentLength < 0
	var flush *http.ResponseController
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			// A caller that has seen nothing of an answer may send the call again
			// by itself, so it gets the header before the connection breaks.
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if stream {
			if flush == nil {
				flush = http.NewResponseController(w)
			}
			_ = flush.Flush()
		}
	}
}

// Fail answers a call that has failed, with the reason, whether it has run, and
// when to come back if that helps.
func Fail(w http.ResponseWriter, reason call.Reason, outcome call.Outcome, after time.Duration) {
	Explain(w.Header(), reason, outcome, after)
	w.WriteHeader(reason.Status())
}

// Explain sets the header of an answer that reports a failure.
func Explain(h http.Header, reason call.Reason, outcome call.Outcome, after time.Duration) {
	h[call.HeaderReason] = []string{string(reason)}
	h[call.HeaderRan] = []string{outcome.String()}
	if after > 0 && outcome == call.NotRun {
		h[call.HeaderAfter] = []string{strconv.FormatInt(after.Milliseconds(), 10)}
		h["Retry-After"] = []string{strconv.Itoa(int((after + time.Second - 1) / time.Second))}
	}
	h["Content-Length"] = []string{"0"}
}

// Upgrades tells whether a call asks for another protocol on its connection,
// which nodes do not forward.
func Upgrades(r *http.Request) bool {
	return r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0
}
