package caller

// This file holds calls against the limits that a configuration sets for
// callers.

import (
	"net/http"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// exceeds tells which limit a call exceeds, or nothing. A body of unknown
// length is cut off at the limit, which breaks the call.
func exceeds(l record.Limits, r *http.Request) call.Reason {
	switch {
	case l.Header > 0 && headerSize(r) > l.Header:
		return call.LongHead
	case l.Body > 0 && r.ContentLength > l.Body:
		return call.LongBody
	}
	if l.Body > 0 && r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, l.Body)
	}
	return ""
}

// lineOverhead is the colon, the space and the line end of a header line, in
// bytes.
const lineOverhead = 4

// headerSize returns the bytes of a request's header as HTTP/1.1 sends it.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead + len("Host") + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineOverhead
		}
	}
	return int64(n)
}
