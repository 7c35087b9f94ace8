package main

// This file implements a closed-loop load generator that checks every answer.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

type loadCommand struct {
	Entries []string      `long:"entry" required:"true" description:"callers' port of a node; may be given several times"`
	Callers int           `long:"callers" default:"4" description:"callers at one time"`
	Time    time.Duration `long:"time" default:"10s" description:"duration"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the calls; keys of calls start with it"`
	Allow   int64         `long:"allow" default:"0" description:"failed calls that do not fail the run"`
}

// loadSummary is the last line of the report.
type loadSummary struct {
	Calls   int64          `json:"calls"`
	Errors  int64          `json:"errors"`
	Wrong   int64          `json:"wrong"`
	Reasons map[string]int `json:"reasons"`
	Longest int64          `json:"longest"` // longest call, in ms
}

// Execute sends calls for the configured time and prints their outcomes. It
// returns an error on a wrong answer or on more failures than allowed.
func (c *loadCommand) Execute([]string) error {
	l := newClosedLoop()
	ctx, cancel := context.WithTimeout(context.Background(), c.Time)
	defer cancel()
	var wg sync.WaitGroup
	for i := range c.Callers {
		wg.Go(func() { l.run(ctx, c.Seed*1000+uint64(i), func() []string { return c.Entries }) })
	}
	wg.Wait()
	if err := printSummary(loadSummary{
		Calls: l.calls.Load(), Errors: l.errors.Load(), Wrong: l.wrong.Load(), Reasons: l.failureReasons(), Longest: l.longest.Load(),
	}); err != nil {
		return err
	}
	if l.wrong.Load() > 0 || l.errors.Load() > c.Allow {
		return errors.Errorf("%d calls failed, %d allowed, and %d answers were wrong", l.errors.Load(), c.Allow, l.wrong.Load())
	}
	return nil
}

// closedLoop is a closed-loop load generator with the outcomes of its calls. It
// is safe for concurrent use.
type closedLoop struct {
	client *http.Client
	calls  atomic.Int64
	errors atomic.Int64
	wrong  atomic.Int64

	longest atomic.Int64 // ms

	mu       sync.Mutex
	bookings []string       // keys of bookings
	notRun   []string       // keys of calls whose refusal said that they did not run
	failures map[string]int // failed calls by reason
}

func newClosedLoop() *closedLoop {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}
	return &closedLoop{client: &http.Client{Transport: transport, Timeout: 10 * time.Second}, failures: map[string]int{}}
}

// run sends calls one after another to random entries until ctx ends. It asks
// for the caller addresses of the entries before each call.
func (l *closedLoop) run(ctx context.Context, seed uint64, entries func() []string) {
	r := rand.New(rand.NewPCG(seed, 7))
	paths := []string{"/quotes/7", "/drawings/9", "/stock/3"}
	for i := 0; ctx.Err() == nil; i++ {
		addresses := entries()
		method := http.MethodGet
		if r.IntN(2) == 0 {
			method = http.MethodPost
		}
		url := "http://" + addresses[r.IntN(len(addresses))] + paths[r.IntN(len(paths))]
		l.send(method, url, fmt.Sprintf("%d-%d", seed, i))
	}
}

func (l *closedLoop) send(method, url, key string) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader("body of "+key))
	if err != nil {
		panic(err) // the URL is built here, so it is valid
	}
	req.GetBody = nil // without it net/http cannot send the body again on a retry
	req.Header.Set("Key", key)
	l.calls.Add(1)
	if method == http.MethodPost {
		l.locked(func() { l.bookings = append(l.bookings, key) })
	}
	start := time.Now()
	defer func() { l.recordDuration(time.Since(start).Milliseconds()) }()
	resp, err := l.client.Do(req)
	if err != nil {
		l.fail(strings.ReplaceAll(errorKind(err), key, ""))
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		l.fail("body: " + errorKind(err))
	case resp.StatusCode != http.StatusOK:
		if resp.Header.Get("Caroblift-Ran") == "no" {
			l.locked(func() { l.notRun = append(l.notRun, key) })
		}
		l.fail(fmt.Sprintf("%d %s ran=%s", resp.StatusCode, resp.Header.Get("Caroblift-Reason"), resp.Header.Get("Caroblift-Ran")))
	case !strings.HasSuffix(string(body), " "+key+" body of "+key):
		l.wrong.Add(1)
	}
}

// recordDuration updates the duration of the longest call.
func (l *closedLoop) recordDuration(ms int64) {
	for old := l.longest.Load(); ms > old && !l.longest.CompareAndSwap(old, ms); old = l.longest.Load() {
		continue
	}
}

// errorKind returns the innermost part of an error, which contains no address, so
// that equal failures are counted together.
func errorKind(err error) string {
	parts := strings.Split(err.Error(), ": ")
	return parts[len(parts)-1]
}

func (l *closedLoop) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *closedLoop) fail(reason string) {
	l.errors.Add(1)
	l.locked(func() { l.failures[reason]++ })
}

// failureReasons returns the number of failed calls by reason.
func (l *closedLoop) failureReasons() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures
}

// verifyRuns takes the number of runs by key and returns the number of bookings
// that ran more than once and of calls that ran although their refusal said
// that they did not.
func (l *closedLoop) verifyRuns(runs map[string]int) (doubled, untrue int) {
	for _, key := range l.bookings {
		if runs[key] > 1 {
			doubled++
		}
	}
	for _, key := range l.notRun {
		if runs[key] > 0 {
			untrue++
		}
	}
	return doubled, untrue
}
