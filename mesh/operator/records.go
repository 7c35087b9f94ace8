package operator

// This file writes and reads records on behalf of operators.

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
)

// writeTries bounds the attempts at one write whose answer was lost or which
// another writer overtook.
const writeTries = 5

// errUnsettled says that a write may or may not have taken effect.
var errUnsettled = errors.New("the answer was lost and the record could not be read back; read it before writing again")

// Apply implements the Operator service. It writes a record over the version
// that the operator has seen; version 0 says that the operator has seen none,
// so nothing that exists is written over. With force it writes over whatever
// is present. A record that differs from none present is left as it is.
func (s *Service) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	if err := s.writable(); err != nil {
		return nil, err
	}
	findings, warnings := record.Check(req.Msg.GetRecord())
	if len(findings) > 0 {
		return connect.NewResponse(&wire.ApplyResponse{Findings: findings, Warnings: warnings}), nil
	}
	w := &write{store: s.config.Store, record: req.Msg.GetRecord(), change: uuid.NewString(), force: req.Msg.GetForce(), check: req.Msg.GetCheck()}
	resp, err := w.run(ctx)
	if err != nil {
		return nil, err
	}
	resp.Warnings = warnings
	return connect.NewResponse(resp), nil
}

// write is one write of a record. Every attempt of it carries the same change
// ID, which the platform keeps with the record and with those written after.
type write struct {
	store  store.Store
	record *wire.Record
	change string
	force  bool    // write over whatever version is present
	check  bool    // write nothing
	lost   error   // why the outcome of an earlier attempt is not known
	base   present // what that attempt would have replaced
}

// present is what the platform holds under a record's name.
type present struct {
	record  *wire.Record // nil for none
	changes []string
}

// follows tells whether p shows every write since base, so that a change that
// is missing in it did not take effect. A read that is older than base does
// not, nor one after more writes than an object remembers.
func (p present) follows(base present) bool {
	switch {
	case p.record.GetVersion() < base.record.GetVersion():
		return false
	case p.record.GetVersion() == base.record.GetVersion():
		return true
	case len(base.changes) == 0:
		return len(p.changes) < store.MaxChanges
	}
	return slices.Contains(p.changes, base.changes[0])
}

// run reads and writes until the outcome is known. An attempt whose answer was
// lost is tried again only over the version that it would have replaced, so it
// takes effect once at most.
func (w *write) run(ctx context.Context) (*wire.ApplyResponse, error) {
	for range writeTries {
		p, err := read(ctx, w.store, record.KeyOf(w.record))
		if err != nil {
			return nil, w.unavailable(err)
		}
		if slices.Contains(p.changes, w.change) {
			return w.applied(p), nil
		}
		if w.lost != nil && !p.follows(w.base) {
			continue
		}
		if p.record.GetVersion() != w.base.record.GetVersion() {
			w.lost = nil // another write took the version that every attempt was to replace
		}
		if resp := w.refuse(p); resp != nil {
			return resp, nil
		}
		o, err := w.put(ctx, p)
		switch {
		case err == nil:
			written, err := store.DecodeRecord(o)
			return &wire.ApplyResponse{Record: written}, err
		case errors.Is(err, store.ErrUnknown), errors.Is(err, store.ErrConflict):
			// Also a conflict may hide the answer to this write, when the
			// request arrived twice.
			w.lost, w.base = err, p
		default:
			return nil, w.unavailable(err)
		}
	}
	if w.lost != nil {
		return nil, w.unavailable(w.lost)
	}
	return nil, connect.NewError(connect.CodeAborted, errors.Errorf("%s: other writers were faster %d times; nothing was written", record.KeyOf(w.record), writeTries))
}

// applied answers for a write that took effect although its answer was lost.
// When others have written since, their record is shown as well.
func (w *write) applied(p present) *wire.ApplyResponse {
	if p.changes[0] == w.change {
		return &wire.ApplyResponse{Record: p.record}
	}
	return &wire.ApplyResponse{Record: w.record, Present: p.record}
}

// refuse returns the answer when there is nothing to write, or nil.
func (w *write) refuse(p present) *wire.ApplyResponse {
	if same(p.record, w.record) {
		return &wire.ApplyResponse{Record: p.record, Unchanged: true}
	}
	if !w.force && !w.seen(p.record) {
		return &wire.ApplyResponse{Present: p.record, Conflict: true}
	}
	if w.check {
		return &wire.ApplyResponse{Record: w.record, Present: p.record}
	}
	return nil
}

// seen tells whether the operator has seen what is present. A record that was
// deleted counts as none.
func (w *write) seen(r *wire.Record) bool {
	if w.record.GetVersion() == 0 {
		return r == nil || r.GetDeleted()
	}
	return r.GetVersion() == w.record.GetVersion()
}

// put writes the record over what is present.
func (w *write) put(ctx context.Context, p present) (store.Object, error) {
	body, err := store.EncodeRecord(w.record, w.change, p.changes)
	if err != nil {
		return store.Object{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	name := store.RecordName(record.KeyOf(w.record))
	if p.record == nil {
		return w.store.Create(ctx, store.KindRecord, name, body)
	}
	return w.store.Update(ctx, store.KindRecord, name, p.record.GetVersion(), body)
}

// unavailable wraps an error of the platform and says whether the write may
// have taken effect.
func (w *write) unavailable(err error) error {
	if w.lost != nil {
		return connect.NewError(connect.CodeUnknown, errors.WithMessagef(err, "%s: %s", record.KeyOf(w.record), errUnsettled))
	}
	return unavailable(errors.WithMessagef(err, "%s: nothing was written", record.KeyOf(w.record)))
}

// read returns what the platform holds under a key.
func read(ctx context.Context, from store.Store, k record.Key) (present, error) {
	o, err := from.Get(ctx, store.KindRecord, store.RecordName(k))
	if errors.Is(err, store.ErrNotFound) {
		return present{}, nil
	}
	if err != nil {
		return present{}, err
	}
	r, err := store.DecodeRecord(o)
	return present{record: r, changes: store.Changes(o)}, err
}

// same tells whether two records say the same, versions left out.
func same(a, b *wire.Record) bool {
	if a == nil || a.GetDeleted() != b.GetDeleted() {
		return false
	}
	return a.GetDeleted() || (a.GetSchema() == b.GetSchema() && bytes.Equal(compact(a.GetBody()), compact(b.GetBody())))
}

func compact(body []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, body) != nil {
		return body
	}
	return out.Bytes()
}

func unavailable(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}

// Get implements the Operator service. Records are returned as they were
// written, or in the schema version asked for.
func (s *Service) Get(ctx context.Context, req *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	records, err := s.read(ctx, record.Key{Kind: req.Msg.GetKind(), Name: req.Msg.GetName()})
	if err != nil {
		return nil, unavailable(err)
	}
	resp := &wire.GetResponse{}
	var findings record.Findings
	for _, r := range records {
		kind, name := req.Msg.GetKind(), req.Msg.GetName()
		if (kind != 0 && kind != r.GetKind()) || (name != "" && name != r.GetName()) || r.GetDeleted() {
			continue
		}
		if schema := req.Msg.GetSchema(); schema != 0 {
			converted, bad := record.Convert(r, schema)
			findings = append(findings, bad...)
			r = converted
		}
		resp.Records = append(resp.Records, r)
	}
	if err := findings.Err(); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(resp), nil
}

// read returns one record, or every record when the key is not whole.
func (s *Service) read(ctx context.Context, k record.Key) ([]*wire.Record, error) {
	if k.Kind == 0 || k.Name == "" {
		records, _, err := store.ListRecords(ctx, s.config.Store)
		return records, err
	}
	p, err := read(ctx, s.config.Store, k)
	if err != nil || p.record == nil {
		return nil, err
	}
	return []*wire.Record{p.record}, nil
}

// Delete implements the Operator service. It leaves a tombstone in place of
// the version given, or of the version that it reads when none is given.
func (s *Service) Delete(ctx context.Context, req *connect.Request[wire.DeleteRequest]) (*connect.Response[wire.DeleteResponse], error) {
	if err := s.writable(); err != nil {
		return nil, err
	}
	key := record.Key{Kind: req.Msg.GetKind(), Name: req.Msg.GetName()}
	p, err := read(ctx, s.config.Store, key)
	if err != nil {
		return nil, unavailable(err)
	}
	if p.record == nil || p.record.GetDeleted() {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("%s does not exist", key))
	}
	version := req.Msg.GetVersion()
	if version == 0 {
		version = p.record.GetVersion()
	}
	tombstone := &wire.Record{Kind: key.Kind, Name: key.Name, Schema: p.record.GetSchema(), Version: version, Deleted: true}
	resp, err := (&write{store: s.config.Store, record: tombstone, change: uuid.NewString()}).run(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.DeleteResponse{Record: resp.GetRecord(), Present: resp.GetPresent(), Conflict: resp.GetConflict()}), nil
}
