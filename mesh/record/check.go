package record

// This file checks a record against the rules of its schema.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"caroblift.dev/wire"
)

// Bounds of a record.
const (
	maxName = 100     // bytes
	maxSpec = 1 << 16 // bytes
)

// Check checks a record against every rule of its schema and collects all
// mistakes. Warnings name fields that the schema does not know; they are kept
// in the record and have no effect.
func Check(r *wire.Record) (findings, warnings Findings) {
	c := &checker{place: KeyOf(r).String(), schema: r.GetSchema()}
	c.findings = CheckKey(KeyOf(r))
	if r.GetDeleted() {
		return c.findings, nil
	}
	if n := len(r.GetBody()); n > maxSpec {
		c.add("spec", "has %d bytes; %d are allowed", n, maxSpec)
		return c.findings, nil
	}
	if spec := newSpec(r.GetKind(), r.GetSchema()); spec != nil {
		c.message("", spec.ProtoReflect().Descriptor(), r.GetBody())
	}
	if len(c.findings) == 0 {
		// What is left are mistakes that no rule names, such as a key that
		// occurs twice.
		_, c.findings = Decode(r)
	}
	return c.findings, c.warnings
}

// CheckKey checks the kind and the name of a record.
func CheckKey(k Key) Findings {
	c := &checker{place: k.String()}
	if _, ok := kindWords[k.Kind]; !ok {
		c.add("kind", "kind %d is unknown", k.Kind)
	}
	if k.Name == "" {
		c.add("name", "must not be empty")
	} else if err := checkName(k.Name); err != nil {
		c.add("name", "%s", err)
	}
	return c.findings
}

// checker collects the findings of one record.
type checker struct {
	place    string
	schema   uint32
	findings Findings
	warnings Findings
	unknown  []unknown
}

// unknown is a field that a schema does not know.
type unknown struct {
	path  []string
	value json.RawMessage
}

func (c *checker) add(field, format string, args ...any) {
	c.findings.Add(c.place, field, fmt.Sprintf(format, args...))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// message checks a JSON object against a message.
func (c *checker) message(path string, d protoreflect.MessageDescriptor, data json.RawMessage) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil || members == nil {
		c.add(specOr(path), "is not a JSON object")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if f := fieldOf(d, name); f != nil {
			c.field(join(path, name), f, members[name])
			continue
		}
		c.warnings.Add(c.place, join(path, name), fmt.Sprintf("is unknown in schema version %d; it is kept and has no effect", c.schema))
		c.unknown = append(c.unknown, unknown{path: strings.Split(join(path, name), "."), value: members[name]})
	}
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		if _, ok := members[string(f.Name())]; !ok && ruleOf(f).GetRequired() {
			c.add(join(path, string(f.Name())), "must not be empty")
		}
	}
}

func specOr(path string) string {
	if path == "" {
		return "spec"
	}
	return path
}

func fieldOf(d protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	return d.Fields().ByName(protoreflect.Name(name))
}

func ruleOf(f protoreflect.FieldDescriptor) *wire.Rule {
	rule, _ := proto.GetExtension(f.Options(), wire.E_Rule).(*wire.Rule)
	return rule
}

// field checks the value of one field.
func (c *checker) field(path string, f protoreflect.FieldDescriptor, data json.RawMessage) {
	rule := ruleOf(f)
	switch {
	case string(bytes.TrimSpace(data)) == "null":
		if rule.GetRequired() {
			c.add(path, "must not be empty")
		}
	case f.IsMap():
		c.mapping(path, rule, data)
	case f.IsList():
		c.list(path, f, data)
	case f.Kind() == protoreflect.MessageKind:
		c.message(path, f.Message(), data)
	default:
		c.scalar(path, f, data)
	}
}

func (c *checker) items(path string, rule *wire.Rule, n int) {
	if n > int(rule.GetItems()) {
		c.add(path, "has %d items; %d are allowed", n, rule.GetItems())
	}
}

func (c *checker) list(path string, f protoreflect.FieldDescriptor, data json.RawMessage) {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		c.add(path, "is not a list")
		return
	}
	c.items(path, ruleOf(f), len(items))
	seen := map[string]bool{}
	for i, item := range items {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.scalar(at, f, item)
		var text string
		if json.Unmarshal(item, &text) != nil {
			continue
		}
		if text == "" {
			c.add(at, "must not be empty")
		}
		if fold := strings.ToLower(text); seen[fold] {
			c.add(at, "%q occurs twice", text)
		} else {
			seen[fold] = true
		}
	}
}

func (c *checker) mapping(path string, rule *wire.Rule, data json.RawMessage) {
	var items map[string]json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		c.add(path, "is not a JSON object")
		return
	}
	c.items(path, rule, len(items))
	seen := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		at := path + "[" + strconv.Quote(name) + "]"
		var value string
		if json.Unmarshal(items[name], &value) != nil {
			c.add(at, "is not a string")
		} else if err := checkHeader(name, value); err != nil {
			c.add(at, "%s", err)
		}
		if fold := strings.ToLower(name); seen[fold] {
			c.add(at, "occurs twice; case does not matter")
		} else {
			seen[fold] = true
		}
	}
}

// scalar checks a string, a number or a truth value.
func (c *checker) scalar(path string, f protoreflect.FieldDescriptor, data json.RawMessage) {
	switch f.Kind() {
	case protoreflect.BoolKind:
		var v bool
		if json.Unmarshal(data, &v) != nil {
			c.add(path, "is neither true nor false")
		}
	case protoreflect.Uint32Kind:
		c.number(path, ruleOf(f), data)
	default:
		var text *string
		if json.Unmarshal(data, &text) != nil || text == nil {
			c.add(path, "is not a string")
			return
		}
		c.text(path, ruleOf(f), *text, f.IsList())
	}
}

func (c *checker) number(path string, rule *wire.Rule, data json.RawMessage) {
	v, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
	if err != nil {
		c.add(path, "%.40s is not a whole number", data)
		return
	}
	if v < 0 || v > rule.GetMax() {
		c.add(path, "%d is outside 0 to %d", v, rule.GetMax())
	}
}

func (c *checker) text(path string, rule *wire.Rule, text string, item bool) {
	if text == "" {
		if rule.GetRequired() && !item {
			c.add(path, "must not be empty")
		}
		return
	}
	if choices := strings.Fields(rule.GetChoices()); len(choices) > 0 && !slices.Contains(choices, text) {
		c.add(path, "%q is none of %s", text, strings.Join(choices, ", "))
	}
	if check := forms[rule.GetForm()]; check != nil {
		if err := check(text); err != nil {
			c.add(path, "%s", err)
		}
	}
	if rule.GetForm() == "duration" {
		if err := checkDuration(text, rule.GetMax()); err != nil {
			c.add(path, "%s", err)
		}
	}
}
