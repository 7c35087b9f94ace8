package caller

// This file enforces the size limits that a configuration sets for calls.

import (
	"io"
	"net/http"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/record"
)

// exceededLimit returns the reason of the limit that a call exceeds, or "".
func exceededLimit(l record.CallerLimits, r *http.Request) call.Reason {
	switch {
	case l.MaxHeaderBytes > 0 && headerSize(r) > l.MaxHeaderBytes:
		return call.ReasonLongHeader
	case l.MaxBodyBytes > 0 && r.ContentLength > l.MaxBodyBytes:
		return call.ReasonLongBody
	}
	return ""
}

// limitBody returns a body that is cut off at the limit if its length is not known,
// which makes the call fail.
func limitBody(l record.CallerLimits, length int64, body io.ReadCloser) io.ReadCloser {
	if l.MaxBodyBytes > 0 && length < 0 {
		return http.MaxBytesReader(nil, body, l.MaxBodyBytes) // nil: announceClose closes the connection
	}
	return body
}

// headerLineOverhead is the size of the colon, the space and the line end of a
// header line, in bytes.
const headerLineOverhead = 4

// headerSize returns the size of a request's header in HTTP/1.1, in bytes.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead + len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return int64(n)
}
