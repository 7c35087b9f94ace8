package revision

// This file builds tables from a configuration that comes as one document. Its
// number is the document's version; nothing is composed and no record has a
// version of its own.

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// NewDocument returns the snapshot of a document under its version. The same
// document gives the same bytes on every node of one build.
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

// fromDocument returns the table of a snapshot that holds a document. Every
// service that a route names must be there.
func fromDocument(s *wire.Snapshot) (*Table, error) {
	var d wire.Document
	if err := proto.Unmarshal(s.GetDocument(), &d); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "document %d: %s", s.GetNumber(), err)
	}
	t := &Table{
		Number: s.GetNumber(), Time: s.GetTime(), Format: 1, document: s.GetDocument(), size: len(s.GetDocument()),
		Digest:   documentDigest(s.GetNumber(), s.GetDocument()),
		Services: make(map[string]*record.Service, len(d.GetServices())),
		Routes:   make([]*record.Route, 0, len(d.GetRoutes())),
		Limits: record.Limits{
			Header: int64(d.GetLimits().GetHeader()), Body: int64(d.GetLimits().GetBody()),
			Begin: milliseconds(d.GetLimits().GetBegin()), Idle: milliseconds(d.GetLimits().GetIdle()),
		},
	}
	for _, one := range d.GetServices() {
		if one.GetName() == "" || t.Services[one.GetName()] != nil {
			return nil, errors.Wrapf(ErrInvalid, "document %d: service %q has no name or occurs twice", t.Number, one.GetName())
		}
		t.Services[one.GetName()] = &record.Service{Name: one.GetName(), Health: one.GetHealth(), Conns: int(one.GetConns())}
	}
	for _, one := range d.GetRoutes() {
		r, err := t.documentRoute(one)
		if err != nil {
			return nil, errors.WithMessagef(err, "document %d", t.Number)
		}
		t.Routes = append(t.Routes, r)
	}
	return t, nil
}

// documentRoute converts a route and checks what it refers to.
func (t *Table) documentRoute(in *wire.DocumentRoute) (*record.Route, error) {
	r := &record.Route{
		Name: in.GetName(), Prefix: in.GetPrefix(), Timeout: milliseconds(uint64(in.GetTimeout())), Bulk: in.GetBulk(),
		Repeat: record.RepeatNever, Objective: milliseconds(uint64(in.GetObjective())), Priority: int(in.GetPriority()),
		Attempts: int(in.GetAttempts()),
	}
	if in.GetHost() != "" {
		r.Hosts = []string{in.GetHost()}
	}
	if in.GetRepeat() {
		r.Repeat = record.RepeatAlways
	}
	for _, p := range in.GetParts() {
		if t.Services[p.GetService()] == nil {
			return nil, errors.Wrapf(ErrInvalid, "route %q refers to service %q, which does not exist", in.GetName(), p.GetService())
		}
		if p.GetWeight() > 0 {
			r.Parts = append(r.Parts, record.Part{Service: p.GetService(), Weight: int(p.GetWeight())})
		}
	}
	if len(r.Parts) == 0 {
		return nil, errors.Wrapf(ErrInvalid, "route %q sends calls to no service", in.GetName())
	}
	r.Service = r.Parts[0].Service
	if len(r.Parts) == 1 {
		r.Parts = nil
	}
	return r, nil
}

func milliseconds(v uint64) time.Duration { return time.Duration(v) * time.Millisecond }
