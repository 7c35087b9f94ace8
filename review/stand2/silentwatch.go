package main

// This file plays connections to the store that go silent for good soon after all nodes were
// killed and started again, and then a change of the configuration.

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["silentwatch"] = silentWatch }

// configBound is configS of the settings.
const configBound = 2 * time.Second

// silentWatch reports whether machines that were in touch handled requests that were sent later
// than configS after the confirmation of a version as only the older version allows.
func silentWatch(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "alpha", "beta", "alpha", "beta", "alpha", "beta")
	if err != nil {
		return false, err
	}
	defer s.end()
	if err := s.slowLinks(1000); err != nil {
		return false, err
	}
	services := []string{"alpha", "beta"}
	write := func(version int, service string) {
		s.configure(version, services, route{name: "r-read", prefix: "/read/", kind: "safe", service: service, timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
	}
	write(7, "alpha")
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all have been running for more than 8 s
	if trouble && os.Getenv("KILL") != "0" {
		r.say("all nodes are killed")
		for _, m := range s.machines {
			m.node.kill()
		}
		time.Sleep(600 * time.Millisecond)
		for _, m := range s.machines {
			if err := s.startNode(m); err != nil {
				return false, err
			}
		}
		r.say("all nodes are started again")
		time.Sleep(1500 * time.Millisecond)
	}
	if trouble && os.Getenv("SILENT") != "0" {
		r.say("the connections to the store that are open go silent")
		for _, l := range s.links {
			l.goSilent()
		}
	}
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	for _, m := range s.machines {
		if err := s.awaitReady(m, time.Second); err != nil {
			return false, err
		}
	}
	write(9, "beta")
	written := time.Now()
	r.say("the store has confirmed r9, which moves the route from alpha to beta")
	type sending struct {
		m     *machine
		after time.Duration
	}
	var mu sync.Mutex
	sent := map[string]sending{}
	var wg sync.WaitGroup
	for _, m := range s.machines {
		wg.Go(func() {
			c := &consumer{address: m.ip + ":8141"}
			defer c.close()
			for time.Since(written) < 12*time.Second {
				q := request{id: newID(), method: http.MethodGet, path: "/read/w5/x", timeout: 2 * time.Second}
				mu.Lock()
				sent[q.id] = sending{m, time.Since(written)}
				mu.Unlock()
				r.note("at %s, %d ms after the confirmation: %v", m.name, time.Since(written).Milliseconds(), c.send(q))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	late, last := 0, map[*machine]time.Duration{}
	for _, o := range s.machines {
		for _, fields := range o.runs() {
			x, ok := sent[fields[3]]
			if !ok || fields[2] != "run" || o.service != "alpha" {
				continue
			}
			last[x.m] = max(last[x.m], x.after)
			if x.after > configBound {
				late++
			}
		}
	}
	var times []string
	for _, m := range s.machines {
		times = append(times, fmt.Sprintf("%s %d", m.name, last[m].Milliseconds()))
	}
	r.say("ms after the confirmation at which the last request was sent that alpha ran: %s", strings.Join(times, ", "))
	r.say("%d requests of %d were sent later than 2 s and run by alpha", late, len(sent))
	return late > 0, nil
}
