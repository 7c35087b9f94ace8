package hop

// This file buffers responses before they are forwarded, so that the call can be
// retried if a response ends early.

import (
	"bytes"
	"io"
	"net/http"
)

// MaxBufferedResponse is the maximum length of a response that is buffered, in
// bytes. It exceeds the largest usual download, and a few of them in progress
// take little of a node's memory.
const MaxBufferedResponse = 1 << 20

// BufferResponse buffers the body of a response if it is not longer than a
// limit in bytes. A longer body stays a stream. An error means that the body
// could not be read to its end.
func BufferResponse(resp *http.Response, limit int64) error {
	if resp.ContentLength > limit || resp.Body == http.NoBody {
		return nil
	}
	var buffer bytes.Buffer
	if resp.ContentLength > 0 {
		buffer.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		_ = resp.Body.Close()
		return err
	}
	if n > limit {
		resp.Body = &partlyReadBody{Reader: io.MultiReader(&buffer, resp.Body), Closer: resp.Body}
		return nil
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(&buffer)
	if resp.ContentLength < 0 && len(resp.Trailer) == 0 {
		resp.ContentLength = n
		resp.TransferEncoding = nil
	}
	return nil
}

// partlyReadBody is a body that yields the buffered part before the rest.
type partlyReadBody struct {
	io.Reader
	io.Closer
}
