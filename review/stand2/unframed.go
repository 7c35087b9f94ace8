package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unframed"] = unframed }

// unframed plays servers that crash while they send answers without a length.
func unframed(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "drawings", "drawings", "drawings")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(7, []string{"drawings"}, route{name: "r-pull", prefix: "/pull/", kind: "download", service: "drawings", timeoutS: 4, attempts: 2, sloS: 2, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		go s.keepServer(m, 3*time.Second)
	}
	const length = 80000
	var good, cut, other atomic.Int64
	var wg sync.WaitGroup
	until := time.Now().Add(20 * time.Second)
	for _, m := range s.machines {
		for range 3 {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for time.Now().Before(until) {
					a := c.send(request{method: http.MethodGet, path: "/pull/w20/b80000/unframed/" + newID(), timeout: 5 * time.Second})
					r.note("at %s: %v", m.name, a)
					switch {
					case a.err == nil && a.status == http.StatusOK && len(a.body) == length:
						good.Add(1)
					case a.err == nil && a.status == http.StatusOK:
						cut.Add(1)
					default:
						other.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range 3 {
			s.mu.Lock()
			p := s.machines[i].server
			s.mu.Unlock()
			r.note("server of %s is killed", s.machines[i].name)
			_ = p.cmd.Process.Kill()
			time.Sleep(4 * time.Second)
		}
	}
	wg.Wait()
	r.say("%d whole answers, %d successes with a part of the body, %d others", good.Load(), cut.Load(), other.Load())
	return cut.Load() > 0, nil
}
