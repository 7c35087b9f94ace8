package store

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// sample returns a holder with a table of some records, one of them held back, and
// the revision that created the table.
func sample(t testing.TB) (*revision.Holder, *wire.Revision) {
	var h revision.Holder
	list := []*wire.Record{
		{Kind: wire.Kind_KIND_SERVICE, Name: "quotes", Schema: 2, Version: 3, Body: []byte(`{"contact":{"team":"a"}}`)},
		{Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 1, Version: 4, Body: []byte(`{"prefix":"/q","service":"quotes"}`)},
		{Kind: wire.Kind_KIND_POLICY, Name: "gone", Version: 5, Deleted: true},
		{Kind: wire.Kind_KIND_ROUTE, Name: "waits", Schema: 1, Version: 6, Body: []byte(`{"prefix":"/q","service":"x"}`)},
	}
	rev, err := revision.Next(h.Table(), revision.Compose(h.Table(), list, revision.NewestFormat), "change", "author", 1)
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	return &h, rev
}

// FuzzDecodeRecord decodes arbitrary record objects and checks that a record
// without findings survives being encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add("route.quotes", []byte(`{"kind":"route","name":"quotes","schema":1,"spec":{"prefix":"/","service":"a<b"},"changes":["x"]}`))
	f.Add("service.", []byte(`{}`))
	f.Add("policy.a", []byte(`{"kind":"policy","name":"a","deleted":true}`))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		o := Object{Kind: KindRecord, Name: name, Version: Version{Revision: 9}, Body: body}
		r, err := DecodeRecord(o)
		if err != nil {
			return
		}
		require.Equal(t, uint64(9), r.GetVersion())
		if findings, _ := record.Check(r); len(findings) > 0 {
			return
		}
		reencoded, err := EncodeRecord(r, "new", ChangeIDs(o))
		require.NoError(t, err)
		roundTripped, err := DecodeRecord(Object{Kind: KindRecord, Name: RecordName(record.KeyOf(r)), Version: Version{Revision: 9}, Body: reencoded})
		require.NoError(t, err)
		changes := ChangeIDs(Object{Body: reencoded})
		require.Equal(t, "new", changes[0])
		require.LessOrEqual(t, len(changes), MaxChangeIDs)
		if !r.GetDeleted() {
			decoded, _ := record.Decode(r)
			roundTrippedDecoded, findings := record.Decode(roundTripped)
			require.Empty(t, findings)
			require.Equal(t, decoded, roundTrippedDecoded)
		}
	})
}

// FuzzDecodeRevision applies arbitrary revision objects to a holder, which must not
// panic and must never hold a table with dangling references.
func FuzzDecodeRevision(f *testing.F) {
	_, rev := sample(f)
	body, err := EncodeRevision(rev)
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte(`{"number":"1","records":[{"kind":2,"name":"a","schema":9}],"format":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var h revision.Holder
		follow := follower{holder: &h, deliver: func(u *wire.Update) { _ = h.Apply(u) }}
		_ = follow.apply([]Object{{Kind: KindRevision, Name: RevisionName(1), Body: body}})
		checkTable(t, &h)
	})
}

// checkTable checks that every reference in the table in force resolves.
func checkTable(t *testing.T, h *revision.Holder) {
	table := h.Table()
	for _, r := range table.Routes {
		require.NotNil(t, table.Services[r.Service])
	}
	for _, s := range table.Services {
		require.True(t, s.Policy == "" || table.Policies[s.Policy] != nil)
	}
}

// FuzzDecodePiece decodes arbitrary pieces, and the snapshots that they hold.
func FuzzDecodePiece(f *testing.F) {
	h, _ := sample(f)
	pieces, err := encodeSnapshot(h.Table().Snapshot())
	require.NoError(f, err)
	f.Add(pieces[0])
	f.Add([]byte(`{"number":"1","data":"KLUv/QBYAQAA"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		data, err := decodePiece(Object{Kind: KindSnapshot, Body: body}, 1, 0)
		if err != nil {
			return
		}
		if s, err := decodeSnapshot(data); err == nil {
			var h revision.Holder
			_ = h.Apply(&wire.Update{Snapshot: s})
			checkTable(t, &h)
		}
	})
}

// FuzzDecodeSnapshot applies arbitrary snapshots to a holder with a table. A
// snapshot that is refused must leave the table unchanged.
func FuzzDecodeSnapshot(f *testing.F) {
	h, rev := sample(f)
	encoded, err := proto.Marshal(h.Table().Snapshot())
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var s wire.Snapshot
		if proto.Unmarshal(encoded, &s) != nil {
			return
		}
		var h revision.Holder
		require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
		before := h.Table()
		if h.Apply(&wire.Update{Snapshot: &s}) != nil {
			require.Same(t, before, h.Table())
		}
		checkTable(t, &h)
	})
}

// pointerStore returns the same body for every Get.
type pointerStore struct {
	Store
	body []byte
}

func (s pointerStore) Get(context.Context, string, string) (Object, error) {
	return Object{Version: Version{Revision: 1}, Body: s.body}, nil
}

// FuzzPointer reads arbitrary pointers and the snapshots that they name.
func FuzzPointer(f *testing.F) {
	f.Add([]byte(`{"snapshot":"1","pieces":4294967295,"change":"x"}`))
	f.Add([]byte(`{"snapshot":"0","oldest":"18446744073709551615"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := pointerStore{body: body}
		p, _, err := readPointer(context.Background(), s)
		if err != nil {
			return
		}
		if _, err := readSnapshot(context.Background(), s, p); err == nil {
			require.LessOrEqual(t, p.GetPieces(), uint32(maxPieces))
		}
	})
}

// TestSnapshotInPieces checks that every piece of a large snapshot that does not
// compress stays below the platform's limit of 1 MB, and that the joined pieces
// decode to the snapshot.
func TestSnapshotInPieces(t *testing.T) {
	var s wire.Snapshot
	s.Number = 7
	for i := range 40 {
		body := make([]byte, 60_000)
		state := uint64(i + 1)
		for j := range body {
			state = state*6364136223846793005 + 1442695040888963407
			body[j] = byte(state >> 56)
		}
		s.Records = append(s.Records, &wire.Record{Name: "a", Body: body})
	}
	pieces, err := encodeSnapshot(&s)
	require.NoError(t, err)
	require.Len(t, pieces, 4)
	var compressed bytes.Buffer
	for i, body := range pieces {
		require.Less(t, len(body), 1_000_000)
		data, err := decodePiece(Object{Body: body}, 7, uint32(i))
		require.NoError(t, err)
		compressed.Write(data)
	}
	roundTripped, err := decodeSnapshot(compressed.Bytes())
	require.NoError(t, err)
	require.True(t, proto.Equal(&s, roundTripped))
}
