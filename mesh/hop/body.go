package hop

// This file defines the body of a call, which is kept for another attempt only
// if it is small.

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxReplay bounds the body that is kept for another attempt, in bytes.
const maxReplay = 16 << 10

// Body is the body of a call over all its attempts. A body of known small
// length is read whole and kept. A larger one, or one of unknown length, is
// streamed and can be sent once.
type Body struct {
	small  []byte
	stream io.ReadCloser // nil when the body is small
}

// NewBody returns the body of a call. It fails when a small body ends early.
func NewBody(r *http.Request) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplay {
		return &Body{stream: r.Body}, nil
	}
	small := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, small); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return &Body{small: small}, nil
}

// Streamed tells whether the body can be sent only once.
func (b *Body) Streamed() bool { return b.stream != nil }

// Empty tells whether there is no body.
func (b *Body) Empty() bool { return b.stream == nil && len(b.small) == 0 }

// Attempt returns the body for one attempt. A streamed body serves one attempt
// only. An empty body is http.NoBody.
func (b *Body) Attempt() io.ReadCloser {
	switch {
	case b.stream != nil:
		return b.stream
	case len(b.small) == 0:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.small))
}

// Empty is an empty body that is not http.NoBody. net/http sends a request
// again by itself only if it has no body or knows how to get it anew.
type Empty struct{}

// Read returns io.EOF.
func (Empty) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (Empty) Close() error { return nil }

// OnDone returns a body that runs a function once: with io.EOF when it was read
// to its end, with the error when it broke off, and with nil when it was closed
// before either.
func OnDone(body io.ReadCloser, done func(error)) io.ReadCloser {
	return &doneBody{ReadCloser: body, done: done}
}

type doneBody struct {
	io.ReadCloser
	once sync.Once
	done func(error)
}

func (b *doneBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.done(err) })
	}
	return n, err
}

func (b *doneBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(nil) })
	return err
}
