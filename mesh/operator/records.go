package operator

// This file implements the reads and writes of records that operators ask for.

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

// maxWriteAttempts bounds the attempts at one write, which is tried again when its
// answer was lost or another writer changed the record first.
const maxWriteAttempts = 5

// errOutcomeUnknown reports that a write may or may not have taken effect.
var errOutcomeUnknown = errors.New("the answer was lost and the record could not be read back; read it before writing again")

// Apply implements the Operator service. It replaces the record if the platform
// still holds the version given in the request; version 0 means that the operator
// expects no record, so an existing one is not overwritten. With force it replaces
// any version. A record whose content is already stored is not written again.
func (s *Service) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	if err := s.checkWritable(); err != nil {
		return nil, err
	}
	findings, warnings := record.Check(req.Msg.GetRecord())
	if len(findings) > 0 {
		return connect.NewResponse(&wire.ApplyResponse{Findings: findings, Warnings: warnings}), nil
	}
	w := &recordWrite{store: s.config.Store, record: req.Msg.GetRecord(), changeID: uuid.NewString(), force: req.Msg.GetForce(), checkOnly: req.Msg.GetCheck()}
	resp, err := w.run(ctx)
	if err != nil {
		return nil, err
	}
	resp.Warnings = warnings
	return connect.NewResponse(resp), nil
}

// recordWrite is one write of a record. All its attempts carry the same change ID,
// which the platform stores with the record and with the versions that follow.
type recordWrite struct {
	store     store.Store
	record    *wire.Record
	changeID  string
	force     bool         // replace any stored version
	checkOnly bool         // report the result without writing
	lostErr   error        // error of an earlier attempt with unknown outcome, or nil
	base      storedRecord // what that attempt would have replaced
}

// storedRecord is what the platform holds under the name of a record.
type storedRecord struct {
	record  *wire.Record  // nil if there is none
	version store.Version // of its object
	changes []string      // change IDs of the latest writes, newest first
}

// coversSince reports whether s lists every write since base, so that a change
// missing from it did not take effect. It does not if it is older than base, or if
// there were more writes since than the change IDs kept with an object.
func (s storedRecord) coversSince(base storedRecord) bool {
	switch {
	case s.record.GetVersion() < base.record.GetVersion():
		return false
	case s.record.GetVersion() == base.record.GetVersion():
		return true
	case len(base.changes) == 0:
		return len(s.changes) < store.MaxChangeIDs
	}
	return slices.Contains(s.changes, base.changes[0])
}

// run reads and writes until the outcome is known or the attempts are used up. An
// attempt whose answer was lost is repeated only against the version that it would
// have replaced, so the write takes effect at most once.
func (w *recordWrite) run(ctx context.Context) (*wire.ApplyResponse, error) {
	for range maxWriteAttempts {
		stored, err := readStored(ctx, w.store, record.KeyOf(w.record))
		if err != nil {
			return nil, w.writeError(err)
		}
		if slices.Contains(stored.changes, w.changeID) {
			return w.appliedResponse(stored), nil
		}
		if w.lostErr != nil && !stored.coversSince(w.base) {
			continue
		}
		if stored.record.GetVersion() != w.base.record.GetVersion() {
			w.lostErr = nil // another write replaced the version that the attempts were based on
		}
		if resp := w.responseWithoutWrite(stored); resp != nil {
			return resp, nil
		}
		object, err := w.put(ctx, stored)
		switch {
		case err == nil:
			written, err := store.DecodeRecord(object)
			return &wire.ApplyResponse{Record: written}, err
		case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrConflict):
			// After a conflict the outcome is unknown too: if the request
			// arrived twice, the first may have succeeded.
			w.lostErr, w.base = err, stored
		default:
			return nil, w.writeError(err)
		}
	}
	if w.lostErr != nil {
		return nil, w.writeError(w.lostErr)
	}
	return nil, connect.NewError(connect.CodeAborted, errors.Errorf("%s: all %d attempts conflicted with other writers; nothing was written", record.KeyOf(w.record), maxWriteAttempts))
}

// appliedResponse returns the response for a write that took effect although its
// answer was lost. If other writes followed, it includes the present record too.
func (w *recordWrite) appliedResponse(stored storedRecord) *wire.ApplyResponse {
	if stored.changes[0] == w.changeID {
		return &wire.ApplyResponse{Record: stored.record}
	}
	return &wire.ApplyResponse{Record: w.record, Present: stored.record}
}

// responseWithoutWrite returns the response if nothing is to be written, because
// the record is unchanged, conflicts or is only checked. Otherwise it returns nil.
func (w *recordWrite) responseWithoutWrite(stored storedRecord) *wire.ApplyResponse {
	if sameContent(stored.record, w.record) {
		return &wire.ApplyResponse{Record: stored.record, Unchanged: true}
	}
	if !w.force && !w.expects(stored.record) {
		return &wire.ApplyResponse{Present: stored.record, Conflict: true}
	}
	if w.checkOnly {
		return &wire.ApplyResponse{Record: w.record, Present: stored.record}
	}
	return nil
}

// expects reports whether r is the version that the operator asked to replace. A
// deleted record counts as none.
func (w *recordWrite) expects(r *wire.Record) bool {
	if w.record.GetVersion() == 0 {
		return r == nil || r.GetDeleted()
	}
	return r.GetVersion() == w.record.GetVersion()
}

// put creates the record or replaces the stored version.
func (w *recordWrite) put(ctx context.Context, stored storedRecord) (store.Object, error) {
	body, err := store.EncodeRecord(w.record, w.changeID, stored.changes)
	if err != nil {
		return store.Object{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	name := store.RecordName(record.KeyOf(w.record))
	if stored.record == nil {
		return w.store.Create(ctx, store.KindRecord, name, body)
	}
	return w.store.Update(ctx, store.KindRecord, name, stored.version, body)
}

// writeError wraps an error of the platform and states whether the write may have
// taken effect.
func (w *recordWrite) writeError(err error) error {
	if w.lostErr != nil {
		return connect.NewError(connect.CodeUnknown, errors.WithMessagef(err, "%s: %s", record.KeyOf(w.record), errOutcomeUnknown))
	}
	return unavailableError(errors.WithMessagef(err, "%s: nothing was written", record.KeyOf(w.record)))
}

// readStored returns what the platform holds under a key.
func readStored(ctx context.Context, from store.Store, k record.Key) (storedRecord, error) {
	object, err := from.Get(ctx, store.KindRecord, store.RecordName(k))
	if errors.Is(err, store.ErrNotFound) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	r, err := store.DecodeRecord(object)
	return storedRecord{record: r, version: object.Version, changes: store.ChangeIDs(object)}, err
}

// sameContent reports whether a exists and has the same schema version and body as
// b, or both are deleted. Record versions and JSON whitespace are ignored.
func sameContent(a, b *wire.Record) bool {
	if a == nil || a.GetDeleted() != b.GetDeleted() {
		return false
	}
	return a.GetDeleted() || (a.GetSchema() == b.GetSchema() && bytes.Equal(compactJSON(a.GetBody()), compactJSON(b.GetBody())))
}

func compactJSON(body []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, body) != nil {
		return body
	}
	return out.Bytes()
}

func unavailableError(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}

// Get implements the Operator service. It returns records as they were written, or
// converted to the schema version in the request.
func (s *Service) Get(ctx context.Context, req *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	records, err := s.readRecords(ctx, record.Key{Kind: req.Msg.GetKind(), Name: req.Msg.GetName()})
	if err != nil {
		return nil, unavailableError(err)
	}
	resp := &wire.GetResponse{}
	var findings record.Findings
	for _, r := range records {
		kind, name := req.Msg.GetKind(), req.Msg.GetName()
		if (kind != 0 && kind != r.GetKind()) || (name != "" && name != r.GetName()) || r.GetDeleted() {
			continue
		}
		if schema := req.Msg.GetSchema(); schema != 0 {
			converted, conversionFindings := record.Convert(r, schema)
			findings = append(findings, conversionFindings...)
			r = converted
		}
		resp.Records = append(resp.Records, r)
	}
	if err := findings.Err(); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(resp), nil
}

// readRecords returns the record of a key, or all records if the key lacks the kind
// or the name.
func (s *Service) readRecords(ctx context.Context, k record.Key) ([]*wire.Record, error) {
	if k.Kind == 0 || k.Name == "" {
		records, _, err := store.ListRecords(ctx, s.config.Store)
		return records, err
	}
	stored, err := readStored(ctx, s.config.Store, k)
	if err != nil || stored.record == nil {
		return nil, err
	}
	return []*wire.Record{stored.record}, nil
}

// Delete implements the Operator service. It replaces the version given in the
// request, or the present version if none is given, by a tombstone.
func (s *Service) Delete(ctx context.Context, req *connect.Request[wire.DeleteRequest]) (*connect.Response[wire.DeleteResponse], error) {
	if err := s.checkWritable(); err != nil {
		return nil, err
	}
	key := record.Key{Kind: req.Msg.GetKind(), Name: req.Msg.GetName()}
	stored, err := readStored(ctx, s.config.Store, key)
	if err != nil {
		return nil, unavailableError(err)
	}
	if stored.record == nil || stored.record.GetDeleted() {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("%s does not exist", key))
	}
	version := req.Msg.GetVersion()
	if version == 0 {
		version = stored.record.GetVersion()
	}
	tombstone := &wire.Record{Kind: key.Kind, Name: key.Name, Schema: stored.record.GetSchema(), Version: version, Deleted: true}
	resp, err := (&recordWrite{store: s.config.Store, record: tombstone, changeID: uuid.NewString()}).run(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.DeleteResponse{Record: resp.GetRecord(), Present: resp.GetPresent(), Conflict: resp.GetConflict()}), nil
}
