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
func (d *Distributor) FleetReport(ctx context.Context) *wire.Report {
	r := d.topReport(ctx)
	spread.FillUnknown(r, d.config.View())
	return r
}

// SubtreeReport returns the report on this node and its descendants, from local
// state only.
func (d *Distributor) SubtreeReport() *wire.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.state.Report(time.Now())
	r.Top = d.state.Placement().View.Self.GetName()
	return r
}

// topReport returns the report of the highest ancestor that can be reached, which
// may be the node itself. The caller may modify it.
func (d *Distributor) topReport(ctx context.Context) *wire.Report {
	if r := d.cachedReport(); r != nil {
		return r
	}
	r := d.parentReport(ctx)
	if r == nil {
		r = d.SubtreeReport()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReport, d.lastReportAt = r, time.Now()
	return proto.CloneOf(r)
}

// cachedReport returns a copy of the last report with its age updated, or nil if
// it is older than one heartbeat interval.
func (d *Distributor) cachedReport() *wire.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := time.Since(d.lastReportAt)
	if d.lastReport == nil || age > d.config.HeartbeatInterval {
		return nil
	}
	r := proto.CloneOf(d.lastReport)
	r.Age += uint32(age.Milliseconds())
	return r
}

// parentReport requests the report from the parent. It returns nil if the node
// has no parent or the parent does not answer.
func (d *Distributor) parentReport(ctx context.Context) *wire.Report {
	d.mu.Lock()
	addr := d.state.ParentAddr()
	d.mu.Unlock()
	if addr == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := d.config.Pool.Client(addr).Fleet(ctx, connect.NewRequest(&wire.FleetRequest{}))
	if err != nil {
		d.config.Sinks.Log.Warn("fleet report from the parent failed", "parent", addr, "error", err.Error())
		return nil
	}
	return resp.Msg.GetReport()
}

// Fleet implements the Peer service.
func (d *Distributor) Fleet(ctx context.Context, _ *connect.Request[wire.FleetRequest]) (*connect.Response[wire.FleetResponse], error) {
	return connect.NewResponse(&wire.FleetResponse{Report: d.topReport(ctx)}), nil
}
