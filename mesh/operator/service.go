// Package operator speaks to operators: it writes and reads records on their
// behalf and tells what is in force, and where.
//
// # Usage
//
//	service := operator.New(operator.Config{Store: store, Holder: holder, ...})
//	http.Serve(listener, service.Handler())
package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	goji "goji.io"
	"goji.io/pat"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/platform"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// Config configures a Service. Every field is required.
type Config struct {
	Store   platform.Store
	Holder  *revision.Holder
	View    func() *member.View
	Report  func(context.Context) *wire.Report // of the whole fleet as far as known
	Checked func() int64                       // when the head was last confirmed, Unix ms
	Working func() bool                        // whether the platform answers
}

// Service implements the Operator service of a node.
type Service struct {
	config Config
}

// New returns a service.
func New(config Config) *Service { return &Service{config: config} }

// Handler serves the Operator service and the operators' pages.
func (s *Service) Handler() http.Handler {
	mux := goji.NewMux()
	path, rpc := wireconnect.NewOperatorHandler(s)
	mux.Handle(pat.New(path+"*"), rpc)
	mux.HandleFunc(pat.Get("/ready"), s.ready)
	return mux
}

func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.config.Holder.Ready() {
		http.Error(w, "no table in force", http.StatusServiceUnavailable)
	}
}

// Status implements the Operator service.
func (s *Service) Status(ctx context.Context, req *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	t := s.config.Holder.Table()
	resp := &wire.StatusResponse{
		Revision: t.Number, Digest: t.Digest, Head: max(t.Number, s.config.Holder.Floor()),
		Checked: s.config.Checked(), Report: s.config.Report(ctx), Held: t.Held,
		Nodes: uint32(len(s.config.View().Names)), Platform: s.config.Working(),
	}
	k := record.Key{Kind: req.Msg.GetKind(), Name: req.Msg.GetName()}
	if r := t.Records[k]; r != nil && r.GetVersion() >= req.Msg.GetVersion() {
		resp.Accepted = t.Number
	}
	return connect.NewResponse(resp), nil
}

// maxMembers bounds the members of one answer.
const maxMembers = 200

// Members implements the Operator service.
func (s *Service) Members(_ context.Context, req *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	v := s.config.View()
	resp := &wire.MembersResponse{Total: uint32(len(v.Names))}
	limit := int(req.Msg.GetLimit())
	if limit == 0 || limit > maxMembers {
		limit = maxMembers
	}
	for _, name := range v.Names {
		if len(resp.Members) == limit {
			break
		}
		if name > req.Msg.GetAfter() && serves(v.Members[name], req.Msg.GetService()) {
			resp.Members = append(resp.Members, v.Members[name])
		}
	}
	return connect.NewResponse(resp), nil
}

func serves(m *wire.Member, service string) bool {
	if service == "" {
		return true
	}
	for _, s := range m.GetServers() {
		if s.GetService() == service {
			return true
		}
	}
	return false
}
