package store

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// records returns a configuration of n records: a tenth are policies, a fifth
// services and the rest routes.
func records(n int) []*wire.Record {
	var list []*wire.Record
	for i := range n {
		r := &wire.Record{Kind: wire.Kind_KIND_ROUTE, Name: fmt.Sprintf("n%05d", i), Schema: 2, Version: uint64(i + 1)}
		switch {
		case i < n/10:
			r.Kind = wire.Kind_KIND_POLICY
			r.Body = []byte(`{"slots":6,"queue":{"length":12,"wait":"150ms"},"retry":{"percent":20,"attempts":3},"warmup":"10s","drain":"20s"}`)
		case i < 3*n/10:
			r.Kind = wire.Kind_KIND_SERVICE
			r.Body = fmt.Appendf(nil, `{"policy":"n%05d","contact":{"team":"quoting","mail":"quoting@jieming.example"}}`, i%(n/10))
		default:
			r.Body = fmt.Appendf(nil, `{"prefix":"/n%d","service":"n%05d","timeout":"2s","hedge":true}`, i, n/10+i%(n/5))
		}
		list = append(list, r)
	}
	return list
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSlopes reports the sizes of a table, a snapshot and the change of one
// route for several sizes of the configuration. It times encoding, decoding and
// applying a snapshot.
func BenchmarkSlopes(b *testing.B) {
	for _, n := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			list := records(n)
			before := heapBytes()
			h := &revision.Holder{}
			for res := revision.Compose(h.Table(), list, 2); len(res.Changed) > 0; res = revision.Compose(h.Table(), list, 2) {
				rev, err := revision.Next(h.Table(), res, "c", "n", 1)
				require.NoError(b, err)
				require.NoError(b, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
			}
			tableBytes := heapBytes() - before
			changed := proto.CloneOf(list[n-1])
			changed.Version, changed.Body = uint64(2*n), append([]byte(" "), changed.Body...)
			rev, err := revision.Next(h.Table(), revision.Compose(h.Table(), []*wire.Record{changed}, 2), "36 characters as a UUID has, so many", "instance-name", 1)
			require.NoError(b, err)
			body, err := EncodeRevision(rev)
			require.NoError(b, err)
			pieceBytes := 0
			for b.Loop() {
				pieces, err := encodeSnapshot(h.Table().Snapshot())
				require.NoError(b, err)
				data, err := decodePiece(Object{Body: pieces[0]}, h.Table().Number, 0)
				require.NoError(b, err)
				s, err := decodeSnapshot(data)
				require.NoError(b, err)
				var joiner revision.Holder
				require.NoError(b, joiner.Apply(&wire.Update{Snapshot: s}))
				pieceBytes = len(pieces[0])
			}
			b.ReportMetric(float64(tableBytes), "heap-B")
			b.ReportMetric(float64(proto.Size(h.Table().Snapshot())), "snapshot-B")
			b.ReportMetric(float64(pieceBytes), "piece-B")
			b.ReportMetric(float64(proto.Size(rev)), "delta-B")
			b.ReportMetric(float64(len(body)), "revision-B")
			runtime.KeepAlive(h)
		})
	}
}
