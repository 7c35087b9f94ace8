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
	*Spread
	*Members
}

// NewHandler returns the path and the HTTP handler of the Peer service. It adds
// the bytes of message bodies to kinds.
func NewHandler(h *Handler, kinds Kinds) (string, http.Handler) {
	path, rpc := wireconnect.NewPeerHandler(h, HandlerOptions(), connect.WithInterceptors(Carry(h.Spread)))
	return path, kinds.Handler(rpc)
}

// Carrier exchanges revision numbers with other nodes.
type Carrier interface {
	// Number returns the revision in force.
	Number() uint64
	// Heard records the revision that a peer reported.
	Heard(name string, number uint64)
}

// Carry returns an interceptor that adds the local revision to Probe requests and
// responses that this node sends, and passes the revisions in those that it
// receives to c. It works for both clients and handlers.
func Carry(c Carrier) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			probe, ok := req.Any().(*wire.ProbeRequest)
			if !ok {
				return next(ctx, req)
			}
			if req.Spec().IsClient {
				probe.Revision = c.Number()
			} else {
				c.Heard(probe.GetName(), probe.GetRevision())
			}
			resp, err := next(ctx, req)
			if err != nil {
				return resp, err
			}
			if answer, ok := resp.Any().(*wire.ProbeResponse); ok && req.Spec().IsClient {
				c.Heard(answer.GetName(), answer.GetRevision())
			} else if ok {
				answer.Revision = c.Number()
			}
			return resp, nil
		}
	})
}
