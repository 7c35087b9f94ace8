package call_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// TestTimeLeftBySpelling guards against a deadline that is lost for the way its number is spelled.
func TestTimeLeftBySpelling(t *testing.T) {
	for text, want := range map[string]int64{"1500": 1500, "1500.0": 1500, "1.5e3": 1500, "1500.9": 1500, "0": 0, "1e400": math.MaxInt32, "4294967296": math.MaxInt32} {
		got, ok := call.ParseTimeLeft(text)
		require.True(t, ok, text)
		require.Equal(t, time.Duration(want)*time.Millisecond, got, text)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "0x10", "1_000", "1s"} {
		_, ok := call.ParseTimeLeft(text)
		require.False(t, ok, text)
	}
}
