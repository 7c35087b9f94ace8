package record

// This file defines the kinds, keys and schema versions of records.

import (
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// NewestSchema is the newest schema version that this node supports, for every
// kind.
const NewestSchema = 2

// Key identifies a record.
type Key struct {
	Kind wire.Kind
	Name string
}

// String returns the key as "kind/name".
func (k Key) String() string { return KindName(k.Kind) + "/" + k.Name }

// KeyOf returns the key of a record.
func KeyOf(r *wire.Record) Key { return Key{Kind: r.GetKind(), Name: r.GetName()} }

var kindNames = map[wire.Kind]string{
	wire.Kind_KIND_SERVICE: "service",
	wire.Kind_KIND_ROUTE:   "route",
	wire.Kind_KIND_POLICY:  "policy",
}

// KindName returns the name that operators use for a kind, or "unknown".
func KindName(k wire.Kind) string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return "unknown"
}

// ParseKind returns the kind with the given name, and false when there is none.
func ParseKind(name string) (wire.Kind, bool) {
	for k, n := range kindNames {
		if n == name {
			return k, true
		}
	}
	return wire.Kind_KIND_UNSPECIFIED, false
}

// newSpec returns an empty message of a kind and schema version, or nil when
// the kind or the version is unknown.
func newSpec(kind wire.Kind, schema uint32) proto.Message {
	type version struct {
		kind   wire.Kind
		schema uint32
	}
	switch (version{kind, schema}) {
	case version{wire.Kind_KIND_SERVICE, 1}:
		return &wire.ServiceV1{}
	case version{wire.Kind_KIND_SERVICE, 2}:
		return &wire.ServiceV2{}
	case version{wire.Kind_KIND_ROUTE, 1}:
		return &wire.RouteV1{}
	case version{wire.Kind_KIND_ROUTE, 2}:
		return &wire.RouteV2{}
	case version{wire.Kind_KIND_POLICY, 1}:
		return &wire.PolicyV1{}
	case version{wire.Kind_KIND_POLICY, 2}:
		return &wire.PolicyV2{}
	}
	return nil
}
