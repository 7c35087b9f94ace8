package record

// This file defines findings: mistakes with their place, reported together.

import (
	"strings"

	"caroblift.dev/wire"
)

// Findings is a list of mistakes. It is an error; an empty list is none, so
// convert it with [Findings.Err].
type Findings []*wire.Finding

// Add appends a finding.
func (f *Findings) Add(place, field, reason string) {
	*f = append(*f, &wire.Finding{Place: place, Field: field, Reason: reason})
}

// Err returns f as an error, or nil when it is empty.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error lists every finding on a line of its own.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = Line(one)
	}
	return strings.Join(lines, "\n")
}

// Line formats one finding as place, field and reason.
func Line(f *wire.Finding) string {
	if f.GetField() == "" {
		return f.GetPlace() + ": " + f.GetReason()
	}
	return f.GetPlace() + ": " + f.GetField() + ": " + f.GetReason()
}
