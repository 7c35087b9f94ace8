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

// Stop shuts the node down gracefully. It is not ready any more, and for the
// time of stop.handover it goes on as before, with a notice to its callers that
// their connections close. Then it refuses new work for its backend server as
// not run, announces that it leaves and finishes what is in progress; until the
// backend server has finished, it still takes calls of its callers and of the
// server. Then it refuses these too and closes.
//
// The context bounds the wait, and so does the policy of the backend server's
// service. Calls that are still in progress then are cut, and the error is a
// *hop.Cut that names them.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := n.drainBound(ctx)
	defer cancel()
	n.stopping.Store(true)
	n.Proxy.Notice()
	wait(ctx, ms(n.settings.GetStop().GetHandover()))
	n.Gate.Refuse()
	var leave sync.WaitGroup
	leave.Go(func() { n.Members.Leave(ctx) })
	err := join(n.Gate.Drain(ctx), n.Proxy.Drain(ctx))
	leave.Wait()
	n.linger(ctx)
	n.shutServers(ctx)
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

// drainBound shortens the wait to what the policy of the backend server's
// service allows.
func (n *Node) drainBound(ctx context.Context) (context.Context, context.CancelFunc) {
	if t := n.Gate.Target(); t != nil {
		if bound := n.Holder.Table().Policy(t.Service).Drain; bound > 0 {
			return context.WithTimeout(ctx, bound)
		}
	}
	return context.WithCancel(ctx)
}

// join merges what two drains have cut; nil means nothing.
func join(errs ...error) *hop.Cut {
	var all hop.Cut
	for _, err := range errs {
		var cut *hop.Cut
		if errors.As(err, &cut) {
			all.IDs = append(all.IDs, cut.IDs...)
		}
	}
	if len(all.IDs) == 0 {
		return nil
	}
	slices.Sort(all.IDs) // a call that entered here and ran here is in both
	all.IDs = slices.Compact(all.IDs)
	return &all
}

// linger goes on refusing calls for a while, so that nodes that have not heard
// of the leaving get an answer.
func (n *Node) linger(ctx context.Context) { wait(ctx, ms(n.settings.GetStop().GetLinger())) }

// wait waits, or returns early when the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// shutServers lets refusals that are on their way reach the other end before
// the connections close.
func (n *Node) shutServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range n.servers {
		wg.Go(func() { _ = s.Shutdown(ctx) })
	}
	wg.Wait()
}
