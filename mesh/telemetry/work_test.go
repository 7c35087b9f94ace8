package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLogWork checks that a node logs what its parts counted in each interval, also in
// the last one, and nothing of earlier intervals.
func TestLogWork(t *testing.T) {
	m := NewMetrics()
	defer m.Close()
	beats := m.Scope.SubScope("member").Counter("beat")
	calls := m.Scope.SubScope("platform").Tagged(map[string]string{"purpose": "watch"}).Timer("store")
	beats.Inc(3)
	calls.Record(time.Second)
	before, err := m.totals()
	require.NoError(t, err)
	require.Eventually(t, func() bool { // the scope reports once a second
		before, err = m.totals()
		return err == nil && before["member_beat"] == 3
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1.0, before["platform_store.watch"])
	require.Positive(t, before[WorkProcessor])
	require.Positive(t, before[WorkAllocations])
	after, err := m.totals()
	require.NoError(t, err)
	require.NotContains(t, workSince(before, after), "member_beat")

	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m.LogWork(ctx, slog.New(slog.NewJSONHandler(&out, nil)), time.Hour)
	var line struct {
		Msg    string
		Counts map[string]float64
	}
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, WorkDone, line.Msg)
	require.Equal(t, 3.0, line.Counts["member_beat"])
}
