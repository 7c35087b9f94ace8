package peer

// This file assembles the report on the whole fleet, which any node can return.

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

// FleetReport returns the report on the whole fleet. The request travels from
// parent to parent up to the root of the distribution tree. If the root cannot
// be reached, the report is that of the highest ancestor that can, and the live
// members outside its subtree count as unknown. Each node on the way may answer
// with a report that it cached for up to one heartbeat interval; the report
// states its total age.
func (s *Distributor) FleetReport(ctx context.Context) *wire.Report {
	r := s.topReport(ctx)
	spread.FillUnknown(r, s.config.View())
	return r
}

// SubtreeReport returns the report on this node and its descendants, from local
// state only.
func (s *Distributor) SubtreeReport() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.state.Report(time.Now())
	r.Top = s.state.Placement().View.Self.GetName()
	return r
}

// topReport returns the report of the highest ancestor that can be reached, which
// may be the node itself. The caller may modify it.
func (s *Distributor) topReport(ctx context.Context) *wire.Report {
	if r := s.cachedReport(); r != nil {
		return r
	}
	r := s.parentReport(ctx)
	if r == nil {
		r = s.SubtreeReport()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReport, s.lastReportAt = r, time.Now()
	return proto.CloneOf(r)
}

// cachedReport returns a copy of the last report with its age updated, or nil if
// it is older than one heartbeat interval.
func (s *Distributor) cachedReport() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.lastReportAt)
	if s.lastReport == nil || age > s.config.HeartbeatInterval {
		return nil
	}
	r := proto.CloneOf(s.lastReport)
	r.Age += uint32(age.Milliseconds())
	return r
}

// parentReport requests the report from the parent. It returns nil if the node
// has no parent or the parent does not answer.
func (s *Distributor) parentReport(ctx context.Context) *wire.Report {
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
		s.config.Sinks.Log.Warn("fleet report from the parent failed", "parent", addr, "error", err.Error())
		return nil
	}
	return resp.Msg.GetReport()
}

// Fleet implements the Peer service.
func (s *Distributor) Fleet(ctx context.Context, _ *connect.Request[wire.FleetRequest]) (*connect.Response[wire.FleetResponse], error) {
	return connect.NewResponse(&wire.FleetResponse{Report: s.topReport(ctx)}), nil
}
