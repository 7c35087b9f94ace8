package revision

// This file builds tables from a configuration that consists of one document.
// The revision number is the document's version. Compose is not involved, and
// the services and routes have no versions of their own.

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// NewDocument returns a snapshot that contains a document, numbered by the
// document's version. The encoding is deterministic: the same document gives the
// same bytes on every node of the same build.
func NewDocument(number uint64, d *wire.Document) (*wire.Snapshot, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "encode document %d", number)
	}
	return &wire.Snapshot{Number: number, Digest: documentDigest(number, data), Format: 1, Document: data}, nil
}

// documentDigest hashes the number and the encoded document.
func documentDigest(number uint64, data []byte) []byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, number))
	h.Write(data)
	return h.Sum(nil)
}

// fromDocument returns the table of a snapshot that contains a document. It
// returns ErrInvalid when the document cannot be decoded, when a service has no
// name or occurs twice, when a limit of callers is out of range, or when a route
// or a workspace is invalid.
func fromDocument(s *wire.Snapshot) (*Table, error) {
	var d wire.Document
	if err := proto.Unmarshal(s.GetDocument(), &d); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "document %d: %s", s.GetNumber(), err)
	}
	if l := d.GetLimits(); max(l.GetHeader(), l.GetBody(), l.GetBegin(), l.GetIdle()) > MaxCallerLimit {
		return nil, errors.Wrapf(ErrInvalid, "document %d: a limit of callers is above %d", s.GetNumber(), uint64(MaxCallerLimit))
	}
	t := &Table{
		Number: s.GetNumber(), Time: s.GetTime(), Format: 1, document: s.GetDocument(), size: len(s.GetDocument()),
		Digest:   documentDigest(s.GetNumber(), s.GetDocument()),
		Findings: s.GetFindings(),
		Services: make(map[string]*record.Service, len(d.GetServices())),
		Routes:   make([]*record.Route, 0, len(d.GetRoutes())),
		Limits: record.CallerLimits{
			MaxHeaderBytes: int64(d.GetLimits().GetHeader()), MaxBodyBytes: int64(d.GetLimits().GetBody()),
			HeaderTimeout: milliseconds(d.GetLimits().GetBegin()), IdleTimeout: milliseconds(d.GetLimits().GetIdle()),
		},
	}
	for _, service := range d.GetServices() {
		if service.GetName() == "" || t.Services[service.GetName()] != nil {
			return nil, errors.Wrapf(ErrInvalid, "document %d: service %q has no name or occurs twice", t.Number, service.GetName())
		}
		t.Services[service.GetName()] = &record.Service{Name: service.GetName(), HealthPath: service.GetHealth(), MaxConns: int(service.GetConns())}
	}
	for _, route := range d.GetRoutes() {
		r, err := t.convertRoute(route)
		if err != nil {
			return nil, errors.WithMessagef(err, "document %d", t.Number)
		}
		t.Routes = append(t.Routes, r)
	}
	if err := t.addWorkspaces(&d); err != nil {
		return nil, errors.WithMessagef(err, "document %d", t.Number)
	}
	return t, nil
}

// MaxCallerLimit bounds the limits of callers, in bytes or ms. In ms it is 34 years, so
// that the value in ns fits a time.Duration.
const MaxCallerLimit = 1 << 40

// convertRoute converts a route to its hub form. It returns ErrInvalid when a
// part refers to a service that does not exist, or when a usable route has no part
// with a weight or weights that are too large.
func (t *Table) convertRoute(msg *wire.DocumentRoute) (*record.Route, error) {
	r := &record.Route{
		Name: msg.GetName(), Prefix: msg.GetPrefix(), Timeout: milliseconds(uint64(msg.GetTimeout())), Bulk: msg.GetBulk(),
		Repeat: record.RepeatNever, LatencyObjective: milliseconds(uint64(msg.GetObjective())), Priority: int(msg.GetPriority()),
		MaxAttempts: int(msg.GetAttempts()), Open: msg.GetOpen(), Unusable: msg.GetUnusable(),
	}
	if msg.GetHost() != "" {
		r.Hosts = []string{msg.GetHost()}
	}
	if msg.GetRepeat() {
		r.Repeat = record.RepeatAlways
	}
	for _, p := range msg.GetParts() {
		if t.Services[p.GetService()] == nil {
			return nil, errors.Wrapf(ErrInvalid, "route %q refers to service %q, which does not exist", msg.GetName(), p.GetService())
		}
		if p.GetWeight() > 0 {
			r.WeightedServices = append(r.WeightedServices, record.WeightedService{Service: p.GetService(), Weight: int(p.GetWeight())})
		}
	}
	if r.Unusable {
		r.WeightedServices = nil
		return r, nil
	}
	if len(r.WeightedServices) == 0 {
		return nil, errors.Wrapf(ErrInvalid, "route %q has no service with a weight above 0", msg.GetName())
	}
	if weight := totalWeight(r.WeightedServices); weight > MaxTotalWeight {
		return nil, errors.Wrapf(ErrInvalid, "route %q has weights of %d together, which is above %d", msg.GetName(), weight, MaxTotalWeight)
	}
	r.Service = r.WeightedServices[0].Service
	if len(r.WeightedServices) == 1 {
		r.WeightedServices = nil
	}
	return r, nil
}

// MaxTotalWeight bounds the sum of the weights of a route, so that it fits an int
// on every platform.
const MaxTotalWeight = math.MaxInt32

func totalWeight(parts []record.WeightedService) (sum int64) {
	for _, p := range parts {
		sum += int64(p.Weight)
	}
	return sum
}

func milliseconds(v uint64) time.Duration { return time.Duration(v) * time.Millisecond }
