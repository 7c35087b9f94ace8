package main

// This file is a trial: all nodes are killed and start together, again and again, while the
// store is slow for some seconds.

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["joint"] = joint }

// joint reports whether a node did not know all members 15 s after a joint start.
func joint(r *recorder, trouble bool) (bool, error) {
	services := make([]string, 12)
	for i := range services {
		services[i] = "orders"
	}
	s, err := newSite(r, services...)
	if err != nil {
		return false, err
	}
	defer s.end()
	if err := s.slowLinks(1000); err != nil {
		return false, err
	}
	s.configure(7, []string{"orders"}, route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "orders", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	if err := s.startAll(); err != nil {
		return false, err
	}
	broken := false
	for round := range 5 {
		if trouble {
			for _, l := range s.links {
				l.setDelay(time.Duration(round) * 95 * time.Millisecond) // up to 380 ms an answer
			}
			for _, m := range s.machines {
				m.node.kill()
			}
			time.Sleep(600 * time.Millisecond)
			for _, m := range s.machines {
				if err := s.startNode(m); err != nil {
					return false, err
				}
			}
			time.Sleep(6 * time.Second)
			for _, l := range s.links {
				l.setDelay(0)
			}
		}
		time.Sleep(9 * time.Second)
		var counts []string
		for _, m := range s.machines {
			n := members(m)
			counts = append(counts, n)
			broken = broken || n != "12"
		}
		r.say("round %d: members known %s", round, strings.Join(counts, " "))
	}
	return broken, nil
}

// members returns the number of live members that a node knows, by its metrics.
func members(m *machine) string {
	resp, err := http.Get("http://" + m.ip + ":9100/metrics")
	if err != nil {
		return fmt.Sprint(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "caroblift_node_members") && strings.Contains(line, "alive") {
			return strings.Fields(line)[1]
		}
	}
	return "?"
}
