package main

// This file implements an open-loop load generator: it sends calls at scheduled
// times whether or not earlier calls were answered, so that the latencies include
// the time spent in queues.

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

// arrivalSeed seeds the arrival times, so that runs at the same rate have the
// same arrivals.
const arrivalSeed = 357

// openLoop is an open-loop load generator with Poisson arrivals. It sends calls
// to its URLs in turn; every fourth call is a booking.
type openLoop struct {
	name   string
	urls   []string
	rate   int // calls per second
	client *http.Client
	sent   int

	mu        sync.Mutex
	latencies []time.Duration // latencies of good answers, from the scheduled arrival
	failed    map[string]int  // calls without a good answer, by status and reason
}

func newOpenLoop(name string, urls []string, rate int) *openLoop {
	return &openLoop{
		name: name, urls: urls, rate: rate, failed: map[string]int{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}},
	}
}

// run sends calls for d, concurrently with others, and waits for all answers.
func (s *openLoop) run(d time.Duration, others ...*openLoop) {
	var wg sync.WaitGroup
	for _, l := range append(others, s) {
		wg.Go(func() { l.send(d) })
	}
	wg.Wait()
}

func (s *openLoop) send(d time.Duration) {
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(arrivalSeed, uint64(s.rate)))
	start := time.Now()
	for at := time.Duration(0); at < d; {
		time.Sleep(time.Until(start.Add(at)))
		arrival, n := start.Add(at), s.sent
		wg.Go(func() { s.call(n, arrival) })
		s.sent++
		at += time.Duration(random.ExpFloat64() / float64(s.rate) * float64(time.Second))
	}
	wg.Wait()
}

// isBooking reports whether key belongs to a booking, which must run at most
// once.
func isBooking(key string) bool { return strings.HasSuffix(key, "-post") }

func (s *openLoop) call(n int, arrival time.Time) {
	method, key, body := http.MethodGet, fmt.Sprintf("%s-%d-get", s.name, n), ""
	if n%4 == 0 {
		method, key, body = http.MethodPost, fmt.Sprintf("%s-%d-post", s.name, n), "slip"
	}
	req, err := http.NewRequestWithContext(context.Background(), method, s.urls[n%len(s.urls)], strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is built here, so it is valid
	}
	req.Header.Set("Key", key)
	resp, err := s.client.Do(req)
	if err != nil {
		s.record(0, err.Error())
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		s.record(0, err.Error())
	case resp.StatusCode != http.StatusOK:
		s.record(0, fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Caroblift-Reason")))
	case string(data) != "quotes "+key+" "+body:
		s.record(0, "wrong answer")
	default:
		s.record(time.Since(arrival), "")
	}
}

func (s *openLoop) record(took time.Duration, failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure != "" {
		s.failed[failure]++
		return
	}
	s.latencies = append(s.latencies, took)
}

// reset discards the measurements so far.
func (s *openLoop) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies, s.failed = nil, map[string]int{}
}

// failures returns the number of calls without a good answer.
func (s *openLoop) failures() int {
	n := 0
	for _, count := range s.failed {
		n += count
	}
	return n
}

// quantiles returns the latency quantiles of the good answers, or zeros if there
// are none.
func (s *openLoop) quantiles() callTimes {
	if len(s.latencies) == 0 {
		return callTimes{}
	}
	slices.Sort(s.latencies)
	at := func(q float64) float64 {
		return roundThousandth(s.latencies[int(q*float64(len(s.latencies)-1))].Seconds() * 1000)
	}
	return callTimes{P50: at(0.5), P99: at(0.99), P999: at(0.999)}
}

// roundThousandth rounds v to three decimals.
func roundThousandth(v float64) float64 { return math.Round(v*1000) / 1000 }
