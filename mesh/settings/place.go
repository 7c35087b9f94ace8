package settings

// This file finds the line numbers of sections and keys, which the INI library
// does not report, and suggests known names for unknown ones.

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

// lineIndex maps each section and key to the line of its first occurrence.
type lineIndex map[entry]int

// entry names a key, or a section if key is empty.
type entry struct{ section, key string }

// placeOf returns path:line of a key, or of its section if the key is not in the
// file. If neither is in the file, it returns the path alone.
func (l lineIndex) placeOf(path, section, key string) string {
	n, ok := l[entry{section, key}]
	if !ok {
		n, ok = l[entry{section, ""}]
	}
	if !ok {
		return path
	}
	return path + ":" + strconv.Itoa(n)
}

// scanner reads a file line by line, before the INI library parses it.
type scanner struct {
	path     string
	lines    lineIndex
	section  string // section of the current line
	findings *record.Findings
	accepted strings.Builder
}

// scan indexes the lines of a file. It reports what the INI library would silently
// accept or stop at: repeated sections and keys, and lines that are neither a
// section nor a key. It returns the file without malformed lines, so that parsing
// goes on and finds the other mistakes in the file too.
func scan(path string, data []byte, findings *record.Findings) (lineIndex, []byte) {
	s := &scanner{path: path, lines: lineIndex{}, section: ini.DefaultSection, findings: findings}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	n := 0
	for raw := range strings.SplitSeq(string(data), "\n") {
		n++
		text := strings.TrimSpace(raw)
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			s.scanSection(text, n)
		default:
			s.scanKey(text, n)
		}
	}
	return s.lines, []byte(s.accepted.String())
}

func (s *scanner) addFinding(n int, field, format string, args ...any) {
	s.findings.Add(fmt.Sprintf("%s:%d", s.path, n), field, fmt.Sprintf(format, args...))
}

// scanSection scans the line that begins a section.
func (s *scanner) scanSection(text string, n int) {
	name := text[1:]
	if end := strings.LastIndexByte(name, ']'); end >= 0 {
		name = name[:end]
	} else {
		s.addFinding(n, "", "section %q does not end with ]", text)
	}
	s.section = strings.TrimSpace(name)
	if s.section == "" {
		s.addFinding(n, "", "section has no name")
		s.section = "?"
	}
	s.addEntry(entry{s.section, ""}, n)
	fmt.Fprintf(&s.accepted, "[%s]\n", s.section)
}

// scanKey scans the line of a key.
func (s *scanner) scanKey(text string, n int) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		s.addFinding(n, "", "%q is neither a section nor key = value", text)
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		s.addFinding(n, s.section+"."+key, "multi-line values are not allowed")
	case strings.HasPrefix(key, `"`) || strings.HasPrefix(key, "`") || key == "-":
		s.addFinding(n, s.section+"."+key, "keys must not be quoted")
	default:
		s.addEntry(entry{s.section, key}, n)
		s.accepted.WriteString(text + "\n")
	}
}

func (s *scanner) addEntry(e entry, n int) {
	first, seen := s.lines[e]
	if !seen {
		s.lines[e] = n
		return
	}
	field := e.section + "." + e.key
	if e.key == "" {
		field = "[" + e.section + "]"
	}
	s.addFinding(n, field, "is repeated, first on line %d", first)
}

// sortFindings sorts findings by line; those without a line come last.
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

// suggest returns a hint for an unknown name: the most similar known name, or all
// known names if none is similar.
func suggest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return "; known names are " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance returns the Levenshtein distance of two names, in bytes.
func editDistance(a, b string) int {
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
