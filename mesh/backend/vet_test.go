package backend

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateAnnouncementAfterRestart guards against sending calls to a server that
// is leaving. A node that has just restarted receives a delayed announcement that
// the server sent before it announced that it leaves; the health check must keep
// it from taking effect.
func TestLateAnnouncementAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		health Health
		next   []Announcement
		served bool
	}{
		"healthy":                   {health: Healthy, served: true},
		"leaving":                   {health: Unhealthy},
		"leaving, announced":        {health: Unhealthy, next: []Announcement{{Seq: 9, Leaving: true}}},
		"leaving, two delayed ones": {health: Unhealthy, next: []Announcement{{Seq: 3}, {Seq: 2}}},
		"leaving, delayed in order": {health: Unhealthy, next: []Announcement{{Seq: 5}, {Seq: 6}, {Seq: 7}, {Seq: 8}}},
		"other one, in order":       {health: OtherIncarnation, next: []Announcement{{Seq: 5}, {Seq: 6}, {Seq: 7}}},
		"leaving, as it states":     {health: HealthLeaving, next: []Announcement{{Seq: 5}, {Seq: 6}, {Seq: 7}}},
		"other incarnation answers": {health: OtherIncarnation},
		"no answer":                 {health: HealthUnclear},
		"no answer, newer ones":     {health: HealthUnclear, next: []Announcement{{Seq: 5}, {Seq: 6}}, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var inForce *Announcement
				a := NewAnnouncer(AnnouncerConfig{
					Lease: time.Minute, OnChange: func(in *Announcement) { inForce = in },
					CheckHealth: func(context.Context, *Announcement) Health { return c.health },
				})
				for _, in := range append([]Announcement{{Seq: 4}}, c.next...) {
					in.Service, in.Address, in.Slots, in.Name = "quotes", "127.0.0.1:9", 6, "a"
					_, err := a.Submit(&in)
					require.NoError(t, err)
					synctest.Wait()
				}
				require.Equal(t, c.served, inForce != nil && !inForce.Leaving)
				time.Sleep(maxHealthTries * (healthRetryDelay + healthTimeout)) // until the last health request has ended
				require.Equal(t, c.served, inForce != nil && !inForce.Leaving)
			})
		})
	}
}

// TestLeavingServerThatBecomesFull guards against counting late announcements after a failed health check, when later ones are refused.
func TestLeavingServerThatBecomesFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inForce *Announcement
		health := Unhealthy
		a := NewAnnouncer(AnnouncerConfig{
			Lease: time.Minute, OnChange: func(in *Announcement) { inForce = in },
			CheckHealth: func(context.Context, *Announcement) Health { return health },
		})
		announce := func(seq uint64) {
			_, err := a.Submit(&Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 6, Name: "a", Seq: seq})
			require.NoError(t, err)
			synctest.Wait()
		}
		announce(4)
		health = HealthUnclear
		for seq := range uint64(9) {
			announce(5 + seq)
			require.Nil(t, inForce, "announcement %d", 5+seq)
		}
		time.Sleep(maxHealthTries * healthRetryDelay) // until the check has ended
		health = Healthy
		announce(14)
		require.NotNil(t, inForce)
	})
}

// TestLivesOfNamedServers guards against stale announcements. In each sequence of
// announcements and ends of incarnations, some of them delayed, the newest
// incarnation must stay in force, and one that is leaving or has ended must not
// become available again.
func TestLivesOfNamedServers(t *testing.T) {
	in := func(name string, epoch, seq uint64, leaving bool) *Announcement {
		return &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 6, Name: name, Epoch: epoch, Seq: seq, Leaving: leaving}
	}
	type step struct {
		in    *Announcement
		end   string // name of an incarnation that has ended
		left  string // name of one that has stated its leaving in an answer
		epoch uint64 // its epoch; zero when not known
	}
	many := []step{{in: in("a", 0, 1, false)}, {end: "a"}}
	for i := range maxDepartures - 1 {
		many = append(many, step{end: fmt.Sprint("s", i)})
	}
	for name, c := range map[string]struct {
		steps   []step
		server  string // in force at the end
		leaving bool
	}{
		"leaving is final":                {[]step{{in: in("a", 0, 1, false)}, {in: in("a", 0, 2, true)}, {in: in("a", 0, 3, false)}}, "a", true},
		"a delayed one changes nothing":   {[]step{{in: in("a", 0, 4, true)}, {in: in("a", 0, 3, false)}}, "a", true},
		"ended without leaving":           {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("a", 0, 2, false)}}, "a", true},
		"next server at the address":      {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("b", 0, 1, false)}}, "b", false},
		"delayed one of previous server":  {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("b", 0, 1, false)}, {in: in("a", 0, 2, false)}}, "b", false},
		"restarted under its name":        {[]step{{in: in("a", 5, 9, true)}, {in: in("a", 7, 1, false)}}, "a", false},
		"delayed one of earlier epoch":    {[]step{{in: in("a", 7, 1, false)}, {in: in("a", 5, 9, true)}}, "a", false},
		"end of earlier epoch":            {[]step{{in: in("a", 7, 1, false)}, {end: "a", epoch: 5}}, "a", false},
		"leaving stated, not in force":    {[]step{{left: "a", epoch: 5}, {in: in("a", 5, 3, false)}}, "", false},
		"leaving stated, then the next":   {[]step{{left: "a", epoch: 5}, {in: in("a", 7, 3, false)}}, "a", false},
		"end before the restart":          {[]step{{end: "a", epoch: 5}, {in: in("a", 7, 1, false)}}, "a", false},
		"delayed leaving of previous one": {[]step{{in: in("a", 0, 1, false)}, {end: "a"}, {in: in("b", 0, 1, false)}, {in: in("a", 0, 2, true)}}, "b", false},
		"many others end":                 {append(many, step{in: in("b", 0, 1, false)}, step{in: in("a", 0, 2, false)}), "b", false},
		"end while none is known":         {[]step{{end: "a"}, {in: in("a", 0, 3, false)}}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var inForce *Announcement
			a := NewAnnouncer(AnnouncerConfig{Lease: time.Minute, OnChange: func(in *Announcement) { inForce = in }})
			for _, s := range c.steps {
				if s.left != "" {
					a.RecordLeaving(s.left, s.epoch)
					continue
				}
				if s.in == nil {
					a.EndIncarnation(s.end, s.epoch)
					continue
				}
				_, err := a.Submit(s.in)
				require.NoError(t, err)
			}
			if c.server == "" {
				require.Nil(t, inForce)
				return
			}
			require.NotNil(t, inForce)
			require.Equal(t, c.server, inForce.Name)
			require.Equal(t, c.leaving, inForce.Leaving)
		})
	}
}
