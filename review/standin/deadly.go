package main

// This file plays a request that crashes each server that runs it, after the server has
// sent a part of its answer.

import (
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

const (
	deadlyTarget    = "/fetch/bundle-7"
	deadlyInterval  = 2 * time.Second // between two consumers that ask for it
	deadlyFor       = 50 * time.Second
	stabilityWindow = 3 * time.Second
)

// playDeadly counts the times that such a request reaches servers, of requests that were
// sent later than the stability window after the third crash.
func playDeadly(r *record) (bool, error) {
	partOfAnswer := 30000
	if text := os.Getenv("PART"); text != "" { // 0: the crash comes before the answer
		partOfAnswer, _ = strconv.Atoi(text)
	}
	d, err := newDeployment(r, []string{"arsiv", "arsiv", "arsiv", "arsiv", "kayit"}, func(s *server) {
		s.size = func(*http.Request) int { return 90000 }
		s.deadly = func(q *http.Request) int {
			if trouble && q.URL.Path == deadlyTarget {
				return partOfAnswer
			}
			return -1
		}
	})
	defer d.close()
	if err != nil {
		return false, err
	}
	end := time.Now().Add(deadlyFor)
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var all sync.WaitGroup
	lost := 0
	for k := range 2 { // ordinary consumers
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				res, err := ask(d.machines[(n+k)%len(d.machines)], "GET", "/fetch/ordinary-"+strconv.Itoa(n))
				if err == nil && (res.status != 200 || res.err != nil) {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		c, err := dial(d.machines[n%len(d.machines)])
		if err != nil {
			return false, err
		}
		id := newID("deadly")
		sent[id] = time.Now()
		r.line("%v", c.do("GET", requestText("GET", deadlyTarget, id, 1200), id, 3*time.Second))
		c.close()
		time.Sleep(deadlyInterval)
	}
	all.Wait()
	var crashes []time.Time
	for _, m := range d.machines {
		m.server.mu.Lock()
		crashes = append(crashes, m.server.crashes...)
		m.server.mu.Unlock()
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	arrivals := 0
	for id, ran := range d.runsOf() {
		if strings.HasPrefix(id, "deadly") && len(crashes) >= 3 && sent[id].After(crashes[2].Add(stabilityWindow)) {
			arrivals += len(ran)
		}
	}
	r.say("consumers asked %d times; servers crashed %d times; ordinary requests that failed: %d", len(sent), len(crashes), lost)
	r.say("arrivals of requests sent later than %v after the third crash: %d", stabilityWindow, arrivals)
	return arrivals > 3, nil
}
