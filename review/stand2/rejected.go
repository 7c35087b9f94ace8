package main

// This file is a trial: the store rejects one machine by resets while the configuration changes.

import (
	"net/http"
	"time"
)

func init() { cases["rejected"] = rejected }

// rejected reports whether the machine that the store rejects handled a request by the older
// configuration later than configS and maxStretchS after the confirmation of the newer one.
func rejected(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "alpha", "beta", "alpha", "beta")
	if err != nil {
		return false, err
	}
	defer s.end()
	if err := s.slowLinks(1000); err != nil {
		return false, err
	}
	services := []string{"alpha", "beta"}
	write := func(version int) string {
		service := services[version%2]
		s.configure(version, services, route{name: "r-read", prefix: "/read/", kind: "safe", service: service, timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1})
		return service
	}
	write(6)
	if err := s.startAll(); err != nil {
		return false, err
	}
	broken, worst := false, time.Duration(0)
	for version := 7; version < 7+envInt("ROUNDS", 22); version++ {
		m := s.machines[version%len(s.machines)]
		if trouble {
			s.links[m.index].setResets(true)
		}
		time.Sleep(time.Duration(version*137%700) * time.Millisecond)
		if envInt("RESTART", 0) > 0 {
			m.node.kill()
			if err := s.startNode(m); err != nil {
				return false, err
			}
			time.Sleep(time.Duration(version*211%900) * time.Millisecond)
		}
		service := write(version)
		written, served := time.Now(), time.Duration(0)
		for served == 0 && time.Since(written) < 9*time.Second {
			sent, id := time.Since(written), newID()
			a := (&consumer{address: m.ip + ":8141"}).send(request{id: id, method: http.MethodGet, path: "/read/w1/x", timeout: 2 * time.Second})
			r.note("%s: %v", m.name, a)
			for _, o := range s.machines {
				for _, fields := range o.runs() {
					if fields[3] == id && fields[2] == "run" && o.service == service {
						served = sent
					}
				}
			}
			time.Sleep(30 * time.Millisecond)
		}
		worst = max(worst, served)
		if served == 0 || served > 7*time.Second {
			r.say("r%d is not in force at %s after 7 s", version, m.name)
			broken = true
		}
		s.links[m.index].setResets(false)
		time.Sleep(1500 * time.Millisecond)
	}
	r.say("slowest: %v", worst)
	return broken, nil
}
