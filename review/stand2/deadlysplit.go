package main

// This file plays a deadly request on a route that is split among services.

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadlysplit"] = deadlySplit }

// deadlySplit reports whether the deadly request reached servers more than three times later
// than the stability window after it had ended the third.
func deadlySplit(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "alpha", "beta", "gamma", "delta", "alpha", "beta", "gamma", "delta", "alpha", "beta", "gamma", "delta")
	if err != nil {
		return false, err
	}
	defer s.end()
	kind, method := "unsafe", http.MethodPost
	if os.Getenv("KIND") == "safe" {
		kind, method = "safe", http.MethodGet
	}
	const gap = 4500
	services := []string{"alpha", "beta", "gamma", "delta"}
	s.configure(7, services, route{name: "r-book", prefix: "/book/", kind: kind, split: map[string]int{"alpha": 25, "beta": 25, "gamma": 25, "delta": 25}, timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
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
	until := time.Now().Add(80 * time.Second)
	for i, m := range s.machines {
		for j := range 3 {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for n := 0; time.Now().Before(until); n++ {
					a := c.send(request{method: method, path: fmt.Sprintf("/book/w60/n%d-%d-%d", i, j, n), timeout: 5 * time.Second})
					r.note("ordinary at %s: %v", m.name, a)
					if a.err == nil && a.status == http.StatusOK {
						good.Add(1)
					} else {
						other.Add(1)
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	sent, ids := 0, []string{}
	for ; time.Now().Before(until); sent++ {
		m := s.machines[(sent*2)%len(s.machines)]
		c := &consumer{address: m.ip + ":8141"}
		id := newID()
		ids = append(ids, id)
		a := c.send(request{id: id, method: method, path: "/book/w60/" + deadlyText, timeout: 5 * time.Second})
		r.note("deadly at %s: %v", m.name, a)
		c.close()
		time.Sleep(gap * time.Millisecond)
	}
	wg.Wait()
	runs, crashes, late := s.deadlyRuns(ids)
	r.say("deadly request: sent %d times by its consumer, %d runs, %d servers ended by it, %d runs later than 3 s after the third end", sent, runs, crashes, late)
	r.say("ordinary requests: %d good, %d others", good.Load(), other.Load())
	return late > 3, nil
}
