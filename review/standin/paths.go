package main

// This file plays consumers whose paths hold characters that are not escaped, escaped
// slashes, or no path at all.

import (
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["changed"] = playChanged
	cases["twice"] = playTwice
	cases["star"] = playStar
}

// services are those of the deployments in this file.
var services = []string{"kayit", "arsiv", "kayit", "arsiv"}

// ask sends one request to a node on a new connection.
func ask(m *machine, method, target string) (result, error) {
	c, err := dial(m)
	if err != nil {
		return result{}, err
	}
	defer c.close()
	id := newID("request")
	res := c.do(method, requestText(method, target, id, 1500, "Content-Length: 0\r\n"), id, 3*time.Second)
	m.d.record.line("%s %s at %s: %v", method, target, m.name, res)
	return res, nil
}

// playChanged books slips whose names hold a character that is not escaped, beside an
// escaped slash, and compares what the servers ran with what was sent.
func playChanged(r *record) (bool, error) {
	d, err := newDeployment(r, services, nil)
	defer d.close()
	if err != nil {
		return false, err
	}
	targets := []string{"/book/slip%2F7/a%7Cb", "/book/..%2Fread%2Fx%7C", "/book/half%2Fpart%3Fq=1%7C"}
	if trouble {
		targets = []string{"/book/slip%2F7/a|b", "/book/..%2Fread%2Fx|", "/book/half%2Fpart%3Fq=1|"}
	}
	changed, ran := 0, 0
	for _, m := range d.machines {
		for _, target := range targets {
			res, err := ask(m, "POST", target)
			if err != nil {
				return false, err
			}
			for _, run := range d.runsOf()[res.id] {
				ran++
				if run.Target != target {
					changed++
					r.say("sent POST %s, run POST %s", target, run.Target)
				}
			}
		}
	}
	r.say("requests run: %d, with another path than was sent: %d", ran, changed)
	return changed > 0, nil
}

const (
	bookings    = 480
	consumers   = 16
	losingShare = 0.5 // of the servers of the service that lose answers
	losesOneIn  = 3   // of their answers to bookings
)

// playTwice books devices whose names hold an escaped slash, while servers lose answers to
// requests that they have run. The paths begin with the prefix of a route that is not
// idempotent, and with that of an idempotent one only if they are decoded.
func playTwice(r *record) (bool, error) {
	n := 0
	d, err := newDeployment(r, []string{"kayit", "kayit", "kayit", "kayit", "arsiv"}, func(s *server) {
		s.work = 120 * time.Millisecond // the mean of the site file
		if n++; trouble && float64(n) <= 4*losingShare {
			s.loses = losesOneIn
		}
	})
	defer d.close()
	if err != nil {
		return false, err
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range consumers {
		all.Go(func() {
			for n := range bookings / consumers {
				res, err := ask(d.machines[(k+n)%len(d.machines)], "POST", "/book/status%2F"+strconv.Itoa(k*1000+n))
				if err != nil {
					continue
				}
				mu.Lock()
				statuses[res.status]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	twice := 0
	runs := d.runsOf()
	for id, ran := range runs {
		if len(ran) > 1 {
			twice++
			r.say("%s, POST %s, has run %d times, at %s and %s", id, ran[0].Target, len(ran), ran[0].Server, ran[1].Server)
		}
	}
	r.say("bookings sent: %d, answered by status %v, run: %d, run more than once: %d", bookings, statuses, len(runs), twice)
	return twice > 0, nil
}

// playStar sends requests that no route matches, and counts the answers of success without a
// server's stamp.
func playStar(r *record) (bool, error) {
	d, err := newDeployment(r, services, nil)
	defer d.close()
	if err != nil {
		return false, err
	}
	target := "/none/"
	if trouble {
		target = "*"
	}
	forged := 0
	for _, m := range d.machines {
		for range 5 {
			res, err := ask(m, "OPTIONS", target)
			if err != nil {
				return false, err
			}
			if res.status/100 == 2 && !res.stamped {
				forged++
			}
			if len(d.runsOf()[res.id]) > 0 {
				r.say("%s was run", res.id)
			}
		}
	}
	r.say("answers of success without a stamp, to requests that no server got: %d of %d", forged, 5*len(d.machines))
	return forged > 0, nil
}
