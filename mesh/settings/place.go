package settings

// This file finds the lines of sections and keys, which the INI library does
// not tell, and the nearest known name of an unknown one.

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// lines maps a section, or a section and a key, to its first line.
type lines map[place]int

// place names a section, or a key in it.
type place struct{ section, key string }

// place returns path:line of a key, or of its section when the key is not in
// the file, or the path alone.
func (l lines) place(path, section, key string) string {
	n, ok := l[place{section, key}]
	if !ok {
		n, ok = l[place{section, ""}]
	}
	if !ok {
		return path
	}
	return path + ":" + strconv.Itoa(n)
}

// scanner goes through a file line by line.
type scanner struct {
	path     string
	lines    lines
	section  string // that the present line stands in
	findings *record.Findings
	clean    strings.Builder
}

// scan finds the lines of a file. It reports what the INI library would pass
// over in silence or stop at: sections and keys that stand twice and lines that
// are neither. It returns the file without them, so that the other mistakes of
// the file can be found too.
func scan(path string, data []byte, findings *record.Findings) (lines, []byte) {
	s := &scanner{path: path, lines: lines{}, section: ini.DefaultSection, findings: findings}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	n := 0
	for raw := range strings.SplitSeq(string(data), "\n") {
		n++
		text := strings.TrimSpace(raw)
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			s.open(text, n)
		default:
			s.line(text, n)
		}
	}
	return s.lines, []byte(s.clean.String())
}

func (s *scanner) add(n int, field, format string, args ...any) {
	s.findings.Add(fmt.Sprintf("%s:%d", s.path, n), field, fmt.Sprintf(format, args...))
}

// open begins a section.
func (s *scanner) open(text string, n int) {
	name := text[1:]
	if end := strings.LastIndexByte(name, ']'); end >= 0 {
		name = name[:end]
	} else {
		s.add(n, "", "section %q does not end with ]", text)
	}
	s.section = strings.TrimSpace(name)
	if s.section == "" {
		s.add(n, "", "section has no name")
		s.section = "?"
	}
	s.note(place{s.section, ""}, n)
	fmt.Fprintf(&s.clean, "[%s]\n", s.section)
}

// line takes a key.
func (s *scanner) line(text string, n int) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		s.add(n, "", "%q is neither a section nor key = value", text)
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		s.add(n, s.section+"."+key, "a value of several lines is not allowed")
	case strings.HasPrefix(key, `"`) || strings.HasPrefix(key, "`") || key == "-":
		s.add(n, s.section+"."+key, "a key is written without quotes")
	default:
		s.note(place{s.section, key}, n)
		s.clean.WriteString(text + "\n")
	}
}

func (s *scanner) note(p place, n int) {
	first, seen := s.lines[p]
	if !seen {
		s.lines[p] = n
		return
	}
	field := p.section + "." + p.key
	if p.key == "" {
		field = "[" + p.section + "]"
	}
	s.add(n, field, "stands there twice, first on line %d", first)
}

// sortFindings orders findings by line; those without a line come last.
func sortFindings(findings record.Findings) {
	slices.SortStableFunc(findings, func(a, b *wire.Finding) int { return lineOf(a) - lineOf(b) })
}

func lineOf(f *wire.Finding) int {
	i := strings.LastIndexByte(f.GetPlace(), ':')
	n, err := strconv.Atoi(f.GetPlace()[i+1:])
	if err != nil {
		return int(^uint(0) >> 1)
	}
	return n
}

// suggest names the known word that is nearest to an unknown one, or all of
// them when none is near.
func suggest(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, k := range known {
		if d := distance(word, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return "; known are " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// distance is the number of letters to insert, delete or replace that leads
// from one word to another.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
