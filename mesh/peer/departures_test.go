package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

// testNode is the membership of a node that other nodes can reach.
type testNode struct {
	*Members
	addr string
	stop func()
}

// startTestNode starts a node that joins through a seed, which may be empty. Its address
// is that of an earlier process, or empty for a new one.
func startTestNode(t *testing.T, name, addr, seed string) *testNode {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	n := &testNode{addr: l.Addr().String()}
	pool := NewPool(PoolConfig{PingTimeout: time.Second})
	seeds := []string{}
	if seed != "" {
		seeds = append(seeds, seed)
	}
	n.Members = NewMembers(MembersConfig{
		Pool: pool, Seeds: seeds, HeartbeatInterval: 100 * time.Millisecond, SuspicionTimeout: 10 * time.Second,
		Self: &wire.Member{Name: name, Peer: n.addr, Incarnation: uint64(time.Now().UnixMilli()), State: wire.State_STATE_ALIVE},
	})
	d := NewDistributor(DistributorConfig{Tree: spread.Tree{Fanout: 2}, Pool: pool, Holder: &revision.Holder{}, View: n.View, ConfirmedAt: func() int64 { return 0 }, HeartbeatInterval: time.Minute, ExchangeInterval: time.Minute})
	path, rpc := NewHandler(&Handler{Distributor: d, Members: n.Members}, pool.MessageCounters)
	mux := http.NewServeMux()
	mux.Handle(path, rpc)
	server := &http.Server{Handler: mux, Protocols: ServerProtocols()}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan error)
	go func() { ran <- n.Run(ctx) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-ran)
		_ = server.Close()
		pool.Close()
	})
	require.Eventually(t, n.Joined, 10*time.Second, 5*time.Millisecond, "%s has not joined", name)
	return n
}

// isClosed reports whether a channel is closed, or is within a second.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// TestDepartureIsHeardAndLearned guards against a departure that counts as heard too soon, and a node that does not learn of it.
func TestDepartureIsHeardAndLearned(t *testing.T) {
	a := startTestNode(t, "a", "", "")
	defer a.stop()
	b := startTestNode(t, "b", "", a.addr)
	require.True(t, isClosed(b.RecordDeparture("s", 7)))
	b.stop()
	require.Eventually(t, func() bool { return a.View().Members["b"].GetLeft().GetServer() == "s" }, 10*time.Second, 5*time.Millisecond, "the other node knows it")
	time.Sleep(3 * time.Second) // a has run for longer then
	b = startTestNode(t, "b", b.addr, a.addr)
	require.Eventually(t, b.Met, 10*time.Second, 5*time.Millisecond)
	server, epoch := b.LastDeparture()
	require.Equal(t, "s", server)
	require.Equal(t, uint64(7), epoch)
	require.True(t, isClosed(b.RecordDeparture("s", 7)), "it was learned from a node that knows it")
	a.stop()
	defer b.stop()
	require.False(t, isClosed(b.RecordDeparture("s", 8)), "nobody can hear it")
}

// TestLoneNodeWaitsForNobody guards against a lone node that waits for others to hear of a departure.
func TestLoneNodeWaitsForNobody(t *testing.T) {
	a := startTestNode(t, "a", "", "")
	defer a.stop()
	select {
	case <-a.RecordDeparture("s", 7):
	default:
		require.Fail(t, "it waits")
	}
}
