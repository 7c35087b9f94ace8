package record_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Fixes the seed and the number of cases; command-line flags override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

func newRecord(kind wire.Kind, schema uint32, body string) *wire.Record {
	return &wire.Record{Kind: kind, Name: "quotes", Schema: schema, Version: 7, Body: []byte(body)}
}

// TestCheck verifies that Check reports every error of a record with the path of
// its field, and warns of unknown fields.
func TestCheck(t *testing.T) {
	service, route, policy := wire.Kind_KIND_SERVICE, wire.Kind_KIND_ROUTE, wire.Kind_KIND_POLICY
	for name, c := range map[string]struct {
		record   *wire.Record
		findings []string
		warnings []string
	}{
		"clean":          {newRecord(route, 2, `{"hosts":["a.example","B.example"],"prefix":"/a/b/","methods":["GET"],"headers":{"X-Kind":"1"},"service":"s","timeout":"1.5s","repeat":"never","hedge":true}`), nil, nil},
		"null is absent": {newRecord(service, 2, `{"policy":null,"contact":null}`), nil, nil},
		"everything wrong": {
			newRecord(route, 2, `{"hosts":["a.example","A.example","a:80",7,""],"prefix":"a/..","methods":["get"],"headers":{"a b":"1","X":"\u0000","x":2},"timeout":"-1s","repeat":"twice","hedge":"yes"}`),
			[]string{
				`route/quotes: headers["X"]: "\x00" is not a header value`,
				`route/quotes: headers["a b"]: "a b" is not a header name`,
				`route/quotes: headers["x"]: is not a string`,
				`route/quotes: headers["x"]: occurs twice; names are case-insensitive`,
				`route/quotes: hedge: is neither true nor false`,
				`route/quotes: hosts[1]: "A.example" occurs twice`,
				`route/quotes: hosts[2]: "a:80" is not a host name without port`,
				`route/quotes: hosts[3]: is not a string`,
				`route/quotes: hosts[4]: must not be empty`,
				`route/quotes: methods[0]: "get" is not an HTTP method in capital letters`,
				`route/quotes: prefix: "a/.." does not start with a slash`,
				`route/quotes: repeat: "twice" is none of method, always, never`,
				`route/quotes: timeout: "-1s" is outside 0 to 10m0s`,
				`route/quotes: service: must not be empty`,
			},
			nil,
		},
		"bounds": {
			newRecord(policy, 2, `{"slots":100001,"queue":{"length":-1,"wait":"11m"},"retry":{"percent":101,"attempts":1.5},"subset":"3","warmup":"x"}`),
			[]string{
				`policy/quotes: queue.length: -1 is outside 0 to 100000`,
				`policy/quotes: queue.wait: "11m" is outside 0 to 10m0s`,
				`policy/quotes: retry.attempts: 1.5 is not a whole number`,
				`policy/quotes: retry.percent: 101 is outside 0 to 100`,
				`policy/quotes: slots: 100001 is outside 0 to 100000`,
				`policy/quotes: subset: "3" is not a whole number`,
				`policy/quotes: warmup: "x" is not a duration such as "250ms"`,
			},
			nil,
		},
		"unknown fields": {
			newRecord(service, 2, `{"contact":{"phone":"1"},"later":{"a":[1]}}`), nil,
			[]string{
				`service/quotes: contact.phone: is unknown in schema version 2; it is kept and has no effect`,
				`service/quotes: later: is unknown in schema version 2; it is kept and has no effect`,
			},
		},
		"no object":      {newRecord(service, 1, `[]`), []string{`service/quotes: spec: is not a JSON object`}, nil},
		"no JSON":        {newRecord(service, 1, `{`), []string{`service/quotes: spec: is not a JSON object`}, nil},
		"unknown schema": {newRecord(service, 3, `{}`), []string{`service/quotes: schema: schema version 3 of a service is unknown; versions 1 to 2 are known`}, nil},
		"bad key": {
			&wire.Record{Kind: 9, Name: "A b", Schema: 1, Body: []byte(`{}`)},
			[]string{`unknown/A b: kind: kind 9 is unknown`, `unknown/A b: name: "A b" holds characters other than a-z, 0-9 and -`},
			nil,
		},
		"relative prefix": {newRecord(route, 1, `{"prefix":"/a//b","service":"s","host":"-a"}`), []string{
			`route/quotes: host: "-a" is not a host name without port`, `route/quotes: prefix: "/a//b" has an empty or relative segment`,
		}, nil},
		"tombstone": {&wire.Record{Kind: route, Name: "a", Deleted: true}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			findings, warnings := record.Check(c.record)
			require.Equal(t, c.findings, lines(findings))
			require.Equal(t, c.warnings, lines(warnings))
		})
	}
}

func lines(f record.Findings) []string {
	var out []string
	for _, finding := range f {
		out = append(out, record.FormatFinding(finding))
	}
	return out
}

// TestCheckTwice guards against accepting a JSON key that occurs twice.
// The rules do not see it because encoding/json keeps only the last value.
func TestCheckTwice(t *testing.T) {
	findings, _ := record.Check(newRecord(wire.Kind_KIND_SERVICE, 1, `{"owner":"a","owner":"b"}`))
	require.Len(t, findings, 1)
	require.Equal(t, "spec", findings[0].GetField())
}

// drawBody draws a record body of a kind and schema version, often with fields
// that the schema does not define.
func drawBody(t *rapid.T, kind wire.Kind, schema uint32) string {
	text := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	number := func(label string) int { return rapid.SampledFrom([]int{0, 1, 7, 100}).Draw(t, label) }
	drawBool := rapid.Bool().Draw
	duration := func(label string) string { return text(label, "", "0s", "250ms", "1500us", "2s") }
	body := map[string]any{}
	switch {
	case kind == wire.Kind_KIND_SERVICE && schema == 1:
		body["policy"], body["owner"] = text("policy", "", "p"), text("owner", "", "quoting")
	case kind == wire.Kind_KIND_SERVICE:
		contact := map[string]any{"team": text("team", "", "quoting"), "mail": text("mail", "", "a@b.example")}
		body["policy"], body["contact"] = text("policy", "", "p"), contact
		if drawBool(t, "domains") {
			body["domains"] = []string{"kadikoy", "uskudar"}
		}
		if drawBool(t, "phone") {
			contact["phone"] = text("number", "1", "2")
		}
	case kind == wire.Kind_KIND_ROUTE && schema == 1:
		body["host"], body["prefix"], body["service"] = text("host", "", "a.example"), text("prefix", "/", "/a"), "s"
		body["timeout"], body["idempotent"] = number("timeout"), drawBool(t, "idempotent")
	case kind == wire.Kind_KIND_ROUTE:
		body["prefix"], body["service"], body["timeout"] = "/a", "s", duration("timeout")
		body["repeat"], body["hedge"] = text("repeat", "", "method", "always", "never"), drawBool(t, "hedge")
		body["hosts"] = []string{"a.example", "b.example"}[:rapid.IntRange(0, 2).Draw(t, "hosts")]
		if drawBool(t, "headers") {
			body["headers"] = map[string]string{"X-Kind": "<1>"}
		}
	case schema == 1:
		body["slots"], body["queue"], body["retries"] = number("slots"), number("queue"), number("retries")
	default:
		body["slots"], body["subset"], body["warmup"] = number("slots"), number("subset"), duration("warmup")
		body["queue"] = map[string]any{"length": number("length"), "wait": duration("wait")}
		body["retry"] = map[string]any{"percent": number("percent"), "attempts": number("attempts") % 10}
	}
	if name := text("unknown", "", "later", "queue", "hosts", "host", "contact"); name != "" && body[name] == nil {
		body[name] = json.RawMessage(`{"deep":[1,1.50,"<x>"]}`)
	}
	data, err := json.Marshal(body)
	require.NoError(t, err)
	return string(data)
}

// TestConvertLosesNothing converts records to the other schema version and back.
// A conversion must either be rejected with findings or keep the hub form and
// every unknown field in both directions.
func TestConvertLosesNothing(t *testing.T) {
	refused, converted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		schema := uint32(rapid.IntRange(1, 2).Draw(t, "schema"))
		r := newRecord(wire.Kind(rapid.IntRange(1, 3).Draw(t, "kind")), schema, "")
		r.Body = []byte(drawBody(t, r.GetKind(), schema))
		hub, findings := record.Decode(r)
		if len(findings) > 0 {
			return
		}
		other, findings := record.Convert(r, 3-schema)
		if len(findings) > 0 {
			refused++
			return
		}
		converted++
		require.Equal(t, uint64(7), other.GetVersion())
		otherHub, findings := record.Decode(other)
		require.Empty(t, findings)
		require.Equal(t, formatHub(hub), formatHub(otherHub))
		back, findings := record.Convert(other, schema)
		require.Empty(t, findings, "the conversion back must not be rejected: %s", other.GetBody())
		backHub, findings := record.Decode(back)
		require.Empty(t, findings)
		require.Equal(t, formatHub(hub), formatHub(backHub))
		_, first := record.Check(r)
		_, last := record.Check(back)
		require.Equal(t, lines(first), lines(last), "unknown fields survive")
		for _, name := range []string{"later", "contact", "hosts", "host", "queue"} {
			require.Equal(t, unknownValue(t, r, name, first), unknownValue(t, back, name, first))
		}
		again, _ := record.Convert(r, 3-schema)
		require.Equal(t, string(other.GetBody()), string(again.GetBody()), "the same record gives the same bytes")
	})
	require.Greater(t, converted, 100)
	require.Greater(t, refused, 100)
}

// unknownValue returns the value of a top-level field that warnings name as
// unknown, or nil.
func unknownValue(t require.TestingT, r *wire.Record, name string, warnings record.Findings) any {
	for _, w := range warnings {
		if w.GetField() == name {
			var body map[string]any
			require.NoError(t, json.Unmarshal(r.GetBody(), &body))
			require.Contains(t, body, name)
			return body[name]
		}
	}
	return nil
}

// formatHub formats a hub form so that nil and empty lists compare equal.
func formatHub(h record.Hub) string {
	switch {
	case h.Service != nil:
		return fmt.Sprintf("%+v", *h.Service)
	case h.Route != nil:
		return fmt.Sprintf("%+v", *h.Route)
	}
	return fmt.Sprintf("%+v", *h.Policy)
}

// TestConvertRefuses verifies which fields the findings name when a record
// cannot be converted.
func TestConvertRefuses(t *testing.T) {
	route, service := wire.Kind_KIND_ROUTE, wire.Kind_KIND_SERVICE
	for name, c := range map[string]struct {
		record *wire.Record
		schema uint32
		want   []string
	}{
		"route":         {newRecord(route, 2, `{"prefix":"/","service":"s","hosts":["a","b"],"timeout":"1500us","hedge":true}`), 1, []string{"hosts", "hedge", "timeout"}},
		"nested":        {newRecord(service, 2, `{"contact":{"phone":"1"}}`), 1, []string{"contact.phone"}},
		"gains meaning": {newRecord(route, 1, `{"prefix":"/","service":"s","hedge":"?"}`), 2, []string{"hedge"}},
		"no such":       {newRecord(service, 1, `{}`), 3, []string{"schema"}},
		"invalid":       {newRecord(service, 1, `{"owner":1}`), 2, []string{"spec"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, findings := record.Convert(c.record, c.schema)
			var fields []string
			for _, f := range findings {
				fields = append(fields, f.GetField())
			}
			require.Equal(t, c.want, fields)
		})
	}
}

// FuzzRecord validates and converts arbitrary specs. A record that passes Check
// must decode, and converting it must keep its hub form.
func FuzzRecord(f *testing.F) {
	f.Add(uint32(1), uint32(2), `{"policy":"a","contact":{"team":"x","phone":1}}`)
	f.Add(uint32(2), uint32(2), `{"hosts":["a"],"prefix":"/a","service":"b","timeout":"1s","headers":{"a":"b"}}`)
	f.Add(uint32(2), uint32(1), `{"host":"a","prefix":"/a","service":"b","timeout":1e2,"x":[{"y":null}]}`)
	f.Add(uint32(3), uint32(2), `{"slots":4294967296,"queue":{"length":1,"wait":"1h"}}`)
	f.Fuzz(func(t *testing.T, kind, schema uint32, body string) {
		r := newRecord(wire.Kind(kind), schema, body)
		if findings, _ := record.Check(r); len(findings) > 0 {
			return
		}
		hub, findings := record.Decode(r)
		require.Empty(t, findings)
		other, findings := record.Convert(r, 3-schema)
		if len(findings) > 0 {
			return
		}
		otherHub, findings := record.Decode(other)
		require.Empty(t, findings)
		require.Equal(t, formatHub(hub), formatHub(otherHub))
	})
}

// TestNumbersBySpelling guards against a record that is refused, or read in another way, for the way its numbers are spelled.
func TestNumbersBySpelling(t *testing.T) {
	decode := func(slots string) (record.Hub, record.Findings) {
		r := &wire.Record{Kind: wire.Kind_KIND_POLICY, Name: "p", Schema: 2, Body: []byte(`{"slots": ` + slots + `}`)}
		if findings, _ := record.Check(r); len(findings) > 0 {
			return record.Hub{}, findings
		}
		return record.Decode(r)
	}
	for _, spelling := range []string{"6", "6.0", "6e0", "0.6e1", "60e-1"} {
		hub, findings := decode(spelling)
		require.Empty(t, findings, spelling)
		require.Equal(t, 6, hub.Policy.Slots, spelling)
	}
	for spelling, reason := range map[string]string{
		"6.5": "6.5 is not a whole number", "-6": "-6 is outside 0 to", "1e999999999": "1e999999999 is outside 0 to", `"6"`: `"6" is not a whole number`, "true": "true is not a whole number",
	} {
		_, findings := decode(spelling)
		require.ErrorContains(t, findings, reason)
	}
}
