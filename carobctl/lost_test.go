package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/wire/wireconnect"
)

// TestLostAnswerIsNotNothingWritten guards against reporting that nothing was written
// when the node received a write and its answer was lost.
func TestLostAnswerIsNotNothingWritten(t *testing.T) {
	for name, lose := range map[string]http.HandlerFunc{
		"connection closed":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"answer of a proxy":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"timeout of a proxy": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			f, applies := &fakeOperator{}, 0
			_, handler := wireconnect.NewOperatorHandler(f)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == wireconnect.OperatorApplyProcedure {
					applies++
				}
				if applies <= 1 { // the first only checks the record
					handler.ServeHTTP(w, r)
					return
				}
				handler.ServeHTTP(httptest.NewRecorder(), r)
				lose(w, r)
			}))
			defer server.Close()
			got := carobctl(server.Listener.Addr().String(), service, "apply", "-f", "-")
			require.Equal(t, exitOutcomeUnknown, got.code, got.err)
		})
	}
}
