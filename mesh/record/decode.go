package record

// This file converts each schema version to the hub form.

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// decoder decodes one record and collects its findings.
type decoder struct {
	place    string
	findings Findings
}

// Decode converts a record to its hub form, which is valid only when there are
// no findings. It rejects only what cannot be decoded and leaves the rules of
// the schema to [Check], because a record that an older node accepted must stay
// readable when the rules become stricter.
func Decode(r *wire.Record) (Hub, Findings) {
	d := &decoder{place: KeyOf(r).String(), findings: CheckKey(KeyOf(r))}
	spec := newSpec(r.GetKind(), r.GetSchema())
	if spec == nil {
		d.addUnknownSchema(r)
		return Hub{}, d.findings
	}
	opts := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := opts.Unmarshal(r.GetBody(), spec); err != nil {
		d.add("spec", "%s", err)
		return Hub{}, d.findings
	}
	hub := d.decodeSpec(r.GetName(), spec)
	if hub.Route != nil && hub.Route.Service == "" {
		d.add("service", "must not be empty")
	}
	return hub, d.findings
}

func (d *decoder) add(field, format string, args ...any) {
	d.findings.Add(d.place, field, fmt.Sprintf(format, args...))
}

func (d *decoder) addUnknownSchema(r *wire.Record) {
	if _, ok := kindNames[r.GetKind()]; !ok {
		return // reported by CheckKey
	}
	d.add("schema", "schema version %d of a %s is unknown; versions 1 to %d are known",
		r.GetSchema(), KindName(r.GetKind()), NewestSchema)
}

// decodeSpec converts a spec of any schema version to the hub form.
func (d *decoder) decodeSpec(name string, spec proto.Message) Hub {
	switch v := spec.(type) {
	case *wire.ServiceV1:
		return Hub{Service: &Service{Name: name, Policy: v.GetPolicy(), Owner: v.GetOwner()}}
	case *wire.ServiceV2:
		return Hub{Service: &Service{
			Name: name, Policy: v.GetPolicy(), Owner: v.GetContact().GetTeam(), Mail: v.GetContact().GetMail(), Domains: v.GetDomains(),
		}}
	case *wire.RouteV1:
		return Hub{Route: decodeRouteV1(name, v)}
	case *wire.RouteV2:
		return Hub{Route: d.decodeRouteV2(name, v)}
	case *wire.PolicyV1:
		return Hub{Policy: &Policy{
			Name: name, Slots: int(v.GetSlots()), Queue: Queue{MaxLength: int(v.GetQueue())}, Retry: Budget{Percent: int(v.GetRetries())},
		}}
	case *wire.PolicyV2:
		return Hub{Policy: d.decodePolicyV2(name, v)}
	}
	return Hub{}
}

func decodeRouteV1(name string, v *wire.RouteV1) *Route {
	r := &Route{
		Name: name, Prefix: v.GetPrefix(), Service: v.GetService(), Timeout: time.Duration(v.GetTimeout()) * time.Millisecond,
	}
	if v.GetHost() != "" {
		r.Hosts = []string{v.GetHost()}
	}
	if v.GetIdempotent() {
		r.Repeat = RepeatAlways
	}
	return r
}

func (d *decoder) decodeRouteV2(name string, v *wire.RouteV2) *Route {
	return &Route{
		Name: name, Hosts: v.GetHosts(), Prefix: v.GetPrefix(), Methods: v.GetMethods(), Headers: v.GetHeaders(),
		Service: v.GetService(), Timeout: d.parseDuration("timeout", v.GetTimeout()), Repeat: d.parseRepeat(v.GetRepeat()), Hedge: v.GetHedge(),
	}
}

func (d *decoder) decodePolicyV2(name string, v *wire.PolicyV2) *Policy {
	return &Policy{
		Name: name, Slots: int(v.GetSlots()), Subset: int(v.GetSubset()),
		Queue: Queue{MaxLength: int(v.GetQueue().GetLength()), MaxWait: d.parseDuration("queue.wait", v.GetQueue().GetWait())},
		Retry: d.decodeBudget("retry", v.GetRetry()), Hedge: d.decodeBudget("hedge", v.GetHedge()),
		Warmup: d.parseDuration("warmup", v.GetWarmup()), DrainTimeout: d.parseDuration("drain", v.GetDrain()),
		Pace: Pace(v.GetPace()),
	}
}

func (d *decoder) decodeBudget(field string, b *wire.Budget) Budget {
	return Budget{
		Percent: int(b.GetPercent()), MaxAttempts: int(b.GetAttempts()), Delay: d.parseDuration(field+".after", b.GetAfter()),
	}
}

func (d *decoder) parseDuration(field, text string) time.Duration {
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.add(field, "%q is not a duration such as \"250ms\"", text)
	}
	return v
}

// repeatNames maps the values of Repeat to their names in a record.
var repeatNames = map[Repeat]string{RepeatByMethod: "method", RepeatAlways: "always", RepeatNever: "never"}

func (d *decoder) parseRepeat(name string) Repeat {
	if name == "" {
		return RepeatByMethod
	}
	for r, n := range repeatNames {
		if n == name {
			return r
		}
	}
	d.add("repeat", "%q is none of method, always, never", name)
	return RepeatByMethod
}
