package peer

// This file joins what a node serves to others, and lets heartbeats carry the
// revision in force.

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// Handler serves the Peer service: the spread of revisions and membership.
type Handler struct {
	*Spread
	*Members
}

// NewHandler returns the path and the handler of the Peer service. Bytes are
// counted by kind.
func NewHandler(h *Handler, kinds Kinds) (string, http.Handler) {
	path, rpc := wireconnect.NewPeerHandler(h, HandlerOptions(), connect.WithInterceptors(Carry(h.Spread)))
	return path, kinds.Handler(rpc)
}

// Carrier takes part in messages that carry a revision.
type Carrier interface {
	// Number returns the revision in force.
	Number() uint64
	// Heard takes the revision that a peer names.
	Heard(name string, number uint64)
}

// Carry returns an interceptor that writes the revision in force on heartbeats
// and reads the other node's. It serves clients and handlers.
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
