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

// serve returns a store behind HTTP and a client of it.
func serve(t *testing.T, timeout time.Duration) (*storetest.Store, *store.Client) {
	stand := storetest.New()
	server := httptest.NewUnstartedServer(stand)
	server.Config.ConnContext = stand.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	c := store.New(store.ClientConfig{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Timeout: timeout})
	t.Cleanup(c.Close)
	return stand, c
}

// TestClient runs every call over HTTP, with the outcomes that a caller must
// tell apart.
func TestClient(t *testing.T) {
	stand, c := serve(t, time.Minute)
	ctx := t.Context()
	made, err := c.Create(ctx, "record", "a", []byte("1"))
	require.NoError(t, err)
	_, err = c.Create(ctx, "record", "a", []byte("2"))
	require.ErrorIs(t, err, store.ErrConflict)
	changed, err := c.Update(ctx, "record", "a", made.Version, []byte("2"))
	require.NoError(t, err)
	_, err = c.Update(ctx, "record", "a", made.Version, []byte("3"))
	require.ErrorIs(t, err, store.ErrConflict)
	got, err := c.Get(ctx, "record", "a")
	require.NoError(t, err)
	require.Equal(t, store.Object{Kind: "record", Name: "a", Version: changed.Version, Body: []byte("2")}, got)
	_, err = c.Get(ctx, "record", "b")
	require.ErrorIs(t, err, store.ErrNotFound)

	objs, next, err := c.Watch(ctx, "record", made.Version, time.Minute)
	require.NoError(t, err)
	require.Equal(t, []store.Object{got}, objs)
	objs, _, err = c.Watch(ctx, "record", next, 0)
	require.NoError(t, err)
	require.Empty(t, objs)
	stand.Forget()
	_, _, err = c.Watch(ctx, "record", made.Version, 0)
	require.ErrorIs(t, err, store.ErrGone)

	stand.Set(storetest.Faults{Lose: true})
	_, err = c.Create(ctx, "record", "lost", []byte("1"))
	require.ErrorIs(t, err, store.ErrUnknown)
	stand.Set(storetest.Faults{Down: true})
	_, err = c.Get(ctx, "record", "a")
	require.ErrorIs(t, err, store.ErrDown)
	stand.Set(storetest.Faults{})
	_, err = c.Get(ctx, "record", "lost")
	require.NoError(t, err, "the write whose answer was lost took effect")
	require.NoError(t, c.Delete(ctx, "record", "a", changed.Version))
	require.Error(t, errOf(c.Create(ctx, "record", "big", make([]byte, 1<<20+1))))
	require.Equal(t, map[string]uint64{"create": 4, "update": 2, "get": 4, "watch": 3, "list": 0, "delete": 1}, c.Counts())
	require.Equal(t, uint64(14), c.Calls())
	stand.Reads = rate.NewLimiter(0, 0)
	var busy *store.BusyError
	require.ErrorAs(t, errOf(c.Get(ctx, "record", "a")), &busy)
	require.Equal(t, time.Second, busy.After)
}

func errOf(_ store.Object, err error) error { return err }

// TestClientSilent silences the open connections: the call under way ends
// without an answer, and the next uses a new connection.
func TestClientSilent(t *testing.T) {
	stand, c := serve(t, 300*time.Millisecond)
	_, err := c.Create(t.Context(), "record", "a", nil)
	require.NoError(t, err)
	stand.Silence()
	_, err = c.Create(t.Context(), "record", "b", nil)
	require.ErrorIs(t, err, store.ErrUnknown)
	require.Eventually(t, func() bool {
		_, err := c.Create(t.Context(), "record", "c", nil)
		return err == nil
	}, time.Minute, time.Millisecond)
}

// TestRetryAfter reads the header of a busy platform in both forms and bounds
// it.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		want   time.Duration
	}{
		"seconds": {"2", 2 * time.Second}, "missing": {"", 100 * time.Millisecond}, "no number": {"soon", 100 * time.Millisecond},
		"negative": {"-5", 100 * time.Millisecond}, "too long": {"86400", time.Minute}, "past date": {"Mon, 02 Jan 2006 15:04:05 GMT", 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", c.header)
				w.WriteHeader(http.StatusTooManyRequests)
			}))
			defer server.Close()
			client := store.New(store.ClientConfig{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Timeout: time.Minute})
			defer client.Close()
			var busy *store.BusyError
			require.ErrorAs(t, errOf(client.Get(t.Context(), "record", "a")), &busy)
			require.Equal(t, c.want, busy.After)
		})
	}
}
