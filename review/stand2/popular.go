package main

import (
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["popular"] = popular }

func envInt(key string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(key)); err == nil {
		return n
	}
	return otherwise
}

// popular plays servers that crash one after the other while all requests are the same.
func popular(r *recorder, trouble bool) (bool, error) {
	n := envInt("SERVERS", 6)
	services := make([]string, n)
	for i := range services {
		services[i] = "orders"
	}
	s, err := newSite(r, services...)
	if err != nil {
		return false, err
	}
	defer s.end()
	kind, method := "unsafe", http.MethodPost
	if os.Getenv("KIND") == "safe" {
		kind, method = "safe", http.MethodGet
	}
	s.configure(7, []string{"orders"}, route{name: "r-book", prefix: "/book/", kind: kind, service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		go s.keepServer(m, 3*time.Second)
	}
	var good, other, goodLate, otherLate atomic.Int64
	var wg sync.WaitGroup
	begun := time.Now()
	until := begun.Add(40 * time.Second)
	for _, m := range s.machines {
		for range envInt("CLIENTS", 2) {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for time.Now().Before(until) {
					a := c.send(request{method: method, path: "/book/w" + strconv.Itoa(envInt("WORK", 60)) + "/new", timeout: 5 * time.Second})
					r.note("ordinary at %s: %v", m.name, a)
					late := time.Since(begun) > 25*time.Second
					switch ok := a.err == nil && a.status == http.StatusOK; {
					case ok && late:
						goodLate.Add(1)
					case ok:
						good.Add(1)
					case late:
						otherLate.Add(1)
					default:
						other.Add(1)
					}
					time.Sleep(time.Duration(envInt("PAUSE", 300)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i := range envInt("KILLS", 2) {
			s.mu.Lock()
			p := s.machines[i%n].server
			s.mu.Unlock()
			r.note("server of %s is killed", s.machines[i%n].name)
			_ = p.cmd.Process.Kill()
			time.Sleep(time.Duration(envInt("GAP", 1200)) * time.Millisecond)
		}
	}
	wg.Wait()
	r.say("until 25 s: %d good, %d others; after: %d good, %d others", good.Load(), other.Load(), goodLate.Load(), otherLate.Load())
	return goodLate.Load() < otherLate.Load()/3, nil
}
