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

// Fixes the seed and the number of cases; command-line flags override both.
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

// drawRecord draws a valid, deleted or invalid record from a small key space.
func drawRecord(t *rapid.T, version uint64) *wire.Record {
	kind := wire.Kind(rapid.IntRange(1, 3).Draw(t, "kind"))
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	to := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to")
	if kind == wire.Kind_KIND_SERVICE && rapid.Bool().Draw(t, "plain") {
		to = ""
	}
	r := newRecord(kind, name, version, spec(kind, to))
	switch rapid.IntRange(0, 5).Draw(t, "state") {
	case 0, 1:
		r.Deleted, r.Body = true, nil
	case 2:
		r.Body = []byte(`{"prefix": 7, "policy": 7, "slots": "x"}`)
	}
	return r
}

// referenceOf returns the key that a record refers to. It does not use the code
// under test.
func referenceOf(r *wire.Record) (record.Key, bool) {
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
		if to, ok := referenceOf(r); ok && !r.GetDeleted() {
			if set[to] == nil || set[to].GetDeleted() {
				return false
			}
		}
	}
	return true
}

// bestSubset searches all subsets of the changes for the consistent one with the
// most upserts and, among these, the most deletions. It returns the versions of
// the resulting table and whether the subset is unique.
func bestSubset(table map[record.Key]*wire.Record, changes []*wire.Record) (map[record.Key]uint64, bool) {
	var versions map[record.Key]uint64
	bestScore, unique := -1, false
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
		if !valid || !consistent(set) || score < bestScore {
			continue
		}
		unique = score > bestScore
		bestScore, versions = score, map[record.Key]uint64{}
		for k, r := range set {
			versions[k] = r.GetVersion()
		}
	}
	return versions, unique
}

// TestComposeIsLargest compares Compose with an exhaustive search over all subsets
// of the changes, over several rounds in which each result is applied.
func TestComposeIsLargest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h revision.Holder
		platform := map[record.Key]*wire.Record{}
		version := uint64(0)
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(1, 5).Draw(t, "writes") {
				version++
				r := drawRecord(t, version)
				platform[record.KeyOf(r)] = r
			}
			var list, changes []*wire.Record
			for k, r := range platform {
				list = append(list, r)
				if r.GetVersion() > h.Table().Records[k].GetVersion() {
					changes = append(changes, r)
				}
			}
			want, unique := bestSubset(h.Table().Records, changes)
			require.True(t, unique)
			res := revision.Compose(h.Table(), list, revision.NewestFormat)
			require.Len(t, res.Held, len(changes)-len(res.Changed), "every record that is held back is listed")
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

// TestComposeHolds verifies the findings that operators see for records that are
// held back.
func TestComposeHolds(t *testing.T) {
	service, route := wire.Kind_KIND_SERVICE, wire.Kind_KIND_ROUTE
	type records = []*wire.Record
	tombstone := func(kind wire.Kind, name string, version uint64) *wire.Record {
		return &wire.Record{Kind: kind, Name: name, Version: version, Deleted: true}
	}
	v2 := newRecord(route, "r", 9, `{"prefix":"/a","service":"a","hedge":true}`)
	v2.Schema = 2
	plain := newRecord(route, "r", 9, `{"prefix":"/a","service":"a","timeout":"20ms"}`)
	plain.Schema = 2
	base := records{newRecord(service, "a", 3, `{}`), newRecord(route, "r", 2, spec(route, "a"))}
	for name, c := range map[string]struct {
		format  uint32
		list    records
		changed int
		held    string
	}{
		"stale list changes nothing":   {2, records{newRecord(service, "a", 1, `{}`)}, 0, ""},
		"deletion while used":          {2, records{tombstone(service, "a", 5)}, 0, "service/a: deletion is held back: route/r refers to it"},
		"both deleted":                 {2, records{tombstone(service, "a", 5), tombstone(route, "r", 6)}, 2, ""},
		"route moves, service deleted": {2, records{tombstone(service, "a", 5), newRecord(service, "b", 6, `{}`), newRecord(route, "r", 7, spec(route, "b"))}, 3, ""},
		"route to missing service":     {2, records{newRecord(route, "r", 5, spec(route, "x"))}, 0, "route/r: service: service/x does not exist"},
		"route to a held service": {
			2, records{newRecord(service, "b", 5, spec(service, "x")), newRecord(route, "r", 6, spec(route, "b"))}, 0, "route/r: service: service/b is held back",
		},
		"invalid record":             {2, records{newRecord(route, "r", 5, `{"prefix":"a"}`)}, 0, `route/r: prefix: "a" does not start with a slash`},
		"old fleet, expressible":     {1, records{plain}, 1, ""},
		"old fleet, not expressible": {1, records{v2}, 0, "route/r: schema: live nodes read schema versions up to 1 only, and version 2 cannot be expressed in it"},
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
			require.Equal(t, c.held, record.FormatFinding(res.Held[len(res.Held)-1].GetFindings()[0]))
		})
	}
}

// apply composes the records of a list, and builds and applies the revision.
func apply(t require.TestingT, h *revision.Holder, list []*wire.Record) *wire.Revision {
	res := revision.Compose(h.Table(), list, revision.NewestFormat)
	rev, err := revision.Next(h.Table(), res, "change", "author", 1)
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	return rev
}

// TestComposeKeepsHeld guards against losing held records from the table when
// Compose reads a list that is older than the table.
func TestComposeKeepsHeld(t *testing.T) {
	var h revision.Holder
	waits := newRecord(wire.Kind_KIND_ROUTE, "r", 5, spec(wire.Kind_KIND_ROUTE, "x"))
	apply(t, &h, []*wire.Record{waits})
	require.Len(t, h.Table().Held, 1)
	require.Equal(t, h.Table().Held, revision.Compose(h.Table(), nil, 2).Held)
	waits = newRecord(wire.Kind_KIND_ROUTE, "r", 6, `{}`)
	require.Equal(t, uint64(6), revision.Compose(h.Table(), []*wire.Record{waits}, 2).Held[0].GetVersion())
}

// TestNextIsBounded guards against revisions that are too large for one stored
// object: a large change must be split into several revisions.
func TestNextIsBounded(t *testing.T) {
	var h revision.Holder
	body := fmt.Sprintf(`{"owner":"%0200d","note":"%0*d"}`, 1, 50_000, 1)
	var list []*wire.Record
	for i := range 60 {
		list = append(list, newRecord(wire.Kind_KIND_SERVICE, fmt.Sprintf("s%d", i), uint64(i+1), body))
	}
	revisions := 0
	for res := revision.Compose(h.Table(), list, 2); len(res.Changed) > 0; res = revision.Compose(h.Table(), list, 2) {
		rev := apply(t, &h, list)
		size := 0
		for _, r := range rev.GetRecords() {
			size += len(r.GetBody())
		}
		require.Less(t, size*4/3, 1_000_000)
		revisions++
	}
	require.Equal(t, 6, revisions)
	require.Len(t, h.Table().Services, 60)
}
