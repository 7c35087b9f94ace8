package operator

// This file serves the operators' pages: health, readiness, the table in
// force, members, metrics and a status page to read.

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
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// The bounds of the operator port.
const (
	maxRequests    = 64               // served at one time
	maxRequest     = 2 << 20          // bytes of one request
	requestTimeout = 15 * time.Second // of one request
)

// Handler serves the Operator service and the pages:
//
//	GET /         a status page to read
//	GET /live     200 while the process runs
//	GET /ready    200 once the node may serve calls, or else 503 and why
//	GET /status   what is in force and where, JSON
//	GET /table    the records in force, JSON, paged with ?after=kind/name&limit=N
//	GET /members  the members, JSON, paged with ?service=S&after=instance&limit=N
//	GET /metrics  metrics in text form
//
// Requests are bounded in number, size and time. Browsers cannot send changes
// from pages of other origins.
func (s *Service) Handler() http.Handler {
	mux := goji.NewMux()
	path, rpc := wireconnect.NewOperatorHandler(s, connect.WithReadMaxBytes(maxRequest))
	mux.Handle(pat.New(path+"*"), rpc)
	mux.HandleFunc(pat.Get("/live"), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc(pat.Get("/ready"), s.ready)
	mux.HandleFunc(pat.Get("/status"), s.statusPage)
	mux.HandleFunc(pat.Get("/table"), s.tablePage)
	mux.HandleFunc(pat.Get("/members"), s.membersPage)
	mux.HandleFunc(pat.Get("/"), s.home)
	if s.config.Metrics != nil {
		mux.Handle(pat.Get("/metrics"), s.config.Metrics)
	}
	h := http.TimeoutHandler(mux, requestTimeout, "the node did not answer within "+requestTimeout.String())
	h = http.MaxBytesHandler(http.NewCrossOriginProtection().Handler(h), maxRequest)
	return limited(h, maxRequests)
}

// limited serves at most n requests at one time and refuses the others.
func limited(h http.Handler, n int) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, fmt.Sprintf("%d requests are being served already", n), http.StatusServiceUnavailable)
		}
	})
}

func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
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

func (s *Service) statusPage(w http.ResponseWriter, r *http.Request) {
	data, err := protojson.Marshal(s.status(r.Context(), &wire.StatusRequest{}))
	writeJSON(w, data, err)
}

func (s *Service) membersPage(w http.ResponseWriter, r *http.Request) {
	limit, ok := limitOf(w, r)
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

// maxRecords bounds the records of one page.
const maxRecords = 500

// limitOf returns the limit that a request asks for, 0 for none. It answers a
// request whose limit is no number.
func limitOf(w http.ResponseWriter, r *http.Request) (int, bool) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return 0, true
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > 1<<20 {
		http.Error(w, fmt.Sprintf("limit: %q is not a count", text), http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

// tableAnswer is the answer to GET /table.
type tableAnswer struct {
	Revision  uint64        `json:"revision"`
	Digest    string        `json:"digest"`
	Published time.Time     `json:"published"`
	Total     int           `json:"total"`          // records in force
	Next      string        `json:"next,omitempty"` // value of after for the next page
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

func (s *Service) tablePage(w http.ResponseWriter, r *http.Request) {
	limit, ok := limitOf(w, r)
	if !ok {
		return
	}
	if limit == 0 || limit > maxRecords {
		limit = maxRecords
	}
	data, err := json.Marshal(pageOf(s.config.Holder.Table(), r.URL.Query().Get("after"), limit))
	writeJSON(w, data, err)
}

// pageOf returns the records of a table after a key, tombstones left out.
func pageOf(t *revision.Table, after string, limit int) tableAnswer {
	out := tableAnswer{
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
			Kind: record.KindWord(r.GetKind()), Name: r.GetName(), Schema: r.GetSchema(), Version: r.GetVersion(), Spec: r.GetBody(),
		})
	}
	return out
}

//go:embed home.html
var homeText string

var homeTemplate = template.Must(template.New("home").Funcs(template.FuncMap{
	"kind": record.KindWord,
	"line": record.Line,
}).Parse(homeText))

// homeData is what the status page shows.
type homeData struct {
	Self     *wire.Member
	Status   *wire.StatusResponse
	Ready    bool
	Age      string // since the platform last confirmed the head
	Services []serviceCount
	States   map[string]int
}

func (s *Service) home(w http.ResponseWriter, r *http.Request) {
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
	v, t := s.config.View(), s.config.Holder.Table()
	d := homeData{
		Self: v.Self, Status: s.status(ctx, &wire.StatusRequest{}), Ready: s.config.Holder.Ready(),
		Age: "never", Services: countServices(v, slices.Sorted(maps.Keys(t.Services))), States: map[string]int{},
	}
	if at := d.Status.GetChecked(); at > 0 {
		d.Age = time.Since(time.UnixMilli(at)).Round(100 * time.Millisecond).String()
	}
	for state, n := range CountStates(v) {
		d.States[StateWord(state)] = n
	}
	return d
}
