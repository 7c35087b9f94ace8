// Package settings loads the settings of a node from an INI file and checks
// them against the schema in wire/schema/settings.proto.
//
// Every mistake of a file is reported at once, with its line and key. The
// schema documents each key; [Describe] writes docs/SETTINGS.md from it.
//
// # Usage
//
//	s, findings := settings.Load("node.ini")
//	if err := findings.Err(); err != nil {
//		return err
//	}
//	fmt.Println(s.GetListen().GetCaller())
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// maxFile bounds a settings file, in bytes.
const maxFile = 1 << 20

// loader collects the findings of one file.
type loader struct {
	path     string
	file     *ini.File
	lines    lines
	findings record.Findings
}

// Load reads a settings file. The settings are usable only when there are no
// findings.
func Load(path string) (*wire.Settings, record.Findings) {
	data, err := os.ReadFile(path)
	if err != nil {
		var findings record.Findings
		findings.Add(path, "", err.Error())
		return nil, findings
	}
	return Parse(path, data)
}

// Parse reads settings out of the bytes of a file. The path only names the
// place of findings. The settings are usable only when there are no findings.
func Parse(path string, data []byte) (*wire.Settings, record.Findings) {
	l := &loader{path: path}
	if len(data) > maxFile {
		l.findings.Add(path, "", fmt.Sprintf("file holds %d bytes, more than %d", len(data), maxFile))
		return nil, l.findings
	}
	var clean []byte
	l.lines, clean = scan(path, data, &l.findings)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SkipUnrecognizableLines: true, KeyValueDelimiters: "=",
	}, clean)
	if err != nil {
		l.findings.Add(path, "", err.Error())
		return nil, l.findings
	}
	l.file = file
	s := &wire.Settings{}
	l.sections(s.ProtoReflect())
	l.rules(s)
	sortFindings(l.findings)
	return s, l.findings
}

// Defaults returns settings with every default and nothing else.
func Defaults() *wire.Settings {
	l := &loader{path: "defaults", file: ini.Empty()}
	s := &wire.Settings{}
	l.sections(s.ProtoReflect())
	return s
}

// add reports a mistake at the line of a key, or of its section when the key
// is not in the file.
func (l *loader) add(section, key, format string, args ...any) {
	l.findings.Add(l.lines.place(l.path, section, key), section+"."+key, fmt.Sprintf(format, args...))
}

func (l *loader) sections(s protoreflect.Message) {
	fields := s.Descriptor().Fields()
	for _, sec := range l.file.Sections() {
		name := sec.Name()
		switch {
		case name == ini.DefaultSection:
			for _, k := range sec.Keys() {
				l.findings.Add(l.lines.place(l.path, name, k.Name()), k.Name(), "key stands outside of every section")
			}
		case fields.ByName(protoreflect.Name(name)) == nil:
			l.findings.Add(l.lines.place(l.path, name, ""), "["+name+"]", "section is unknown"+suggest(name, fieldNames(fields)))
		}
	}
	for i := range fields.Len() {
		f := fields.Get(i)
		l.section(fields, string(f.Name()), s.Mutable(f).Message())
	}
}

func (l *loader) section(all protoreflect.FieldDescriptors, name string, m protoreflect.Message) {
	sec := l.file.Section(name)
	fields := m.Descriptor().Fields()
	for _, k := range sec.Keys() {
		if fields.ByName(protoreflect.Name(k.Name())) == nil {
			l.add(name, k.Name(), "key is unknown%s", l.suggestKey(all, name, k.Name()))
		}
	}
	for i := range fields.Len() {
		l.key(name, sec, fields.Get(i), m)
	}
}

// suggestKey names the section that has an unknown key, or the nearest key of
// its own section.
func (l *loader) suggestKey(all protoreflect.FieldDescriptors, section, key string) string {
	for i := range all.Len() {
		if all.Get(i).Message().Fields().ByName(protoreflect.Name(key)) != nil {
			return fmt.Sprintf("; section [%s] has it", all.Get(i).Name())
		}
	}
	return suggest(key, fieldNames(all.ByName(protoreflect.Name(section)).Message().Fields()))
}

func fieldNames(fields protoreflect.FieldDescriptors) []string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return names
}

// keyOf returns what the schema says of a key.
func keyOf(f protoreflect.FieldDescriptor) *wire.Key {
	key, _ := proto.GetExtension(f.Options(), wire.E_Key).(*wire.Key)
	return key
}

func (l *loader) key(section string, sec *ini.Section, f protoreflect.FieldDescriptor, m protoreflect.Message) {
	doc := keyOf(f)
	name := string(f.Name())
	text := doc.GetDefault()
	if sec.HasKey(name) {
		text = sec.Key(name).Value()
	}
	if text == "" {
		if doc.GetRequired() {
			l.add(section, name, "is required (%s)", doc.GetUnit())
		}
		return
	}
	switch {
	case f.IsList():
		l.list(section, name, text, doc, m.Mutable(f).List())
	case f.Kind() == protoreflect.BoolKind:
		v, err := strconv.ParseBool(text)
		if err != nil {
			l.add(section, name, "%q is neither true nor false", text)
		}
		m.Set(f, protoreflect.ValueOfBool(v))
	case f.Kind() == protoreflect.Int64Kind:
		m.Set(f, protoreflect.ValueOfInt64(l.number(section, name, text, doc)))
	default:
		l.word(section, name, text, doc)
		m.Set(f, protoreflect.ValueOfString(strings.ToValidUTF8(text, "")))
	}
}

func (l *loader) list(section, name, text string, doc *wire.Key, into protoreflect.List) {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		l.word(section, name, part, doc)
		if seen[part] {
			l.add(section, name, "%q stands there twice", part)
		}
		seen[part] = true
		into.Append(protoreflect.ValueOfString(strings.ToValidUTF8(part, "")))
	}
}

func (l *loader) number(section, name, text string, doc *wire.Key) int64 {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		l.add(section, name, "%q is not a whole number of %s", text, doc.GetUnit())
		return 0
	}
	if v < doc.GetMin() || v > doc.GetMax() {
		l.add(section, name, "%d is outside %d to %d %s", v, doc.GetMin(), doc.GetMax(), doc.GetUnit())
	}
	return v
}

func (l *loader) word(section, name, text string, doc *wire.Key) {
	if strings.HasSuffix(doc.GetUnit(), "IP:port") {
		if _, err := netip.ParseAddrPort(text); err != nil {
			l.add(section, name, "%q is not an IP:port", text)
		}
	}
	if doc.GetUnit() == "word" && strings.ContainsFunc(text, notWord) {
		l.add(section, name, "%q holds characters other than letters, digits, '.', '_' and '-'", text)
	}
	if c := doc.GetChoices(); c != "" && !strings.Contains(" "+c+" ", " "+text+" ") {
		l.add(section, name, "%q is none of %s", text, strings.ReplaceAll(c, " ", ", "))
	}
}

func notWord(r rune) bool {
	return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-", r)
}
