package operator

// This file reports what is in force on which nodes, and the members.

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
)

// Status implements the Operator service.
func (s *Service) Status(ctx context.Context, req *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	resp := connect.NewResponse(s.status(ctx, req.Msg))
	if eras := s.config.Eras.State(); eras != (store.EraState{}) {
		resp.Header().Set(HeaderEra, strconv.FormatUint(eras.Current, 10))
		resp.Header().Set(HeaderPreviousEra, strconv.FormatUint(eras.Previous, 10))
	}
	if s.config.ServerLimit != nil {
		setLimit(resp.Header(), s.config.ServerLimit())
	}
	return resp, nil
}

// Headers of the response to Status. They are missing if the platform names no era.
const (
	HeaderEra         = "Platform-Era"          // of the platform, as this node last heard
	HeaderPreviousEra = "Platform-Era-Previous" // before the last rise that this node saw; the same if it saw none
)

// Headers of the response to Status. They are missing if the backend server of this
// instance names no limit.
const (
	HeaderLimit       = "Backend-Limit"        // requests a second that the backend server takes
	HeaderLimitAge    = "Backend-Limit-Age"    // ms since the limit came into force
	HeaderLimitSource = "Backend-Limit-Source" // ID of the call whose answer brought it, or else "health" or "node"
)

// setLimit sets the headers that describe a limit in force.
func setLimit(h http.Header, l call.LimitState) {
	if l.Named {
		h.Set(HeaderLimit, strconv.FormatFloat(l.Rate, 'g', -1, 64))
		h.Set(HeaderLimitAge, strconv.FormatInt(l.Age.Milliseconds(), 10))
		h.Set(HeaderLimitSource, l.Source)
	}
}

func (s *Service) status(ctx context.Context, req *wire.StatusRequest) *wire.StatusResponse {
	table := s.config.Holder.Table()
	resp := &wire.StatusResponse{
		Revision: table.Number, Digest: table.Digest, Head: max(table.Number, s.config.Holder.Floor()),
		Checked: s.config.ConfirmedAt(), Report: s.config.FleetReport(ctx), Held: table.Held,
		Nodes: uint32(len(s.config.View().Names)), Platform: s.config.PlatformAnswers(), Findings: table.Findings,
	}
	if s.config.RefusedDocument != nil {
		resp.Refused = s.config.RefusedDocument()
	}
	k := record.Key{Kind: req.GetKind(), Name: req.GetName()}
	if r := table.Records[k]; r != nil && r.GetVersion() >= req.GetVersion() {
		resp.Accepted = table.Number
	}
	return resp
}

// maxPageMembers bounds the members in one response.
const maxPageMembers = 200

// Members implements the Operator service.
func (s *Service) Members(_ context.Context, req *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	return connect.NewResponse(s.members(req.Msg)), nil
}

// members returns a page of the members that serve the service in the request, or
// of all members if it names none, and their total number.
func (s *Service) members(req *wire.MembersRequest) *wire.MembersResponse {
	v := s.config.View()
	limit := int(req.GetLimit())
	if limit <= 0 || limit > maxPageMembers {
		limit = maxPageMembers
	}
	resp := &wire.MembersResponse{}
	for _, name := range v.Names {
		if !servesService(v.Members[name], req.GetService()) {
			continue
		}
		resp.Total++
		if name > req.GetAfter() && len(resp.Members) < limit {
			resp.Members = append(resp.Members, v.Members[name])
		}
	}
	return resp
}

func servesService(m *wire.Member, service string) bool {
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

// serviceSummary counts the backend servers of one service. home.html uses the
// fields.
type serviceSummary struct {
	Name                    string
	Servers, Cold, Leaving  int
	Slots, Suspect, Domains int
}

// summarizeServices returns a summary of the announced backend servers of each
// named service.
func summarizeServices(v *member.View, names []string) []serviceSummary {
	out := make([]serviceSummary, 0, len(names))
	for _, name := range names {
		c := serviceSummary{Name: name}
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

// StateName returns the name of a member state in lower case, without its prefix.
func StateName(s wire.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}
