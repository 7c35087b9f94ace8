package revision_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

func newRecord(kind wire.Kind, name string, version uint64, body string) *wire.Record {
	return &wire.Record{Kind: kind, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

func service(name string, version uint64) *wire.Record {
	return newRecord(wire.Kind_KIND_SERVICE, name, version, fmt.Sprintf(`{"owner":"v%d"}`, version))
}

// chain returns holders at revisions 1 to n of one history, and the revisions.
// Each revision changes service a.
func chain(t *testing.T, n int) ([]*revision.Holder, []*wire.Revision) {
	var holders []*revision.Holder
	var revs []*wire.Revision
	for i := range n {
		h := &revision.Holder{}
		if i > 0 {
			require.NoError(t, h.Apply(&wire.Update{Revisions: revs}))
		}
		revs = append(revs, apply(t, h, []*wire.Record{service("a", uint64(i+1)), service("b", 1)}))
		holders = append(holders, h)
	}
	return holders, revs
}

// TestApplyRefuses applies stale, faulty and unreadable updates to a holder at
// revision 2. Each must be rejected with the right error and leave the table in
// force unchanged.
func TestApplyRefuses(t *testing.T) {
	holders, revs := chain(t, 4)
	snapshotWith := func(change func(*wire.Snapshot)) *wire.Update {
		s := proto.CloneOf(holders[3].Table().Snapshot())
		change(s)
		return &wire.Update{Snapshot: s}
	}
	nextWith := func(change func(*wire.Revision)) *wire.Update {
		r := proto.CloneOf(revs[2])
		change(r)
		return &wire.Update{Revisions: []*wire.Revision{r}}
	}
	other := &revision.Holder{}
	for i := range 3 {
		apply(t, other, []*wire.Record{service("a", 1), service("c", uint64(i+1))})
	}
	for name, c := range map[string]struct {
		update *wire.Update
		want   error
	}{
		"same revision":            {&wire.Update{Revisions: revs[:2]}, revision.ErrStale},
		"older snapshot":           {&wire.Update{Snapshot: holders[0].Table().Snapshot()}, revision.ErrStale},
		"empty":                    {&wire.Update{}, revision.ErrStale},
		"gap":                      {&wire.Update{Revisions: revs[3:]}, revision.ErrGap},
		"other parent":             {nextWith(func(r *wire.Revision) { r.Parent = []byte("x") }), revision.ErrGap},
		"other digest":             {nextWith(func(r *wire.Revision) { r.Digest[0]++ }), revision.ErrDigestMismatch},
		"no digest":                {nextWith(func(r *wire.Revision) { r.Digest = nil }), revision.ErrDigestMismatch},
		"body changed in transit":  {nextWith(func(r *wire.Revision) { r.Records[0].Body = []byte(`{}`) }), revision.ErrDigestMismatch},
		"record rolled back":       {nextWith(func(r *wire.Revision) { r.Records[0].Version = 2 }), revision.ErrRollback},
		"invalid record":           {nextWith(func(r *wire.Revision) { r.Records[0].Body = []byte(`{`) }), revision.ErrInvalid},
		"dangling reference":       {nextWith(func(r *wire.Revision) { r.Records[0].Body = []byte(`{"policy":"x"}`) }), revision.ErrInvalid},
		"newer format":             {nextWith(func(r *wire.Revision) { r.Format = revision.NewestFormat + 1 }), revision.ErrUnsupportedFormat},
		"newer schema":             {nextWith(func(r *wire.Revision) { r.Records[0].Schema = revision.NewestFormat + 1 }), revision.ErrUnsupportedFormat},
		"same number, other table": {&wire.Update{Snapshot: snapshotAt(t, other, 2)}, revision.ErrDiverged},
		"good, then bad":           {&wire.Update{Revisions: []*wire.Revision{revs[2], nextWith(func(r *wire.Revision) { r.Number = 4 }).GetRevisions()[0]}}, revision.ErrGap},
		"snapshot digest":          {snapshotWith(func(s *wire.Snapshot) { s.Digest[0]++ }), revision.ErrDigestMismatch},
		"snapshot rolls back":      {snapshotWith(func(s *wire.Snapshot) { s.Records[0].Version = 1 }), revision.ErrRollback},
		"snapshot lacks a record":  {snapshotWith(func(s *wire.Snapshot) { s.Records = s.Records[:1] }), revision.ErrRollback},
		"snapshot of other table":  {&wire.Update{Snapshot: other.Table().Snapshot()}, revision.ErrRollback},
		"snapshot with duplicate":  {snapshotWith(func(s *wire.Snapshot) { s.Records = append(s.Records, s.Records[1]) }), revision.ErrInvalid},
		"snapshot newer format":    {snapshotWith(func(s *wire.Snapshot) { s.Format++; s.Format += revision.NewestFormat }), revision.ErrUnsupportedFormat},
	} {
		t.Run(name, func(t *testing.T) {
			h := &revision.Holder{}
			require.NoError(t, h.Apply(&wire.Update{Revisions: revs[:2]}))
			before := h.Table()
			require.ErrorIs(t, h.Apply(c.update), c.want)
			require.Same(t, before, h.Table())
			require.NoError(t, h.Apply(&wire.Update{Revisions: revs}), "a valid update still applies")
			require.Equal(t, holders[3].Table().Digest, h.Table().Digest)
		})
	}
}

// snapshotAt returns the snapshot of a holder with its number replaced.
func snapshotAt(t *testing.T, h *revision.Holder, number uint64) *wire.Snapshot {
	u := h.UpdateSince(number-1, nil)
	s := u.GetSnapshot()
	require.NotNil(t, s)
	s.Number = number
	return s
}

// TestOldNodeKeepsWholeTable verifies that a node that reads only format 1
// rejects records of schema version 2 and keeps its table, and that
// CommonFormat takes such nodes into account unless they are dead.
func TestOldNodeKeepsWholeTable(t *testing.T) {
	newer := &revision.Holder{}
	old := &revision.Holder{MaxFormat: 1}
	first := apply(t, newer, []*wire.Record{service("a", 1)})
	require.NoError(t, old.Apply(&wire.Update{Revisions: []*wire.Revision{first}}))
	v2 := newRecord(wire.Kind_KIND_SERVICE, "a", 2, `{"domains":["kadikoy"]}`)
	v2.Schema = 2
	second := apply(t, newer, []*wire.Record{v2})
	require.Equal(t, uint32(2), second.GetFormat())
	require.ErrorIs(t, old.Apply(&wire.Update{Revisions: []*wire.Revision{second}}), revision.ErrUnsupportedFormat)
	require.ErrorIs(t, old.Apply(&wire.Update{Snapshot: newer.Table().Snapshot()}), revision.ErrUnsupportedFormat)
	require.Equal(t, first.GetDigest(), old.Table().Digest)
	require.Equal(t, uint32(1), revision.CommonFormat(map[string]*wire.Member{"a": {Format: 2}, "b": {}}))
	require.Equal(t, uint32(2), revision.CommonFormat(map[string]*wire.Member{"a": {Format: 2}, "b": {State: wire.State_STATE_DEAD}}))
}

// TestFloor guards against an instance that serves an older revision after a
// restart than before it.
func TestFloor(t *testing.T) {
	_, revs := chain(t, 3)
	h := &revision.Holder{}
	require.False(t, h.Ready(), "an empty table is not served")
	h.RaiseFloor(3)
	h.RaiseFloor(1)
	require.Equal(t, uint64(3), h.Floor())
	require.NoError(t, h.Apply(&wire.Update{Revisions: revs[:2]}))
	require.False(t, h.Ready(), "revision 2 is below the floor")
	require.NoError(t, h.Apply(&wire.Update{Revisions: revs[2:]}))
	require.True(t, h.Ready())
}

// TestSince verifies that the updates for a node that is behind lead it to the
// table in force: by revisions where these are smaller than a snapshot, and in
// messages of limited size.
func TestSince(t *testing.T) {
	big := func(i, version int) *wire.Record {
		return newRecord(wire.Kind_KIND_SERVICE, fmt.Sprintf("s%03d", i), uint64(version), fmt.Sprintf(`{"note":"%0*d"}`, 4000, version))
	}
	h := &revision.Holder{}
	var all []*wire.Record
	for i := range 140 {
		all = append(all, big(i, i+1))
	}
	apply(t, h, all)
	behind := map[string]*revision.Holder{}
	for i := range 400 {
		for name, at := range map[string]int{"one": 399, "few": 340, "many": 270, "lost": 20} {
			if i == at {
				behind[name] = &revision.Holder{}
				require.NoError(t, behind[name].Apply(&wire.Update{Snapshot: h.Table().Snapshot()}))
			}
		}
		apply(t, h, []*wire.Record{big(i%10, 1000+i)})
	}
	require.Nil(t, h.UpdateSince(h.Table().Number, h.Table().Digest))
	for name, want := range map[string]struct {
		messages int
		snapshot bool
	}{"one": {1, false}, "few": {1, false}, "many": {3, false}, "lost": {1, true}} {
		c, messages, snapshot := behind[name], 0, false
		for u := h.UpdateSince(c.Table().Number, c.Table().Digest); u != nil; u = h.UpdateSince(c.Table().Number, c.Table().Digest) {
			require.NoError(t, c.Apply(u))
			messages++
			snapshot = snapshot || u.GetSnapshot() != nil
			require.True(t, u.GetSnapshot() != nil || proto.Size(u) <= 1<<18+8192)
		}
		require.Equal(t, want.messages, messages, name)
		require.Equal(t, want.snapshot, snapshot, name)
		require.Equal(t, h.Table().Digest, c.Table().Digest, name)
	}
}

// newFleet returns a holder with 1,000 records, and the records: 190 policies, 190
// services and 620 routes.
func newFleet(b require.TestingT) (*revision.Holder, []*wire.Record) {
	var list []*wire.Record
	add := func(kind wire.Kind, i int, body string) {
		r := newRecord(kind, fmt.Sprintf("n%04d", i), uint64(len(list)+1), body)
		r.Schema = 2
		list = append(list, r)
	}
	for i := range 190 {
		add(wire.Kind_KIND_POLICY, i, `{"slots":6,"queue":{"length":12,"wait":"150ms"},"retry":{"percent":20,"attempts":3},"warmup":"10s"}`)
		add(wire.Kind_KIND_SERVICE, i, fmt.Sprintf(`{"policy":"n%04d","contact":{"team":"quoting","mail":"quoting@jieming.example"}}`, i))
	}
	for i := range 620 {
		add(wire.Kind_KIND_ROUTE, i, fmt.Sprintf(`{"prefix":"/n%d","service":"n%04d","timeout":"2s"}`, i, i%190))
	}
	h := &revision.Holder{}
	apply(b, h, list)
	return h, list
}

// BenchmarkRevision measures composing and applying a change of one route among
// 1,000 records.
func BenchmarkRevision(b *testing.B) {
	for name, run := range map[string]func(*revision.Holder, *wire.Revision, []*wire.Record) error{
		"compose": func(h *revision.Holder, _ *wire.Revision, list []*wire.Record) error {
			revision.Compose(h.Table(), list, 2)
			return nil
		},
		"apply": func(h *revision.Holder, rev *wire.Revision, _ []*wire.Record) error {
			return h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}})
		},
	} {
		b.Run(name, func(b *testing.B) {
			h, list := newFleet(b)
			last := len(list) - 1
			for i := range b.N {
				b.StopTimer()
				changed := proto.CloneOf(list[last])
				changed.Version, changed.Body = uint64(10_000+i), fmt.Appendf(nil, `{"prefix":"/n%d","service":"n0001"}`, i)
				list[last] = changed
				rev, err := revision.Next(h.Table(), revision.Compose(h.Table(), list, 2), "c", "n", 1)
				require.NoError(b, err)
				b.StartTimer()
				if err := run(h, rev, list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
