package peer_test

// This file measures what a message costs on the wire.

import (
	"context"
	"net"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// BenchmarkAttach sends heartbeats that carry nothing new over one connection
// and reports their bytes, framing included, in each direction.
func BenchmarkAttach(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	m := &wire.Member{Name: "n0", Domain: "d", Peer: l.Addr().String(), State: wire.State_STATE_ALIVE}
	s := startSite(b, &member.View{Self: m, Members: map[string]*wire.Member{"n0": m}, Names: []string{"n0"}}, l)
	defer s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	send := func() {
		_, err := s.pool.Client(s.addr).Attach(ctx, connect.NewRequest(&wire.AttachRequest{Name: "quotes-17", Revision: 3000, Age: 900}))
		require.NoError(b, err)
	}
	send()
	out, in := s.pool.Bytes.Out.Load(), s.pool.Bytes.In.Load()
	for b.Loop() {
		send()
	}
	b.ReportMetric(float64(s.pool.Bytes.Out.Load()-out)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(s.pool.Bytes.In.Load()-in)/float64(b.N), "received-B/op")
}
