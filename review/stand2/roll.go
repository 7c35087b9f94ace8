package main

// This file is a trial: nodes that are stopped and started in turn, while consumers send on
// kept connections, with long bodies and long answers too.

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = roll }

// roll reports whether a request that was run got no complete answer although only nodes were
// stopped as planned, or a stop lasted longer than the grace period.
func roll(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "orders", "orders", "orders")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(
		7, []string{"orders"},
		route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1},
		route{name: "r-pull", prefix: "/pull/", kind: "download", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 2},
	)
	if err := s.startAll(); err != nil {
		return false, err
	}
	ready := map[*machine]bool{}
	var mu sync.Mutex
	until := time.Now().Add(70 * time.Second)
	var wg sync.WaitGroup
	for _, m := range s.machines {
		wg.Go(func() { // the platform's check: two misses take the node out
			misses := 0
			for time.Now().Before(until) {
				if s.awaitReady(m, 50*time.Millisecond) == nil {
					misses = 0
				} else {
					misses++
				}
				mu.Lock()
				ready[m] = misses < 2
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	var lost sync.Map
	for _, m := range s.machines {
		for i := range 8 {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for time.Now().Before(until) {
					mu.Lock()
					in := ready[m]
					mu.Unlock()
					if !in {
						c.close()
						time.Sleep(50 * time.Millisecond)
						continue
					}
					q := request{id: newID(), method: http.MethodPost, path: "/book/w" + strconv.Itoa(20+rand.IntN(400)) + "/b500/x", timeout: 4 * time.Second, body: []byte("a booking")}
					switch i % 4 {
					case 1:
						q.method, q.path, q.body = http.MethodGet, "/pull/w100/b400000/x", nil
					case 2:
						q.body, q.chunked = bytes.Repeat([]byte{'z'}, 100000), true
					}
					a := c.send(q)
					r.note("%s %s at %s kept=%v: %v", q.method, q.path, m.name, a.kept, a)
					if a.err != nil || a.status >= 500 && a.status != http.StatusServiceUnavailable {
						lost.Store(a.id, a)
					}
					time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
				}
			})
		}
	}
	late := 0
	time.Sleep(3 * time.Second)
	for n := 0; trouble && time.Now().Before(until.Add(-9*time.Second)); n++ {
		m := s.machines[n%len(s.machines)]
		r.note("%s gets SIGTERM", m.name)
		begun := time.Now()
		_ = m.node.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-m.node.ended:
		case <-time.After(6 * time.Second):
			late++
			r.say("%s has not stopped within graceS", m.name)
			m.node.kill()
		}
		r.note("%s has stopped after %v", m.name, time.Since(begun))
		if err := s.startNode(m); err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	wg.Wait()
	ran := 0
	for _, m := range s.machines {
		for _, fields := range m.runs() {
			if a, ok := lost.Load(fields[3]); ok && fields[2] == "run" {
				r.say("run without a complete answer: %v", a)
				ran++
			}
		}
	}
	r.say("%d runs without an answer, %d late stops", ran, late)
	return ran > 0 || late > 0, nil
}
