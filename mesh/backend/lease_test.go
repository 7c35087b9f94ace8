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
		"valid":         {`{"service":"quotes","address":"127.0.0.1:9","slots":6,"epoch":1}`, http.StatusNoContent, nil},
		"own address":   {`{"service":"quotes","address":"10.0.0.1:9","slots":6,"epoch":1}`, http.StatusNoContent, nil},
		"no JSON":       {`{`, http.StatusBadRequest, []string{"announcement"}},
		"all invalid":   {`{"address":"x","slots":0}`, http.StatusBadRequest, []string{"service", "address", "slots"}},
		"other address": {`{"service":"quotes","address":"10.0.0.2:9","slots":6}`, http.StatusBadRequest, []string{"10.0.0.2"}},
		"absurd slots":  {`{"service":"quotes","address":"127.0.0.1:0","slots":1000000}`, http.StatusBadRequest, []string{"slots", "no port"}},
		"long service":  {`{"service":"` + strings.Repeat("q", 300) + `","address":"127.0.0.1:9","slots":1}`, http.StatusBadRequest, []string{"253"}},
		"too long":      {strings.Repeat(" ", maxAnnouncementBytes+1) + `{}`, http.StatusBadRequest, []string{"too large"}},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAnnouncer(AnnouncerConfig{Lease: time.Second, OnChange: func(*Announcement) {}, IsLocal: HostMatcher("10.0.0.1:1")})
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
		a := NewAnnouncer(AnnouncerConfig{Lease: time.Second, OnChange: func(in *Announcement) { got = append(got, in) }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- a.Run(ctx) }()
		in := &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 1, Epoch: 2}
		for range 5 {
			require.True(t, a.apply(in))
			time.Sleep(900 * time.Millisecond)
		}
		synctest.Wait()
		require.Equal(t, []*Announcement{in}, got, "a renewal is not a change")
		require.False(t, a.apply(&Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 1, Epoch: 1}), "an earlier incarnation is refused")
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []*Announcement{in, nil}, got, "an announcement that is not renewed lapses")
		cancel()
		require.NoError(t, <-done)
	})
}

// TestLeaseMachine runs random sequences of renewals and waits. It checks that
// only the newest announcement is ever in force and only for the lease's
// duration, that leaving takes effect at once, and that a flapping server appears
// a bounded number of times within the flap window.
func TestLeaseMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := lease{duration: time.Second}
		now := time.UnixMilli(1_000_000)
		var renewedAt time.Time
		var newest *Announcement
		var appearances []time.Time
		evaluate := func() {
			before := l.inForce
			next, ok := l.evaluate(now)
			if ok && next != nil && (before == nil || before.Epoch != next.Epoch || before.Service != next.Service) {
				appearances = append(appearances, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(t *rapid.T) {
				in := &Announcement{
					Service: rapid.SampledFrom([]string{"quotes", "stock"}).Draw(t, "service"), Address: "127.0.0.1:9", Slots: 1,
					Leaving: rapid.Bool().Draw(t, "leaving"), Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "epoch")),
				}
				if l.renew(in, now) {
					newest, renewedAt = in, now
				}
				evaluate()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				evaluate()
			},
			"": func(t *rapid.T) {
				if l.inForce != nil {
					require.Equal(t, newest, l.inForce, "only the newest announcement is in force")
					require.LessOrEqual(t, now.Sub(renewedAt), l.duration)
				}
				n := 0
				for _, at := range appearances {
					if now.Sub(at) < flapWindow {
						n++
					}
				}
				require.LessOrEqual(t, n, defaultFlapLimit)
			},
		})
		now = now.Add(flapWindow)
		in := &Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 1, Epoch: 9}
		require.True(t, l.renew(in, now))
		evaluate()
		require.Equal(t, in, l.inForce, "a server that has stopped flapping appears")
	})
}
