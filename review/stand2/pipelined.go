package main

// This file is a trial: consumers that send two requests ahead and leave.

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pipelined"] = pipelined }

// pipelined reports whether more than a quarter of the requests whose consumers have left are
// still at work half a second later. With trouble each consumer has sent a second request ahead.
func pipelined(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "orders", "orders")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(7, []string{"orders"}, route{name: "r-read", prefix: "/read/", kind: "safe", service: "orders", timeoutS: 4, attempts: 2, sloS: 3, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var left sync.Map
	for n := range 12 {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			conn, err := net.Dial("tcp", s.machines[n%3].ip+":8141")
			if err != nil {
				return
			}
			first := request{id: newID(), method: http.MethodGet, path: "/read/w2000/a", timeout: 4 * time.Second}
			second := request{id: newID(), method: http.MethodGet, path: "/read/w5/b", timeout: 4 * time.Second}
			out := first.bytes()
			if trouble {
				out = append(out, second.bytes()...)
			}
			_, _ = conn.Write(out)
			time.Sleep(300 * time.Millisecond)
			_ = conn.Close()
			left.Store(first.id, true)
			r.note("consumer of %s has left", first.id)
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	stopped, finished := 0, 0
	for _, m := range s.machines {
		for _, fields := range m.runs() {
			if _, ok := left.Load(fields[3]); !ok {
				continue
			}
			switch fields[2] {
			case "stopped":
				stopped++
			case "answered":
				finished++
			}
		}
	}
	r.say("%d runs stopped early, %d went on for 2 s", stopped, finished)
	return finished*4 > stopped+finished, nil
}
