package operator

// This file tells what is in force, where, and who the members are.

import (
	"context"
	"strings"

	"connectrpc.com/connect"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Status implements the Operator service.
func (s *Service) Status(ctx context.Context, req *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	return connect.NewResponse(s.status(ctx, req.Msg)), nil
}

func (s *Service) status(ctx context.Context, in *wire.StatusRequest) *wire.StatusResponse {
	t := s.config.Holder.Table()
	resp := &wire.StatusResponse{
		Revision: t.Number, Digest: t.Digest, Head: max(t.Number, s.config.Holder.Floor()),
		Checked: s.config.Checked(), Report: s.config.Report(ctx), Held: t.Held,
		Nodes: uint32(len(s.config.View().Names)), Platform: s.config.Working(),
	}
	k := record.Key{Kind: in.GetKind(), Name: in.GetName()}
	if r := t.Records[k]; r != nil && r.GetVersion() >= in.GetVersion() {
		resp.Accepted = t.Number
	}
	return resp
}

// maxMembers bounds the members of one answer.
const maxMembers = 200

// Members implements the Operator service.
func (s *Service) Members(_ context.Context, req *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	return connect.NewResponse(s.members(req.Msg)), nil
}

// members returns a page of the members that serve a service, and how many do.
func (s *Service) members(in *wire.MembersRequest) *wire.MembersResponse {
	v := s.config.View()
	limit := int(in.GetLimit())
	if limit <= 0 || limit > maxMembers {
		limit = maxMembers
	}
	resp := &wire.MembersResponse{}
	for _, name := range v.Names {
		if !serves(v.Members[name], in.GetService()) {
			continue
		}
		resp.Total++
		if name > in.GetAfter() && len(resp.Members) < limit {
			resp.Members = append(resp.Members, v.Members[name])
		}
	}
	return resp
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

// serviceCount sums up the backend servers of one service.
type serviceCount struct {
	Name                    string
	Servers, Cold, Leaving  int
	Slots, Suspect, Domains int
}

// countServices returns what the members announce, by service name.
func countServices(v *member.View, names []string) []serviceCount {
	out := make([]serviceCount, 0, len(names))
	for _, name := range names {
		c := serviceCount{Name: name}
		domains := map[string]bool{}
		for _, o := range v.Offers(name) {
			c.Servers++
			c.Slots += int(o.Server.GetSlots())
			domains[o.Node.GetDomain()] = true
			if o.Server.GetCold() {
				c.Cold++
			}
			if o.Server.GetLeaving() || o.Node.GetState() == wire.State_STATE_LEAVING {
				c.Leaving++
			}
			if o.Node.GetState() == wire.State_STATE_SUSPECT {
				c.Suspect++
			}
		}
		c.Domains = len(domains)
		out = append(out, c)
	}
	return out
}

// CountStates returns the number of members in each state.
func CountStates(v *member.View) map[wire.State]int {
	counts := map[wire.State]int{}
	for _, m := range v.Members {
		counts[m.GetState()]++
	}
	return counts
}

// StateWord returns the word for a member's state.
func StateWord(s wire.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}
