package main

// This file plays backend servers that crash for reasons of their own while a page is asked for
// by many, always with the same request.

import (
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["popular"] = popular }

// envInt returns a number of the environment, or another one.
func envInt(key string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(key)); err == nil {
		return n
	}
	return otherwise
}

// tally counts what became of requests.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) add(a answer) {
	t.sent.Add(1)
	if a.err == nil && a.status == http.StatusOK {
		t.served.Add(1)
	}
}

// popular reports whether, in steady state, the requests on a route that was added later are
// served less than a quarter as often as those on the first route.
func popular(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "news", "quotes", "news", "quotes", "news", "news", "news", "news")
	if err != nil {
		return false, err
	}
	defer s.end()
	services := []string{"news", "quotes"}
	first := route{name: "r-quote", prefix: "/quote/", kind: "safe", service: "quotes", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1}
	added := route{name: "r-news", prefix: "/news/", kind: "safe", service: "news", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1}
	s.configure(7, services, first)
	if err := s.startAll(); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		go s.keepServer(m, 3*time.Second)
	}
	s.configure(9, services, first, added)
	time.Sleep(3 * time.Second)
	var quotes, news [2]tally // until and from the steady state
	var steady atomic.Int32
	stop := make(chan struct{})
	var wg sync.WaitGroup
	ask := func(m *machine, path string, fixed bool, tallies *[2]tally, pause time.Duration) {
		c := &consumer{address: m.ip + ":8141"}
		defer c.close()
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			q := request{method: http.MethodGet, path: path, timeout: 4 * time.Second}
			if !fixed {
				q.path += newID()
			}
			phase := steady.Load()
			a := c.send(q)
			r.note("%s at %s: %v", q.path, m.name, a)
			tallies[phase].add(a)
		}
	}
	for _, m := range s.machines {
		wg.Go(func() { ask(m, "/quote/w30/", false, &quotes, 200*time.Millisecond) })
		if m.service == "news" {
			wg.Go(func() { ask(m, "/news/w180/today", true, &news, time.Millisecond) })
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		crashed := 0
		for _, m := range s.machines {
			if m.service != "news" || crashed == envInt("CRASHES", 6) {
				continue
			}
			crashed++
			s.mu.Lock()
			p := m.server
			s.mu.Unlock()
			r.say("the server of %s crashes", m.name)
			_ = p.cmd.Process.Kill()
			time.Sleep(5 * time.Second) // it is back after 3 s
		}
	}
	time.Sleep(5 * time.Second)
	r.say("steady state: all servers have been running for %v", 5*time.Second)
	steady.Store(1)
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	for i, when := range []string{"before", "in steady state"} {
		r.say("%s: first route %d of %d served, added route %d of %d", when, quotes[i].served.Load(), quotes[i].sent.Load(), news[i].served.Load(), news[i].sent.Load())
	}
	share := func(t *tally) float64 { return float64(t.served.Load()) / float64(max(1, t.sent.Load())) }
	return news[1].sent.Load() >= 20 && share(&news[1]) < share(&quotes[1])/4, nil
}
