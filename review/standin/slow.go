package main

// This file plays consumers that read their answers slowly, beside ordinary ones.

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow"] = playSlow }

const (
	crowd    = 300  // consumers that read slowly
	slowRate = 8000 // bytes a second that one of them takes
)

// sizes are those of the downloads, in bytes: the mean and the largest of the site file, and
// some between. Ordinary consumers and slow ones ask for all of them in turn.
var sizes = []int{90000, 540000, 180000, 60000, 360000}

// sizeOfTarget lets a request state the size of its answer in its query.
func sizeOfTarget(r *http.Request) int {
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil {
		return n
	}
	return 200
}

// dialSlow opens a connection like that of a consumer behind a narrow link: segments of
// the usual size, and little room for what has not been read.
func dialSlow(m *machine) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		_ = c.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8192)
			}
		})
		return err
	}}
	return d.Dial("tcp", m.ip+":8141")
}

func playSlow(r *record) (bool, error) {
	d, err := newDeployment(r, []string{"kayit", "arsiv", "arsiv", "arsiv"}, func(s *server) { s.size = sizeOfTarget })
	defer d.close()
	if err != nil {
		return false, err
	}
	entry := d.machines[0]
	stop := make(chan struct{})
	var all sync.WaitGroup
	var slowDone, slowCut atomic.Int64
	if trouble {
		for n := range crowd {
			all.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					default:
					}
					whole, err := readSlowly(entry, 540000, stop)
					r.line("slow consumer %d: whole %v, %v", n, whole, err)
					if whole {
						slowDone.Add(1)
					} else {
						slowCut.Add(1)
					}
					select {
					case <-stop:
						return
					case <-time.After(1000 * time.Millisecond):
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	results := map[string]result{}
	end := time.Now().Add(20 * time.Second)
	for range 4 {
		all.Go(func() {
			c, err := dial(entry)
			for n := 0; time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				n++
				if err != nil {
					c, err = dial(entry)
					continue
				}
				id := newID("ordinary")
				res := c.do("GET", requestText("GET", "/fetch/manual?size="+strconv.Itoa(sizes[n%len(sizes)]), id, 1200), id, 2*time.Second)
				r.line("%v", res)
				mu.Lock()
				results[id] = res
				mu.Unlock()
				if res.err != nil || res.close {
					c.close()
					c, err = dial(entry)
				}
			}
			c.close()
		})
	}
	time.Sleep(time.Until(end))
	close(stop)
	all.Wait()
	time.Sleep(300 * time.Millisecond)
	runs := d.runsOf()
	served, other, lost := 0, 0, 0
	for id, res := range results {
		switch {
		case res.status == 200 && res.err == nil:
			served++
		case res.kept && res.closed() && len(runs[id]) > 0:
			lost++
		default:
			other++
		}
	}
	r.say("slow consumers: %d answers taken whole, %d cut", slowDone.Load(), slowCut.Load())
	r.say("ordinary requests: %d, served %d, closed without an answer after they had run %d, others %d", len(results), served, lost, other)
	return lost > 3, nil
}

// readSlowly asks for a large download on a new connection and takes the answer at
// slowRate. It reports whether the answer came whole.
func readSlowly(m *machine, bundle int, stop chan struct{}) (bool, error) {
	conn, err := dialSlow(m)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	id := newID("slow")
	if _, err := io.WriteString(conn, requestText("GET", "/fetch/bundle?size="+strconv.Itoa(bundle), id, 1200)); err != nil {
		return false, err
	}
	const step = 100 * time.Millisecond
	buffer := make([]byte, int(slowRate*step.Seconds()))
	total, status := 0, ""
	for ticker := time.Tick(step); ; <-ticker {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := io.ReadFull(conn, buffer)
		if total == 0 {
			status, _, _ = strings.Cut(string(buffer[:n]), "\r\n")
		}
		total += n
		if total > bundle {
			return true, nil
		}
		if err != nil {
			m.d.record.line("%s: %q after %d bytes", id, status, total)
			return false, err
		}
		select {
		case <-stop:
			return false, nil
		default:
		}
	}
}
