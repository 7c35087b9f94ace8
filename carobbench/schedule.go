package main

// This file sends calls on a fixed schedule, whatever becomes of those sent
// before, so that waiting in a queue shows in the latencies.

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// scheduleSeed fixes the arrivals of every load.
const scheduleSeed = 357

// schedule sends calls at a rate to some URLs in turn. One call in four is a
// booking.
type schedule struct {
	name   string
	urls   []string
	rate   int // calls a second
	client *http.Client
	sent   int

	mu     sync.Mutex
	took   []time.Duration // of good answers, from the scheduled arrival on
	failed map[string]int  // by status and reason
}

func newSchedule(name string, urls []string, rate int) *schedule {
	return &schedule{
		name: name, urls: urls, rate: rate, failed: map[string]int{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}},
	}
}

// run sends for a time, together with other loads, and waits for the answers.
func (s *schedule) run(d time.Duration, others ...*schedule) {
	var wg sync.WaitGroup
	for _, one := range append(others, s) {
		wg.Go(func() { one.send(d) })
	}
	wg.Wait()
}

func (s *schedule) send(d time.Duration) {
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(scheduleSeed, uint64(s.rate)))
	start := time.Now()
	for at := time.Duration(0); at < d; {
		time.Sleep(time.Until(start.Add(at)))
		arrival, n := start.Add(at), s.sent
		wg.Go(func() { s.one(n, arrival) })
		s.sent++
		at += time.Duration(random.ExpFloat64() / float64(s.rate) * float64(time.Second))
	}
	wg.Wait()
}

// isBooking tells whether a key belongs to a call that must run at most once.
func isBooking(key string) bool { return strings.HasSuffix(key, "-post") }

func (s *schedule) one(n int, arrival time.Time) {
	method, key, body := http.MethodGet, fmt.Sprintf("%s-%d-get", s.name, n), ""
	if n%4 == 0 {
		method, key, body = http.MethodPost, fmt.Sprintf("%s-%d-post", s.name, n), "slip"
	}
	req, err := http.NewRequestWithContext(context.Background(), method, s.urls[n%len(s.urls)], strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is made here
	}
	req.Header.Set("Key", key)
	resp, err := s.client.Do(req)
	if err != nil {
		s.note(0, err.Error())
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		s.note(0, err.Error())
	case resp.StatusCode != http.StatusOK:
		s.note(0, fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Caroblift-Reason")))
	case string(data) != "quotes "+key+" "+body:
		s.note(0, "wrong answer")
	default:
		s.note(time.Since(arrival), "")
	}
}

func (s *schedule) note(took time.Duration, failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure != "" {
		s.failed[failure]++
		return
	}
	s.took = append(s.took, took)
}

// reset forgets what was measured so far.
func (s *schedule) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took, s.failed = nil, map[string]int{}
}

// failures returns the number of calls without a good answer.
func (s *schedule) failures() int {
	n := 0
	for _, count := range s.failed {
		n += count
	}
	return n
}

// quantiles returns the latencies of the good answers.
func (s *schedule) quantiles() callTimes {
	if len(s.took) == 0 {
		return callTimes{}
	}
	slices.Sort(s.took)
	at := func(q float64) float64 {
		return round(s.took[int(q*float64(len(s.took)-1))].Seconds() * 1000)
	}
	return callTimes{P50: at(0.5), P99: at(0.99), P999: at(0.999)}
}

// round keeps three decimals.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
