package operator

// This file writes and reads records on behalf of operators.

import (
	"bytes"
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/platform"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Apply implements the Operator service.
func (s *Service) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	r := req.Msg.GetRecord()
	if _, findings := record.Decode(r); len(findings) > 0 {
		return connect.NewResponse(&wire.ApplyResponse{Findings: findings}), nil
	}
	resp, err := s.apply(ctx, req.Msg)
	return connect.NewResponse(resp), err
}

func (s *Service) apply(ctx context.Context, in *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	present, err := s.present(ctx, record.KeyOf(in.GetRecord()))
	if err != nil {
		return nil, unavailable(err)
	}
	if sameRecord(present, in.GetRecord()) {
		return &wire.ApplyResponse{Record: present, Unchanged: true}, nil
	}
	if !in.GetForce() && present.GetVersion() != in.GetRecord().GetVersion() {
		return &wire.ApplyResponse{Present: present, Conflict: true}, nil
	}
	if in.GetCheck() {
		return &wire.ApplyResponse{Record: in.GetRecord()}, nil
	}
	return s.write(ctx, in.GetRecord(), present.GetVersion())
}

// write puts a record in place of the version given. A lost answer is settled
// by reading back.
func (s *Service) write(ctx context.Context, r *wire.Record, version uint64) (*wire.ApplyResponse, error) {
	body, err := platform.EncodeRecord(r)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	name := platform.RecordName(record.KeyOf(r))
	var o platform.Object
	if version == 0 {
		o, err = s.config.Store.Create(ctx, platform.KindRecord, name, body)
	} else {
		o, err = s.config.Store.Update(ctx, platform.KindRecord, name, version, body)
	}
	if err == nil {
		written, err := platform.DecodeRecord(o)
		return &wire.ApplyResponse{Record: written}, err
	}
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
		return nil, unavailable(err)
	}
	present, readErr := s.present(ctx, record.KeyOf(r))
	if readErr != nil {
		return nil, unavailable(errors.Wrap(err, readErr.Error()))
	}
	if present.GetVersion() > version && sameRecord(present, r) {
		return &wire.ApplyResponse{Record: present}, nil
	}
	return &wire.ApplyResponse{Present: present, Conflict: true}, nil
}

// present returns the record on the platform, or nil.
func (s *Service) present(ctx context.Context, k record.Key) (*wire.Record, error) {
	o, err := s.config.Store.Get(ctx, platform.KindRecord, platform.RecordName(k))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return platform.DecodeRecord(o)
}

func sameRecord(a, b *wire.Record) bool {
	return a != nil && a.GetDeleted() == b.GetDeleted() && a.GetSchema() == b.GetSchema() &&
		bytes.Equal(compact(a.GetBody()), compact(b.GetBody()))
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

// Get implements the Operator service.
func (s *Service) Get(ctx context.Context, req *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	records, _, err := platform.ListRecords(ctx, s.config.Store)
	if err != nil {
		return nil, unavailable(err)
	}
	resp := &wire.GetResponse{}
	for _, r := range records {
		kind, name := req.Msg.GetKind(), req.Msg.GetName()
		if (kind == 0 || kind == r.GetKind()) && (name == "" || name == r.GetName()) && !r.GetDeleted() {
			resp.Records = append(resp.Records, r)
		}
	}
	return connect.NewResponse(resp), nil
}

// Delete implements the Operator service.
func (s *Service) Delete(ctx context.Context, req *connect.Request[wire.DeleteRequest]) (*connect.Response[wire.DeleteResponse], error) {
	key := record.Key{Kind: req.Msg.GetKind(), Name: req.Msg.GetName()}
	present, err := s.present(ctx, key)
	if err != nil {
		return nil, unavailable(err)
	}
	if present == nil || present.GetDeleted() {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("%s does not exist", key))
	}
	if v := req.Msg.GetVersion(); v != 0 && v != present.GetVersion() {
		return connect.NewResponse(&wire.DeleteResponse{Present: present, Conflict: true}), nil
	}
	tombstone := &wire.Record{Kind: key.Kind, Name: key.Name, Schema: present.GetSchema(), Deleted: true}
	resp, err := s.write(ctx, tombstone, present.GetVersion())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.DeleteResponse{Record: resp.GetRecord(), Present: resp.GetPresent(), Conflict: resp.GetConflict()}), nil
}
