package main

// This file is a trial: long configurations in quick succession, and the memory of the nodes.

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["bigstorm"] = bigStorm }

// bigStorm reports whether a node ended, or exceeded the memory of its machine.
func bigStorm(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "orders", "orders", "orders", "orders")
	if err != nil {
		return false, err
	}
	defer s.end()
	write := func(version, idle int) {
		all := []route{{name: "r-book", prefix: "/book/", kind: "safe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1}}
		for i := range idle {
			all = append(all, route{name: fmt.Sprintf("r-%d-%05d", version, i), prefix: fmt.Sprintf("/v%d/idle%05d/", version, i), kind: "safe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 2})
		}
		s.configure(version, []string{"orders"}, all...)
	}
	write(7, 300)
	if err := s.startAll(); err != nil {
		return false, err
	}
	if trouble {
		for version := 9; version < 49; version++ {
			write(version, 5800)
			if version == 9 {
				r.say("configuration of %d bytes", s.configBytes())
			}
			time.Sleep(330 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	broken := false
	for _, m := range s.machines {
		a := (&consumer{address: m.ip + ":8141"}).send(request{method: http.MethodGet, path: "/v48/idle00001/w5", timeout: 3 * time.Second})
		r.say("%s: largest memory %s, ended %v, newest route %v", m.name, m.peakMemory(), m.node.hasEnded(), a)
		broken = broken || m.node.hasEnded()
	}
	return broken, nil
}
