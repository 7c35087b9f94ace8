package spread

// This file merges reports on the revisions in force.

import (
	"cmp"
	"slices"

	"caroblift.dev/mesh/member"
	"caroblift.dev/wire"
)

// maxLaggards is the maximum number of laggards that a report names.
const maxLaggards = 20

// maxCounts is the maximum number of revisions that a report counts separately
// in one failure domain.
const maxCounts = 8

// MergeReports returns the sum of reports. It keeps at most 20 laggards, those
// at the oldest revisions first, and the 8 newest revisions of each failure
// domain; nodes at older revisions are counted with the lowest revision that is
// kept.
func MergeReports(reports ...*wire.Report) *wire.Report {
	type key struct {
		domain   string
		revision uint64
	}
	counts := map[key]uint32{}
	out := &wire.Report{}
	for _, r := range reports {
		for _, c := range r.GetCounts() {
			counts[key{c.GetDomain(), c.GetRevision()}] += c.GetNodes()
		}
		out.Laggards = append(out.Laggards, r.GetLaggards()...)
		out.More += r.GetMore()
		out.Age = max(out.Age, r.GetAge())
	}
	for k, n := range counts {
		out.Counts = append(out.Counts, &wire.Count{Domain: k.domain, Revision: k.revision, Nodes: n})
	}
	out.Counts = foldOldCounts(out.Counts)
	slices.SortFunc(out.Laggards, func(a, b *wire.Lag) int {
		return cmp.Or(cmp.Compare(a.GetRevision(), b.GetRevision()), cmp.Compare(a.GetName(), b.GetName()))
	})
	if n := len(out.Laggards) - maxLaggards; n > 0 {
		out.Laggards, out.More = out.Laggards[:maxLaggards], out.More+uint32(n)
	}
	return out
}

// foldOldCounts sorts the counts by failure domain, newest revision first. It
// keeps maxCounts of each failure domain and adds older ones to the last of them.
func foldOldCounts(counts []*wire.Count) []*wire.Count {
	slices.SortFunc(counts, func(a, b *wire.Count) int {
		return cmp.Or(cmp.Compare(a.GetDomain(), b.GetDomain()), cmp.Compare(b.GetRevision(), a.GetRevision()))
	})
	out := counts[:0]
	kept := 0
	for _, c := range counts {
		last := len(out) - 1
		if last < 0 || out[last].GetDomain() != c.GetDomain() {
			kept = 0
		}
		if kept == maxCounts {
			out[last].Nodes += c.GetNodes()
			continue
		}
		out = append(out, c)
		kept++
	}
	return out
}

// FillUnknown sets r.Unknown to the number of members in each failure domain
// that are not dead and that the report does not count.
func FillUnknown(r *wire.Report, v *member.View) {
	missing := map[string]int{}
	for _, name := range v.Names {
		m := v.Members[name]
		if m.GetState() != wire.State_STATE_DEAD {
			missing[m.GetDomain()]++
		}
	}
	for _, c := range r.GetCounts() {
		missing[c.GetDomain()] -= int(c.GetNodes())
	}
	r.Unknown = nil
	for domain, n := range missing {
		if n > 0 {
			r.Unknown = append(r.Unknown, &wire.Count{Domain: domain, Nodes: uint32(n)})
		}
	}
	slices.SortFunc(r.Unknown, func(a, b *wire.Count) int { return cmp.Compare(a.GetDomain(), b.GetDomain()) })
}
