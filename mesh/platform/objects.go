package platform

// This file names the objects that the system keeps on the platform and
// encodes their bodies.

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// The kinds of the system's objects.
const (
	KindRecord   = "record"
	KindRevision = "revision"
	KindSnapshot = "snapshot"
	KindPointer  = "pointer"
)

// recordBody is the JSON body of a record object.
type recordBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  uint32          `json:"schema"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// RecordName returns the object name of a record.
func RecordName(k record.Key) string { return record.KindWord(k.Kind) + "." + k.Name }

// EncodeRecord returns the body of a record's object.
func EncodeRecord(r *wire.Record) ([]byte, error) {
	body := recordBody{
		Kind: record.KindWord(r.GetKind()), Name: r.GetName(), Schema: r.GetSchema(),
		Deleted: r.GetDeleted(), Spec: r.GetBody(),
	}
	data, err := json.Marshal(body)
	return data, errors.Wrapf(err, "encode %s", record.KeyOf(r))
}

// DecodeRecord returns the record that an object holds.
func DecodeRecord(o Object) (*wire.Record, error) {
	var body recordBody
	if err := json.Unmarshal(o.Body, &body); err != nil {
		return nil, errors.Wrapf(err, "decode object %s/%s", o.Kind, o.Name)
	}
	kind, ok := record.ParseKind(body.Kind)
	if !ok {
		return nil, errors.Errorf("object %s/%s: kind %q is unknown", o.Kind, o.Name, body.Kind)
	}
	r := &wire.Record{
		Kind: kind, Name: body.Name, Schema: body.Schema, Version: o.Version,
		Deleted: body.Deleted, Body: body.Spec,
	}
	if want := RecordName(record.KeyOf(r)); want != o.Name {
		return nil, errors.Errorf("object %s/%s holds %s", o.Kind, o.Name, want)
	}
	return r, nil
}

// RevisionName returns the object name of a revision; names sort by number.
func RevisionName(number uint64) string { return fmt.Sprintf("%016d", number) }

// EncodeRevision returns the body of a revision's object.
func EncodeRevision(r *wire.Revision) ([]byte, error) {
	data, err := protojson.Marshal(r)
	return data, errors.Wrapf(err, "encode revision %d", r.GetNumber())
}

// DecodeRevision returns the revision that an object holds.
func DecodeRevision(o Object) (*wire.Revision, error) {
	var r wire.Revision
	if err := decodeJSON(o, &r); err != nil {
		return nil, err
	}
	if RevisionName(r.GetNumber()) != o.Name {
		return nil, errors.Errorf("object %s/%s holds revision %d", o.Kind, o.Name, r.GetNumber())
	}
	return &r, nil
}

func decodeJSON(o Object, into proto.Message) error {
	err := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(o.Body, into)
	return errors.Wrapf(err, "decode object %s/%s", o.Kind, o.Name)
}

// ListAll returns every object of a kind and the version to watch from.
func ListAll(ctx context.Context, s Store, kind, after string) ([]Object, uint64, error) {
	var all []Object
	var from uint64
	for first := true; ; first = false {
		objs, version, more, err := s.List(ctx, kind, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			from = version
		}
		all = append(all, objs...)
		if !more || len(objs) == 0 {
			return all, from, nil
		}
		after = objs[len(objs)-1].Name
	}
}

// ListRecords returns every record, tombstones included.
func ListRecords(ctx context.Context, s Store) ([]*wire.Record, uint64, error) {
	objs, version, err := ListAll(ctx, s, KindRecord, "")
	if err != nil {
		return nil, 0, err
	}
	var out []*wire.Record
	var bad []string
	for _, o := range objs {
		r, err := DecodeRecord(o)
		if err != nil {
			bad = append(bad, err.Error())
			continue
		}
		out = append(out, r)
	}
	if len(bad) > 0 {
		return out, version, errors.New(strings.Join(bad, "; "))
	}
	return out, version, nil
}
