package record

// This file converts records between schema versions.

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"caroblift.dev/wire"
)

// Convert returns a record in another schema version, by way of the hub form.
// Nothing is lost: fields that the schemas do not know are kept, and a record
// that the other version cannot express is refused with findings. The version
// of the record stays. The same record always gives the same bytes.
func Convert(r *wire.Record, schema uint32) (*wire.Record, Findings) {
	out := &wire.Record{
		Kind: r.GetKind(), Name: r.GetName(), Schema: schema, Version: r.GetVersion(), Deleted: r.GetDeleted(), Body: r.GetBody(),
	}
	if r.GetDeleted() || schema == r.GetSchema() {
		return out, CheckKey(KeyOf(r))
	}
	hub, findings := Decode(r)
	if len(findings) > 0 {
		return nil, findings
	}
	e := &encoder{place: KeyOf(r).String(), schema: schema}
	spec := e.spec(hub)
	if spec == nil {
		e.add("schema", "schema version %d is unknown; versions 1 to %d are known", schema, NewestSchema)
		return nil, e.findings
	}
	tree := e.tree(spec)
	source := &checker{place: e.place, schema: r.GetSchema()}
	source.message("", newSpec(r.GetKind(), r.GetSchema()).ProtoReflect().Descriptor(), r.GetBody())
	for _, u := range source.unknown {
		e.keep(tree, spec.ProtoReflect().Descriptor(), u)
	}
	if len(e.findings) > 0 {
		return nil, e.findings
	}
	out.Body = e.marshal(tree)
	return out, e.findings
}

// encoder builds the body of one record.
type encoder struct {
	place    string
	schema   uint32
	findings Findings
}

func (e *encoder) add(field, format string, args ...any) {
	e.findings.Add(e.place, field, fmt.Sprintf(format, args...))
}

// refuse adds a finding when a field of the hub form is set that the schema
// version lacks.
func (e *encoder) refuse(set bool, field string) {
	if set {
		e.add(field, "cannot be expressed in schema version %d", e.schema)
	}
}

// spec returns the hub form as a message, or nil for an unknown version.
func (e *encoder) spec(hub Hub) proto.Message {
	switch {
	case hub.Service != nil && e.schema == 1:
		return e.serviceV1(hub.Service)
	case hub.Service != nil && e.schema == 2:
		return serviceV2(hub.Service)
	case hub.Route != nil && e.schema == 1:
		return e.routeV1(hub.Route)
	case hub.Route != nil && e.schema == 2:
		return routeV2(hub.Route)
	case hub.Policy != nil && e.schema == 1:
		return e.policyV1(hub.Policy)
	case hub.Policy != nil && e.schema == 2:
		return policyV2(hub.Policy)
	}
	return nil
}

func (e *encoder) serviceV1(s *Service) *wire.ServiceV1 {
	e.refuse(s.Mail != "", "contact.mail")
	e.refuse(len(s.Domains) > 0, "domains")
	return &wire.ServiceV1{Policy: s.Policy, Owner: s.Owner}
}

func serviceV2(s *Service) *wire.ServiceV2 {
	v := &wire.ServiceV2{Policy: s.Policy, Domains: s.Domains}
	if s.Owner != "" || s.Mail != "" {
		v.Contact = &wire.Contact{Team: s.Owner, Mail: s.Mail}
	}
	return v
}

func (e *encoder) routeV1(r *Route) *wire.RouteV1 {
	e.refuse(len(r.Hosts) > 1, "hosts")
	e.refuse(len(r.Methods) > 0, "methods")
	e.refuse(len(r.Headers) > 0, "headers")
	e.refuse(r.Repeat == RepeatNever, "repeat")
	e.refuse(r.Hedge, "hedge")
	v := &wire.RouteV1{
		Prefix: r.Prefix, Service: r.Service, Timeout: e.milliseconds("timeout", r.Timeout), Idempotent: r.Repeat == RepeatAlways,
	}
	if len(r.Hosts) == 1 {
		v.Host = r.Hosts[0]
	}
	return v
}

func (e *encoder) milliseconds(field string, d time.Duration) uint32 {
	n := d / time.Millisecond
	e.refuse(n*time.Millisecond != d || int64(n) != int64(uint32(n)), field)
	return uint32(n)
}

func routeV2(r *Route) *wire.RouteV2 {
	v := &wire.RouteV2{
		Hosts: r.Hosts, Prefix: r.Prefix, Methods: r.Methods, Headers: r.Headers,
		Service: r.Service, Timeout: durationText(r.Timeout), Hedge: r.Hedge,
	}
	if r.Repeat != RepeatByMethod {
		v.Repeat = repeatWords[r.Repeat]
	}
	return v
}

func (e *encoder) policyV1(p *Policy) *wire.PolicyV1 {
	e.refuse(p.Queue.Wait != 0, "queue.wait")
	e.refuse(p.Retry.Attempts != 0, "retry.attempts")
	e.refuse(p.Retry.After != 0, "retry.after")
	e.refuse(p.Hedge != Budget{}, "hedge")
	e.refuse(p.Warmup != 0, "warmup")
	e.refuse(p.Drain != 0, "drain")
	e.refuse(p.Subset != 0, "subset")
	return &wire.PolicyV1{Slots: uint32(p.Slots), Queue: uint32(p.Queue.Length), Retries: uint32(p.Retry.Percent)}
}

func policyV2(p *Policy) *wire.PolicyV2 {
	v := &wire.PolicyV2{
		Slots: uint32(p.Slots), Subset: uint32(p.Subset), Retry: budgetMessage(p.Retry), Hedge: budgetMessage(p.Hedge),
		Warmup: durationText(p.Warmup), Drain: durationText(p.Drain),
	}
	if p.Queue != (Queue{}) {
		v.Queue = &wire.Queue{Length: uint32(p.Queue.Length), Wait: durationText(p.Queue.Wait)}
	}
	return v
}

func budgetMessage(b Budget) *wire.Budget {
	if b == (Budget{}) {
		return nil
	}
	return &wire.Budget{Percent: uint32(b.Percent), Attempts: uint32(b.Attempts), After: durationText(b.After)}
}

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// tree returns a message as nested maps.
func (e *encoder) tree(spec proto.Message) map[string]any {
	tree := map[string]any{}
	data, err := protojson.Marshal(spec)
	if err == nil {
		err = json.Unmarshal(data, &tree)
	}
	if err != nil {
		e.add("spec", "%s", err)
	}
	return tree
}

func (e *encoder) marshal(tree map[string]any) []byte {
	data, err := json.Marshal(tree)
	if err != nil {
		e.add("spec", "%s", err)
	}
	return data
}

// keep puts a field that the source schema does not know into the body.
func (e *encoder) keep(tree map[string]any, d protoreflect.MessageDescriptor, u unknown) {
	for _, name := range u.path[:len(u.path)-1] {
		f := fieldOf(d, name)
		if f == nil || f.Kind() != protoreflect.MessageKind || f.IsMap() {
			e.add(strings.Join(u.path, "."), "is unknown and has no place in schema version %d", e.schema)
			return
		}
		inner, ok := tree[name].(map[string]any)
		if !ok {
			inner = map[string]any{}
			tree[name] = inner
		}
		tree, d = inner, f.Message()
	}
	last := u.path[len(u.path)-1]
	if fieldOf(d, last) != nil {
		e.add(strings.Join(u.path, "."), "is unknown, and schema version %d gives it a meaning", e.schema)
		return
	}
	tree[last] = u.value
}
