package store

// This file defines the names of the objects that the mesh stores on the platform
// and the encoding of their bodies.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/decimal"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Object kinds of the mesh.
const (
	KindRecord   = "record"
	KindRevision = "revision"
	KindSnapshot = "snapshot"
	KindPointer  = "pointer"
)

// MaxChangeIDs bounds the number of change IDs stored in a record's object.
const MaxChangeIDs = 8

// recordBody is the JSON body of a record object. Changes holds the IDs of the
// last writes, newest first, so that a writer that received no response finds its
// own write even if others have written since.
type recordBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  decimal.Whole   `json:"schema"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Changes []string        `json:"changes,omitempty"`
}

// RecordName returns the object name of a record.
func RecordName(k record.Key) string { return record.KindName(k.Kind) + "." + k.Name }

// EncodeRecord returns the body of a record's object for the write with the ID
// change. changes holds the IDs stored in the object that it replaces.
func EncodeRecord(r *wire.Record, change string, changes []string) ([]byte, error) {
	body := recordBody{
		Kind: record.KindName(r.GetKind()), Name: r.GetName(), Schema: decimal.Whole(r.GetSchema()),
		Deleted: r.GetDeleted(), Spec: r.GetBody(), Changes: append([]string{change}, changes...),
	}
	body.Changes = body.Changes[:min(len(body.Changes), MaxChangeIDs)]
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false) // keeps the spec as it was written
	err := enc.Encode(body)
	return out.Bytes(), errors.Wrapf(err, "encode %s", record.KeyOf(r))
}

// DecodeRecord returns the record that an object holds. A body that is not a
// valid record document becomes the spec of a record with schema version 0,
// which fails every check, so the record is held back with a finding. It returns
// an error only if the object's name is not that of a record.
func DecodeRecord(o Object) (*wire.Record, error) {
	word, name, _ := strings.Cut(o.Name, ".")
	kind, ok := record.ParseKind(word)
	if !ok {
		return nil, errors.Errorf("object %s/%s: kind %q is unknown", o.Kind, o.Name, word)
	}
	var body recordBody
	if json.Unmarshal(o.Body, &body) != nil || body.Kind != word || body.Name != name {
		return &wire.Record{Kind: kind, Name: name, Version: o.Version.Revision, Body: o.Body}, nil
	}
	return &wire.Record{
		Kind: kind, Name: name, Schema: uint32(min(body.Schema, math.MaxUint32)), Version: o.Version.Revision, Deleted: body.Deleted, Body: body.Spec,
	}, nil
}

// ChangeIDs returns the IDs of the last writes to a record's object, newest
// first, or nil if the body cannot be decoded.
func ChangeIDs(o Object) []string {
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

// advance sets where the next page of a list begins to the last name of a page. It returns
// false if that is not behind the page, which would then be read again and again.
func advance(after *string, page []Object) bool {
	if len(page) == 0 || page[len(page)-1].Name <= *after {
		return false
	}
	*after = page[len(page)-1].Name
	return true
}

// ListAll returns every object of a kind after a name, and the version to watch
// from, which is that of the first page.
func ListAll(ctx context.Context, s Store, kind, after string) ([]Object, Version, error) {
	var all []Object
	var from Version
	for first := true; ; first = false {
		objs, version, more, err := s.List(ctx, kind, after)
		if err != nil {
			return nil, Version{}, err
		}
		if first {
			from = version
		}
		all = append(all, objs...)
		if !more || !advance(&after, objs) {
			return all, from, nil
		}
	}
}

// ListRecords returns every record, tombstones included, and the version to
// watch from. Objects whose names are not those of records are skipped.
func ListRecords(ctx context.Context, s Store) ([]*wire.Record, Version, error) {
	objs, version, err := ListAll(ctx, s, KindRecord, "")
	if err != nil {
		return nil, Version{}, err
	}
	out := make([]*wire.Record, 0, len(objs))
	for _, o := range objs {
		if r, err := DecodeRecord(o); err == nil {
			out = append(out, r)
		}
	}
	return out, version, nil
}
