package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// TestTurn checks that large answers are sent one after the other at the rate of
// the link, that a small one is sent at once, and that the reservation of a
// canceled one is returned.
func TestTurn(t *testing.T) {
	const size = 160_000
	answer := func(size int) *http.Response {
		return &http.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, size))), ContentLength: int64(size)}
	}
	synctest.Test(t, func(t *testing.T) {
		_, perByte := call.NewLink(1e6).Reserve(1, time.Now())
		g := NewGate(GateConfig{LinkRate: 800_000 * 1e6 * perByte}) // large answers get 800 KB/s
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		first, second, small, third := answer(size), answer(size), answer(100), answer(size)
		second.ContentLength = -1 // sent in chunks
		for _, one := range []struct {
			resp *http.Response
			wait time.Duration // for the reservation
		}{{first, 0}, {second, 200 * time.Millisecond}, {small, 0}, {third, 400 * time.Millisecond}} {
			wait, err := g.pace(ctx, one.resp, "class")
			require.NoError(t, err)
			require.Equal(t, one.wait, wait)
		}
		_, _, _ = g.load()
		read := func(resp *http.Response) time.Duration {
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Len(t, data, int(resp.ContentLength))
			require.NoError(t, resp.Body.Close())
			return time.Since(start)
		}
		require.Zero(t, read(small))
		require.InDelta(t, 0.2, read(first).Seconds(), 0.03)
		require.InDelta(t, 0.4, read(second).Seconds(), 0.03)
		require.InDelta(t, 0.2, g.link.QueueDelay(time.Now()).Seconds(), 0.03)
		cancel()
		_, err := io.ReadAll(third.Body)
		if err == nil {
			t.Fatal("the answer of a call that has ended was sent")
		}
		require.NoError(t, third.Body.Close())
		require.InDelta(t, 0, g.link.QueueDelay(time.Now()).Seconds(), 0.03)
	})
}

// TestPacedBytesAreNotOtherTraffic guards against counting the bytes of a large
// answer as other traffic of the link, which would lower the rate of the large
// answers after it. One large answer is sent for seconds, with small ones beside
// it; the rate must stay the same.
func TestPacedBytesAreNotOtherTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, small = 100_000, 1000
		sent := int64(0)
		g := NewGate(GateConfig{LinkRate: rate, SentBytes: func() int64 { return sent }})
		_, before := g.link.Reserve(0, time.Now())
		large := &http.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, 300_000))), ContentLength: 300_000}
		_, err := g.pace(t.Context(), large, "bulk")
		require.NoError(t, err)
		into := make([]byte, 4000)
		for {
			n, err := large.Body.Read(into)
			sent += int64(n)
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			_, err = g.pace(t.Context(), &http.Response{Body: http.NoBody, ContentLength: small}, "small")
			require.NoError(t, err)
		}
		_, after := g.link.Reserve(0, time.Now())
		require.InEpsilon(t, before, after, 0.1)
	})
}

// endlessReader yields bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestAnswersThatNobodyReadsTakeBoundedMemory guards against buffering answers without bound for entry nodes that leave them unread.
func TestAnswersThatNobodyReadsTakeBoundedMemory(t *testing.T) {
	const calls = 4 * maxBufferedAnswers / hop.MaxBufferedResponse
	for name, c := range map[string]struct {
		length   int64
		body     func() io.Reader
		buffered int64 // of all calls, at the most
	}{
		"length":  {hop.MaxBufferedResponse, func() io.Reader { return io.LimitReader(endlessReader{}, hop.MaxBufferedResponse) }, maxBufferedAnswers},
		"chunks":  {-1, func() io.Reader { return io.LimitReader(endlessReader{}, hop.MaxBufferedResponse) }, maxBufferedAnswers},
		"endless": {-1, func() io.Reader { return endlessReader{} }, maxBufferedAnswers},
		"small":   {-1, func() io.Reader { return io.LimitReader(endlessReader{}, 100) }, 100 * calls},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGate(GateConfig{LinkRate: 1e9})
			defer g.Close()
			var answers []*http.Response
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range calls {
				resp := &http.Response{Body: io.NopCloser(c.body()), ContentLength: c.length}
				_, err := g.pace(t.Context(), resp, "class")
				require.NoError(t, err)
				answers = append(answers, resp)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(3*maxBufferedAnswers), "buffers grow to twice what they hold")
			require.LessOrEqual(t, g.buffered.Load(), c.buffered)
			for _, resp := range answers {
				require.NoError(t, resp.Body.Close())
			}
			require.Zero(t, g.buffered.Load())
		})
	}
}
