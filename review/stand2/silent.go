package main

// This file is a trial: connections to the store that go silent for good, just before the
// configuration changes.

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["silent"] = silentStore }

// silentStore reports whether a node handled a request by the older configuration later than
// configS after the newer one was written, or by an older one after a newer one.
func silentStore(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "alpha", "beta", "alpha", "beta", "alpha", "beta", "alpha", "beta", "alpha")
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
	for version := 7; version < 16; version++ {
		if trouble {
			for _, l := range s.links {
				l.goSilent()
			}
		}
		time.Sleep(time.Duration(3100+100*(version%4)) * time.Millisecond)
		service := write(version)
		written := time.Now()
		inForce := map[*machine]time.Duration{}
		for time.Since(written) < 4*time.Second {
			for _, m := range s.machines {
				sent := time.Since(written)
				id := newID()
				a := (&consumer{address: m.ip + ":8141"}).send(request{id: id, method: http.MethodGet, path: "/read/w1/x", timeout: 2 * time.Second})
				if a.err != nil || a.status != http.StatusOK {
					r.note("%s: %v", m.name, a)
					continue
				}
				ran := ""
				for _, o := range s.machines {
					for _, fields := range o.runs() {
						if fields[3] == id && fields[2] == "run" {
							ran = o.service
						}
					}
				}
				_, known := inForce[m]
				switch {
				case ran == service && !known:
					inForce[m] = sent
					worst = max(worst, sent)
				case ran != service && (known || sent > 2*time.Second):
					r.say("r%d at %s, sent %v after it was written, in force before %v: run by %s", version, m.name, sent, known, ran)
					broken = true
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		var times []string
		for _, m := range s.machines {
			times = append(times, fmt.Sprint(inForce[m].Milliseconds()))
		}
		r.say("r%d in force after %s ms", version, strings.Join(times, " "))
	}
	r.say("slowest: %v", worst)
	return broken, nil
}
