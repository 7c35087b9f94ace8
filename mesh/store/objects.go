package store

// This file names the objects that the system keeps on the platform and
// encodes their bodies.

import (
	"bytes"
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

// MaxChanges bounds the change IDs that a record's object remembers.
const MaxChanges = 8

// recordBody is the JSON body of a record object. Changes holds the IDs of the
// last writes, the newest first, so that a writer whose answer was lost finds
// its own write also under those of others.
type recordBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  uint32          `json:"schema"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Changes []string        `json:"changes,omitempty"`
}

// RecordName returns the object name of a record.
func RecordName(k record.Key) string { return record.KindWord(k.Kind) + "." + k.Name }

// EncodeRecord returns the body of a record's object for one write. The
// changes are those of the object that it replaces.
func EncodeRecord(r *wire.Record, change string, changes []string) ([]byte, error) {
	body := recordBody{
		Kind: record.KindWord(r.GetKind()), Name: r.GetName(), Schema: r.GetSchema(),
		Deleted: r.GetDeleted(), Spec: r.GetBody(), Changes: append([]string{change}, changes...),
	}
	body.Changes = body.Changes[:min(len(body.Changes), MaxChanges)]
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false) // the spec stays as it was written
	err := enc.Encode(body)
	return out.Bytes(), errors.Wrapf(err, "encode %s", record.KeyOf(r))
}

// DecodeRecord returns the record that an object holds. A body that is no
// record document becomes the record's spec with schema version 0, which no
// check passes, so that it waits with a finding. Only an object whose name
// names no record is an error.
func DecodeRecord(o Object) (*wire.Record, error) {
	word, name, _ := strings.Cut(o.Name, ".")
	kind, ok := record.ParseKind(word)
	if !ok {
		return nil, errors.Errorf("object %s/%s: kind %q is unknown", o.Kind, o.Name, word)
	}
	var body recordBody
	if json.Unmarshal(o.Body, &body) != nil || body.Kind != word || body.Name != name {
		return &wire.Record{Kind: kind, Name: name, Version: o.Version, Body: o.Body}, nil
	}
	return &wire.Record{
		Kind: kind, Name: name, Schema: body.Schema, Version: o.Version, Deleted: body.Deleted, Body: body.Spec,
	}, nil
}

// Changes returns the IDs of the last writes of a record's object, the newest
// first.
func Changes(o Object) []string {
	var body recordBody
	if json.Unmarshal(o.Body, &body) != nil {
		return nil
	}
	return body.Changes
}

// RevisionName returns the object name of a revision; names sort by number.
func RevisionName(number uint64) string { return fmt.Sprintf("%020d", number) }

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

// ListAll returns every object of a kind after a name, and the version to
// watch from.
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

// ListRecords returns every record, tombstones included, and the version to
// watch from. Objects that name no record are left out.
func ListRecords(ctx context.Context, s Store) ([]*wire.Record, uint64, error) {
	objs, version, err := ListAll(ctx, s, KindRecord, "")
	if err != nil {
		return nil, 0, err
	}
	out := make([]*wire.Record, 0, len(objs))
	for _, o := range objs {
		if r, err := DecodeRecord(o); err == nil {
			out = append(out, r)
		}
	}
	return out, version, nil
}
