package store

// This file maps failed HTTP calls to the errors of a store.

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/decimal"
)

// Bounds of the delay that a platform asks for when it limits the rate.
const (
	minRetryAfter = 100 * time.Millisecond // also when the header is missing or not valid
	maxRetryAfter = time.Minute
)

// maxResponseBytes bounds the body of a response. The largest is a watch's after many
// changes of a large object in a row; a client whose watch fails lists the objects.
const maxResponseBytes = 16 << 20

// ReadResponse reads the body of a response. It returns an error if the body is
// longer than 16 MiB, since a part of it must not be taken for the whole.
func ReadResponse(body io.Reader) ([]byte, error) { return readLimited(body, maxResponseBytes) }

func readLimited(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Errorf("response is longer than %d bytes", limit)
	}
	return data, err
}

// ClassifyTransportError returns the error for a call that received no
// response. It is ErrOutcomeUnknown for a write, which may have taken effect,
// and ErrUnavailable for a read or when no connection was established.
func ClassifyTransportError(method string, err error) error {
	var opErr *net.OpError
	if method == http.MethodGet || (errors.As(err, &opErr) && opErr.Op == "dial") {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// ClassifyResponse returns the error for the status of a response, or nil for a
// success. conflict is the status by which the platform reports that the
// condition of a write does not hold. Status 503 means that the call had no
// effect.
func ClassifyResponse(method string, conflict int, resp *http.Response, body []byte) error {
	switch code := resp.StatusCode; {
	case code < 300:
		return nil
	case code == http.StatusNotFound:
		return ErrNotFound
	case code == conflict:
		return ErrConflict
	case code == http.StatusGone:
		return ErrGone
	case code == http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(resp.Header.Get("Retry-After"))}
	case code == http.StatusServiceUnavailable:
		return errors.Wrap(ErrUnavailable, resp.Status)
	case code >= 500 && method != http.MethodGet:
		return errors.Wrap(ErrOutcomeUnknown, resp.Status)
	}
	return errors.Errorf("platform returned %s: %.200s", resp.Status, strings.TrimSpace(string(body)))
}

// retryAfter parses a Retry-After header, in seconds or as a date, and bounds the
// result.
func retryAfter(text string) time.Duration {
	var d time.Duration
	if seconds, err := decimal.Parse(text); err == nil {
		d = time.Duration(max(0, min(seconds.Float64(), maxRetryAfter.Seconds())) * float64(time.Second))
	} else if at, err := http.ParseTime(text); err == nil {
		d = time.Until(at)
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
