package operator

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"caroblift.dev/wire"
)

// TestSingleDocumentRejectsWrites checks that records cannot be written where the
// configuration comes as one document: nothing would read them, so the write would
// be lost without notice.
func TestSingleDocumentRejectsWrites(t *testing.T) {
	s := New(Config{DecodeDocument: func([]byte) (*wire.Snapshot, error) { return nil, errNoDocument }})
	_, err := s.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{}))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	_, err = s.Delete(t.Context(), connect.NewRequest(&wire.DeleteRequest{}))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
}
