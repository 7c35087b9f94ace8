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

// Convert converts a record to another schema version by way of the hub form.
// The conversion is lossless: fields that neither schema defines are kept, and
// a record that the other version cannot express is rejected with findings.
// The version of the record does not change. The output is deterministic: the
// same record always gives the same bytes.
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
	spec := e.encodeSpec(hub)
	if spec == nil {
		e.add("schema", "schema version %d is unknown; versions 1 to %d are known", schema, NewestSchema)
		return nil, e.findings
	}
	body := e.toMap(spec)
	source := &checker{place: e.place, schema: r.GetSchema()}
	source.checkMessage("", newSpec(r.GetKind(), r.GetSchema()).ProtoReflect().Descriptor(), r.GetBody())
	for _, u := range source.unknownFields {
		e.addUnknown(body, spec.ProtoReflect().Descriptor(), u)
	}
	if len(e.findings) > 0 {
		return nil, e.findings
	}
	out.Body = e.marshal(body)
	return out, e.findings
}

// encoder encodes the body of one record and collects its findings.
type encoder struct {
	place    string
	schema   uint32
	findings Findings
}

func (e *encoder) add(field, format string, args ...any) {
	e.findings.Add(e.place, field, fmt.Sprintf(format, args...))
}

// rejectIf adds a finding when a field of the hub form is set that the target
// schema version does not have.
func (e *encoder) rejectIf(set bool, field string) {
	if set {
		e.add(field, "cannot be expressed in schema version %d", e.schema)
	}
}

// encodeSpec encodes the hub form in the target schema version. It returns nil
// for an unknown version.
func (e *encoder) encodeSpec(hub Hub) proto.Message {
	switch {
	case hub.Service != nil && e.schema == 1:
		return e.encodeServiceV1(hub.Service)
	case hub.Service != nil && e.schema == 2:
		return encodeServiceV2(hub.Service)
	case hub.Route != nil && e.schema == 1:
		return e.encodeRouteV1(hub.Route)
	case hub.Route != nil && e.schema == 2:
		return encodeRouteV2(hub.Route)
	case hub.Policy != nil && e.schema == 1:
		return e.encodePolicyV1(hub.Policy)
	case hub.Policy != nil && e.schema == 2:
		return encodePolicyV2(hub.Policy)
	}
	return nil
}

func (e *encoder) encodeServiceV1(s *Service) *wire.ServiceV1 {
	e.rejectIf(s.Mail != "", "contact.mail")
	e.rejectIf(len(s.Domains) > 0, "domains")
	return &wire.ServiceV1{Policy: s.Policy, Owner: s.Owner}
}

func encodeServiceV2(s *Service) *wire.ServiceV2 {
	v := &wire.ServiceV2{Policy: s.Policy, Domains: s.Domains}
	if s.Owner != "" || s.Mail != "" {
		v.Contact = &wire.Contact{Team: s.Owner, Mail: s.Mail}
	}
	return v
}

func (e *encoder) encodeRouteV1(r *Route) *wire.RouteV1 {
	e.rejectIf(len(r.Hosts) > 1, "hosts")
	e.rejectIf(len(r.Methods) > 0, "methods")
	e.rejectIf(len(r.Headers) > 0, "headers")
	e.rejectIf(r.Repeat == RepeatNever, "repeat")
	e.rejectIf(r.Hedge, "hedge")
	v := &wire.RouteV1{
		Prefix: r.Prefix, Service: r.Service, Timeout: e.encodeMilliseconds("timeout", r.Timeout), Idempotent: r.Repeat == RepeatAlways,
	}
	if len(r.Hosts) == 1 {
		v.Host = r.Hosts[0]
	}
	return v
}

// encodeMilliseconds adds a finding when d is not a whole number of milliseconds
// or does not fit 32 bits.
func (e *encoder) encodeMilliseconds(field string, d time.Duration) uint32 {
	n := d / time.Millisecond
	e.rejectIf(n*time.Millisecond != d || int64(n) != int64(uint32(n)), field)
	return uint32(n)
}

func encodeRouteV2(r *Route) *wire.RouteV2 {
	v := &wire.RouteV2{
		Hosts: r.Hosts, Prefix: r.Prefix, Methods: r.Methods, Headers: r.Headers,
		Service: r.Service, Timeout: formatDuration(r.Timeout), Hedge: r.Hedge,
	}
	if r.Repeat != RepeatByMethod {
		v.Repeat = repeatNames[r.Repeat]
	}
	return v
}

func (e *encoder) encodePolicyV1(p *Policy) *wire.PolicyV1 {
	e.rejectIf(p.Queue.MaxWait != 0, "queue.wait")
	e.rejectIf(p.Retry.MaxAttempts != 0, "retry.attempts")
	e.rejectIf(p.Retry.Delay != 0, "retry.after")
	e.rejectIf(p.Hedge != Budget{}, "hedge")
	e.rejectIf(p.Warmup != 0, "warmup")
	e.rejectIf(p.DrainTimeout != 0, "drain")
	e.rejectIf(p.Subset != 0, "subset")
	e.rejectIf(p.Pace != PaceByNode, "pace")
	return &wire.PolicyV1{Slots: uint32(p.Slots), Queue: uint32(p.Queue.MaxLength), Retries: uint32(p.Retry.Percent)}
}

func encodePolicyV2(p *Policy) *wire.PolicyV2 {
	v := &wire.PolicyV2{
		Slots: uint32(p.Slots), Subset: uint32(p.Subset), Retry: encodeBudget(p.Retry), Hedge: encodeBudget(p.Hedge),
		Warmup: formatDuration(p.Warmup), Drain: formatDuration(p.DrainTimeout), Pace: string(p.Pace),
	}
	if p.Queue != (Queue{}) {
		v.Queue = &wire.Queue{Length: uint32(p.Queue.MaxLength), Wait: formatDuration(p.Queue.MaxWait)}
	}
	return v
}

func encodeBudget(b Budget) *wire.Budget {
	if b == (Budget{}) {
		return nil
	}
	return &wire.Budget{Percent: uint32(b.Percent), Attempts: uint32(b.MaxAttempts), After: formatDuration(b.Delay)}
}

// formatDuration returns the empty string for zero, which means unset.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// toMap returns a message as a JSON object of nested maps.
func (e *encoder) toMap(spec proto.Message) map[string]any {
	body := map[string]any{}
	data, err := protojson.Marshal(spec)
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		e.add("spec", "%s", err)
	}
	return body
}

func (e *encoder) marshal(body map[string]any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		e.add("spec", "%s", err)
	}
	return data
}

// addUnknown copies a field that the source schema does not define into the
// body. It adds a finding when the target schema defines a field of that name,
// since the value would gain a meaning, or when the enclosing object does not
// exist in the target schema.
func (e *encoder) addUnknown(body map[string]any, d protoreflect.MessageDescriptor, u unknownField) {
	for _, name := range u.path[:len(u.path)-1] {
		f := fieldOf(d, name)
		if f == nil || f.Kind() != protoreflect.MessageKind || f.IsMap() {
			e.add(strings.Join(u.path, "."), "is unknown and cannot be kept in schema version %d", e.schema)
			return
		}
		inner, ok := body[name].(map[string]any)
		if !ok {
			inner = map[string]any{}
			body[name] = inner
		}
		body, d = inner, f.Message()
	}
	last := u.path[len(u.path)-1]
	if fieldOf(d, last) != nil {
		e.add(strings.Join(u.path, "."), "is unknown, and schema version %d defines a field of that name", e.schema)
		return
	}
	body[last] = u.value
}
