// Package settings loads the settings of a node from an INI file and checks
// them against the schema in wire/schema/settings.proto.
//
// All mistakes in a file are reported at once, each with its line and key. The
// schema documents each key; [WriteReference] generates docs/SETTINGS.md from it.
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

// maxFileSize bounds the size of a settings file, in bytes.
const maxFileSize = 1 << 20

// loader converts one file to settings and collects the findings.
type loader struct {
	path     string
	file     *ini.File
	lines    lineIndex
	findings record.Findings
}

// Load reads a settings file. The settings are valid only if there are no
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

// Parse reads settings from the contents of a file. The path is used only to name
// the places of findings. The settings are valid only if there are no findings.
func Parse(path string, data []byte) (*wire.Settings, record.Findings) {
	l := &loader{path: path}
	if len(data) > maxFileSize {
		l.findings.Add(path, "", fmt.Sprintf("file has %d bytes, the maximum is %d", len(data), maxFileSize))
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
	l.loadSections(s.ProtoReflect())
	l.checkRules(s)
	sortFindings(l.findings)
	return s, l.findings
}

// Defaults returns settings in which only the keys with a default are set.
func Defaults() *wire.Settings {
	l := &loader{path: "defaults", file: ini.Empty()}
	s := &wire.Settings{}
	l.loadSections(s.ProtoReflect())
	return s
}

// addFinding adds a finding at the line of a key, or of its section if the key is
// not in the file.
func (l *loader) addFinding(section, key, format string, args ...any) {
	l.findings.Add(l.lines.placeOf(l.path, section, key), section+"."+key, fmt.Sprintf(format, args...))
}

func (l *loader) loadSections(s protoreflect.Message) {
	fields := s.Descriptor().Fields()
	for _, sec := range l.file.Sections() {
		name := sec.Name()
		switch {
		case name == ini.DefaultSection:
			for _, k := range sec.Keys() {
				l.findings.Add(l.lines.placeOf(l.path, name, k.Name()), k.Name(), "key is outside of any section")
			}
		case fields.ByName(protoreflect.Name(name)) == nil:
			l.findings.Add(l.lines.placeOf(l.path, name, ""), "["+name+"]", "section is unknown"+suggest(name, fieldNames(fields)))
		}
	}
	for i := range fields.Len() {
		f := fields.Get(i)
		l.loadSection(fields, string(f.Name()), s.Mutable(f).Message())
	}
}

func (l *loader) loadSection(all protoreflect.FieldDescriptors, name string, m protoreflect.Message) {
	sec := l.file.Section(name)
	fields := m.Descriptor().Fields()
	for _, k := range sec.Keys() {
		if fields.ByName(protoreflect.Name(k.Name())) == nil {
			l.addFinding(name, k.Name(), "key is unknown%s", l.suggestKey(all, name, k.Name()))
		}
	}
	for i := range fields.Len() {
		l.loadKey(name, sec, fields.Get(i), m)
	}
}

// suggestKey returns a hint for an unknown key: another section that has a key of
// this name, or else the most similar key of its own section.
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

// keyOptions returns the options that the schema sets for a key.
func keyOptions(f protoreflect.FieldDescriptor) *wire.Key {
	key, _ := proto.GetExtension(f.Options(), wire.E_Key).(*wire.Key)
	return key
}

func (l *loader) loadKey(section string, sec *ini.Section, f protoreflect.FieldDescriptor, m protoreflect.Message) {
	options := keyOptions(f)
	name := string(f.Name())
	text := options.GetDefault()
	if sec.HasKey(name) {
		text = sec.Key(name).Value()
	}
	if text == "" {
		if options.GetRequired() {
			l.addFinding(section, name, "is required (%s)", options.GetUnit())
		}
		return
	}
	switch {
	case f.IsList():
		l.loadList(section, name, text, options, m.Mutable(f).List())
	case f.Kind() == protoreflect.BoolKind:
		v, err := strconv.ParseBool(text)
		if err != nil {
			l.addFinding(section, name, "%q is neither true nor false", text)
		}
		m.Set(f, protoreflect.ValueOfBool(v))
	case f.Kind() == protoreflect.Int64Kind:
		m.Set(f, protoreflect.ValueOfInt64(l.parseNumber(section, name, text, options)))
	default:
		l.checkText(section, name, text, options)
		m.Set(f, protoreflect.ValueOfString(strings.ToValidUTF8(text, "")))
	}
}

func (l *loader) loadList(section, name, text string, options *wire.Key, items protoreflect.List) {
	seen := map[string]bool{}
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		l.checkText(section, name, item, options)
		if seen[item] {
			l.addFinding(section, name, "%q is repeated", item)
		}
		seen[item] = true
		items.Append(protoreflect.ValueOfString(strings.ToValidUTF8(item, "")))
	}
}

func (l *loader) parseNumber(section, name, text string, options *wire.Key) int64 {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		l.addFinding(section, name, "%q is not a whole number of %s", text, options.GetUnit())
		return 0
	}
	if v < options.GetMin() || v > options.GetMax() {
		l.addFinding(section, name, "%d is outside %d to %d %s", v, options.GetMin(), options.GetMax(), options.GetUnit())
	}
	return v
}

func (l *loader) checkText(section, name, text string, options *wire.Key) {
	if strings.HasSuffix(options.GetUnit(), "IP:port") {
		if _, err := netip.ParseAddrPort(text); err != nil {
			l.addFinding(section, name, "%q is not an IP:port", text)
		}
	}
	if options.GetUnit() == "word" && strings.ContainsFunc(text, isNotWordRune) {
		l.addFinding(section, name, "%q contains characters other than letters, digits, '.', '_' and '-'", text)
	}
	if c := options.GetChoices(); c != "" && !strings.Contains(" "+c+" ", " "+text+" ") {
		l.addFinding(section, name, "%q is not one of %s", text, strings.ReplaceAll(c, " ", ", "))
	}
}

func isNotWordRune(r rune) bool {
	return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-", r)
}
