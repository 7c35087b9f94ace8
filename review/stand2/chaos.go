package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

func chaos(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "alpha", "beta", "alpha", "beta", "alpha", "beta")
	if err != nil {
		return false, err
	}
	defer s.end()
	services := []string{"alpha", "beta"}
	conf := func(v int) {
		a, b := "alpha", "beta"
		if v%2 == 0 {
			a, b = b, a
		}
		s.configure(v, services,
			route{name: "r-book", prefix: "/book/", kind: "unsafe", service: a, timeoutS: 1.5, attempts: 3, sloS: 0.4, priority: 1},
			route{name: "r-read", prefix: "/read/", kind: "safe", service: b, timeoutS: 1.5, attempts: 3, sloS: 0.4, priority: 2})
	}
	conf(7)
	for _, m := range s.machines {
		m.lossy = true
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		go s.keepServer(m, time.Second)
	}
	type sent struct {
		a      answer
		method string
		length int
	}
	var mu sync.Mutex
	all := map[string]sent{}
	var wg sync.WaitGroup
	until := time.Now().Add(time.Duration(envInt("SECONDS", 60)) * time.Second)
	for _, m := range s.machines {
		for range 8 {
			wg.Go(func() {
				c := &consumer{address: m.ip + ":8141"}
				defer c.close()
				for n := 0; time.Now().Before(until); n++ {
					length := 100 + rand.IntN(40000)
					q := request{id: newID(), method: http.MethodPost, timeout: time.Duration(400+rand.IntN(1500)) * time.Millisecond}
					q.path = fmt.Sprintf("/book/w%d/b%d/%s", 5+rand.IntN(120), length, q.id)
					q.body = make([]byte, rand.IntN(300))
					if rand.IntN(5) == 0 {
						q.body = make([]byte, 20000+rand.IntN(200000))
					}
					q.chunked = rand.IntN(4) == 0 && len(q.body) > 0
					if rand.IntN(2) == 0 {
						q.method, q.path, q.body, q.chunked = http.MethodGet, strings.Replace(q.path, "/book/", "/read/", 1), nil, false
					}
					if rand.IntN(20) == 0 { // leaves
						time.AfterFunc(time.Duration(rand.IntN(100))*time.Millisecond, func() {
							q := c.conn
							if q != nil {
								_ = q.Close()
							}
						})
					}
					a := c.send(q)
					if a.err == nil {
						for _, x := range a.body {
							if x != 'a' {
								a.err = fmt.Errorf("foreign byte")
								r.say("foreign byte in %s", a.id)
							}
						}
					}
					r.note("%s %s at %s: %v", q.method, q.path, m.name, a)
					mu.Lock()
					all[q.id] = sent{a, q.method, length}
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	version := 7
	for trouble && time.Now().Before(until.Add(-4*time.Second)) {
		time.Sleep(time.Duration(200+rand.IntN(1200)) * time.Millisecond)
		m := s.machines[rand.IntN(len(s.machines))]
		s.mu.Lock()
		node, server := m.node, m.server
		s.mu.Unlock()
		switch k := rand.IntN(8); k {
		case 0:
			r.note("node of %s is killed", m.name)
			node.kill()
			_ = s.startNode(m)
		case 1:
			r.note("node of %s stops", m.name)
			_ = node.cmd.Process.Signal(syscall.SIGTERM)
			go func() {
				<-node.ended
				_ = s.startNode(m)
			}()
			time.Sleep(2 * time.Second)
		case 2, 3:
			d := time.Duration(rand.IntN(2500)) * time.Millisecond
			r.note("node of %s freezes for %v", m.name, d)
			_ = node.cmd.Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { _ = node.cmd.Process.Signal(syscall.SIGCONT) })
		case 4:
			r.note("server of %s is killed", m.name)
			_ = server.cmd.Process.Kill()
		case 5:
			d := time.Duration(rand.IntN(2500)) * time.Millisecond
			r.note("server of %s freezes for %v", m.name, d)
			_ = server.cmd.Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(d, func() { _ = server.cmd.Process.Signal(syscall.SIGCONT) })
		case 6:
			r.note("server of %s stops", m.name)
			_ = server.cmd.Process.Signal(syscall.SIGTERM)
		case 7:
			version++
			conf(version)
		}
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	runs, count := map[string]int{}, 0
	for _, m := range s.machines {
		f, _ := os.Open(m.ledger)
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			if fields := strings.Fields(lines.Text()); len(fields) > 3 && fields[2] == "run" {
				runs[fields[3]]++
				count++
				if _, ok := all[fields[3]]; !ok {
					r.say("UNASKED %s", lines.Text())
				}
			}
		}
		_ = f.Close()
	}
	statuses, broken := map[string]int{}, 0
	for id, x := range all {
		key := fmt.Sprintf("%s %d", x.method, x.a.status)
		if x.a.err != nil {
			key = x.method + " error"
		}
		statuses[key]++
		if x.method == http.MethodPost && runs[id] > 1 {
			r.say("TWICE %s ran %d times", id, runs[id])
			broken++
		}
		if x.method == http.MethodPost && x.a.err == nil && (x.a.status == 503 || x.a.status == 429 || x.a.status == 408 || x.a.status == 421) && runs[id] > 0 {
			r.say("REFUSED %v and ran %d times", x.a, runs[id])
			broken++
		}
		if x.a.err == nil && x.a.status == 200 && (len(x.a.body) != x.length || !strings.HasPrefix(x.a.header.Get(name("stamp")), "stamp."+id) || x.a.header.Get(name("requestID")) != id || runs[id] == 0) {
			r.say("MIXED %v length %d", x.a, x.length)
			broken++
		}
		if x.a.err == nil && x.a.status >= 400 && x.a.status < 500 && x.a.status != 429 && x.a.status != 408 {
			r.say("DENIED? %v", x.a)
		}
	}
	r.say("%d requests, %d runs, answers %v", len(all), count, statuses)
	return broken > 0, nil
}
