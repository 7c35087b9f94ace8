package hop

// This file defines the request body of a call, which is buffered for retries
// only if it is small.

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxReplay is the maximum length of a body that is buffered for retries, in
// bytes.
const maxReplay = 16 << 10

// Body is the request body of a call for all its attempts. A body with a known
// length of at most maxReplay is buffered. Any other body is streamed and can be
// sent only once.
type Body struct {
	buffered []byte
	stream   io.ReadCloser // nil if the body is buffered
}

// NewBody returns the body of a call. length is -1 if it is not known. It fails if a
// body to buffer ends early.
func NewBody(body io.ReadCloser, length int64) (*Body, error) {
	if length == 0 {
		return &Body{}, nil
	}
	if length < 0 || length > maxReplay {
		return &Body{stream: body}, nil
	}
	buffered := make([]byte, length)
	if _, err := io.ReadFull(body, buffered); err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	return &Body{buffered: buffered}, nil
}

// Streamed reports whether the body can be sent only once.
func (b *Body) Streamed() bool { return b.stream != nil }

// Buffered returns the content of the body, or nil if it is empty or streamed.
func (b *Body) Buffered() []byte { return b.buffered }

// Empty reports whether there is no body.
func (b *Body) Empty() bool { return b.stream == nil && len(b.buffered) == 0 }

// ForAttempt returns a reader of the body for one attempt: http.NoBody if there
// is no body. A streamed body can be used for one attempt only.
func (b *Body) ForAttempt() io.ReadCloser {
	switch {
	case b.stream != nil:
		return b.stream
	case len(b.buffered) == 0:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// EmptyBody is an empty body that is not http.NoBody. It prevents net/http from
// resending a request on its own, which it does only if the request has no body
// or a GetBody function.
type EmptyBody struct{}

// Read returns io.EOF.
func (EmptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (EmptyBody) Close() error { return nil }

// OnDone returns a body that calls done once: with io.EOF when the body has been
// read to its end, with the error when a read fails, or with nil when the body is
// closed before either. The reader gets the error that done returns.
func OnDone(body io.ReadCloser, done func(error) error) io.ReadCloser {
	return &doneBody{ReadCloser: body, done: done}
}

type doneBody struct {
	io.ReadCloser
	once sync.Once
	done func(error) error
	err  error // that done returned
}

func (b *doneBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.err = b.done(err) })
		if b.err != nil { // nil if the body was closed before
			err = b.err
		}
	}
	return n, err
}

func (b *doneBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.err = b.done(nil) })
	return err
}
