package hop_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// failingBody yields some bytes, then an error.
type failingBody struct {
	io.Reader
	err error
}

func (b *failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = b.err
	}
	return n, err
}

func (*failingBody) Close() error { return nil }

// TestEndOfServerReachesEntry guards against an entry node that takes an answer for complete although its server has ended.
func TestEndOfServerReachesEntry(t *testing.T) {
	end := call.End{Server: 7, Weight: call.WeightAlone}
	for name, c := range map[string]struct {
		length int64
		sent   int
		err    error
		ended  bool
	}{
		"length":            {1 << 20, 100 << 10, &hop.EndedError{End: end}, true},
		"length, no byte":   {1 << 20, 0, &hop.EndedError{End: end}, true},
		"no length":         {-1, 100 << 10, &hop.EndedError{End: end}, true},
		"no length, broken": {-1, 100 << 10, io.ErrUnexpectedEOF, false},
		"length, broken":    {1 << 20, 100 << 10, io.ErrUnexpectedEOF, false},
		"no length, whole":  {-1, 100 << 10, io.EOF, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: c.length}
				if c.length >= 0 {
					resp.Header.Set("Content-Length", "1048576")
				}
				resp.Body = &failingBody{bytes.NewReader(make([]byte, c.sent)), c.err}
				hop.CopyToEntry(w, resp)
			}))
			protocols := &http.Protocols{}
			protocols.SetUnencryptedHTTP2(true)
			server.Config.Protocols = protocols
			server.Start()
			defer server.Close()
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			resp, err := transport.RoundTrip(httptest.NewRequest(http.MethodGet, server.URL, nil))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			whole := c.err == io.EOF
			got, ended := hop.EndOf(resp, err, time.Now())
			require.Equal(t, c.ended, ended)
			require.Equal(t, whole, err == nil && !ended, "complete")
			if ended {
				require.Equal(t, end.Server, got.Server)
				require.Equal(t, end.Weight, got.Weight)
			}
		})
	}
}
