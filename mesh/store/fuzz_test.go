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

// sample returns a table with some records and the revision that led there.
func sample(t testing.TB) (*revision.Holder, *wire.Revision) {
	var h revision.Holder
	list := []*wire.Record{
		{Kind: wire.Kind_KIND_SERVICE, Name: "quotes", Schema: 2, Version: 3, Body: []byte(`{"contact":{"team":"a"}}`)},
		{Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 1, Version: 4, Body: []byte(`{"prefix":"/q","service":"quotes"}`)},
		{Kind: wire.Kind_KIND_POLICY, Name: "gone", Version: 5, Deleted: true},
		{Kind: wire.Kind_KIND_ROUTE, Name: "waits", Schema: 1, Version: 6, Body: []byte(`{"prefix":"/q","service":"x"}`)},
	}
	rev, err := revision.Next(h.Table(), revision.Compose(h.Table(), list, revision.FormatNow), "change", "author", 1)
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	return &h, rev
}

// FuzzDecodeRecord decodes arbitrary record objects. One that passes every
// check is encoded again without loss.
func FuzzDecodeRecord(f *testing.F) {
	f.Add("route.quotes", []byte(`{"kind":"route","name":"quotes","schema":1,"spec":{"prefix":"/","service":"a<b"},"changes":["x"]}`))
	f.Add("service.", []byte(`{}`))
	f.Add("policy.a", []byte(`{"kind":"policy","name":"a","deleted":true}`))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		o := Object{Kind: KindRecord, Name: name, Version: 9, Body: body}
		r, err := DecodeRecord(o)
		if err != nil {
			return
		}
		require.Equal(t, uint64(9), r.GetVersion())
		if findings, _ := record.Check(r); len(findings) > 0 {
			return
		}
		again, err := EncodeRecord(r, "new", Changes(o))
		require.NoError(t, err)
		back, err := DecodeRecord(Object{Kind: KindRecord, Name: RecordName(record.KeyOf(r)), Version: 9, Body: again})
		require.NoError(t, err)
		changes := Changes(Object{Body: again})
		require.Equal(t, "new", changes[0])
		require.LessOrEqual(t, len(changes), MaxChanges)
		if !r.GetDeleted() {
			hub, _ := record.Decode(r)
			backHub, findings := record.Decode(back)
			require.Empty(t, findings)
			require.Equal(t, hub, backHub)
		}
	})
}

// FuzzDecodeRevision decodes arbitrary revision objects and offers them to a
// holder, which never panics and never holds a table that is not whole.
func FuzzDecodeRevision(f *testing.F) {
	_, rev := sample(f)
	body, err := EncodeRevision(rev)
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte(`{"number":"1","records":[{"kind":2,"name":"a","schema":9}],"format":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var h revision.Holder
		fo := follower{holder: &h, deliver: func(u *wire.Update) { _ = h.Apply(u) }}
		_ = fo.apply([]Object{{Kind: KindRevision, Name: RevisionName(1), Body: body}})
		checkTable(t, &h)
	})
}

func checkTable(t *testing.T, h *revision.Holder) {
	table := h.Table()
	for _, r := range table.Routes {
		require.NotNil(t, table.Services[r.Service])
	}
	for _, s := range table.Services {
		require.True(t, s.Policy == "" || table.Policies[s.Policy] != nil)
	}
}

// FuzzDecodePiece decodes arbitrary pieces and joins them to a snapshot.
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

// FuzzDecodeSnapshot decodes arbitrary snapshots and applies them over a table.
func FuzzDecodeSnapshot(f *testing.F) {
	h, rev := sample(f)
	plain, err := proto.Marshal(h.Table().Snapshot())
	require.NoError(f, err)
	f.Add(plain)
	f.Fuzz(func(t *testing.T, plain []byte) {
		var s wire.Snapshot
		if proto.Unmarshal(plain, &s) != nil {
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

// pointerStore answers every get with one body.
type pointerStore struct {
	Store
	body []byte
}

func (s pointerStore) Get(context.Context, string, string) (Object, error) {
	return Object{Version: 1, Body: s.body}, nil
}

// FuzzPointer reads arbitrary pointers and what they name.
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

// TestSnapshotInPieces keeps every piece of a snapshot that does not compress
// below 1 MB and joins them again.
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
	var packed bytes.Buffer
	for i, body := range pieces {
		require.Less(t, len(body), 1_000_000)
		data, err := decodePiece(Object{Body: body}, 7, uint32(i))
		require.NoError(t, err)
		packed.Write(data)
	}
	back, err := decodeSnapshot(packed.Bytes())
	require.NoError(t, err)
	require.True(t, proto.Equal(&s, back))
}
