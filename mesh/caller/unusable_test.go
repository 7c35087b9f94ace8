package caller

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// unusableTable returns a table with the route "/", and "/book" whose proportions are not known.
func unusableTable(t *testing.T) *revision.Table {
	snapshot, err := revision.NewDocument(8, &wire.Document{
		Services: []*wire.DocumentService{{Name: "quotes"}},
		Routes: []*wire.DocumentRoute{
			{Name: "rest", Prefix: "/", Parts: []*wire.Part{{Service: "quotes", Weight: 1}}, Timeout: 1000},
			{Name: "book", Prefix: "/book", Parts: []*wire.Part{{Service: "quotes"}}, Unusable: true, Timeout: 1000},
		},
	})
	require.NoError(t, err)
	var h revision.Holder
	require.NoError(t, h.Apply(&wire.Update{Snapshot: snapshot}))
	return h.Table()
}

// callUnusableRoute returns a function that makes a call one of a route whose proportions are not known.
func callUnusableRoute(t *testing.T) func(*Proxy, *http.Request) {
	return func(p *Proxy, r *http.Request) {
		table := unusableTable(t)
		p.config.Table, r.URL.Path = func() *revision.Table { return table }, "/book"
	}
}

// TestUnusableRouteIsRefused guards against a call that runs by chance, or by a less specific route, where its route's proportions are not known.
func TestUnusableRouteIsRefused(t *testing.T) {
	table := unusableTable(t)
	for path, status := range map[string]int{"/book": http.StatusServiceUnavailable, "/book/7": http.StatusServiceUnavailable, "/other": http.StatusOK} {
		sent := 0
		hop := roundTripFunc(func(r *http.Request) (*http.Response, error) {
			sent++
			return respondWith(http.StatusOK)(r)
		})
		var log bytes.Buffer
		p := promiseProxy(t, hop, secondsDialect{}, &log)
		p.config.Table = func() *revision.Table { return table }
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, http.NoBody))
		require.Equal(t, status, w.Code, path)
		if status == http.StatusOK {
			require.Equal(t, 1, sent)
			continue
		}
		require.Zero(t, sent)
		require.Equal(t, string(call.ReasonNoParts), w.Header().Get(call.HeaderReason))
		require.Equal(t, "no", w.Header().Get(call.HeaderRan))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Contains(t, log.String(), `"route":"book"`)
	}
}
