package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDiscover plays the restart of a node beside a running server. The server that
// answers the health request takes calls before its next announcement, which then
// replaces it; one that is leaving, has ended or doesn't announce itself does not
// stay.
func TestDiscover(t *testing.T) {
	const lease = 12 * time.Second
	announced := &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 12, Name: "a", Epoch: 7, Seq: 4}
	leaving := *announced
	leaving.Leaving = true
	for name, c := range map[string]struct {
		foundAfter time.Duration // since the start; zero for never
		announce   *Announcement // half a second after the start
		ended      bool          // the server deregisters half a second after the start
		early      int           // slots in force before half a second have passed; zero for no server
		late       int           // slots in force after the lease of a server that was found
	}{
		"found, then announced":    {foundAfter: time.Millisecond, announce: announced, early: discoveredSlots, late: 12},
		"found, never announced":   {foundAfter: time.Millisecond, early: discoveredSlots},
		"found, then leaving":      {foundAfter: time.Millisecond, announce: &leaving, early: discoveredSlots},
		"found, then deregistered": {foundAfter: time.Millisecond, ended: true, early: discoveredSlots},
		"announced first":          {foundAfter: time.Second, announce: announced, late: 12},
		"leaving first":            {foundAfter: time.Second, announce: &leaving},
		"ended first":              {foundAfter: time.Second, ended: true},
		"found late":               {foundAfter: 4 * time.Second},
		"never found":              {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var inForce *Announcement
				a := NewAnnouncer(AnnouncerConfig{
					Lease: lease, OnChange: func(in *Announcement) { inForce = in },
					CheckHealth: func(context.Context, *Announcement) Health { return Healthy },
					Discover: func(context.Context) *Announcement {
						if c.foundAfter == 0 || time.Since(start) < c.foundAfter {
							return nil
						}
						return &Announcement{Service: "quotes", Address: "127.0.0.1:9", Name: "a"}
					},
				})
				slots := func() int {
					if inForce == nil || inForce.Leaving {
						return 0
					}
					return inForce.Slots
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- a.Run(ctx) }()
				time.Sleep(lease/discoveredLeaseDivisor/6 - time.Millisecond)
				require.Equal(t, c.early, slots())
				time.Sleep(time.Millisecond)
				if c.announce != nil {
					_, err := a.Submit(c.announce)
					require.NoError(t, err)
				}
				if c.ended {
					a.EndIncarnation("a", 7)
				}
				time.Sleep(lease / 2)
				require.Equal(t, c.late, slots())
				cancel()
				require.NoError(t, <-done)
			})
		})
	}
}
