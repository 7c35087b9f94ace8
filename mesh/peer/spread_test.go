package peer_test

// This file tests the distribution of revisions over real connections and the
// decoding of compressed messages.

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

// testNode is a node that only distributes revisions.
type testNode struct {
	distributor *peer.Distributor
	holder      *revision.Holder
	pool        *peer.Pool
	server      *http.Server
	addr        string
	stop        func()
}

func startNode(t testing.TB, view *member.View, l net.Listener) *testNode {
	s := &testNode{holder: &revision.Holder{}, pool: peer.NewPool(peer.PoolConfig{PingTimeout: 400 * time.Millisecond}), addr: l.Addr().String()}
	s.distributor = peer.NewDistributor(peer.DistributorConfig{
		Tree: spread.Tree{Fanout: 4, ReadersPerDomain: 1}, Pool: s.pool, Holder: s.holder,
		View: func() *member.View { return view }, ConfirmedAt: func() int64 { return 1 },
		HeartbeatInterval: 20 * time.Millisecond, ExchangeInterval: 100 * time.Millisecond,
		ReadHead: func(context.Context, uint64) (uint64, error) { return 0, nil },
	})
	path, rpc := peer.NewHandler(&peer.Handler{Distributor: s.distributor, Members: &peer.Members{}}, s.pool.MessageCounters)
	mux := http.NewServeMux()
	mux.Handle(path, rpc)
	s.server = &http.Server{Handler: mux, Protocols: peer.ServerProtocols(), ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	ran, served := make(chan error, 1), make(chan error, 1)
	go func() { ran <- s.distributor.Run(ctx) }()
	go func() { served <- s.server.Serve(l) }()
	s.stop = func() {
		cancel()
		require.NoError(t, <-ran)
		require.NoError(t, s.server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
		s.pool.Close()
	}
	return s
}

// TestSpreadOverConnections checks that a revision accepted at the root of the
// tree reaches the lowest node, that the lowest node can report on the whole
// fleet, and that no goroutine outlives Run.
func TestSpreadOverConnections(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	tree := spread.Tree{Fanout: 4}
	members := map[string]*wire.Member{}
	var names []string
	listeners := map[string]net.Listener{}
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		name := fmt.Sprintf("n%d", i)
		names, listeners[name] = append(names, name), l
		members[name] = &wire.Member{Name: name, Domain: "d", Peer: l.Addr().String(), State: wire.State_STATE_ALIVE, Incarnation: 1}
	}
	nodes := map[string]*testNode{}
	root, lowest := "n0", "n0"
	for _, name := range names {
		nodes[name] = startNode(t, &member.View{Self: members[name], Members: members, Names: names}, listeners[name])
		if tree.RankOf(name).Above(tree.RankOf(root)) {
			root = name
		}
		if tree.RankOf(lowest).Above(tree.RankOf(name)) {
			lowest = name
		}
	}
	body := []byte(`{"owner":"` + strings.Repeat("x", 2000) + `"}`)
	rev, err := revision.Next(nodes[root].holder.Table(), revision.Result{Changed: []*wire.Record{{
		Kind: wire.Kind_KIND_SERVICE, Name: "s", Schema: 1, Version: 1, Body: body,
	}}}, "c", "t", 1)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return nodes[root].distributor.ApplyPlatformUpdate(&wire.Update{Revisions: []*wire.Revision{rev}}) == nil
	}, 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return nodes[lowest].holder.Ready() }, 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		r := nodes[lowest].distributor.FleetReport(context.Background())
		c := r.GetCounts()
		return r.GetTop() == root && len(c) == 1 && c[0].GetNodes() == 4 && c[0].GetRevision() == 1 && len(r.GetUnknown()) == 0
	}, 20*time.Second, 5*time.Millisecond)
	kinds := map[string]int64{}
	nodes[lowest].pool.MessageCounters.Each(func(kind string, n int64) { kinds[kind] = n })
	require.Positive(t, kinds["attach"])
	require.Less(t, kinds["push"]+kinds["fetch"], int64(len(body)), "the update is compressed")
	for _, s := range nodes {
		s.stop()
	}
	goleak.VerifyNone(t, ignore)
}

// FuzzDecompress sends arbitrary bytes as a compressed message. The handler must
// answer with a success or a client error, never with a server error.
func FuzzDecompress(f *testing.F) {
	enc, err := zstd.NewWriter(nil)
	require.NoError(f, err)
	f.Add(enc.EncodeAll([]byte("\x0a\x01a"), nil))
	f.Add([]byte("\x28\xb5\x2f\xfd"))
	f.Add([]byte{})
	path, handler := "/caroblift.Peer/Fleet", connect.NewUnaryHandler("/caroblift.Peer/Fleet",
		func(_ context.Context, r *connect.Request[wire.FleetRequest]) (*connect.Response[wire.FleetResponse], error) {
			return connect.NewResponse(&wire.FleetResponse{Report: &wire.Report{Top: r.Msg.GetName()}}), nil
		}, peer.HandlerOptions())
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := http.NewRequest(http.MethodPost, path, bytes.NewReader(data))
		require.NoError(t, err)
		req.Header.Set("Content-Type", "application/proto")
		req.Header.Set("Content-Encoding", "zstd")
		w := &statusRecorder{header: http.Header{}}
		handler.ServeHTTP(w, req)
		require.NotZero(t, w.status)
		require.Less(t, w.status, http.StatusInternalServerError)
	})
}

// statusRecorder is an http.ResponseWriter that keeps only the status.
type statusRecorder struct {
	header http.Header
	status int
}

func (w *statusRecorder) Header() http.Header { return w.header }

func (w *statusRecorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return len(p), nil
}

func (w *statusRecorder) WriteHeader(status int) { w.status = status }
