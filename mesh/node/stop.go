package node

// This file stops a node gracefully.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/hop"
)

// Stop shuts the node down gracefully:
//
//  1. The node is no longer ready. For the time stop.handover it still accepts all
//     calls, and tells its callers that their connections close.
//  2. It refuses new calls for its backend server as not run, tells its neighbours
//     that it is leaving and waits for the server's calls in progress. It still
//     accepts calls from its callers and from the server, unless their deadline
//     is after the end of the wait.
//  3. It refuses those as well, waits for the rest and, after stop.linger, closes.
//
// The wait is bounded by the context and by the drain time in the policy of the
// backend server's service. Calls still in progress at that time are cut: the callers of
// this node are told, for which Stop takes cutTime longer at most, and the error is a
// *hop.DrainError with the IDs of the calls.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := n.withDrainTimeout(ctx)
	defer cancel()
	n.stopping.Store(true)
	n.Proxy.DisableKeepAlives()
	sleep(ctx, ms(n.settings.GetStop().GetHandover()))
	n.Gate.StopAdmission()
	if stopAt, bounded := ctx.Deadline(); bounded {
		n.Proxy.RefuseBeyond(stopAt)
	}
	var leave sync.WaitGroup
	leave.Go(func() { n.Members.Leave(ctx) })
	err := mergeCuts(n.Gate.Drain(ctx), n.Proxy.Drain(ctx))
	leave.Wait()
	n.linger(ctx)
	if err != nil {
		var endCut context.CancelFunc
		ctx, endCut = context.WithTimeout(context.WithoutCancel(ctx), cutTime)
		defer endCut()
		n.Proxy.Cut(ctx)
	}
	n.shutdownServers(ctx)
	if err != nil {
		n.sinks.Log.Error("calls were cut", "count", len(err.IDs), "calls", err.IDs)
	} else {
		n.sinks.Log.Info("drained")
	}
	n.Kill()
	if err != nil {
		return err
	}
	return nil
}

// cutTime bounds the answers to calls that are cut, and to those whose deadlines passed just
// before. It is what a node may be behind for want of processor time.
const cutTime = 200 * time.Millisecond

// withDrainTimeout returns a context that also ends after the drain time in the
// policy of the backend server's service.
func (n *Node) withDrainTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if t := n.Gate.Target(); t != nil {
		if timeout := n.Holder.Table().Policy(t.Service).DrainTimeout; timeout > 0 {
			return context.WithTimeout(ctx, timeout)
		}
	}
	return context.WithCancel(ctx)
}

// mergeCuts merges the calls cut by several drains. It returns nil if there are none.
func mergeCuts(errs ...error) *hop.DrainError {
	var merged hop.DrainError
	for _, err := range errs {
		var cut *hop.DrainError
		if errors.As(err, &cut) {
			merged.IDs = append(merged.IDs, cut.IDs...)
		}
	}
	if len(merged.IDs) == 0 {
		return nil
	}
	slices.Sort(merged.IDs) // a call that entered and ran on this node is in both lists
	merged.IDs = slices.Compact(merged.IDs)
	return &merged
}

// linger keeps the node's ports open for the time stop.linger. Nodes that do not
// know yet that this one is leaving get a refusal instead of a broken connection.
func (n *Node) linger(ctx context.Context) { sleep(ctx, ms(n.settings.GetStop().GetLinger())) }

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// shutdownServers shuts the HTTP servers down gracefully, so that refusals already
// being written reach the other end before the connections close.
func (n *Node) shutdownServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range n.servers {
		wg.Go(func() { _ = s.Shutdown(ctx) })
	}
	wg.Wait()
}
