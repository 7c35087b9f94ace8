package peer

// This file reads back the state of the whole fleet from any node.

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

// Report returns the report of the whole fleet: it asks along the parents to
// the top. Where that cannot be reached, the report is that of the highest node
// that can, and the rest of the live members counts as unknown. A report is at
// most one beat old on each node that passes it on, and tells its age.
func (s *Spread) Report(ctx context.Context) *wire.Report {
	r := s.survey(ctx)
	spread.Cover(r, s.config.View())
	return r
}

// Subtree returns the report of this node and what hangs under it. It asks no
// other node.
func (s *Spread) Subtree() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.state.Report(time.Now())
	r.Top = s.state.Shape().View.Self.GetName()
	return r
}

// survey returns the report of the highest node that can be asked. The caller
// may change it.
func (s *Spread) survey(ctx context.Context) *wire.Report {
	if r := s.cached(); r != nil {
		return r
	}
	r := s.above(ctx)
	if r == nil {
		r = s.Subtree()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet, s.asked = r, time.Now()
	return proto.CloneOf(r)
}

// cached returns the last report while it is fresh, or nil.
func (s *Spread) cached() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.asked)
	if s.fleet == nil || age > s.config.Beat {
		return nil
	}
	r := proto.CloneOf(s.fleet)
	r.Age += uint32(age.Milliseconds())
	return r
}

// above asks the parent, or returns nil at the top and when it does not answer.
func (s *Spread) above(ctx context.Context) *wire.Report {
	s.mu.Lock()
	addr := s.state.ParentAddr()
	s.mu.Unlock()
	if addr == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.config.Pool.Client(addr).Fleet(ctx, connect.NewRequest(&wire.FleetRequest{}))
	if err != nil {
		s.config.Sinks.Log.Warn("report from the parent", "parent", addr, "error", err.Error())
		return nil
	}
	return resp.Msg.GetReport()
}

// Fleet implements the Peer service.
func (s *Spread) Fleet(ctx context.Context, _ *connect.Request[wire.FleetRequest]) (*connect.Response[wire.FleetResponse], error) {
	return connect.NewResponse(&wire.FleetResponse{Report: s.survey(ctx)}), nil
}
