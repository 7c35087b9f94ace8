package operator

// This file serves the pages of the operator port: liveness, readiness, the table
// in force, members, metrics and an HTML status page.

import (
	"context"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	goji "goji.io"
	"goji.io/pat"
	"google.golang.org/protobuf/encoding/protojson"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// Limits of the operator port.
const (
	maxConcurrentRequests = 64               // served concurrently
	maxRequestBytes       = 2 << 20          // size of a request body, in bytes
	requestTimeout        = 15 * time.Second // time to answer one request
)

// Handler serves the Operator service and the pages:
//
//	GET /         HTML status page
//	GET /live     200 while the process runs
//	GET /ready    200 if the node may serve calls, otherwise 503 and the reason
//	GET /status   what is in force and where, as JSON
//	GET /table    the records in force, as JSON, paged with ?after=kind/name&limit=N
//	GET /members  the members, as JSON, paged with ?service=S&after=instance&limit=N
//	GET /rollout  services that move to another version, as JSON
//	GET /metrics  metrics in the Prometheus text format
//
// The number of concurrent requests, their size and the time to answer them are
// bounded. Cross-origin requests of browsers that could change anything are
// rejected.
func (s *Service) Handler() http.Handler {
	mux := goji.NewMux()
	path, rpc := wireconnect.NewOperatorHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	mux.Handle(pat.New(path+"*"), rpc)
	mux.HandleFunc(pat.Get("/live"), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc(pat.Get("/ready"), s.serveReady)
	mux.HandleFunc(pat.Get("/status"), s.serveStatus)
	mux.HandleFunc(pat.Get("/table"), s.serveTable)
	mux.HandleFunc(pat.Get("/members"), s.serveMembers)
	mux.HandleFunc(pat.Get("/rollout"), s.serveRollout)
	mux.HandleFunc(pat.Get("/"), s.serveHome)
	if s.config.Metrics != nil {
		mux.Handle(pat.Get("/metrics"), s.config.Metrics)
	}
	h := http.TimeoutHandler(mux, requestTimeout, "the node did not answer within "+requestTimeout.String())
	h = http.MaxBytesHandler(http.NewCrossOriginProtection().Handler(h), maxRequestBytes)
	return limitConcurrency(h, maxConcurrentRequests)
}

// limitConcurrency serves at most n requests concurrently and answers others with
// 503.
func limitConcurrency(h http.Handler, n int) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, fmt.Sprintf("already serving the maximum of %d concurrent requests", n), http.StatusServiceUnavailable)
		}
	})
}

func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	number, floor := s.config.Holder.Table().Number, s.config.Holder.Floor()
	switch {
	case s.config.Holder.Ready():
		fmt.Fprintf(w, "ready at revision %d\n", number)
	case number == 0:
		http.Error(w, "no table in force", http.StatusServiceUnavailable)
	default:
		http.Error(w, fmt.Sprintf("revision %d in force is below the floor %d", number, floor), http.StatusServiceUnavailable)
	}
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	data, err := protojson.Marshal(s.status(r.Context(), &wire.StatusRequest{}))
	writeJSON(w, data, err)
}

func (s *Service) serveMembers(w http.ResponseWriter, r *http.Request) {
	limit, ok := parseLimit(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	resp := s.members(&wire.MembersRequest{Service: q.Get("service"), After: q.Get("after"), Limit: uint32(limit)})
	data, err := protojson.Marshal(resp)
	writeJSON(w, data, err)
}

func writeJSON(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// maxPageRecords bounds the records in one page of the table.
const maxPageRecords = 500

// parseLimit returns the query parameter limit, or 0 if it is absent. If it is
// invalid, parseLimit answers the request with 400 and returns false.
func parseLimit(w http.ResponseWriter, r *http.Request) (int, bool) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return 0, true
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > 1<<20 {
		http.Error(w, fmt.Sprintf("limit: %q is not a number from 1 to 1048576", text), http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

// tableResponse is the body of the response to GET /table.
type tableResponse struct {
	Revision  uint64        `json:"revision"`
	Digest    string        `json:"digest"`
	Published time.Time     `json:"published"`
	Total     int           `json:"total"`          // number of records in force
	Next      string        `json:"next,omitempty"` // value of the parameter after for the next page
	Records   []tableRecord `json:"records"`
}

// tableRecord is one record in force.
type tableRecord struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  uint32          `json:"schema"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

func (s *Service) serveTable(w http.ResponseWriter, r *http.Request) {
	limit, ok := parseLimit(w, r)
	if !ok {
		return
	}
	if limit == 0 || limit > maxPageRecords {
		limit = maxPageRecords
	}
	data, err := json.Marshal(newTableResponse(s.config.Holder.Table(), r.URL.Query().Get("after"), limit))
	writeJSON(w, data, err)
}

// newTableResponse returns a page of at most limit records of t whose keys sort
// after the given one. Tombstones are left out.
func newTableResponse(t *revision.Table, after string, limit int) tableResponse {
	out := tableResponse{
		Revision: t.Number, Digest: hex.EncodeToString(t.Digest), Published: time.UnixMilli(t.Time).UTC(), Records: []tableRecord{},
	}
	live := make([]*wire.Record, 0, len(t.Records))
	for _, r := range t.Records {
		if !r.GetDeleted() {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b *wire.Record) int {
		return strings.Compare(record.KeyOf(a).String(), record.KeyOf(b).String())
	})
	out.Total = len(live)
	for _, r := range live {
		key := record.KeyOf(r).String()
		if key <= after {
			continue
		}
		if len(out.Records) == limit {
			last := out.Records[limit-1]
			out.Next = last.Kind + "/" + last.Name
			break
		}
		out.Records = append(out.Records, tableRecord{
			Kind: record.KindName(r.GetKind()), Name: r.GetName(), Schema: r.GetSchema(), Version: r.GetVersion(), Spec: r.GetBody(),
		})
	}
	return out
}

//go:embed home.html
var homeHTML string

var homeTemplate = template.Must(template.New("home").Funcs(template.FuncMap{
	"kind": record.KindName,
	"line": record.FormatFinding,
}).Parse(homeHTML))

// homeData holds the values shown on the HTML status page.
type homeData struct {
	Self     *wire.Member
	Status   *wire.StatusResponse
	Ready    bool
	Age      string // time since the platform last confirmed the head
	Era      store.EraState
	Services []serviceSummary
	States   map[string]int
}

func (s *Service) serveHome(w http.ResponseWriter, r *http.Request) {
	var b strings.Builder
	if err := homeTemplate.Execute(&b, s.homeData(r.Context())); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_, _ = w.Write([]byte(b.String()))
}

func (s *Service) homeData(ctx context.Context) homeData {
	view, table := s.config.View(), s.config.Holder.Table()
	d := homeData{
		Self: view.Self, Status: s.status(ctx, &wire.StatusRequest{}), Ready: s.config.Holder.Ready(),
		Era: s.config.Eras.State(), Age: "never", Services: summarizeServices(view, slices.Sorted(maps.Keys(table.Services))), States: map[string]int{},
	}
	if at := d.Status.GetChecked(); at > 0 {
		d.Age = time.Since(time.UnixMilli(at)).Round(100 * time.Millisecond).String()
	}
	for state, n := range CountStates(view) {
		d.States[StateName(state)] = n
	}
	return d
}
