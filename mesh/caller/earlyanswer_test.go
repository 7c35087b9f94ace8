package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/caller"
)

// TestResetDuringUploadIsNoSuccess guards against a success made of the part of an answer whose server reset the connection during the upload.
func TestResetDuringUploadIsNoSuccess(t *testing.T) {
	const calls, concurrent = 60, 6
	for name, colocated := range map[string]bool{"own server": true, "other node's server": false} {
		for _, path := range []string{"/book", "/once"} {
			for _, limit := range []int64{0, 1 << 20} {
				t.Run(fmt.Sprintf("%s%s, buffer of %d", name, path, limit), func(t *testing.T) {
					t.Parallel()
					s := newStackWith(t, 1, colocated, func(c *caller.Config) { c.BufferLimit = limit })
					server := backendtest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", backendtest.ResetAfter(5*time.Millisecond))
					s.instances[0].gate.SetTarget(&backend.Target{Service: "quotes", Address: server, Slots: concurrent})
					var successes atomic.Int64
					var all sync.WaitGroup
					for range concurrent {
						all.Go(func() { successes.Add(s.upload(t, path, calls/concurrent)) })
					}
					all.Wait()
					require.Zero(t, successes.Load(), "of %d answers", calls)
				})
			}
		}
	}
}

// upload sends long requests, with a length and in chunks by turns, and returns how many
// were answered by a success that came to its end.
func (s *stack) upload(t *testing.T, path string, calls int) (successes int64) {
	for n := range calls {
		req, err := http.NewRequest(http.MethodPut, s.entry.URL+path, backendtest.NewUpload(time.Millisecond))
		if err != nil {
			t.Error(err)
			return 0
		}
		if n%2 == 0 {
			req.ContentLength = backendtest.UploadLength
		}
		resp, err := s.client.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			successes++
		}
	}
	return successes
}
