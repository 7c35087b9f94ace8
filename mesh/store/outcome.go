package store

// This file tells clients of a platform's store over HTTP what a call without
// a good answer means.

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the time that a busy platform asks for.
const (
	minRetryAfter = 100 * time.Millisecond // also where it names none
	maxRetryAfter = time.Minute
)

// Lost classifies a call without an answer: a write may have taken effect
// unless the connection was never made.
func Lost(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || (errors.As(err, &op) && op.Op == "dial") {
		return errors.Wrap(ErrDown, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

// Refused classifies an answer by its status; it returns nil for a success.
// The conflict is the status of a write whose condition does not hold, and 503
// a promise that nothing was done.
func Refused(method string, conflict int, resp *http.Response, body []byte) error {
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
		return &BusyError{After: retryAfter(resp.Header.Get("Retry-After"))}
	case code == http.StatusServiceUnavailable:
		return errors.Wrap(ErrDown, resp.Status)
	case code >= 500 && method != http.MethodGet:
		return errors.Wrap(ErrUnknown, resp.Status)
	}
	return errors.Errorf("platform answers %s: %.200s", resp.Status, strings.TrimSpace(string(body)))
}

// retryAfter reads the header in seconds, or as a date.
func retryAfter(text string) time.Duration {
	var d time.Duration
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		d = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	} else if at, err := http.ParseTime(text); err == nil {
		d = time.Until(at)
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
