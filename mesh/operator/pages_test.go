package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// newTestService returns a Service with two members and a table of one service,
// one route and one tombstone.
func newTestService(t *testing.T) *Service {
	holder := &revision.Holder{}
	rev, err := revision.Next(&revision.Table{}, revision.Result{
		Changed: []*wire.Record{
			{Kind: wire.Kind_KIND_SERVICE, Name: "quotes", Schema: 2, Version: 3, Body: []byte(`{}`)},
			{Kind: wire.Kind_KIND_ROUTE, Name: "gone", Schema: 2, Version: 4, Deleted: true},
			{Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 2, Version: 5, Body: []byte(`{"prefix": "/quotes", "service": "quotes"}`)},
		},
		Held: []*wire.Held{{Kind: wire.Kind_KIND_ROUTE, Name: "<b>", Version: 9, Findings: []*wire.Finding{{Place: "route/x", Reason: "service/none does not exist"}}}},
	}, "change", "quotes-1", 1000)
	require.NoError(t, err)
	require.NoError(t, holder.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	self := &wire.Member{
		Name: "quotes-1", Domain: "xitun", State: wire.State_STATE_ALIVE, Incarnation: 1,
		Servers: []*wire.Server{{Service: "quotes", Slots: 6}},
	}
	view := viewOf(self, &wire.Member{Name: "drawings-1", Peer: "127.0.0.1:1", Domain: "nantun", State: wire.State_STATE_ALIVE, Incarnation: 1})
	return New(Config{
		Holder: holder, View: func() *member.View { return view }, ConfirmedAt: func() int64 { return time.Now().UnixMilli() }, PlatformAnswers: func() bool { return true },
		FleetReport: func(context.Context) *wire.Report {
			return &wire.Report{Counts: []*wire.Count{{Domain: "xitun", Revision: 1, Nodes: 2}}}
		},
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "caroblift_node_revision 1\n") }),
	})
}

// viewOf returns the view of a node that has learned of the other members.
func viewOf(self *wire.Member, others ...*wire.Member) *member.View {
	now := time.Now()
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, self, now)
	agent.HandleProbe(now, &wire.ProbeRequest{Events: others})
	agent.Tick(now.Add(time.Second / 2))
	return agent.View()
}

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestPages(t *testing.T) {
	h := newTestService(t).Handler()
	for name, c := range map[string]struct {
		path string
		code int
		want string
	}{
		"live":               {"/live", 200, "live\n"},
		"ready":              {"/ready", 200, "ready at revision 1\n"},
		"metrics":            {"/metrics", 200, "caroblift_node_revision 1\n"},
		"status":             {"/status", 200, `"revision":`},
		"table":              {"/table", 200, `"spec":{"prefix":"/quotes","service":"quotes"}`},
		"first record":       {"/table?limit=1", 200, `"total":2,"next":"route/quotes","records":[{"kind":"route"`},
		"records after":      {"/table?after=route/quotes", 200, `"total":2,"records":[{"kind":"service"`},
		"limit not a number": {"/table?limit=all", 400, `limit: "all" is not a number from 1 to 1048576`},
		"members":            {"/members", 200, "drawings-1"},
		"members of service": {"/members?service=quotes", 200, "quotes-1"},
		"members negative":   {"/members?limit=-1", 400, `limit: "-1" is not a number from 1 to 1048576`},
		"home":               {"/", 200, "Serving revision 1."},
		"home escapes":       {"/", 200, "route/&lt;b&gt;"},
		"unknown":            {"/unknown", 404, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := get(h, c.path)
			require.Equal(t, c.code, w.Code)
			require.Contains(t, w.Body.String(), c.want)
		})
	}
}

func TestTablePageIsJSON(t *testing.T) {
	var response tableResponse
	require.NoError(t, json.Unmarshal(get(newTestService(t).Handler(), "/table").Body.Bytes(), &response))
	require.EqualValues(t, 1, response.Revision)
	require.Len(t, response.Records, 2)
	require.Len(t, response.Digest, 64)
}

func TestMembersPages(t *testing.T) {
	h := newTestService(t).Handler()
	var seen []string
	for after := ""; ; after = seen[len(seen)-1] {
		var page wire.MembersResponse
		require.NoError(t, protojson.Unmarshal(get(h, "/members?limit=1&after="+after).Body.Bytes(), &page))
		require.EqualValues(t, 2, page.GetTotal())
		if len(page.GetMembers()) == 0 {
			break
		}
		require.Len(t, page.GetMembers(), 1)
		seen = append(seen, page.GetMembers()[0].GetName())
	}
	require.Equal(t, []string{"drawings-1", "quotes-1"}, seen)
}

func TestReadyNamesTheReason(t *testing.T) {
	s := newTestService(t)
	s.config.Holder.RaiseFloor(9)
	w := get(s.Handler(), "/ready")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "revision 1 in force is below the floor 9\n", w.Body.String())
	s.config.Holder = &revision.Holder{}
	require.Equal(t, "no table in force\n", get(s.Handler(), "/ready").Body.String())
	require.Equal(t, 200, get(s.Handler(), "/live").Code)
}

func TestConcurrentRequestsAreBounded(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	h := limitConcurrency(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}), 2)
	for range 2 {
		go get(h, "/")
		<-started
	}
	w := get(h, "/")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	close(release)
}

// TestOtherOriginCannotWrite guards against cross-site request forgery: it sends a
// write as a page of another site could make a browser send it.
func TestOtherOriginCannotWrite(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/caroblift.Operator/Delete", strings.NewReader(`{"kind":"KIND_ROUTE","name":"quotes"}`))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Origin", "http://elsewhere.example")
	r.Header.Set("Sec-Fetch-Site", "cross-site")
	w := httptest.NewRecorder()
	newTestService(t).Handler().ServeHTTP(w, r)
	require.Equal(t, http.StatusForbidden, w.Code)
}

// BenchmarkPages measures each page at the target size: 7,000 members and 190
// services.
func BenchmarkPages(b *testing.B) {
	var members []*wire.Member
	for i := range 7000 {
		members = append(members, &wire.Member{
			Name: fmt.Sprintf("i-%d", i+1), Peer: "127.0.0.1:1", Domain: fmt.Sprintf("d-%d", i%7), State: wire.State_STATE_ALIVE, Incarnation: 1,
			Servers: []*wire.Server{{Service: fmt.Sprintf("s-%d", i%190), Slots: 10}},
		})
	}
	view := viewOf(&wire.Member{Name: "i-0", Domain: "d-0", State: wire.State_STATE_ALIVE}, members...)
	require.Len(b, view.Members, 7001)
	var changed []*wire.Record
	for i := range 190 {
		name := fmt.Sprintf("s-%d", i)
		changed = append(changed,
			&wire.Record{Kind: wire.Kind_KIND_SERVICE, Name: name, Schema: 2, Version: 1, Body: []byte(`{}`)},
			&wire.Record{Kind: wire.Kind_KIND_ROUTE, Name: name, Schema: 2, Version: 1, Body: []byte(`{"prefix": "/` + name + `", "service": "` + name + `"}`)})
	}
	rev, err := revision.Next(&revision.Table{}, revision.Result{Changed: changed}, "change", "i-0", 1000)
	require.NoError(b, err)
	holder := &revision.Holder{}
	require.NoError(b, holder.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	h := New(Config{
		Holder: holder, View: func() *member.View { return view }, ConfirmedAt: func() int64 { return 1 }, PlatformAnswers: func() bool { return true },
		FleetReport: func(context.Context) *wire.Report { return &wire.Report{} },
	}).Handler()
	for _, page := range []string{"/", "/table", "/members", "/status", "/ready"} {
		b.Run(page, func(b *testing.B) {
			for b.Loop() {
				if w := get(h, page); w.Code != http.StatusOK {
					b.Fatal(w.Code)
				}
			}
		})
	}
	b.Run("states", func(b *testing.B) {
		for b.Loop() {
			CountStates(view)
		}
	})
	b.Run("audit", func(b *testing.B) {
		for b.Loop() {
			if err := new(revision.Holder).Apply(&wire.Update{Snapshot: holder.Table().Snapshot()}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
