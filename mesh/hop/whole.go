package hop

// This file reads answers whole before they are handed on, so that one that
// breaks off can be replaced by another attempt.

import (
	"bytes"
	"io"
	"net/http"
)

// MaxWhole bounds the answers that are read whole, in bytes: larger than the
// largest usual download, and small against the memory of a node with a few of
// them in progress.
const MaxWhole = 1 << 20

// Whole reads the body of an answer up to a limit in bytes. An answer that is
// longer keeps the rest of its body as a stream. An error means that the answer
// broke off.
func Whole(resp *http.Response, limit int64) error {
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
		resp.Body = &rejoined{Reader: io.MultiReader(&buffer, resp.Body), Closer: resp.Body}
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

// rejoined is a body of which a part was read already.
type rejoined struct {
	io.Reader
	io.Closer
}
