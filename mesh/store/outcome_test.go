package store

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadLimited checks that a response beyond the limit is an error rather than
// cut off.
func TestReadLimited(t *testing.T) {
	data, err := readLimited(strings.NewReader("1234"), 4)
	require.NoError(t, err)
	require.Equal(t, "1234", string(data))
	_, err = readLimited(strings.NewReader("12345"), 4)
	require.ErrorContains(t, err, "longer than 4 bytes")
}
