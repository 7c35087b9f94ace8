package record

// This file validates a record against the rules of its schema.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"caroblift.dev/mesh/decimal"
	"caroblift.dev/wire"
)

// Limits of a record.
const (
	maxNameBytes = 100
	maxSpecBytes = 1 << 16
)

// Check validates a record against every rule of its schema and returns all
// findings, not just the first. Warnings name fields that the schema does not
// define; such fields stay in the record and have no effect. A tombstone needs
// only a valid key.
func Check(r *wire.Record) (findings, warnings Findings) {
	c := &checker{place: KeyOf(r).String(), schema: r.GetSchema()}
	c.findings = CheckKey(KeyOf(r))
	if r.GetDeleted() {
		return c.findings, nil
	}
	if n := len(r.GetBody()); n > maxSpecBytes {
		c.add("spec", "has %d bytes; %d are allowed", n, maxSpecBytes)
		return c.findings, nil
	}
	if spec := newSpec(r.GetKind(), r.GetSchema()); spec != nil {
		c.checkMessage("", spec.ProtoReflect().Descriptor(), r.GetBody())
	}
	if len(c.findings) == 0 {
		// Decoding finds errors that no rule covers, such as a duplicate
		// JSON key.
		_, c.findings = Decode(r)
	}
	return c.findings, c.warnings
}

// CheckKey validates the kind and the name of a record.
func CheckKey(k Key) Findings {
	c := &checker{place: k.String()}
	if _, ok := kindNames[k.Kind]; !ok {
		c.add("kind", "kind %d is unknown", k.Kind)
	}
	if k.Name == "" {
		c.add("name", "must not be empty")
	} else if err := checkName(k.Name); err != nil {
		c.add("name", "%s", err)
	}
	return c.findings
}

// checker validates one record and collects its findings, its warnings and the
// fields that its schema does not define.
type checker struct {
	place         string
	schema        uint32
	findings      Findings
	warnings      Findings
	unknownFields []unknownField
}

// unknownField is a field that the schema of its record does not define.
type unknownField struct {
	path  []string
	value json.RawMessage
}

func (c *checker) add(field, format string, args ...any) {
	c.findings.Add(c.place, field, fmt.Sprintf(format, args...))
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// checkMessage validates a JSON object against a message descriptor.
func (c *checker) checkMessage(path string, d protoreflect.MessageDescriptor, data json.RawMessage) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil || members == nil {
		c.add(pathOrSpec(path), "is not a JSON object")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if f := fieldOf(d, name); f != nil {
			c.checkField(joinPath(path, name), f, members[name])
			continue
		}
		c.warnings.Add(c.place, joinPath(path, name), fmt.Sprintf("is unknown in schema version %d; it is kept and has no effect", c.schema))
		c.unknownFields = append(c.unknownFields, unknownField{path: strings.Split(joinPath(path, name), "."), value: members[name]})
	}
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		if _, ok := members[string(f.Name())]; !ok && ruleOf(f).GetRequired() {
			c.add(joinPath(path, string(f.Name())), "must not be empty")
		}
	}
}

// pathOrSpec returns "spec" for the path of the record body itself.
func pathOrSpec(path string) string {
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

// checkField validates the value of one field. JSON null counts as absent.
func (c *checker) checkField(path string, f protoreflect.FieldDescriptor, data json.RawMessage) {
	rule := ruleOf(f)
	switch {
	case string(bytes.TrimSpace(data)) == "null":
		if rule.GetRequired() {
			c.add(path, "must not be empty")
		}
	case f.IsMap():
		c.checkMap(path, rule, data)
	case f.IsList():
		c.checkList(path, f, data)
	case f.Kind() == protoreflect.MessageKind:
		c.checkMessage(path, f.Message(), data)
	default:
		c.checkScalar(path, f, data)
	}
}

// checkItemCount validates the number of items of a list or map.
func (c *checker) checkItemCount(path string, rule *wire.Rule, n int) {
	if n > int(rule.GetItems()) {
		c.add(path, "has %d items; %d are allowed", n, rule.GetItems())
	}
}

// checkList validates a list. Items that differ only in case are duplicates.
func (c *checker) checkList(path string, f protoreflect.FieldDescriptor, data json.RawMessage) {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		c.add(path, "is not a list")
		return
	}
	c.checkItemCount(path, ruleOf(f), len(items))
	seen := map[string]bool{}
	for i, item := range items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		c.checkScalar(itemPath, f, item)
		var text string
		if json.Unmarshal(item, &text) != nil {
			continue
		}
		if text == "" {
			c.add(itemPath, "must not be empty")
		}
		if folded := strings.ToLower(text); seen[folded] {
			c.add(itemPath, "%q occurs twice", text)
		} else {
			seen[folded] = true
		}
	}
}

// checkMap validates a map from header names to values. Header names that differ
// only in case are duplicates.
func (c *checker) checkMap(path string, rule *wire.Rule, data json.RawMessage) {
	var items map[string]json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		c.add(path, "is not a JSON object")
		return
	}
	c.checkItemCount(path, rule, len(items))
	seen := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		itemPath := path + "[" + strconv.Quote(name) + "]"
		var value string
		if json.Unmarshal(items[name], &value) != nil {
			c.add(itemPath, "is not a string")
		} else if err := checkHeader(name, value); err != nil {
			c.add(itemPath, "%s", err)
		}
		if folded := strings.ToLower(name); seen[folded] {
			c.add(itemPath, "occurs twice; names are case-insensitive")
		} else {
			seen[folded] = true
		}
	}
}

// checkScalar validates a string, a number or a boolean.
func (c *checker) checkScalar(path string, f protoreflect.FieldDescriptor, data json.RawMessage) {
	switch f.Kind() {
	case protoreflect.BoolKind:
		var v bool
		if json.Unmarshal(data, &v) != nil {
			c.add(path, "is neither true nor false")
		}
	case protoreflect.Uint32Kind:
		c.checkNumber(path, ruleOf(f), data)
	default:
		var text *string
		if json.Unmarshal(data, &text) != nil || text == nil {
			c.add(path, "is not a string")
			return
		}
		c.checkString(path, ruleOf(f), *text, f.IsList())
	}
}

func (c *checker) checkNumber(path string, rule *wire.Rule, data json.RawMessage) {
	n, err := decimal.Parse(string(bytes.TrimSpace(data)))
	v, whole := n.Uint64()
	switch {
	case err != nil || !whole && n.Sign() > 0 && n.Floor(math.MaxUint64) <= uint64(rule.GetMax()):
		c.add(path, "%.40s is not a whole number", data)
	case !whole || v > uint64(rule.GetMax()):
		c.add(path, "%.40s is outside 0 to %d", data, rule.GetMax())
	}
}

// checkString validates a string. An empty list item is reported by checkList,
// so only a field that is not an item is reported here as empty.
func (c *checker) checkString(path string, rule *wire.Rule, text string, isItem bool) {
	if text == "" {
		if rule.GetRequired() && !isItem {
			c.add(path, "must not be empty")
		}
		return
	}
	if choices := strings.Fields(rule.GetChoices()); len(choices) > 0 && !slices.Contains(choices, text) {
		c.add(path, "%q is none of %s", text, strings.Join(choices, ", "))
	}
	if check := formChecks[rule.GetForm()]; check != nil {
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
