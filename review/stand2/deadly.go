package main

// This file plays a request that ends each backend server that runs it, and comes again at any
// machine.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["deadlychunked"] = func(r *recorder, trouble bool) (bool, error) {
		return deadlyBody(r, trouble, os.Getenv("LENGTH") == "", false)
	}
	cases["deadlyquery"] = func(r *recorder, trouble bool) (bool, error) {
		return deadlyBody(r, trouble, false, os.Getenv("QUERY") == "")
	}
}

const deadlyText = "the-one-that-ends-servers"

// stabilityWindow is stabilityWindowS of the settings.
const stabilityWindow = 3 * time.Second

// deadlyBody plays a booking whose body ends servers, among others at the same path, whose
// bodies are harmless. All bodies are short, and sent in chunks or with a length. With query the
// deadly one has another query each time. It reports
// whether the deadly one reached servers more than three times later than the stability window
// after it had ended the third.
func deadlyBody(r *recorder, trouble, chunked, query bool) (bool, error) {
	s, err := newSite(r, "orders", "orders", "orders", "orders", "orders", "orders")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(7, []string{"orders"}, route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	if trouble {
		for _, m := range s.machines {
			m.deadly = deadlyText
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		go s.keepServer(m, 3*time.Second)
	}
	var good, other atomic.Int64
	var wg sync.WaitGroup
	until := time.Now().Add(40 * time.Second)
	for i, m := range s.machines {
		for j := range 2 {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for n := 0; time.Now().Before(until); n++ {
					body := fmt.Sprintf("booking %d of consumer %d-%d", n, i, j)
					a := c.send(request{method: http.MethodPost, path: "/book/w60/new", timeout: 5 * time.Second, body: []byte(body), chunked: chunked})
					r.note("ordinary at %s: %v", m.name, a)
					if a.err == nil && a.status == http.StatusOK {
						good.Add(1)
					} else {
						other.Add(1)
					}
					time.Sleep(time.Duration(rand.IntN(2*envInt("PAUSE", 150))) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	sent, ids := 0, []string{}
	for ; time.Now().Before(until); sent++ {
		m := s.machines[sent%len(s.machines)]
		c := &consumer{address: m.ip + ":8141"}
		id := newID()
		ids = append(ids, id)
		path := "/book/w60/new"
		if query {
			path += fmt.Sprintf("?sent=%d", time.Now().UnixMilli())
		}
		a := c.send(request{id: id, method: http.MethodPost, path: path, timeout: 5 * time.Second, body: []byte(deadlyText), chunked: chunked})
		r.note("deadly at %s: %v", m.name, a)
		c.close()
		time.Sleep(1200 * time.Millisecond)
	}
	wg.Wait()
	runs, crashes, late := s.deadlyRuns(ids)
	r.say("deadly request: sent %d times by its consumer, %d runs, %d servers ended by it, %d runs later than 3 s after the third end", sent, runs, crashes, late)
	r.say("ordinary requests: %d good, %d others", good.Load(), other.Load())
	return late > 3, nil
}

// deadlyRuns counts, by the ledgers of the servers, the runs of the requests with the given
// IDs, the ends, and the runs later than the stability window after the third end.
func (s *site) deadlyRuns(ids []string) (runs, crashes, late int) {
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	var ran, ended []time.Time
	for _, m := range s.machines {
		for _, fields := range m.runs() {
			at, err := time.Parse(clockLayout, fields[0])
			if err != nil || !wanted[fields[3]] {
				continue
			}
			switch fields[2] {
			case "run":
				ran = append(ran, at)
			case "crash":
				ended = append(ended, at)
			}
		}
	}
	sortTimes(ended)
	if len(ended) >= 3 {
		for _, at := range ran {
			if at.Sub(ended[2]) > stabilityWindow {
				late++
			}
		}
	}
	return len(ran), len(ended), late
}
