package settings

// This file writes the reference page of all keys and compares two settings.

import (
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"caroblift.dev/wire"
)

const header = `# Settings of a node

Generated from wire/schema/settings.proto; change the schema, run
` + "`wire/generate.sh`" + ` and then write this page anew:

    go run ./caroblift --describe > docs/SETTINGS.md

A node reads one INI file. ` + "`caroblift --config FILE --check`" + ` reports every mistake
of it at once, with file, line and key, and exits with 2 when there is any.
Unknown and repeated sections and keys are mistakes. After SIGHUP a running node
reads the file again and takes the keys marked *reload*; it names the others
that differ in its log and keeps their old values.

A list is written with commas. A value stands on one line; a comment starts
with ; or #.
`

// WriteReference writes a Markdown reference of all keys with their units, defaults
// and bounds.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(header)
	sections := (&wire.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n", section.Name())
		keys := section.Message().Fields()
		for j := range keys.Len() {
			describeKey(&b, keys.Get(j))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func describeKey(b *strings.Builder, f protoreflect.FieldDescriptor) {
	key := keyOptions(f)
	defaultValue, allowed, doc := key.GetDefault(), "", key.GetDoc()
	if key.GetRequired() {
		defaultValue = "required"
	}
	switch {
	case key.GetChoices() != "":
		allowed = strings.ReplaceAll(key.GetChoices(), " ", ", ")
	case f.Kind() == protoreflect.BoolKind:
		allowed = "true, false"
	case f.Kind() == protoreflect.Int64Kind:
		allowed = fmt.Sprintf("%d to %d", key.GetMin(), key.GetMax())
	}
	if key.GetReload() {
		doc += " *reload*"
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", f.Name(), key.GetUnit(), defaultValue, allowed, doc)
}

// Difference names a key whose values in two settings differ.
type Difference struct {
	Key        string // section.key
	Reloadable bool   // whether a running node applies the new value
}

// Compare returns the keys whose values differ, in the order of the schema.
func Compare(a, b *wire.Settings) []Difference {
	var out []Difference
	aSections, bSections := a.ProtoReflect(), b.ProtoReflect()
	sections := aSections.Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		aSection, bSection := aSections.Get(section).Message(), bSections.Get(section).Message()
		keys := section.Message().Fields()
		for j := range keys.Len() {
			f := keys.Get(j)
			if !aSection.Get(f).Equal(bSection.Get(f)) {
				name := string(section.Name()) + "." + string(f.Name())
				out = append(out, Difference{Key: name, Reloadable: keyOptions(f).GetReload()})
			}
		}
	}
	return out
}
