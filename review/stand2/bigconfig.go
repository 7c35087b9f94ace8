package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bigconfig"] = bigConfig }

// Figures of the pages.
const (
	linkMbps     = 7    // of most machines of cantabria-fuel-grown
	idleRoutes   = 1120 // of its configuration at first
	addedFirst   = 1640 // by which it grows, in two steps
	addedSecond  = 1400
	recoverAfter = 15 * time.Second
)

// bigConfig plays a configuration that grows by many routes twice, after which all nodes are killed at
// once and start again. It reports whether less than a quarter of the requests was served that
// were sent later than recoverS after the machines were back.
func bigConfig(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "orders", "orders", "orders")
	if err != nil {
		return false, err
	}
	defer s.end()
	if err := s.slowLinks(linkMbps); err != nil {
		return false, err
	}
	routes := func(idle int) []route {
		all := []route{{name: "r-book0000", prefix: "/book/", kind: "unsafe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1}}
		for i := range idle {
			all = append(all, route{name: fmt.Sprintf("r-idle%05d", i), prefix: fmt.Sprintf("/idle%05d/", i), kind: "safe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 2})
		}
		return all
	}
	s.configure(7, []string{"orders"}, routes(idleRoutes)...)
	r.say("configuration of %d bytes", s.configBytes())
	if err := s.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	backAt := time.Time{}
	var before, beforeGood, late, lateGood atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range s.machines {
		for range 2 {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					sent := time.Now()
					a := c.send(request{method: http.MethodPost, path: "/book/w30/" + newID(), timeout: 3 * time.Second, body: []byte("a booking")})
					r.note("at %s: %v", m.name, a)
					good := a.err == nil && a.status == http.StatusOK
					mu.Lock()
					back := backAt
					mu.Unlock()
					switch {
					case back.IsZero():
						before.Add(1)
						if good {
							beforeGood.Add(1)
						}
					case sent.Sub(back) > recoverAfter:
						late.Add(1)
						if good {
							lateGood.Add(1)
						}
					}
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	if trouble {
		s.configure(9, []string{"orders"}, routes(idleRoutes+addedFirst)...)
		r.say("configuration of %d bytes", s.configBytes())
	}
	time.Sleep(6 * time.Second)
	if trouble {
		s.configure(11, []string{"orders"}, routes(idleRoutes+addedFirst+addedSecond)...)
		r.say("configuration of %d bytes", s.configBytes())
	}
	time.Sleep(6 * time.Second)
	for _, m := range s.machines {
		a := (&consumer{address: m.ip + ":8141"}).send(request{method: http.MethodGet, path: fmt.Sprintf("/idle%05d/w5", idleRoutes+addedFirst+addedSecond-1), timeout: 3 * time.Second})
		r.note("newest route at %s: %v", m.name, a)
		if trouble && a.status != http.StatusOK {
			return false, fmt.Errorf("%s does not serve the newest route: %v", m.name, a)
		}
	}
	r.say("all nodes are killed")
	for _, m := range s.machines {
		m.node.kill()
	}
	time.Sleep(600 * time.Millisecond)
	mu.Lock()
	backAt = time.Now()
	mu.Unlock()
	for _, m := range s.machines {
		if err := s.startNode(m); err != nil {
			return false, err
		}
	}
	r.say("all nodes are started again")
	time.Sleep(recoverAfter + 20*time.Second)
	close(stop)
	wg.Wait()
	for _, m := range s.machines {
		r.say("%s is ready: %v", m.name, s.awaitReady(m, 200*time.Millisecond) == nil)
	}
	r.say("before the kill: %d of %d served; later than 15 s after the start: %d of %d", beforeGood.Load(), before.Load(), lateGood.Load(), late.Load())
	return lateGood.Load()*4 < late.Load() && beforeGood.Load()*4 >= before.Load(), nil
}

// configBytes returns the length of the configuration.
func (s *site) configBytes() int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	data, _ := json.Marshal(s.store.objects["config"]["main"].Spec)
	return len(data)
}
