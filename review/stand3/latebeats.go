package main

// This file is the case of heartbeats that arrive late at a node that was killed after it had
// confirmed that its backend leaves.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["12"] = lateBeats }

const (
	lateBackends = 4
	lateHeld     = 2700 * time.Millisecond // before the backend leaves, in which its heartbeats are held up
	lateDelay    = 4500 * time.Millisecond // by which each of them is late
	lateKill     = 300 * time.Millisecond  // after the confirmation
	lateDown     = 500 * time.Millisecond
	lateServes   = 11 * time.Second // that the backend serves on
	lateTail     = time.Second      // in which consumers go on after that
	lateTouch    = 3 * time.Second  // stabilityWindowS
	lateDrain    = 2 * time.Second  // drainS
	lateSpacing  = 20 * time.Millisecond
	lateHost     = "late.example"
)

// lateBeats lets one backend leave while its last heartbeats are under way, and kills its node.
func lateBeats(t *trial) (string, error) {
	var held atomic.Bool
	for n := range lateBackends {
		m, err := t.addMachine(backendConfig{Service: "orderdesk", Slots: 6, WorkMS: 100, BodyBytes: 400, LeaveMS: int(lateServes.Milliseconds())})
		if err != nil {
			return "", err
		}
		if n == 1 {
			if m.backend.Control, err = t.delayBeats(m, &held); err != nil {
				return "", err
			}
		}
	}
	t.operatorWrites(configuration("r7", []string{"orderdesk"}, []route{
		{name: "r-order", host: lateHost, prefix: "/order/", kind: "unsafe", service: "orderdesk", timeoutS: 2.5, attempts: 2},
	}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	stop, leaver := make(chan struct{}), t.machines[1]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []consumerAnswer
	for _, m := range t.machines {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(lateSpacing):
				}
				a := send(consumerRequest{Machine: m, Method: "POST", Host: lateHost, Target: fmt.Sprintf("/order/%d-%d", m.number, n), Body: "{}", Budget: 4 * time.Second})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	held.Store(t.trouble)
	time.Sleep(lateHeld)
	held.Store(false)
	t.signal(leaver.server, syscall.SIGUSR1, true)
	left, inTouch := time.Now(), time.Now()
	time.Sleep(lateKill)
	if t.trouble {
		t.signal(leaver.node, syscall.SIGKILL, true)
		time.Sleep(lateDown)
		if err := t.startNode(leaver); err != nil {
			return "", err
		}
		started := time.Now()
		if err := t.waitReady(leaver, readyTimeout); err != nil {
			return "", err
		}
		inTouch = started.Add(lateTouch + 500*time.Millisecond)
		t.record.add("the node beside the leaving backend was killed and started again; it is in touch from %s after the leaving", inTouch.Sub(left).Round(time.Millisecond))
	}
	time.Sleep(time.Until(left.Add(lateServes + lateTail)))
	close(stop)
	wg.Wait()
	return t.judgeLeaving(leaver, answers, inTouch)
}

// judgeLeaving counts the requests that reached a backend later than drainS after its leaving
// was confirmed and that were sent while all machines were in touch.
func (t *trial) judgeLeaving(leaver *machine, answers []consumerAnswer, inTouch time.Time) (string, error) {
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	sentAt, served := map[string]time.Time{}, map[string]bool{}
	for _, a := range answers {
		t.record.add("sent at %s %s", a.SentAt.Format("15:04:05.000"), a.line())
		sentAt[a.ID], served[a.ID] = a.SentAt, a.Whole && a.Status == http.StatusOK
	}
	confirmed := time.Time{}
	for _, r := range runs {
		if r.What == "leaving confirmed" {
			confirmed = time.UnixMicro(r.At)
		}
	}
	if confirmed.IsZero() {
		return "", fmt.Errorf("no node confirmed that the backend leaves")
	}
	late, cut := 0, 0
	for _, r := range runs {
		at := time.UnixMicro(r.At)
		t.record.add("%s %s %s: %s %s %s", at.Format("15:04:05.000"), r.Backend, r.What, r.ID, r.Method, r.Target)
		if r.What == "run" && r.Backend == leaver.backend.ID && at.Sub(confirmed) > lateDrain && sentAt[r.ID].After(inTouch) {
			late++
			if !served[r.ID] {
				cut++
				t.record.add("%s ran at the leaving backend and got no success", r.ID)
			}
		}
	}
	t.record.add("%d requests sent; %d reached the leaving backend later than %s after the confirmation, sent when all machines were in touch; %d of these got no success", len(answers), late, lateDrain, cut)
	if late > 0 {
		return fmt.Sprintf("%d requests reached a backend later than drainS after a node had confirmed that it leaves", late), nil
	}
	return "", nil
}

// delayBeats starts a proxy between a backend and the control port of its node, and returns its
// address. Heartbeats that come while held is set are passed on late; all others at once.
func (t *trial) delayBeats(m *machine, held *atomic.Bool) (string, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		isBeat := strings.HasPrefix(r.RequestURI, name("heartbeatPath"))
		if isBeat && held.Load() {
			t.record.add("%s: a heartbeat is held up for %s: %s", time.Now().Format("15:04:05.000"), lateDelay, body)
			time.Sleep(lateDelay)
		}
		status := passOn(m.address("control"), r.RequestURI, body)
		if isBeat && r.Context().Err() != nil {
			t.record.add("%s: the late heartbeat is passed on and answered with %d: %s", time.Now().Format("15:04:05.000"), status, body)
		}
		w.WriteHeader(status)
	})
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

// passOn makes one call to a node and returns the status of its answer.
func passOn(address, target string, body []byte) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return http.StatusBadGateway
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", target, address, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return http.StatusBadGateway
	}
	defer resp.Body.Close()
	_, _ = io.Copy(&bytes.Buffer{}, io.LimitReader(resp.Body, 4<<10))
	return resp.StatusCode
}
