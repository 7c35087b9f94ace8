package record

// This file defines findings: validation errors with the place where they occur.

import (
	"strings"

	"caroblift.dev/wire"
)

// Findings is a list of validation errors. It implements error, but an empty
// list stored in an error is not nil: convert it with [Findings.Err].
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

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = FormatFinding(finding)
	}
	return strings.Join(lines, "\n")
}

// FormatFinding formats one finding as "place: field: reason".
func FormatFinding(f *wire.Finding) string {
	if f.GetField() == "" {
		return f.GetPlace() + ": " + f.GetReason()
	}
	return f.GetPlace() + ": " + f.GetField() + ": " + f.GetReason()
}
