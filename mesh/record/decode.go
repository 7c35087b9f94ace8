package record

// This file converts each schema version to the hub form and checks it.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// NewestSchema is the newest schema version that this node reads.
const NewestSchema = 2

var kindWords = map[wire.Kind]string{
	wire.Kind_KIND_SERVICE: "service",
	wire.Kind_KIND_ROUTE:   "route",
	wire.Kind_KIND_POLICY:  "policy",
}

// KindWord returns the word that operators use for a kind.
func KindWord(k wire.Kind) string {
	if w, ok := kindWords[k]; ok {
		return w
	}
	return "unknown"
}

// ParseKind returns the kind that a word names.
func ParseKind(word string) (wire.Kind, bool) {
	for k, w := range kindWords {
		if w == word {
			return k, true
		}
	}
	return wire.Kind_KIND_UNSPECIFIED, false
}

// String formats a key as kind/name.
func (k Key) String() string { return KindWord(k.Kind) + "/" + k.Name }

// KeyOf returns the key of a record.
func KeyOf(r *wire.Record) Key { return Key{Kind: r.GetKind(), Name: r.GetName()} }

// decoder collects the findings of one record.
type decoder struct {
	place    string
	findings Findings
}

// Decode checks a record and converts it to its hub form. The hub form is
// usable only when there are no findings.
func Decode(r *wire.Record) (Hub, Findings) {
	d := &decoder{place: KeyOf(r).String()}
	d.name(r.GetName())
	hub := d.decode(r)
	return hub, d.findings
}

func (d *decoder) add(field, format string, args ...any) {
	d.findings.Add(d.place, field, fmt.Sprintf(format, args...))
}

func (d *decoder) name(name string) {
	if name == "" {
		d.add("name", "must not be empty")
		return
	}
	if strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		d.add("name", "%q holds characters other than a-z, 0-9 and -", name)
	}
}

func (d *decoder) decode(r *wire.Record) Hub {
	switch r.GetKind() {
	case wire.Kind_KIND_SERVICE:
		return Hub{Service: d.service(r)}
	case wire.Kind_KIND_ROUTE:
		return Hub{Route: d.route(r)}
	case wire.Kind_KIND_POLICY:
		return Hub{Policy: d.policy(r)}
	}
	d.add("kind", "kind %d is unknown", r.GetKind())
	return Hub{}
}

// parse reads the body into a schema message; unknown fields are kept in the
// record and ignored here.
func (d *decoder) parse(r *wire.Record, into proto.Message) {
	if !json.Valid(r.GetBody()) {
		d.add("spec", "is not valid JSON")
		return
	}
	opts := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := opts.Unmarshal(r.GetBody(), into); err != nil {
		d.add("spec", "%s", err)
	}
}

func (d *decoder) schema(r *wire.Record) {
	d.add("schema", "schema version %d of a %s is unknown; versions 1 to %d are known",
		r.GetSchema(), KindWord(r.GetKind()), NewestSchema)
}

func (d *decoder) service(r *wire.Record) *Service {
	s := &Service{Name: r.GetName()}
	switch r.GetSchema() {
	case 1:
		var v wire.ServiceV1
		d.parse(r, &v)
		s.Policy, s.Owner = v.GetPolicy(), v.GetOwner()
	case 2:
		var v wire.ServiceV2
		d.parse(r, &v)
		s.Policy, s.Owner, s.Mail = v.GetPolicy(), v.GetContact().GetTeam(), v.GetContact().GetMail()
		s.Domains = v.GetDomains()
	default:
		d.schema(r)
	}
	return s
}

func (d *decoder) route(r *wire.Record) *Route {
	rt := &Route{Name: r.GetName()}
	switch r.GetSchema() {
	case 1:
		var v wire.RouteV1
		d.parse(r, &v)
		if v.GetHost() != "" {
			rt.Hosts = []string{v.GetHost()}
		}
		rt.Prefix, rt.Service = v.GetPrefix(), v.GetService()
		rt.Timeout = time.Duration(v.GetTimeout()) * time.Millisecond
		if v.GetIdempotent() {
			rt.Repeat = RepeatAlways
		}
	case 2:
		var v wire.RouteV2
		d.parse(r, &v)
		rt.Hosts, rt.Prefix, rt.Methods, rt.Headers = v.GetHosts(), v.GetPrefix(), v.GetMethods(), v.GetHeaders()
		rt.Service, rt.Hedge = v.GetService(), v.GetHedge()
		rt.Timeout = d.duration("timeout", v.GetTimeout())
		rt.Repeat = d.repeat(v.GetRepeat())
	default:
		d.schema(r)
		return rt
	}
	d.checkRoute(rt)
	return rt
}

func (d *decoder) checkRoute(rt *Route) {
	if rt.Service == "" {
		d.add("service", "must not be empty")
	}
	if !strings.HasPrefix(rt.Prefix, "/") {
		d.add("prefix", "%q does not start with a slash", rt.Prefix)
	}
	for i, m := range rt.Methods {
		if m == "" || m != strings.ToUpper(m) {
			d.add(fmt.Sprintf("methods[%d]", i), "%q is not a method in capitals", m)
		}
	}
	for name := range rt.Headers {
		if http.CanonicalHeaderKey(name) == "" {
			d.add("headers", "a header name is empty")
		}
	}
}

func (d *decoder) duration(field, text string) time.Duration {
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.add(field, "%q is not a duration such as \"250ms\"", text)
		return 0
	}
	if v < 0 {
		d.add(field, "%q is negative", text)
	}
	return v
}

func (d *decoder) repeat(word string) Repeat {
	switch word {
	case "", "method":
		return RepeatByMethod
	case "always":
		return RepeatAlways
	case "never":
		return RepeatNever
	}
	d.add("repeat", "%q is none of method, always, never", word)
	return RepeatByMethod
}

func (d *decoder) policy(r *wire.Record) *Policy {
	p := &Policy{Name: r.GetName()}
	switch r.GetSchema() {
	case 1:
		var v wire.PolicyV1
		d.parse(r, &v)
		p.Slots, p.Queue.Length = int(v.GetSlots()), int(v.GetQueue())
		p.Retry.Percent = int(v.GetRetries())
	case 2:
		var v wire.PolicyV2
		d.parse(r, &v)
		p.Slots, p.Subset = int(v.GetSlots()), int(v.GetSubset())
		p.Queue = Queue{Length: int(v.GetQueue().GetLength()), Wait: d.duration("queue.wait", v.GetQueue().GetWait())}
		p.Retry = d.budget("retry", v.GetRetry())
		p.Hedge = d.budget("hedge", v.GetHedge())
		p.Warmup, p.Drain = d.duration("warmup", v.GetWarmup()), d.duration("drain", v.GetDrain())
	default:
		d.schema(r)
	}
	return p
}

func (d *decoder) budget(field string, b *wire.Budget) Budget {
	if b.GetPercent() > 100 {
		d.add(field+".percent", "%d is over 100", b.GetPercent())
	}
	return Budget{
		Percent: int(b.GetPercent()), Attempts: int(b.GetAttempts()),
		After: d.duration(field+".after", b.GetAfter()),
	}
}
