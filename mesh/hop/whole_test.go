package hop

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestWhole guards against forwarding a part of a response that ends early, and
// against losing a part of one that exceeds the limit.
func TestWhole(t *testing.T) {
	body := func(r io.Reader, length int64) *http.Response {
		return &http.Response{Body: io.NopCloser(r), ContentLength: length}
	}
	const limit = 10
	broken := errors.New("reset")
	for name, c := range map[string]struct {
		resp *http.Response
		want string
		err  error
	}{
		"short":             {body(strings.NewReader("12345"), 5), "12345", nil},
		"of unknown length": {body(strings.NewReader("12345"), -1), "12345", nil},
		"long":              {body(strings.NewReader("1234567890123"), 13), "1234567890123", nil},
		"long and unknown":  {body(strings.NewReader("1234567890123"), -1), "1234567890123", nil},
		"breaks off":        {body(io.MultiReader(strings.NewReader("123"), iotest.ErrReader(broken)), 5), "", broken},
	} {
		t.Run(name, func(t *testing.T) {
			require.ErrorIs(t, BufferResponse(c.resp, limit), c.err)
			if c.err != nil {
				return
			}
			var got bytes.Buffer
			_, err := got.ReadFrom(c.resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.want, got.String())
		})
	}
}
