package revision_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

func rec(kind wire.Kind, name string, version uint64, body string) *wire.Record {
	return &wire.Record{Kind: kind, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

func service(name string, version uint64) *wire.Record {
	return rec(wire.Kind_KIND_SERVICE, name, version, fmt.Sprintf(`{"owner":"v%d"}`, version))
}

// chain returns holders at revisions 1 to n of one history, each of which
// changes service a, and the revisions.
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

// TestApplyRefuses offers a holder at revision 2 updates that are wrong: each
// is refused for its reason, and the table in force stays whole.
func TestApplyRefuses(t *testing.T) {
	holders, revs := chain(t, 4)
	snapshot := func(change func(*wire.Snapshot)) *wire.Update {
		s := proto.CloneOf(holders[3].Table().Snapshot())
		change(s)
		return &wire.Update{Snapshot: s}
	}
	next := func(change func(*wire.Revision)) *wire.Update {
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
		"other parent":             {next(func(r *wire.Revision) { r.Parent = []byte("x") }), revision.ErrGap},
		"other digest":             {next(func(r *wire.Revision) { r.Digest[0]++ }), revision.ErrDigest},
		"no digest":                {next(func(r *wire.Revision) { r.Digest = nil }), revision.ErrDigest},
		"body changed on the way":  {next(func(r *wire.Revision) { r.Records[0].Body = []byte(`{}`) }), revision.ErrDigest},
		"record goes back":         {next(func(r *wire.Revision) { r.Records[0].Version = 2 }), revision.ErrBackwards},
		"invalid record":           {next(func(r *wire.Revision) { r.Records[0].Body = []byte(`{`) }), revision.ErrInvalid},
		"dangling reference":       {next(func(r *wire.Revision) { r.Records[0].Body = []byte(`{"policy":"x"}`) }), revision.ErrInvalid},
		"newer format":             {next(func(r *wire.Revision) { r.Format = revision.FormatNow + 1 }), revision.ErrFormat},
		"newer schema":             {next(func(r *wire.Revision) { r.Records[0].Schema = revision.FormatNow + 1 }), revision.ErrFormat},
		"same number, other table": {&wire.Update{Snapshot: snapshotAt(t, other, 2)}, revision.ErrDiverged},
		"good, then bad":           {&wire.Update{Revisions: []*wire.Revision{revs[2], next(func(r *wire.Revision) { r.Number = 4 }).GetRevisions()[0]}}, revision.ErrGap},
		"snapshot digest":          {snapshot(func(s *wire.Snapshot) { s.Digest[0]++ }), revision.ErrDigest},
		"snapshot goes back":       {snapshot(func(s *wire.Snapshot) { s.Records[0].Version = 1 }), revision.ErrBackwards},
		"snapshot loses a name":    {snapshot(func(s *wire.Snapshot) { s.Records = s.Records[:1] }), revision.ErrBackwards},
		"snapshot of other table":  {&wire.Update{Snapshot: other.Table().Snapshot()}, revision.ErrBackwards},
		"snapshot names twice":     {snapshot(func(s *wire.Snapshot) { s.Records = append(s.Records, s.Records[1]) }), revision.ErrInvalid},
		"snapshot newer format":    {snapshot(func(s *wire.Snapshot) { s.Format++; s.Format += revision.FormatNow }), revision.ErrFormat},
	} {
		t.Run(name, func(t *testing.T) {
			h := &revision.Holder{}
			require.NoError(t, h.Apply(&wire.Update{Revisions: revs[:2]}))
			before := h.Table()
			require.ErrorIs(t, h.Apply(c.update), c.want)
			require.Same(t, before, h.Table())
			require.NoError(t, h.Apply(&wire.Update{Revisions: revs}), "the right update still applies")
			require.Equal(t, holders[3].Table().Digest, h.Table().Digest)
		})
	}
}

func snapshotAt(t *testing.T, h *revision.Holder, number uint64) *wire.Snapshot {
	u := h.Since(number-1, nil)
	s := u.GetSnapshot()
	require.NotNil(t, s)
	s.Number = number
	return s
}

// TestOldNodeKeepsWholeTable shows that a node of format 1 keeps its table when
// the fleet moves on to schema version 2.
func TestOldNodeKeepsWholeTable(t *testing.T) {
	newer := &revision.Holder{}
	old := &revision.Holder{Newest: 1}
	first := apply(t, newer, []*wire.Record{service("a", 1)})
	require.NoError(t, old.Apply(&wire.Update{Revisions: []*wire.Revision{first}}))
	v2 := rec(wire.Kind_KIND_SERVICE, "a", 2, `{"domains":["kadikoy"]}`)
	v2.Schema = 2
	second := apply(t, newer, []*wire.Record{v2})
	require.Equal(t, uint32(2), second.GetFormat())
	require.ErrorIs(t, old.Apply(&wire.Update{Revisions: []*wire.Revision{second}}), revision.ErrFormat)
	require.ErrorIs(t, old.Apply(&wire.Update{Snapshot: newer.Table().Snapshot()}), revision.ErrFormat)
	require.Equal(t, first.GetDigest(), old.Table().Digest)
	require.Equal(t, uint32(1), revision.Format(map[string]*wire.Member{"a": {Format: 2}, "b": {}}))
	require.Equal(t, uint32(2), revision.Format(map[string]*wire.Member{"a": {Format: 2}, "b": {State: wire.State_STATE_DEAD}}))
}

// TestFloor shows that an instance that restarted serves nothing below what it
// reported before.
func TestFloor(t *testing.T) {
	_, revs := chain(t, 3)
	h := &revision.Holder{}
	require.False(t, h.Ready(), "an empty table is not served")
	h.Raise(3)
	h.Raise(1)
	require.Equal(t, uint64(3), h.Floor())
	require.NoError(t, h.Apply(&wire.Update{Revisions: revs[:2]}))
	require.False(t, h.Ready(), "revision 2 is below the floor")
	require.NoError(t, h.Apply(&wire.Update{Revisions: revs[2:]}))
	require.True(t, h.Ready())
}

// TestSince shows that what a node gets leads it to the table in force, by
// deltas where these are smaller, in updates of bounded size.
func TestSince(t *testing.T) {
	big := func(i, version int) *wire.Record {
		return rec(wire.Kind_KIND_SERVICE, fmt.Sprintf("s%03d", i), uint64(version), fmt.Sprintf(`{"note":"%0*d"}`, 4000, version))
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
	require.Nil(t, h.Since(h.Table().Number, h.Table().Digest))
	for name, want := range map[string]struct {
		messages int
		snapshot bool
	}{"one": {1, false}, "few": {1, false}, "many": {3, false}, "lost": {1, true}} {
		c, messages, snapshot := behind[name], 0, false
		for u := h.Since(c.Table().Number, c.Table().Digest); u != nil; u = h.Since(c.Table().Number, c.Table().Digest) {
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

// fleet returns a holder with 190 services, 190 policies and routes up to 1,000
// records, and the records.
func fleet(b require.TestingT) (*revision.Holder, []*wire.Record) {
	var list []*wire.Record
	add := func(kind wire.Kind, i int, body string) {
		r := rec(kind, fmt.Sprintf("n%04d", i), uint64(len(list)+1), body)
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

// BenchmarkRevision composes and applies the change of one route among 1,000
// records.
func BenchmarkRevision(b *testing.B) {
	for name, step := range map[string]func(*revision.Holder, *wire.Revision, []*wire.Record) error{
		"compose": func(h *revision.Holder, _ *wire.Revision, list []*wire.Record) error {
			revision.Compose(h.Table(), list, 2)
			return nil
		},
		"apply": func(h *revision.Holder, rev *wire.Revision, _ []*wire.Record) error {
			return h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}})
		},
	} {
		b.Run(name, func(b *testing.B) {
			h, list := fleet(b)
			at := len(list) - 1
			for i := range b.N {
				b.StopTimer()
				changed := proto.CloneOf(list[at])
				changed.Version, changed.Body = uint64(10_000+i), fmt.Appendf(nil, `{"prefix":"/n%d","service":"n0001"}`, i)
				list[at] = changed
				rev, err := revision.Next(h.Table(), revision.Compose(h.Table(), list, 2), "c", "n", 1)
				require.NoError(b, err)
				b.StartTimer()
				if err := step(h, rev, list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
