package peer_test

// This file measures the size of messages on the wire.

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// BenchmarkAttach sends attach heartbeats without changes over one connection and
// reports the bytes in each direction, including framing.
func BenchmarkAttach(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	m := &wire.Member{Name: "n0", Domain: "d", Peer: l.Addr().String(), State: wire.State_STATE_ALIVE}
	s := startNode(b, &member.View{Self: m, Members: map[string]*wire.Member{"n0": m}, Names: []string{"n0"}}, l)
	defer s.stop()
	measure(b, s, func(ctx context.Context) error {
		_, err := s.pool.Client(s.addr).Attach(ctx, connect.NewRequest(&wire.AttachRequest{Name: "quotes-17", Revision: 3000, Age: 900}))
		return err
	})
}

// BenchmarkSnapshot fetches the snapshot of a table with 190 services, each with a
// route and a policy.
func BenchmarkSnapshot(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	m := &wire.Member{Name: "n0", Domain: "d", Peer: l.Addr().String(), State: wire.State_STATE_ALIVE}
	s := startNode(b, &member.View{Self: m, Members: map[string]*wire.Member{"n0": m}, Names: []string{"n0"}}, l)
	defer s.stop()
	var records []*wire.Record
	for i := range 190 {
		name := fmt.Sprintf("service-%d", i)
		for kind, body := range map[wire.Kind]string{
			wire.Kind_KIND_POLICY:  `{"slots":10}`,
			wire.Kind_KIND_SERVICE: `{"policy":"` + name + `"}`,
			wire.Kind_KIND_ROUTE:   `{"prefix":"/` + name + `","service":"` + name + `"}`,
		} {
			records = append(records, &wire.Record{Kind: kind, Name: name, Schema: 1, Version: uint64(3*i + 1), Body: []byte(body)})
		}
	}
	rev, err := revision.Next(s.holder.Table(), revision.Result{Changed: records}, "c", "t", 1)
	require.NoError(b, err)
	require.NoError(b, s.holder.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	measure(b, s, func(ctx context.Context) error {
		for {
			resp, err := s.pool.Client(s.addr).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{Name: "n1", Digest: []byte("none")}))
			if err != nil || resp.Msg.GetUpdate() != nil {
				return err
			}
			time.Sleep(time.Duration(resp.Msg.GetLater()) * time.Millisecond)
		}
	})
	b.ReportMetric(float64(proto.Size(s.holder.Table().Snapshot())), "plain-B")
}

// measure reports the bytes of a call over a connection that is already open, in
// each direction.
func measure(b *testing.B, s *testNode, call func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(b, call(ctx))
	out, in := s.pool.ConnCounter.Out.Load(), s.pool.ConnCounter.In.Load()
	for b.Loop() {
		require.NoError(b, call(ctx))
	}
	b.ReportMetric(float64(s.pool.ConnCounter.Out.Load()-out)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(s.pool.ConnCounter.In.Load()-in)/float64(b.N), "received-B/op")
}
