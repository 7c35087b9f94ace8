package node

// This file reports the node's state as metrics and checks each table in force
// against the promises.

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// stateInterval is how often gauges are renewed.
const stateInterval = time.Second

// auditInterval is the least time between two audits of a whole table.
const auditInterval = time.Minute

// convergenceBuckets are the bounds of the convergence histogram; the target
// is 3 s.
var convergenceBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second,
	5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// state turns what a node holds into metrics.
type state struct {
	node        *Node
	scope       tally.Scope
	convergence tally.Histogram
	last        *revision.Table
	audited     time.Time        // when a table was last audited
	calls       int64            // to the platform, reported so far
	sums        map[string]int64 // that counters were brought to, by name and tag
}

func newState(n *Node) *state {
	scope := n.sinks.Scope.SubScope("node")
	s := &state{
		node: n, scope: scope, last: n.Holder.Table(), sums: map[string]int64{},
		convergence: scope.Histogram("convergence_seconds", convergenceBuckets),
	}
	for _, promise := range []string{"backwards", "partial"} {
		s.broken(promise).Inc(0)
	}
	return s
}

// broken returns the counter of one promise; it stays 0 while it is kept.
func (s *state) broken(promise string) tally.Counter {
	return s.scope.Tagged(map[string]string{"promise": promise}).Counter("broken")
}

// run reports until the context ends.
func (s *state) run(ctx context.Context) error {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := s.node.Holder.Changed()
		s.table(s.node.Holder.Table())
		s.gauges()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		}
	}
	return nil
}

// table looks at a table that came in force: it must be newer than the one
// before. At times it is audited as well.
func (s *state) table(t *revision.Table) {
	if t == s.last {
		return
	}
	old := s.last
	s.last = t
	s.node.sinks.Log.Info("table in force", "number", t.Number, "before", old.Number, "routes", len(t.Routes), "services", len(t.Services))
	if t.Number <= old.Number {
		s.broken("backwards").Inc(1)
		s.node.sinks.Log.Error("table went backwards", "from", old.Number, "to", t.Number)
	}
	if time.Since(s.audited) >= auditInterval {
		s.audit(t)
	}
	if old.Number > 0 { // a node that starts catches up with old revisions
		s.convergence.RecordDuration(max(0, time.Since(time.UnixMilli(t.Time))))
	}
}

// audit proves that a table is whole by applying it to an empty holder, which
// decodes and hashes every record anew.
func (s *state) audit(t *revision.Table) {
	s.audited = time.Now()
	if err := new(revision.Holder).Apply(&wire.Update{Snapshot: t.Snapshot()}); err != nil {
		s.broken("partial").Inc(1)
		s.node.sinks.Log.Error("table in force is not whole", "error", err.Error())
	}
}

func (s *state) gauges() {
	n, t := s.node, s.node.Holder.Table()
	s.gauge("revision", float64(t.Number))
	s.gauge("floor", float64(n.Holder.Floor()))
	s.gauge("held", float64(len(t.Held)))
	s.gauge("records", float64(len(t.Records)))
	s.gauge("ready", boolean(n.Holder.Ready()))
	s.gauge("platform_answers", boolean(n.reads.Working()))
	if at := n.Spread.Checked(); at > 0 {
		s.gauge("confirmed_age_seconds", time.Since(time.UnixMilli(at)).Seconds())
	}
	report := n.Spread.Subtree()
	s.gauge("laggards", float64(len(report.GetLaggards())+int(report.GetMore())))
	for service, left := range n.Proxy.Budgets() {
		s.scope.Tagged(map[string]string{"service": service}).Gauge("budget").Update(float64(left))
	}
	s.members()
	s.traffic()
}

func (s *state) gauge(name string, value float64) { s.scope.Gauge(name).Update(value) }

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// members counts the members by state.
func (s *state) members() {
	counts := operator.CountStates(s.node.Members.View())
	for _, one := range []wire.State{wire.State_STATE_ALIVE, wire.State_STATE_SUSPECT, wire.State_STATE_LEAVING} {
		s.scope.Tagged(map[string]string{"state": operator.StateWord(one)}).Gauge("members").Update(float64(counts[one]))
	}
}

// traffic counts every control byte, framing included, the bytes of control
// messages by kind, framing left out, and the platform calls.
func (s *state) traffic() {
	in, out := s.node.controlBytes()
	s.grow("control_bytes", "direction", "in", in)
	s.grow("control_bytes", "direction", "out", out)
	s.node.pool.Kinds.Each(func(kind string, bytes int64) { s.grow("message_bytes", "kind", kind, bytes) })
	calls := int64(s.node.PlatformCalls())
	s.scope.Counter("platform_calls").Inc(calls - s.calls)
	s.calls = calls
}

// grow brings a counter with one tag to a sum that is kept elsewhere.
func (s *state) grow(name, tag, value string, sum int64) {
	key := name + "/" + value
	s.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(sum - s.sums[key])
	s.sums[key] = sum
}
