package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateAnnouncementAfterRestart gives a node that has just started an
// announcement from before its backend server said that it leaves: the server
// gets no call.
func TestLateAnnouncementAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		health Health
		next   []Announcement
		served bool
	}{
		"well":                      {health: Well, served: true},
		"leaving":                   {health: Unwell},
		"leaving, says so":          {health: Unwell, next: []Announcement{{Seq: 9, Leaving: true}}},
		"leaving, two late ones":    {health: Unwell, next: []Announcement{{Seq: 3}, {Seq: 2}}},
		"another life answers":      {health: Elsewhere},
		"no answer":                 {health: Unclear},
		"no answer, but it goes on": {health: Unclear, next: []Announcement{{Seq: 5}, {Seq: 6}}, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var now *Announcement
				a := NewAnnouncer(AnnouncerConfig{
					Lease: time.Minute, Change: func(in *Announcement) { now = in },
					Health: func(context.Context, *Announcement) Health { return c.health },
				})
				for _, in := range append([]Announcement{{Seq: 4}}, c.next...) {
					in.Service, in.Address, in.Slots, in.Name = "quotes", "127.0.0.1:9", 6, "a"
					_, err := a.Take(&in)
					require.NoError(t, err)
					synctest.Wait()
				}
				require.Equal(t, c.served, now != nil && !now.Leaving)
				time.Sleep(vetTries * (vetPause + vetTimeout)) // the last question ends
				require.Equal(t, c.served, now != nil && !now.Leaving)
			})
		})
	}
}

// TestLivesOfNamedServers checks which announcements of which lives hold.
func TestLivesOfNamedServers(t *testing.T) {
	in := func(name string, epoch, seq uint64, leaving bool) *Announcement {
		return &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 6, Name: name, Epoch: epoch, Seq: seq, Leaving: leaving}
	}
	type step struct {
		in   *Announcement
		end  string // a server that says it is gone
		born uint64 // epoch that it names
	}
	for name, c := range map[string]struct {
		steps   []step
		server  string // in force at the end
		leaving bool
	}{
		"leaving is final":               {[]step{{in: in("a", 0, 1, false)}, {in: in("a", 0, 2, true)}, {in: in("a", 0, 3, false)}}, "a", true},
		"a late one changes nothing":     {[]step{{in: in("a", 0, 4, true)}, {in: in("a", 0, 3, false)}}, "a", true},
		"gone without leaving":           {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("a", 0, 2, false)}}, "a", true},
		"the next at the address":        {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("b", 0, 1, false)}}, "b", false},
		"late one of the one before":     {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("b", 0, 1, false)}, {in: in("a", 0, 2, false)}}, "b", false},
		"born again under its name":      {[]step{{in: in("a", 5, 9, true)}, {in: in("a", 7, 1, false)}}, "a", false},
		"late one of the life before":    {[]step{{in: in("a", 7, 1, false)}, {in: in("a", 5, 9, true)}}, "a", false},
		"end of the life before":         {[]step{{in: in("a", 7, 1, false)}, {end: "a", born: 5}}, "a", false},
		"end that came before the birth": {[]step{{end: "a", born: 5}, {in: in("a", 7, 1, false)}}, "a", false},
		"end while nothing is known":     {[]step{{end: "a"}, {in: in("a", 0, 3, false)}}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var now *Announcement
			a := NewAnnouncer(AnnouncerConfig{Lease: time.Minute, Change: func(in *Announcement) { now = in }})
			for _, s := range c.steps {
				if s.in == nil {
					a.End(s.end, s.born)
					continue
				}
				_, err := a.Take(s.in)
				require.NoError(t, err)
			}
			if c.server == "" {
				require.Nil(t, now)
				return
			}
			require.NotNil(t, now)
			require.Equal(t, c.server, now.Name)
			require.Equal(t, c.leaving, now.Leaving)
		})
	}
}
