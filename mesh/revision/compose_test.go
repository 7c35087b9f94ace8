package revision_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// The seed and the number of cases are fixed unless the command line names
// others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
}

func spec(kind wire.Kind, to string) string {
	switch kind {
	case wire.Kind_KIND_ROUTE:
		return fmt.Sprintf(`{"prefix":"/a","service":%q}`, to)
	case wire.Kind_KIND_SERVICE:
		return fmt.Sprintf(`{"policy":%q}`, to)
	}
	return `{}`
}

// draw returns a record of a small key space: alive, deleted or invalid.
func draw(t *rapid.T, version uint64) *wire.Record {
	kind := wire.Kind(rapid.IntRange(1, 3).Draw(t, "kind"))
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	to := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to")
	if kind == wire.Kind_KIND_SERVICE && rapid.Bool().Draw(t, "plain") {
		to = ""
	}
	r := rec(kind, name, version, spec(kind, to))
	switch rapid.IntRange(0, 5).Draw(t, "state") {
	case 0, 1:
		r.Deleted, r.Body = true, nil
	case 2:
		r.Body = []byte(`{"prefix": 7, "policy": 7, "slots": "x"}`)
	}
	return r
}

// target returns what a record refers to, read from its body by hand.
func target(r *wire.Record) (record.Key, bool) {
	for _, name := range []string{"a", "b"} {
		for kind, to := range map[wire.Kind]wire.Kind{wire.Kind_KIND_ROUTE: wire.Kind_KIND_SERVICE, wire.Kind_KIND_SERVICE: wire.Kind_KIND_POLICY} {
			if r.GetKind() == kind && string(r.GetBody()) == spec(kind, name) {
				return record.Key{Kind: to, Name: name}, true
			}
		}
	}
	return record.Key{}, false
}

func consistent(set map[record.Key]*wire.Record) bool {
	for _, r := range set {
		if to, ok := target(r); ok && !r.GetDeleted() {
			if set[to] == nil || set[to].GetDeleted() {
				return false
			}
		}
	}
	return true
}

// best tries every subset of the changes: the one with the most upserts, and
// among these with the most deletions, and whether it is the only one.
func best(table map[record.Key]*wire.Record, changes []*wire.Record) (map[record.Key]uint64, bool) {
	var found map[record.Key]uint64
	top, unique := -1, false
	for mask := range 1 << len(changes) {
		set := map[record.Key]*wire.Record{}
		for k, r := range table {
			set[k] = r
		}
		score, valid := 0, true
		for i, r := range changes {
			if mask&(1<<i) == 0 {
				continue
			}
			set[record.KeyOf(r)] = r
			score += 100
			if r.GetDeleted() {
				score -= 99
			} else {
				valid = valid && string(r.GetBody()) != `{"prefix": 7, "policy": 7, "slots": "x"}`
			}
		}
		if !valid || !consistent(set) || score < top {
			continue
		}
		unique = score > top
		top, found = score, map[record.Key]uint64{}
		for k, r := range set {
			found[k] = r.GetVersion()
		}
	}
	return found, unique
}

// TestComposeIsLargest compares Compose with a search over every subset, over
// many rounds of changes, and applies each result.
func TestComposeIsLargest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h revision.Holder
		platform := map[record.Key]*wire.Record{}
		version := uint64(0)
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(1, 5).Draw(t, "writes") {
				version++
				r := draw(t, version)
				platform[record.KeyOf(r)] = r
			}
			var list, changes []*wire.Record
			for k, r := range platform {
				list = append(list, r)
				if r.GetVersion() > h.Table().Records[k].GetVersion() {
					changes = append(changes, r)
				}
			}
			want, unique := best(h.Table().Records, changes)
			require.True(t, unique)
			res := revision.Compose(h.Table(), list, revision.FormatNow)
			require.Len(t, res.Held, len(changes)-len(res.Changed), "every record that waits is named")
			for n := range res.Changed {
				_, err := revision.Next(h.Table(), revision.Result{Changed: res.Changed[:n+1]}, "c", "n", 1)
				require.NoError(t, err, "each prefix of the changes is consistent")
			}
			if len(res.Changed) > 0 {
				rev, err := revision.Next(h.Table(), res, fmt.Sprint(round), "n", 1)
				require.NoError(t, err)
				require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
			}
			got := map[record.Key]uint64{}
			for k, r := range h.Table().Records {
				got[k] = r.GetVersion()
			}
			require.Equal(t, want, got)
		}
	})
}

// TestComposeWaits covers what operators see of records that wait.
func TestComposeWaits(t *testing.T) {
	service, route := wire.Kind_KIND_SERVICE, wire.Kind_KIND_ROUTE
	type set = []*wire.Record
	gone := func(kind wire.Kind, name string, version uint64) *wire.Record {
		return &wire.Record{Kind: kind, Name: name, Version: version, Deleted: true}
	}
	v2 := rec(route, "r", 9, `{"prefix":"/a","service":"a","hedge":true}`)
	v2.Schema = 2
	plain := rec(route, "r", 9, `{"prefix":"/a","service":"a","timeout":"20ms"}`)
	plain.Schema = 2
	base := set{rec(service, "a", 3, `{}`), rec(route, "r", 2, spec(route, "a"))}
	for name, c := range map[string]struct {
		format  uint32
		list    set
		changed int
		held    string
	}{
		"stale list takes nothing back": {2, set{rec(service, "a", 1, `{}`)}, 0, ""},
		"deletion while used":           {2, set{gone(service, "a", 5)}, 0, "service/a: deletion waits, route/r refers to it"},
		"both deleted":                  {2, set{gone(service, "a", 5), gone(route, "r", 6)}, 2, ""},
		"route moves and service goes":  {2, set{gone(service, "a", 5), rec(service, "b", 6, `{}`), rec(route, "r", 7, spec(route, "b"))}, 3, ""},
		"route to nothing":              {2, set{rec(route, "r", 5, spec(route, "x"))}, 0, "route/r: service: service/x does not exist"},
		"route to a held service": {
			2, set{rec(service, "b", 5, spec(service, "x")), rec(route, "r", 6, spec(route, "b"))}, 0, "route/r: service: service/b is held back",
		},
		"invalid record":          {2, set{rec(route, "r", 5, `{"prefix":"a"}`)}, 0, `route/r: prefix: "a" does not start with a slash`},
		"old fleet, expressible":  {1, set{plain}, 1, ""},
		"old fleet, inexpressive": {1, set{v2}, 0, "route/r: schema: live nodes read schema versions up to 1 only, and version 2 cannot be expressed in it"},
	} {
		t.Run(name, func(t *testing.T) {
			var h revision.Holder
			apply(t, &h, base)
			res := revision.Compose(h.Table(), c.list, c.format)
			require.Len(t, res.Changed, c.changed)
			for _, r := range res.Changed {
				require.True(t, r.GetDeleted() || r.GetSchema() <= c.format)
			}
			if c.held == "" {
				require.Empty(t, res.Held)
				return
			}
			require.Equal(t, c.held, record.Line(res.Held[len(res.Held)-1].GetFindings()[0]))
		})
	}
}

// apply composes a list and applies the revision.
func apply(t require.TestingT, h *revision.Holder, list []*wire.Record) *wire.Revision {
	res := revision.Compose(h.Table(), list, revision.FormatNow)
	rev, err := revision.Next(h.Table(), res, "change", "author", 1)
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	return rev
}

// TestComposeKeepsHeld shows that a list older than the table does not take
// back what the table says of a record that waits.
func TestComposeKeepsHeld(t *testing.T) {
	var h revision.Holder
	waits := rec(wire.Kind_KIND_ROUTE, "r", 5, spec(wire.Kind_KIND_ROUTE, "x"))
	apply(t, &h, []*wire.Record{waits})
	require.Len(t, h.Table().Held, 1)
	require.Equal(t, h.Table().Held, revision.Compose(h.Table(), nil, 2).Held)
	waits = rec(wire.Kind_KIND_ROUTE, "r", 6, `{}`)
	require.Equal(t, uint64(6), revision.Compose(h.Table(), []*wire.Record{waits}, 2).Held[0].GetVersion())
}

// TestNextIsBounded cuts a change that is too large for one object.
func TestNextIsBounded(t *testing.T) {
	var h revision.Holder
	body := fmt.Sprintf(`{"owner":"%0200d","note":"%0*d"}`, 1, 50_000, 1)
	var list []*wire.Record
	for i := range 60 {
		list = append(list, rec(wire.Kind_KIND_SERVICE, fmt.Sprintf("s%d", i), uint64(i+1), body))
	}
	steps := 0
	for res := revision.Compose(h.Table(), list, 2); len(res.Changed) > 0; res = revision.Compose(h.Table(), list, 2) {
		rev := apply(t, &h, list)
		size := 0
		for _, r := range rev.GetRecords() {
			size += len(r.GetBody())
		}
		require.Less(t, size*4/3, 1_000_000)
		steps++
	}
	require.Equal(t, 6, steps)
	require.Len(t, h.Table().Services, 60)
}
