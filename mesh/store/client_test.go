package store_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
)

// serve starts an HTTP server for a store and returns the store and a client.
func serve(t *testing.T, timeout time.Duration) (*storetest.Store, *store.Client) {
	platform := storetest.New()
	server := httptest.NewUnstartedServer(platform)
	server.Config.ConnContext = platform.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	c := store.New(store.ClientConfig{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Timeout: timeout})
	t.Cleanup(c.Close)
	return platform, c
}

// TestClient makes every kind of call over HTTP and checks that the outcomes that a
// caller must distinguish arrive as the right errors.
func TestClient(t *testing.T) {
	platform, c := serve(t, time.Minute)
	ctx := t.Context()
	created, err := c.Create(ctx, "record", "a", []byte("1"))
	require.NoError(t, err)
	_, err = c.Create(ctx, "record", "a", []byte("2"))
	require.ErrorIs(t, err, store.ErrConflict)
	updated, err := c.Update(ctx, "record", "a", created.Version, []byte("2"))
	require.NoError(t, err)
	_, err = c.Update(ctx, "record", "a", created.Version, []byte("3"))
	require.ErrorIs(t, err, store.ErrConflict)
	got, err := c.Get(ctx, "record", "a")
	require.NoError(t, err)
	require.Equal(t, store.Object{Kind: "record", Name: "a", Version: updated.Version, Body: []byte("2")}, got)
	_, err = c.Get(ctx, "record", "b")
	require.ErrorIs(t, err, store.ErrNotFound)

	objs, next, err := c.Watch(ctx, "record", created.Version, time.Minute)
	require.NoError(t, err)
	require.Equal(t, []store.Object{got}, objs)
	objs, _, err = c.Watch(ctx, "record", next, 0)
	require.NoError(t, err)
	require.Empty(t, objs)
	platform.DropHistory()
	_, _, err = c.Watch(ctx, "record", created.Version, 0)
	require.ErrorIs(t, err, store.ErrGone)

	platform.SetFaults(storetest.Faults{LoseResponses: true})
	_, err = c.Create(ctx, "record", "lost", []byte("1"))
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
	platform.SetFaults(storetest.Faults{Down: true})
	_, err = c.Get(ctx, "record", "a")
	require.ErrorIs(t, err, store.ErrUnavailable)
	platform.SetFaults(storetest.Faults{})
	_, err = c.Get(ctx, "record", "lost")
	require.NoError(t, err, "the write without a response took effect")
	require.NoError(t, c.Delete(ctx, "record", "a", updated.Version))
	require.Error(t, errOf(c.Create(ctx, "record", "big", make([]byte, 1<<20+1))))
	require.Equal(t, map[string]uint64{"create": 4, "update": 2, "get": 4, "watch": 3, "list": 0, "delete": 1}, c.Counts())
	require.Equal(t, uint64(14), c.Calls())
	platform.Reads = rate.NewLimiter(0, 0)
	var limitErr *store.RateLimitError
	require.ErrorAs(t, errOf(c.Get(ctx, "record", "a")), &limitErr)
	require.Equal(t, time.Second, limitErr.RetryAfter)
}

func errOf(_ store.Object, err error) error { return err }

// TestClientSilent guards against calls that keep using a connection which no
// longer responds: a write on it ends with ErrOutcomeUnknown, and a later call
// uses a new connection.
func TestClientSilent(t *testing.T) {
	platform, c := serve(t, 300*time.Millisecond)
	_, err := c.Create(t.Context(), "record", "a", nil)
	require.NoError(t, err)
	platform.SilenceConnections()
	_, err = c.Create(t.Context(), "record", "b", nil)
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
	require.Eventually(t, func() bool {
		_, err := c.Create(t.Context(), "record", "c", nil)
		return err == nil
	}, time.Minute, time.Millisecond)
}

// TestRetryAfter checks that both forms of the Retry-After header are parsed and
// that the delay is bounded.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		want   time.Duration
	}{
		"seconds": {"2", 2 * time.Second}, "missing": {"", 100 * time.Millisecond}, "no number": {"soon", 100 * time.Millisecond},
		"negative": {"-5", 100 * time.Millisecond}, "too long": {"86400", time.Minute}, "fraction": {"25e-1", 2500 * time.Millisecond},
		"not a number": {"NaN", 100 * time.Millisecond}, "hexadecimal": {"0x10", 100 * time.Millisecond}, "vast": {"1e999999999", time.Minute}, "past date": {"Mon, 02 Jan 2006 15:04:05 GMT", 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", c.header)
				w.WriteHeader(http.StatusTooManyRequests)
			}))
			defer server.Close()
			client := store.New(store.ClientConfig{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Timeout: time.Minute})
			defer client.Close()
			var limitErr *store.RateLimitError
			require.ErrorAs(t, errOf(client.Get(t.Context(), "record", "a")), &limitErr)
			require.Equal(t, c.want, limitErr.RetryAfter)
		})
	}
}
