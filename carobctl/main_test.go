package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// startNode runs one node against an in-memory store in place of the platform, and
// returns the node's operator address.
func startNode(t *testing.T) string {
	platform := httptest.NewServer(storetest.New())
	t.Cleanup(platform.Close)
	s := settings.Defaults()
	s.Instance = &wire.Instance{Name: "quotes-1", Domain: "xitun"}
	const free = "127.0.0.1:0"
	s.Listen = &wire.Listen{Caller: free, Hop: free, Peer: free, Backend: free, Operator: free}
	s.Platform.Addresses = []string{strings.TrimPrefix(platform.URL, "http://")}
	s.Peers.Beat = 50
	n, err := node.New(s, telemetry.Sinks{})
	require.NoError(t, err)
	n.Start()
	t.Cleanup(n.Kill)
	return n.Addresses().Operator
}

// result is the exit code and output of one run of carobctl.
type result struct {
	code     int
	out, err string
}

// carobctl runs a command line against the node at addr, with in as standard
// input.
func carobctl(addr, in string, args ...string) result {
	var out, errOut bytes.Buffer
	code := run(append([]string{"--node", addr}, args...), strings.NewReader(in), &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

const (
	service = `{"kind": "service", "name": "quotes", "schema": 2, "spec": {}}`
	route   = `{"kind": "route", "name": "stock", "schema": 2, "spec": {"prefix": "/stock", "service": "quotes"}}`
)

// TestOperatorWorkflow writes, reads, compares, updates and deletes records on a
// node. A saved diff must be rejected after another write to the same record.
func TestOperatorWorkflow(t *testing.T) {
	addr := startNode(t)
	c := carobctl(addr, service+"\n"+route, "apply", "-f", "-", "--wait", "--bound", "30s")
	require.Zero(t, c.code, c.err)
	require.Contains(t, c.out, "route/stock written as version")
	require.Contains(t, c.out, "in force on all 1 nodes after")
	require.Contains(t, c.err, "in force on 1 of 1 nodes")

	c = carobctl(addr, service, "apply", "-f", "-")
	require.Zero(t, c.code, c.err)
	require.Contains(t, c.out, "service/quotes unchanged")

	seen := carobctl(addr, "", "get", "route/stock").out
	next := strings.Replace(seen, "/stock", "/store", 1)
	plan := filepath.Join(t.TempDir(), "plan.json")
	c = carobctl(addr, next, "diff", "-f", "-", "--save", plan)
	require.Equal(t, exitDiffers, c.code, c.err)
	require.Contains(t, c.out, "  - spec.prefix: \"/stock\"\n  + spec.prefix: \"/store\"\n")
	require.Zero(t, carobctl(addr, seen, "diff", "-f", "-").code)

	c = carobctl(addr, strings.Replace(route, "}}", `, "timeout": "2s"}}`, 1), "apply", "-f", "-")
	require.Zero(t, c.code, c.err)
	c = carobctl(addr, "", "apply", "-f", plan)
	require.Equal(t, exitConflict, c.code, c.err)
	require.Contains(t, c.err, plan+":1: route/stock: conflict: the change starts from version")
	require.Contains(t, c.err, "nothing was written")
	require.Zero(t, carobctl(addr, "", "apply", "-f", plan, "--force", "--json").code)

	old := `{"kind": "route", "name": "old", "schema": 1, "spec": {"prefix": "/old", "service": "quotes", "timeout": 2000}}`
	require.Zero(t, carobctl(addr, old, "apply", "-f", "-").code)
	c = carobctl(addr, "", "get", "route/old", "--schema", "2")
	require.Zero(t, c.code, c.err)
	require.Contains(t, c.out, `"schema":2`)
	require.Contains(t, c.out, `"timeout":"2s"`)
	require.Zero(t, carobctl(addr, c.out, "apply", "-f", "-").code)

	c = carobctl(addr, "", "delete", "route/stock", "--wait", "--bound", "30s")
	require.Zero(t, c.code, c.err)
	require.Equal(t, result{exitRefused, "", "route/stock does not exist\n"}, carobctl(addr, "", "get", "route/stock"))
	require.Equal(t, exitRefused, carobctl(addr, "", "delete", "route/stock").code)

	require.Contains(t, carobctl(addr, "", "status").out, "DOMAIN  REVISION  NODES\nxitun")
	require.Contains(t, carobctl(addr, "", "status", "--json").out, `"nodes":1`)
	require.Contains(t, carobctl(addr, "", "members").out, "quotes-1  xitun")
	require.Contains(t, carobctl(addr, "", "members", "--json").out, `"name":"quotes-1"`)

	t.Setenv("GO_FLAGS_COMPLETION", "1")
	require.Equal(t, "service/quotes\n", carobctl(addr, "", "get", "ser").out)
}

// TestInputErrors checks the exit codes and messages for invalid command lines and
// files, and for a node that is down.
func TestInputErrors(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		args []string
		code int
		want []string
	}{
		"no command":         {"", nil, exitUsage, []string{"Please specify one command"}},
		"no file":            {"", []string{"apply"}, exitUsage, []string{"`-f, --file' was not specified"}},
		"file missing":       {"", []string{"apply", "-f", "none.json"}, exitUsage, []string{"none.json: open none.json: no such file"}},
		"kind unknown":       {"", []string{"get", "rout"}, exitUsage, []string{`kind "rout" is none of service, route, policy`}},
		"delete a kind":      {"", []string{"delete", "route"}, exitUsage, []string{"route names no record"}},
		"empty file":         {" \n", []string{"apply", "-f", "-", "--wait"}, exitUsage, []string{"-: no record in it"}},
		"cut file":           {service + "\n" + route[:40], []string{"apply", "-f", "-"}, exitUsage, []string{"-:2: document is not valid JSON: unexpected EOF"}},
		"unknown field":      {strings.Replace(service, "spec", "specs", 1), []string{"apply", "-f", "-"}, exitRefused, []string{`-:1: document is no record: json: unknown field "specs"`}},
		"spelled numbers":    {strings.Replace(strings.Replace(service, "2", "2.0", 1), `"spec"`, `"version": 70e-1, "spec"`, 1), []string{"apply", "-f", "-"}, exitUnavailable, []string{"node 127.0.0.1:1: unavailable"}},
		"version not whole":  {strings.Replace(service, `"spec"`, `"version": 7.5, "spec"`, 1), []string{"apply", "-f", "-"}, exitRefused, []string{"-:1: document is no record"}},
		"vast schema":        {strings.Replace(service, "2", "4294967298", 1), []string{"apply", "-f", "-"}, exitRefused, []string{"schema: schema version 4294967295"}},
		"record twice":       {service + "\n\n" + service, []string{"diff", "-f", "-"}, exitRefused, []string{"-:3: service/quotes: stands there twice, first at -:1"}},
		"node down":          {service, []string{"apply", "-f", "-"}, exitUnavailable, []string{"node 127.0.0.1:1: unavailable"}},
		"node down, read":    {"", []string{"status"}, exitUnavailable, []string{"node 127.0.0.1:1: unavailable"}},
		"unknown spec field": {strings.Replace(route, "/stock", "/stock\", \"retries\": \"3", 1), []string{"apply", "-f", "-"}, exitUnavailable, []string{"warning: -:1: route/stock: retries: "}},
		"all at once": {
			`{"kind": "router", "name": "a"}` + "\n" + strings.Replace(route, "/stock", "stock", 1) + "\n" + strings.Replace(service, "2", "9", 1),
			[]string{"apply", "-f", "-", "-f", "none.json"},
			exitUsage,
			[]string{`-:1: kind: "router" is none of`, `-:2: route/stock: prefix: "stock" does not start`, "-:3: service/quotes: schema: schema version 9", "none.json: open"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := carobctl("127.0.0.1:1", c.in, c.args...)
			require.Equal(t, c.code, got.code, got.err)
			for _, want := range c.want {
				require.Contains(t, got.err, want)
			}
		})
	}
}

// fakeOperator is a node's operator API with fixed answers. err is returned by
// writes only, not by checks.
type fakeOperator struct {
	wireconnect.UnimplementedOperatorHandler
	status *wire.StatusResponse
	err    error
}

func (s *fakeOperator) Get(context.Context, *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	return connect.NewResponse(&wire.GetResponse{}), nil
}

func (s *fakeOperator) Apply(_ context.Context, r *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	if s.err != nil && !r.Msg.GetCheck() {
		return nil, s.err
	}
	return connect.NewResponse(&wire.ApplyResponse{Record: r.Msg.GetRecord()}), nil
}

func (s *fakeOperator) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	return connect.NewResponse(s.status), nil
}

// TestWait checks the exit code and message for each end of a wait, and for failed
// writes.
func TestWait(t *testing.T) {
	behind := &wire.Report{
		Counts:   []*wire.Count{{Domain: "xitun", Revision: 9, Nodes: 2}, {Domain: "nantun", Revision: 8, Nodes: 1}},
		Laggards: []*wire.Lag{{Name: "drawings-1", Domain: "nantun", Revision: 8, Findings: []*wire.Finding{{Place: "revision", Reason: "digest"}}}},
	}
	held := []*wire.Held{{Kind: wire.Kind_KIND_SERVICE, Name: "quotes", Version: 3, Findings: []*wire.Finding{{Place: "service/quotes", Field: "policy", Reason: "policy/x does not exist"}}}}
	for name, c := range map[string]struct {
		status *wire.StatusResponse
		err    error
		code   int
		want   string
	}{
		"everywhere": {&wire.StatusResponse{Revision: 9, Accepted: 9, Nodes: 2, Report: &wire.Report{Counts: behind.Counts[:1]}}, nil, 0, "revision 9 in force on 2 of 2 nodes"},
		"behind":     {&wire.StatusResponse{Revision: 9, Accepted: 9, Nodes: 3, Report: behind}, nil, exitTimeout, "2 of 3 nodes hold revision 9 after 1ms\n  behind: 1 nodes of nantun at revision 8\n  behind: drawings-1 (nantun) at revision 8: revision: digest"},
		"held":       {&wire.StatusResponse{Revision: 9, Nodes: 2, Held: held}, nil, exitRefused, "written, and held back:\n  service/quotes: policy: policy/x does not exist"},
		"no reader":  {&wire.StatusResponse{Revision: 8, Nodes: 2}, nil, exitTimeout, "written, and in no revision within 1ms"},
		"conflict":   {nil, connect.NewError(connect.CodeAborted, os.ErrExist), exitConflict, "aborted"},
		"lost":       {nil, connect.NewError(connect.CodeUnknown, os.ErrDeadlineExceeded), exitOutcomeUnknown, "unknown"},
		"down":       {nil, connect.NewError(connect.CodeUnavailable, os.ErrClosed), exitUnavailable, "unavailable"},
	} {
		t.Run(name, func(t *testing.T) {
			_, handler := wireconnect.NewOperatorHandler(&fakeOperator{status: c.status, err: c.err})
			server := httptest.NewServer(handler)
			defer server.Close()
			got := carobctl(strings.TrimPrefix(server.URL, "http://"), service, "apply", "-f", "-", "--wait", "--bound", time.Millisecond.String())
			require.Equal(t, c.code, got.code, got.err)
			require.Contains(t, got.err, c.want)
		})
	}
}

// TestStatusShowsEra checks that status names the era of a platform that has one, and
// the era before once the node saw it rise.
func TestStatusShowsEra(t *testing.T) {
	eras := store.NewEras(telemetry.Sinks{})
	self := &wire.Member{Name: "n"}
	server := httptest.NewServer(operator.New(operator.Config{
		Eras: eras, Holder: &revision.Holder{}, ConfirmedAt: func() int64 { return 0 }, PlatformAnswers: func() bool { return true },
		View:        func() *member.View { return &member.View{Self: self} },
		FleetReport: func(context.Context) *wire.Report { return &wire.Report{} },
	}).Handler())
	defer server.Close()
	status := func() string { return carobctl(strings.TrimPrefix(server.URL, "http://"), "", "status").out }
	require.NotContains(t, status(), "era")
	require.NoError(t, eras.Observe(4))
	require.Contains(t, status(), "\nplatform in era 4\n")
	require.NoError(t, eras.Observe(5))
	require.Contains(t, status(), "\nplatform in era 5, came back from an older copy in era 4\n")
	got := carobctl(strings.TrimPrefix(server.URL, "http://"), "", "--json", "status").out
	require.Contains(t, got, `"era":"5"`)
	require.Contains(t, got, `"previousEra":"4"`)
}

// TestStatusShowsLimit checks that status names the limit of the node's backend server.
func TestStatusShowsLimit(t *testing.T) {
	var limit call.LimitState
	server := httptest.NewServer(operator.New(operator.Config{
		Holder: &revision.Holder{}, ConfirmedAt: func() int64 { return 0 }, PlatformAnswers: func() bool { return true },
		View:        func() *member.View { return &member.View{Self: &wire.Member{Name: "n"}} },
		FleetReport: func(context.Context) *wire.Report { return &wire.Report{} },
		ServerLimit: func() call.LimitState { return limit },
	}).Handler())
	defer server.Close()
	status := func() string { return carobctl(strings.TrimPrefix(server.URL, "http://"), "", "status").out }
	require.NotContains(t, status(), "requests a second")
	limit = call.LimitState{NamedLimit: call.NamedLimit{Rate: 6.4, Named: true}, Age: 3 * time.Second, Source: "c1"}
	require.Contains(t, status(), "\nits backend server takes 6.4 requests a second, for 3000 ms (source: c1)\n")
	require.Contains(t, carobctl(strings.TrimPrefix(server.URL, "http://"), "", "--json", "status").out, `"limit":"6.4","limitAge":"3000","limitSource":"c1"`)
}

// TestDocumentOfPlatform guards against a value that a node can't read and that neither status nor check names.
func TestDocumentOfPlatform(t *testing.T) {
	finding := &wire.Finding{Place: `rules[3] "stock"`, Field: "weight", Reason: `"75" is not a number`}
	snapshot, err := revision.NewDocument(7, &wire.Document{Services: []*wire.DocumentService{{Name: "quotes"}}})
	require.NoError(t, err)
	snapshot.Findings = record.Findings{finding}
	var holder revision.Holder
	require.NoError(t, holder.Apply(&wire.Update{Snapshot: snapshot}))
	var refused *wire.RefusedDocument
	server := httptest.NewServer(operator.New(operator.Config{
		Holder: &holder, ConfirmedAt: func() int64 { return 0 }, PlatformAnswers: func() bool { return true },
		View:            func() *member.View { return &member.View{Self: &wire.Member{Name: "n"}} },
		FleetReport:     func(context.Context) *wire.Report { return &wire.Report{} },
		RefusedDocument: func() *wire.RefusedDocument { return refused },
		DecodeDocument: func(document []byte) (*wire.Snapshot, error) {
			switch {
			case strings.Contains(string(document), "cut"):
				return nil, errors.New("it is cut")
			case strings.Contains(string(document), "twice"):
				return nil, errors.Wrap(record.Findings{finding}, "version 7")
			}
			return snapshot, nil
		},
	}).Handler())
	defer server.Close()
	node := strings.TrimPrefix(server.URL, "http://")
	const line = `rules[3] "stock": weight: "75" is not a number`
	require.Contains(t, carobctl(node, "", "status").out, "\nfinding: "+line+"\n")
	require.NotContains(t, carobctl(node, "", "status").out, "refused")
	refused = &wire.RefusedDocument{Revision: 19, Error: "it is cut", Findings: record.Findings{finding}}
	require.Contains(t, carobctl(node, "", "status").out, "\nrefused: the configuration in revision 19 of the platform: it is cut\n  "+line+"\n")
	require.Contains(t, carobctl(node, "", "--json", "status").out, `"refused":{`)
	for text, want := range map[string]string{
		`{"version":"r7"}`:       "warning: -: " + line + "\n0 errors, 1 warnings\n",
		`{"version":"cut"}`:      "error: -: it is cut\n1 errors, 0 warnings\n",
		`{"version":"r7 twice"}`: "error: -: " + line + "\n1 errors, 0 warnings\n",
	} {
		got := carobctl(node, text, "check", "-")
		require.Equal(t, want, got.out)
		require.Equal(t, exitDiffers, got.code)
	}
}

// TestDocumentNeedsItsNode guards against a document that counts as checked by a node that reads records.
func TestDocumentNeedsItsNode(t *testing.T) {
	server := httptest.NewServer(operator.New(operator.Config{Holder: &revision.Holder{}}).Handler())
	defer server.Close()
	got := carobctl(strings.TrimPrefix(server.URL, "http://"), `{"version":"r7"}`, "check", "-")
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.err, "the configuration of this node consists of records")
}

func TestHelpNamesEveryExitCode(t *testing.T) {
	got := carobctl("", "", "--help")
	require.Zero(t, got.code)
	for _, want := range []string{"0 done", "1 diff", "2 wrong", "3 record", "4 another", "5 node", "6 not", "7 answer"} {
		require.Contains(t, got.out, want)
	}
	for _, c := range (&app{}).commands() {
		require.Contains(t, carobctl("", "", c.name, "--help").out, "$ ", c.name)
	}
}

// FuzzDocuments checks that the reader does not panic on any input, that findings
// give a line of the file, and that valid records survive a round trip through
// printDocument.
func FuzzDocuments(f *testing.F) {
	for _, seed := range []string{"", service + "\n" + route, `{"kind":"route","version":0}{"kind":1}`, "[]\n{", "\xff{}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &recordReader{firstPlace: map[record.Key]string{}}
		r.readDocuments("f", data)
		for _, one := range r.findings {
			require.Regexp(t, `^f:[1-9]\d*`, one.GetPlace())
		}
		if len(r.findings) > 0 {
			return
		}
		var b bytes.Buffer
		for _, e := range r.entries {
			require.NoError(t, printDocument(&b, e.record))
		}
		again := &recordReader{firstPlace: map[record.Key]string{}}
		again.readDocuments("f", b.Bytes())
		require.Empty(t, again.findings)
		require.Len(t, again.entries, len(r.entries))
		for i, e := range r.entries {
			require.Empty(t, compare(e.record, again.entries[i].record).Changes)
		}
	})
}
