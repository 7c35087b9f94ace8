package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAnnouncementFindings(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		code int
		want []string
	}{
		"whole":         {`{"service":"quotes","address":"127.0.0.1:9","slots":6,"epoch":1}`, http.StatusNoContent, nil},
		"own address":   {`{"service":"quotes","address":"10.0.0.1:9","slots":6,"epoch":1}`, http.StatusNoContent, nil},
		"no JSON":       {`{`, http.StatusBadRequest, []string{"announcement"}},
		"all wrong":     {`{"address":"x","slots":0}`, http.StatusBadRequest, []string{"service", "address", "slots"}},
		"other address": {`{"service":"quotes","address":"10.0.0.2:9","slots":6}`, http.StatusBadRequest, []string{"10.0.0.2"}},
		"absurd slots":  {`{"service":"quotes","address":"127.0.0.1:0","slots":1000000}`, http.StatusBadRequest, []string{"slots", "no port"}},
		"long service":  {`{"service":"` + strings.Repeat("q", 300) + `","address":"127.0.0.1:9","slots":1}`, http.StatusBadRequest, []string{"253"}},
		"too long":      {strings.Repeat(" ", maxAnnouncement+1) + `{}`, http.StatusBadRequest, []string{"too large"}},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAnnouncer(AnnouncerConfig{Lease: time.Second, Change: func(*Announcement) {}, Local: Hosts("10.0.0.1:1")})
			w := httptest.NewRecorder()
			a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/announce", strings.NewReader(c.body)))
			require.Equal(t, c.code, w.Code, w.Body.String())
			for _, want := range c.want {
				require.Contains(t, w.Body.String(), want)
			}
		})
	}
}

func TestAnnouncementLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []*Announcement
		a := NewAnnouncer(AnnouncerConfig{Lease: time.Second, Change: func(in *Announcement) { got = append(got, in) }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- a.Run(ctx) }()
		in := &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 1, Epoch: 2}
		for range 5 {
			require.True(t, a.take(in))
			time.Sleep(900 * time.Millisecond)
		}
		synctest.Wait()
		require.Equal(t, []*Announcement{in}, got, "renewals are no change")
		require.False(t, a.take(&Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 1, Epoch: 1}), "an earlier life")
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []*Announcement{in, nil}, got, "a lease that is not renewed lapses")
		cancel()
		require.NoError(t, <-done)
	})
}

// TestLeaseMachine checks that what is in force is the last announcement that
// was renewed in time or nothing, that leaving takes effect at once, and that a
// server that comes and goes appears a bounded number of times.
func TestLeaseMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := lease{term: time.Second}
		now := time.UnixMilli(1_000_000)
		var seen time.Time
		var last *Announcement
		var appeared []time.Time
		changed := func() {
			before := l.inForce
			next, ok := l.effect(now)
			if ok && next != nil && (before == nil || before.Epoch != next.Epoch || before.Service != next.Service) {
				appeared = append(appeared, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(t *rapid.T) {
				in := &Announcement{
					Service: rapid.SampledFrom([]string{"quotes", "stock"}).Draw(t, "service"), Address: "127.0.0.1:9", Slots: 1,
					Leaving: rapid.Bool().Draw(t, "leaving"), Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "epoch")),
				}
				if l.renew(in, now) {
					last, seen = in, now
				}
				changed()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				changed()
			},
			"": func(t *rapid.T) {
				if l.inForce != nil {
					require.Equal(t, last, l.inForce, "only the newest announcement is in force")
					require.LessOrEqual(t, now.Sub(seen), l.term)
				}
				n := 0
				for _, at := range appeared {
					if now.Sub(at) < flapWindow {
						n++
					}
				}
				require.LessOrEqual(t, n, maxFlaps)
			},
		})
		now = now.Add(flapWindow)
		in := &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 1, Epoch: 9}
		require.True(t, l.renew(in, now))
		changed()
		require.Equal(t, in, l.inForce, "a server that came to rest appears")
	})
}
