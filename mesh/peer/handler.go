package peer

// This file combines the handlers of the Peer service and piggybacks the revision
// in force on membership probes.

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// Handler implements the Peer service: distribution of revisions and membership.
type Handler struct {
	*Distributor
	*Members
}

// NewHandler returns the path and the HTTP handler of the Peer service. It adds
// the bytes of message bodies to counters.
func NewHandler(h *Handler, counters MessageCounters) (string, http.Handler) {
	path, rpc := wireconnect.NewPeerHandler(h, HandlerOptions(), connect.WithInterceptors(RevisionInterceptor(h.Distributor)))
	return path, counters.WrapHandler(rpc)
}

// RevisionTracker exchanges revision numbers with other nodes.
type RevisionTracker interface {
	// Revision returns the revision in force.
	Revision() uint64
	// RecordRevision records the revision that a peer reported.
	RecordRevision(name string, number uint64)
}

// RevisionInterceptor returns an interceptor that adds the local revision to
// Probe requests and responses that this node sends, and passes the revisions
// in those that it receives to c. It works for both clients and handlers.
func RevisionInterceptor(c RevisionTracker) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			probe, ok := req.Any().(*wire.ProbeRequest)
			if !ok {
				return next(ctx, req)
			}
			if req.Spec().IsClient {
				probe.Revision = c.Revision()
			} else {
				c.RecordRevision(probe.GetName(), probe.GetRevision())
			}
			resp, err := next(ctx, req)
			if err != nil {
				return resp, err
			}
			if answer, ok := resp.Any().(*wire.ProbeResponse); ok && req.Spec().IsClient {
				c.RecordRevision(answer.GetName(), answer.GetRevision())
			} else if ok {
				answer.Revision = c.Revision()
			}
			return resp, nil
		}
	})
}
