package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// TestFanOut checks the measured calls in a run, once a class is recognized as nested.
func TestFanOut(t *testing.T) {
	now := time.Unix(1000, 0)
	var f call.FanOut
	for range 10 {
		f.AddRun(now)
		f.AddCall("own", "back", false, now)
	}
	require.Empty(t, f.PerRun(), "no gate has recognized a nested call")
	for n := range 100 {
		now = now.Add(10 * time.Millisecond)
		f.AddRun(now)
		f.AddCall("nested", "back", n == 0, now)
		f.AddCall("nested", "back", false, now)
		f.AddCall("own", "back", false, now)
	}
	require.InDelta(t, 2, f.PerRun()["back"], 0.1)
	for range 1000 {
		now = now.Add(time.Second)
		f.AddRun(now)
	}
	require.Empty(t, f.PerRun(), "the server makes no calls any more")
	f.AddCall("nested", "back", false, now)
	require.Empty(t, f.PerRun(), "the class was recognized too long ago")
}
