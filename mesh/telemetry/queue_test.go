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

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// TestQueueNeverBlocks writes more than the queue holds to a writer that is
// stuck: no time passes, and what was lost is counted.
func TestQueueNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuck{release: make(chan struct{})}
		lost := tally.NewTestScope("", nil)
		q := NewQueue(w, lost.Counter("lost"))
		start := time.Now()
		for range queueLines + 100 {
			n, err := q.Write([]byte("line\n"))
			require.NoError(t, err)
			require.Equal(t, 5, n)
		}
		require.Equal(t, start, time.Now())
		close(w.release)
		q.Close()
		lines := strings.Count(w.String(), "line\n")
		require.GreaterOrEqual(t, lines, queueLines)
		require.Less(t, lines, queueLines+100)
		require.Contains(t, w.String(), `"log lines lost"`)
		require.EqualValues(t, queueLines+100-lines, lost.Snapshot().Counters()["lost+"].Value())
		_, err := q.Write([]byte("late\n"))
		require.NoError(t, err, "a part that ends late does no harm")
	})
}

// TestLimiterLetsCallsThrough keeps the lines of calls in a limit of their own.
func TestLimiterLetsCallsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		left := tally.NewTestScope("", nil)
		log := Log(&out, nil, left.Counter("left"))
		for range 3 * callLines {
			log.Info(CallRefused, "call", "x")
			log.Info("other")
		}
		require.Equal(t, callLines, strings.Count(out.String(), CallRefused))
		require.Equal(t, 5, strings.Count(out.String(), "other"))
		require.EqualValues(t, 2*callLines+3*callLines-5, left.Snapshot().Counters()["left+"].Value())
		time.Sleep(time.Minute)
	})
}
