// Package settings loads the settings of a node from an INI file and checks
// them against the schema in wire/schema/settings.proto.
//
// # Usage
//
//	s, findings := settings.Load("node.ini")
//	if len(findings) > 0 {
//		return findings
//	}
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// loader collects the findings of one file.
type loader struct {
	path     string
	file     *ini.File
	findings record.Findings
}

// Load reads a settings file. The settings are usable only when there are no
// findings.
func Load(path string) (*wire.Settings, record.Findings) {
	l := &loader{path: path}
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		l.findings.Add(path, "", err.Error())
		return nil, l.findings
	}
	l.file = file
	s := &wire.Settings{}
	l.sections(s.ProtoReflect())
	l.rules(s)
	return s, l.findings
}

// Defaults returns settings with every default and nothing else.
func Defaults() *wire.Settings {
	l := &loader{path: "defaults", file: ini.Empty()}
	s := &wire.Settings{}
	l.sections(s.ProtoReflect())
	return s
}

func (l *loader) add(section, key, format string, args ...any) {
	l.findings.Add(l.path, section+"."+key, fmt.Sprintf(format, args...))
}

func (l *loader) sections(s protoreflect.Message) {
	fields := s.Descriptor().Fields()
	for _, sec := range l.file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if fields.ByName(protoreflect.Name(sec.Name())) == nil {
			l.findings.Add(l.path, sec.Name(), "section is unknown")
		}
	}
	for i := range fields.Len() {
		f := fields.Get(i)
		l.section(string(f.Name()), s.Mutable(f).Message())
	}
}

func (l *loader) section(name string, m protoreflect.Message) {
	sec := l.file.Section(name)
	fields := m.Descriptor().Fields()
	for _, k := range sec.Keys() {
		if fields.ByName(protoreflect.Name(k.Name())) == nil {
			l.add(name, k.Name(), "key is unknown")
		}
	}
	for i := range fields.Len() {
		f := fields.Get(i)
		l.key(name, sec, f, m)
	}
}

func (l *loader) key(section string, sec *ini.Section, f protoreflect.FieldDescriptor, m protoreflect.Message) {
	doc, _ := proto.GetExtension(f.Options(), wire.E_Key).(*wire.Key)
	name := string(f.Name())
	text := doc.GetDefault()
	if sec.HasKey(name) {
		text = sec.Key(name).String()
	}
	if text == "" {
		if doc.GetRequired() {
			l.add(section, name, "is required")
		}
		return
	}
	switch {
	case f.IsList():
		list := m.Mutable(f).List()
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			l.word(section, name, part, doc)
			list.Append(protoreflect.ValueOfString(part))
		}
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
		m.Set(f, protoreflect.ValueOfString(text))
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
	if c := doc.GetChoices(); c != "" && !strings.Contains(" "+c+" ", " "+text+" ") {
		l.add(section, name, "%q is none of %s", text, strings.ReplaceAll(c, " ", ", "))
	}
}

// rules checks what concerns several keys.
func (l *loader) rules(s *wire.Settings) {
	host, _, err := net.SplitHostPort(s.GetListen().GetOperator())
	if err == nil && !s.GetListen().GetOpen() {
		if ip := net.ParseIP(host); ip != nil && !ip.IsLoopback() {
			l.add("listen", "operator", "%q is not loopback; set open = true to allow it", s.GetListen().GetOperator())
		}
	}
}
