package store

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/rollout"
)

// respelled returns a body as a platform may give it back, which keeps the values of numbers and not their spellings.
func respelled(t *testing.T, body []byte, number string) []byte {
	text := strings.Replace(string(body), number, number+".0", 1)
	require.NotEqual(t, string(body), text, number)
	return []byte(text)
}

// TestOwnObjectsBySpelling guards against objects of the system's own that a node can't read for the way the platform spells their numbers.
func TestOwnObjectsBySpelling(t *testing.T) {
	now := time.UnixMilli(1700000000000)
	state := rollout.State{Service: "x", Version: "v2", Number: 9007199254740993, Phase: rollout.PhaseCanary, Duration: 30 * time.Second, Ordered: now, Entered: now, Heard: now}
	body, err := encodeRollout(state)
	require.NoError(t, err)
	for _, number := range []string{"9007199254740993", "30000", "1700000000000"} {
		got, ok := decodeRollout(Object{Name: "x", Body: respelled(t, body, number)}, now)
		require.True(t, ok, number)
		require.Equal(t, state, got)
	}
	for _, number := range []string{"-30000", "30000.5", `"30000"`} {
		_, ok := decodeRollout(Object{Name: "x", Body: []byte(strings.Replace(string(body), "30000", number, 1))}, now)
		require.False(t, ok, number)
	}
	long, ok := decodeRollout(Object{Name: "x", Body: []byte(strings.Replace(string(body), "30000", "18446744073709551615", 1))}, now)
	require.True(t, ok)
	require.Positive(t, long.Duration)

	suspicion := call.Suspicion{Request: call.Fingerprint{1}, Trials: 2, TrialAt: now, Ends: []call.End{{Server: 7, Weight: 3, At: now}}}
	body, err = encodeCondemned(suspicion)
	require.NoError(t, err)
	for _, number := range []string{`"trials":2`, `"weight":3`} {
		got, ok := decodeCondemned(Object{Name: suspicion.Request.String(), Body: respelled(t, body, number)}, now)
		require.True(t, ok, number)
		require.Equal(t, suspicion, got)
	}

	var v Version
	for text, want := range map[string]uint64{"7": 7, "7.0": 7, "18446744073709551615": math.MaxUint64} {
		require.NoError(t, json.Unmarshal([]byte(text), &v))
		require.Equal(t, Version{Revision: want}, v)
	}
	require.Error(t, json.Unmarshal([]byte("7.5"), &v))
	r, err := DecodeRecord(Object{Name: "service.quotes", Body: []byte(`{"kind": "service", "name": "quotes", "schema": 2.0, "spec": {}}`)})
	require.NoError(t, err)
	require.EqualValues(t, 2, r.GetSchema())
}
