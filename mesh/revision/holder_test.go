package revision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

func rec(kind wire.Kind, name string, version uint64, body string) *wire.Record {
	return &wire.Record{Kind: kind, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

func TestComposeHoldsRouteWithoutService(t *testing.T) {
	var h revision.Holder
	route := rec(wire.Kind_KIND_ROUTE, "quotes", 1, `{"prefix":"/quotes","service":"quotes"}`)
	res := revision.Compose(h.Table(), []*wire.Record{route})
	require.Empty(t, res.Changed)
	require.Len(t, res.Held, 1)

	service := rec(wire.Kind_KIND_SERVICE, "quotes", 2, `{}`)
	res = revision.Compose(h.Table(), []*wire.Record{route, service})
	require.Len(t, res.Changed, 2)
	require.Empty(t, res.Held)

	rev, err := revision.Next(h.Table(), res, "a", "n", 1)
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	require.ErrorIs(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}), revision.ErrStale)
	require.Equal(t, uint64(1), h.Table().Number)
	require.Len(t, h.Table().Routes, 1)
}
