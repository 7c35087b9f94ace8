package peer

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/wire"
)

// Frames of HTTP/2, in which the beginnings are SETTINGS without a setting, and header
// fields are literals: ":status: 200" without and with the content type of messages, "a: 7"
// and ":status: 103".
const (
	settings  = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	stream    = "\x00\x00\x00\x01"
	open      = "\x00\x00\x05\x01\x00" + stream + "\x08\x03200"
	answered  = "\x00\x00\x19\x01\x04" + stream + "\x08\x03200\x0f\x10\x11application/proto"
	endlessly = "\x00\x00\x05\x09\x00" + stream + "\x00\x01a\x017"
	interim   = "\x00\x00\x05\x01\x04" + stream + "\x08\x03103"
	dataHead  = "\x00\x40\x00\x00\x00" + stream // of 16 KB
)

// TestEndlessAnswersTakeBoundedMemory guards against a node that ends the others by bytes without end.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const maxHeap = 46 << 20 // bytes in all, a quarter of the smallest node in use
	for name, answer := range map[string]struct{ begin, repeat string }{
		"no frame":        {"", "7"},
		"header fields":   {settings + open, endlessly},
		"interim answers": {settings, interim},
		"message":         {settings + answered, dataHead + strings.Repeat("7", 16<<10)},
		"settings":        {settings, settings},
		"HTTP/1":          {"HTTP/1.1 200 OK\r\n", "A: 7\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(PoolConfig{PingTimeout: time.Second})
			t.Cleanup(pool.Close)
			client := pool.Client(backendtest.ServeEndless(t, answer.begin, answer.repeat))
			got := backendtest.AllocatedDuring(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := client.Fetch(ctx, connect.NewRequest(&wire.FetchRequest{}))
				require.Error(t, err)
			})
			require.Less(t, got, uint64(maxHeap))
		})
	}
}
