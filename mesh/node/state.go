package node

// This file reports the node's state as metrics and checks the invariants of each
// table in force.

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// gaugeInterval is the longest time between two updates of the gauges.
const gaugeInterval = time.Second

// minAuditInterval is the shortest time between two audits of a table.
const minAuditInterval = time.Minute

// convergenceBuckets holds the bucket bounds of the convergence histogram. The
// target is 3 s.
var convergenceBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second,
	5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// stateReporter reports the state of a node as metrics. It is used by one goroutine.
type stateReporter struct {
	node           *Node
	scope          tally.Scope
	convergence    tally.Histogram
	lastTable      *revision.Table
	lastAudit      time.Time        // when a table was last audited
	reportedCalls  int64            // calls to the platform that the counter includes
	reportedTotals map[string]int64 // total that each counter includes, by metric name and tag value
}

func newStateReporter(n *Node) *stateReporter {
	scope := n.sinks.Scope.SubScope("node")
	s := &stateReporter{
		node: n, scope: scope, lastTable: n.Holder.Table(), reportedTotals: map[string]int64{},
		convergence: scope.Histogram("convergence_seconds", convergenceBuckets),
	}
	for _, promise := range []string{"backwards", "partial"} {
		s.violations(promise).Inc(0)
	}
	return s
}

// violations returns the counter of violations of one invariant: backwards, a table
// in force replaced by one that is not newer, or partial, a table in force that is
// not complete.
func (s *stateReporter) violations(promise string) tally.Counter {
	return s.scope.Tagged(map[string]string{"promise": promise}).Counter("broken")
}

// run updates the metrics until the context ends.
func (s *stateReporter) run(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := s.node.Holder.Changed()
		s.observeTable(s.node.Holder.Table())
		s.updateGauges()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		}
	}
	return nil
}

// observeTable checks that a table that came into force is newer than the previous
// one, and audits it unless the last audit was less than minAuditInterval ago.
func (s *stateReporter) observeTable(t *revision.Table) {
	if t == s.lastTable {
		return
	}
	previous := s.lastTable
	s.lastTable = t
	s.node.sinks.Log.Info("table in force", "number", t.Number, "before", previous.Number, "routes", len(t.Routes), "services", len(t.Services),
		"workspaces", len(t.Workspaces), "findings", len(t.Findings))
	if t.HasQuotas() {
		s.node.quotas.Enable()
	}
	if t.Number <= previous.Number {
		s.violations("backwards").Inc(1)
		s.node.sinks.Log.Error("table went backwards", "from", previous.Number, "to", t.Number)
	}
	if time.Since(s.lastAudit) >= minAuditInterval {
		s.audit(t)
	}
	if previous.Number > 0 { // a starting node catches up with revisions of any age
		s.convergence.RecordDuration(max(0, time.Since(time.UnixMilli(t.Time))))
	}
}

// audit verifies that a table is complete by applying its snapshot to an empty
// holder, which decodes and hashes every record again.
func (s *stateReporter) audit(t *revision.Table) {
	s.lastAudit = time.Now()
	if err := new(revision.Holder).Apply(&wire.Update{Snapshot: t.Snapshot()}); err != nil {
		s.violations("partial").Inc(1)
		s.node.sinks.Log.Error("table in force is not whole", "error", err.Error())
	}
}

func (s *stateReporter) updateGauges() {
	n, t := s.node, s.node.Holder.Table()
	s.setGauge("revision", float64(t.Number))
	s.setGauge("floor", float64(n.Holder.Floor()))
	s.setGauge("held", float64(len(t.Held)))
	s.setGauge("records", float64(len(t.Records)))
	s.setGauge("workspaces", float64(len(t.Workspaces)))
	s.setGauge("findings", float64(len(t.Findings)))
	s.setGauge("ready", boolValue(n.Holder.Ready()))
	s.setGauge("platform_answers", boolValue(n.platformReader.Reachable()))
	if confirmedAt := n.Distributor.ConfirmedAt(); confirmedAt > 0 {
		s.setGauge("confirmed_age_seconds", time.Since(time.UnixMilli(confirmedAt)).Seconds())
	}
	report := n.Distributor.SubtreeReport()
	s.setGauge("laggards", float64(len(report.GetLaggards())+int(report.GetMore())))
	for service, left := range n.Proxy.RemainingRetries() {
		s.scope.Tagged(map[string]string{"service": service}).Gauge("budget").Update(float64(left))
	}
	suspected, condemned := n.suspects.Counts(time.Now())
	s.setGauge("requests_suspected", float64(suspected))
	s.setGauge("requests_condemned", float64(condemned))
	quotas := n.quotas.Stats(time.Now())
	s.setGauge("quota_workspaces", float64(quotas.Workspaces))
	s.setGauge("quota_limited", float64(quotas.Limited))
	s.setGauge("quota_total_age_seconds", quotas.Age.Seconds())
	s.updateMemberGauges()
	s.updateTraffic()
	s.updateSlotTime()
}

func (s *stateReporter) setGauge(name string, value float64) { s.scope.Gauge(name).Update(value) }

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// updateMemberGauges reports the number of members by state.
func (s *stateReporter) updateMemberGauges() {
	counts := operator.CountStates(s.node.Members.View())
	for _, state := range []wire.State{wire.State_STATE_ALIVE, wire.State_STATE_SUSPECT, wire.State_STATE_LEAVING} {
		s.scope.Tagged(map[string]string{"state": operator.StateName(state)}).Gauge("members").Update(float64(counts[state]))
	}
}

// updateTraffic reports the bytes of control traffic including framing, the bytes
// of control messages by kind without framing, and the calls to the platform.
func (s *stateReporter) updateTraffic() {
	in, out := s.node.controlBytes()
	s.advanceCounter("control_bytes", "direction", "in", in)
	s.advanceCounter("control_bytes", "direction", "out", out)
	s.node.pool.MessageCounters.Each(func(kind string, bytes int64) { s.advanceCounter("message_bytes", "kind", kind, bytes) })
	calls := int64(s.node.PlatformCalls())
	s.scope.Counter("platform_calls").Inc(calls - s.reportedCalls)
	s.reportedCalls = calls
}

// updateSlotTime reports the slot time of the backend server by its use.
func (s *stateReporter) updateSlotTime() {
	used := s.node.Gate.SlotTime()
	scope := s.scope.Tagged(map[string]string{"service": s.node.settings.GetBackend().GetService()})
	for use, total := range map[string]time.Duration{"intime": used.InTime, "late": used.Late, "vain": used.Vain, "idle": used.Idle, "held": used.Held} {
		s.advanceCounterOf(scope, "slot_ms", "use", use, total.Milliseconds())
	}
}

// advanceCounter raises a counter with one tag to a total that is kept elsewhere.
func (s *stateReporter) advanceCounter(name, tag, value string, total int64) {
	s.advanceCounterOf(s.scope, name, tag, value, total)
}

// advanceCounterOf is advanceCounter for a counter of another scope.
func (s *stateReporter) advanceCounterOf(scope tally.Scope, name, tag, value string, total int64) {
	key := name + "/" + value
	scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(total - s.reportedTotals[key])
	s.reportedTotals[key] = total
}
