package revision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

func document(services []string, routes ...*wire.DocumentRoute) *wire.Document {
	d := &wire.Document{Limits: &wire.CallerLimits{Body: 1 << 20, Idle: 15000}, Routes: routes}
	for _, s := range services {
		d.Services = append(d.Services, &wire.DocumentService{Name: s, Health: "/health", Conns: 110})
	}
	return d
}

func routeTo(service string) *wire.DocumentRoute {
	return &wire.DocumentRoute{
		Name: "r", Host: "h.example", Prefix: "/a/", Parts: []*wire.Part{{Service: service, Weight: 1}}, Objective: 600, Timeout: 2000, Attempts: 2,
	}
}

// TestDocumentTable takes a document whole, under its own number, and moves
// forward only.
func TestDocumentTable(t *testing.T) {
	var h Holder
	apply := func(number uint64, d *wire.Document) error {
		s, err := NewDocument(number, d)
		require.NoError(t, err)
		return h.Apply(&wire.Update{Snapshot: s})
	}
	require.NoError(t, apply(7, document([]string{"quotes", "old"}, routeTo("old"))))
	require.NoError(t, apply(19, document([]string{"quotes"}, routeTo("quotes"))), "numbers may skip, and a service may go")
	table := h.Table()
	require.EqualValues(t, 19, table.Number)
	require.Equal(t, record.Limits{Body: 1 << 20, Idle: 15 * time.Second}, table.Limits)
	require.Nil(t, table.Services["old"])
	require.Equal(t, &record.Route{
		Name: "r", Hosts: []string{"h.example"}, Prefix: "/a/", Service: "quotes", Timeout: 2 * time.Second,
		Repeat: record.RepeatNever, Objective: 600 * time.Millisecond, Attempts: 2,
	}, table.Routes[0])

	require.ErrorIs(t, apply(7, document([]string{"quotes", "old"}, routeTo("old"))), ErrStale)
	require.ErrorIs(t, apply(19, document([]string{"quotes"})), ErrDiverged)
	require.ErrorIs(t, apply(20, document([]string{"quotes"}, routeTo("missing"))), ErrInvalid)
	require.ErrorIs(t, apply(20, document([]string{"quotes", "quotes"})), ErrInvalid)
	require.Same(t, table, h.Table(), "a refused document changes nothing")
}

// TestDocumentTravels gives a peer that is behind the whole document.
func TestDocumentTravels(t *testing.T) {
	var h, peer Holder
	s, err := NewDocument(3, document([]string{"quotes"}, routeTo("quotes")))
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Snapshot: s}))
	require.NoError(t, peer.Apply(h.Since(0, nil)))
	require.Equal(t, h.Table().Digest, peer.Table().Digest)
	require.Equal(t, h.Table().Routes, peer.Table().Routes)
	u := h.Since(0, nil)
	u.Snapshot.Document = append([]byte(nil), u.GetSnapshot().GetDocument()...)
	u.Snapshot.Document[len(u.Snapshot.Document)-1] ^= 1
	require.Error(t, new(Holder).Apply(u), "a document that was changed on its way is refused")
}
