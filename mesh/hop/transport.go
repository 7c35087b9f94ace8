package hop

// This file defines what the head of an answer must be for the answer to count as one.
// net/http reads more than it can write.

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Transport is an http.Transport for which an answer whose head is not valid is a broken one:
// RoundTrip returns an error instead of it. The connection may carry other calls by then, so
// it is closed only if the answer has a body.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// Bounds of a status, by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an error if the head of an answer is not valid.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Errorf("answer has invalid status %.20q", resp.Status)
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	return CheckTrailer(resp)
}

// CheckTrailer returns an error if the trailer of an answer is not valid. The names are known
// when the answer's head has been read if the head lists them, and else at the end of the body.
func CheckTrailer(resp *http.Response) error { return checkNames(resp.Trailer) }

// checkNames returns an error if a name is no token. net/http reads names with blanks, and
// leaves out such fields when it writes a header.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("answer has invalid field name %.80q", name)
		}
	}
	return nil
}
