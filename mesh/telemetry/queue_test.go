package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// TestAsyncWriterNeverBlocks writes more lines than the queue holds while the
// underlying writer blocks: Write must return at once and count the lines lost.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		lost := tally.NewTestScope("", nil)
		async := NewAsyncWriter(w, lost.Counter("lost"))
		start := time.Now()
		for range maxQueuedLines + 100 {
			n, err := async.Write([]byte("line\n"))
			require.NoError(t, err)
			require.Equal(t, 5, n)
		}
		require.Equal(t, start, time.Now())
		close(w.release)
		async.Close()
		lines := strings.Count(w.String(), "line\n")
		require.GreaterOrEqual(t, lines, maxQueuedLines)
		require.Less(t, lines, maxQueuedLines+100)
		require.Contains(t, w.String(), `"log lines lost"`)
		require.EqualValues(t, maxQueuedLines+100-lines, lost.Snapshot().Counters()["lost+"].Value())
		_, err := async.Write([]byte("late\n"))
		require.NoError(t, err, "writing after Close must not fail")
	})
}

// TestLimiterLetsCallsThrough checks that messages about single calls have a
// higher limit than other messages.
func TestLimiterLetsCallsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		left := tally.NewTestScope("", nil)
		log := NewLogger(&out, nil, left.Counter("left"))
		for range 3 * maxCallLines {
			log.Info(CallRefused, "call", "x")
			log.Info("other")
		}
		require.Equal(t, maxCallLines, strings.Count(out.String(), CallRefused))
		require.Equal(t, 5, strings.Count(out.String(), "other"))
		require.EqualValues(t, 2*maxCallLines+3*maxCallLines-5, left.Snapshot().Counters()["left+"].Value())
		time.Sleep(time.Minute)
	})
}
