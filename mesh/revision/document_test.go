package revision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

func newDocument(services []string, routes ...*wire.DocumentRoute) *wire.Document {
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

// TestDocumentTable verifies that a document replaces the whole table under its
// own number, and that older, different or invalid documents are rejected.
func TestDocumentTable(t *testing.T) {
	var h Holder
	apply := func(number uint64, d *wire.Document) error {
		s, err := NewDocument(number, d)
		require.NoError(t, err)
		return h.Apply(&wire.Update{Snapshot: s})
	}
	require.NoError(t, apply(7, newDocument([]string{"quotes", "old"}, routeTo("old"))))
	require.NoError(t, apply(19, newDocument([]string{"quotes"}, routeTo("quotes"))), "numbers may have gaps, and a service may be removed")
	table := h.Table()
	require.EqualValues(t, 19, table.Number)
	require.Equal(t, record.CallerLimits{MaxBodyBytes: 1 << 20, IdleTimeout: 15 * time.Second}, table.Limits)
	require.Nil(t, table.Services["old"])
	require.Equal(t, &record.Route{
		Name: "r", Hosts: []string{"h.example"}, Prefix: "/a/", Service: "quotes", Timeout: 2 * time.Second,
		Repeat: record.RepeatNever, LatencyObjective: 600 * time.Millisecond, MaxAttempts: 2,
	}, table.Routes[0])

	require.ErrorIs(t, apply(7, newDocument([]string{"quotes", "old"}, routeTo("old"))), ErrStale)
	require.ErrorIs(t, apply(19, newDocument([]string{"quotes"})), ErrDiverged)
	require.ErrorIs(t, apply(20, newDocument([]string{"quotes"}, routeTo("missing"))), ErrInvalid)
	require.ErrorIs(t, apply(20, newDocument([]string{"quotes", "quotes"})), ErrInvalid)
	heavy := routeTo("quotes")
	heavy.Parts = append(heavy.Parts, &wire.Part{Service: "quotes", Weight: 1 << 31})
	require.ErrorIs(t, apply(20, newDocument([]string{"quotes"}, heavy)), ErrInvalid)
	unlimited := newDocument([]string{"quotes"})
	unlimited.Limits.Idle = 1 << 63
	require.ErrorIs(t, apply(20, unlimited), ErrInvalid)
	require.Same(t, table, h.Table(), "a rejected document changes nothing")
}

// TestDocumentSync verifies that a peer that is behind receives the whole
// document, and that a document corrupted in transit is rejected.
func TestDocumentSync(t *testing.T) {
	var h, peer Holder
	s, err := NewDocument(3, newDocument([]string{"quotes"}, routeTo("quotes")))
	require.NoError(t, err)
	require.NoError(t, h.Apply(&wire.Update{Snapshot: s}))
	require.NoError(t, peer.Apply(h.UpdateSince(0, nil)))
	require.Equal(t, h.Table().Digest, peer.Table().Digest)
	require.Equal(t, h.Table().Routes, peer.Table().Routes)
	u := h.UpdateSince(0, nil)
	u.Snapshot.Document = append([]byte(nil), u.GetSnapshot().GetDocument()...)
	u.Snapshot.Document[len(u.Snapshot.Document)-1] ^= 1
	require.Error(t, new(Holder).Apply(u), "a document corrupted in transit is rejected")
}
