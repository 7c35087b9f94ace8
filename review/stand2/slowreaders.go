package main

// This file plays a crowd of consumers that read their answers very slowly, beside ordinary
// ones that read at once.

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slowreaders"] = slowReaders }

// slowReaders reports whether a node that is in touch passed requests from kept connections on
// to a server that ran and answered them, and closed these connections without an answer, more
// than three times.
func slowReaders(r *recorder, trouble bool) (bool, error) {
	s, err := newSite(r, "drawings", "drawings", "drawings")
	if err != nil {
		return false, err
	}
	defer s.end()
	s.configure(
		7, []string{"drawings"},
		route{name: "r-pull", prefix: "/pull/", kind: "download", service: "drawings", timeoutS: 2, attempts: 2, sloS: 0.6, priority: 2},
		route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "drawings", timeoutS: 2.5, attempts: 2, sloS: 0.8, priority: 1},
	)
	for _, m := range s.machines {
		m.slots = 9
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	entry := s.machines[0].ip + ":8141"
	stop := make(chan struct{})
	var wg sync.WaitGroup
	crowd := envInt("CROWD", 150)
	var opened, taken atomic.Int64
	if trouble {
		for range crowd {
			wg.Go(func() { readSlowly(entry, stop, &opened, &taken) })
		}
	}
	time.Sleep(3 * time.Second)
	var ids sync.Map // of the requests without an answer on kept connections
	var lost, good, refused, failed, connErrors atomic.Int64
	until := time.Now().Add(20 * time.Second)
	for i := range 6 {
		wg.Go(func() {
			c := &consumer{address: entry}
			defer c.close()
			for time.Now().Before(until) {
				q := request{id: newID(), method: http.MethodGet, path: "/pull/w20/b100000/x", timeout: 4 * time.Second}
				if i%3 == 2 {
					q.method, q.path, q.body = http.MethodPost, "/book/w20/b30000/x", []byte("a booking")
				}
				a := c.send(q)
				r.note("ordinary %s %s kept=%v: %v", q.method, q.path, a.kept, a)
				switch {
				case a.err != nil && a.kept:
					lost.Add(1)
					ids.Store(a.id, true)
				case a.err != nil:
					connErrors.Add(1)
				case a.status == http.StatusOK:
					good.Add(1)
				case a.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(until))
	close(stop)
	wg.Wait()
	answered, bookings := s.answered(&ids)
	r.say("largest memory of the node: %s", s.machines[0].peakMemory())
	r.say("crowd: %d connections opened, %d bytes taken", opened.Load(), taken.Load())
	r.say("ordinary: %d good, %d refused with 503, %d other failures, %d without an answer on kept connections, %d on new ones", good.Load(), refused.Load(), failed.Load(), lost.Load(), connErrors.Load())
	r.say("of those on kept connections %d were run and answered by their servers, %d of them bookings", answered, bookings)
	return answered > 3, nil
}

// answered counts, by the ledgers of the servers, the requests that were answered, and those
// that were also bookings.
func (s *site) answered(ids *sync.Map) (answered, bookings int) {
	booked := map[string]bool{}
	for _, m := range s.machines {
		for _, fields := range m.runs() {
			if _, ok := ids.Load(fields[3]); !ok {
				continue
			}
			switch {
			case fields[2] == "run" && fields[4] == http.MethodPost:
				booked[fields[3]] = true
			case fields[2] == "answered":
				answered++
				if booked[fields[3]] {
					bookings++
				}
			}
		}
	}
	return answered, bookings
}

// peakMemory returns the largest memory that the node has had, as the kernel says it.
func (m *machine) peakMemory() string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.node.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return "not known"
}

// large is the end of the path of a large download.
var large = envText("LARGE", "b900000/y")

func envText(key, otherwise string) string {
	if text := os.Getenv(key); text != "" {
		return text
	}
	return otherwise
}

// readSlowly asks for a large download and takes 16 KB a second of it, again and again.
func readSlowly(address string, stop chan struct{}, opened, taken *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := slowDial(address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		opened.Add(1)
		q := request{id: newID(), method: http.MethodGet, path: "/pull/w20/" + large, timeout: 20 * time.Second}
		_, _ = c.Write(q.bytes())
		buffer := make([]byte, 4096)
		for {
			select {
			case <-stop:
				_ = c.Close()
				return
			case <-time.After(250 * time.Millisecond):
			}
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			n, err := c.Read(buffer)
			taken.Add(int64(n))
			if err != nil {
				break
			}
		}
		_ = c.Close()
		time.Sleep(time.Second) // as a consumer that comes back after a failure
	}
}
