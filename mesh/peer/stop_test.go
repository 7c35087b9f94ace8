package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// TestEventsBesideStop guards against a panic of the process when an event starts an
// action at the moment at which the membership stops.
func TestEventsBesideStop(t *testing.T) {
	pool := NewPool(PoolConfig{PingTimeout: time.Second})
	defer pool.Close()
	for range 300 {
		m := NewMembers(MembersConfig{
			Pool: pool, Self: &wire.Member{Name: "a", Peer: "127.0.0.1:1"}, HeartbeatInterval: time.Minute, SuspicionTimeout: time.Minute,
		})
		ctx, cancel := context.WithCancel(t.Context())
		ran := make(chan error)
		go func() { ran <- m.Run(ctx) }()
		stop := make(chan struct{})
		var events sync.WaitGroup
		events.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Microsecond):
					m.start([]member.Action{{Kind: member.Discover}})
				}
			}
		})
		time.Sleep(time.Millisecond)
		cancel()
		require.NoError(t, <-ran)
		close(stop)
		events.Wait()
	}
}
