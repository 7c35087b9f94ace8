package main

// This file is a trial: ordinary requests beside such with very many short fields.

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["manyfieldscrowd"] = manyFieldsCrowd }

// manyFieldsCrowd reports whether ordinary requests fail while a consumer sends requests
// inside the limits whose headers have very many short fields.
func manyFieldsCrowd(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "other", "other", "other")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(7, []string{"orders", "other"},
		route{name: "r-far", prefix: "/far/", kind: "safe", service: "other", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	entry := s.machines[0].ip + ":8141"
	until := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	var odd, oddGood atomic.Int64
	if trouble {
		for range envInt("CROWD", 3) {
			wg.Go(func() {
				for time.Now().Before(until) {
					q := request{id: newID(), method: http.MethodGet, path: "/far/w5/x", timeout: 4 * time.Second}
					var b strings.Builder
					for i := range 2000 {
						fmt.Fprintf(&b, "%c%c%c: 1\r\n", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)
					}
					conn, err := net.Dial("tcp", entry)
					if err != nil {
						continue
					}
					_, _ = conn.Write([]byte(strings.TrimSuffix(q.head(), "\r\n") + b.String() + "\r\n"))
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					odd.Add(1)
					if err == nil && resp.StatusCode == http.StatusOK {
						oddGood.Add(1)
					}
					_ = conn.Close()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	var mu sync.Mutex
	seen := map[string]int{}
	for range 4 {
		wg.Go(func() {
			c := &consumer{address: entry}
			defer c.close()
			for time.Now().Before(until) {
				a := c.send(request{method: http.MethodGet, path: "/far/w30/x", timeout: 4 * time.Second})
				r.note("%v", a)
				key := fmt.Sprint(a.err)
				if a.err == nil {
					key = fmt.Sprint(a.status, " ", a.header.Get("Caroblift-Reason"))
				}
				mu.Lock()
				seen[key]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	r.say("odd requests: %d of %d served; ordinary: %v", oddGood.Load(), odd.Load(), seen)
	others := 0
	for key, count := range seen {
		if key != "200 " {
			others += count
		}
	}
	return others > 0, nil
}
