package main

// This file is the case of ordinary consumers beside clients that exceed what is usual.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["room"] = lostForRoom }

const (
	roomBackends  = 4
	roomConsumers = 40                     // ordinary ones at the machine that the others press
	roomPause     = 200 * time.Millisecond // between two requests of one of them
	roomTime      = 12 * time.Second
	roomUploads   = 80  // clients whose long bodies stop just short of their end
	roomFields    = 600 // clients whose requests have very many short fields
	roomBody      = 128 << 10
	roomHeader    = 15 << 10 // bytes of fields; the configuration allows a header of 16 KiB
	roomReopen    = 100 * time.Millisecond
	roomRamp      = 2 * time.Second // in which the other clients come
	roomHost      = "order.example"
)

// lostForRoom lets ordinary consumers place orders on kept connections, at a machine at which
// other clients hold long bodies and long headers open. The backends' answers have no length.
func lostForRoom(t *trial) (string, error) {
	for range roomBackends {
		if _, err := t.addMachine(backendConfig{Service: "orderdesk", Slots: 6, WorkMS: 50, BodyBytes: 400, Unframed: true}); err != nil {
			return "", err
		}
	}
	t.operatorWrites(configuration("r7", []string{"orderdesk"}, []route{
		{name: "r-order", host: roomHost, prefix: "/order/", kind: "unsafe", service: "orderdesk", timeoutS: 2.5, attempts: 2},
		{name: "r-draw", host: roomHost, prefix: "/draw/", kind: "download", service: "orderdesk", timeoutS: 4, attempts: 2},
	}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	stop, pressed := make(chan struct{}), t.machines[0]
	var wg sync.WaitGroup
	var opened atomic.Int64
	if t.trouble {
		long := strings.Repeat("x", roomBody-1)
		t.press(&wg, stop, &opened, pressed, roomUploads, fmt.Sprintf("Content-Length: %d\r\n\r\n", roomBody)+long)
		t.press(&wg, stop, &opened, pressed, roomFields, shortFields(roomHeader)+"Content-Length: 2\r\n\r\nx")
	}
	answers := make([][]consumerAnswer, roomConsumers)
	for n := range roomConsumers {
		wg.Go(func() {
			c := &consumer{machine: pressed}
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(roomPause):
				}
				answers[n] = append(answers[n], c.send(consumerRequest{
					Method: "POST", Host: roomHost, Target: fmt.Sprintf("/order/%d-%d", n, i), Body: "{}", Budget: 5 * time.Second,
				}))
			}
		})
	}
	time.Sleep(roomTime)
	close(stop)
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	return t.judgeRoom(answers, opened.Load())
}

// shortFields returns header fields of about so many bytes, each as short as can be.
func shortFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// press keeps connections of clients open that send the rest of a request and then wait, and
// opens them again when they are closed.
func (t *trial) press(wg *sync.WaitGroup, stop chan struct{}, opened *atomic.Int64, m *machine, conns int, rest string) {
	for n := range conns {
		wg.Go(func() {
			pause := time.Duration(n) * roomRamp / time.Duration(conns)
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				pause = roomReopen
				conn, err := net.DialTimeout("tcp", m.address("outbound"), time.Second)
				if err != nil {
					continue
				}
				opened.Add(1)
				ended := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-ended:
					}
					_ = conn.Close()
				}()
				id := fmt.Sprintf("p%015x", sentCount.Add(1))
				head := fmt.Sprintf("POST /draw/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\n", id, roomHost, name("requestID"), id, name("timeoutMS"))
				if _, err := io.WriteString(conn, head+rest); err == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
				close(ended)
			}
		})
	}
}

// judgeRoom counts the ordinary requests that were passed on and whose kept connections ended
// without an answer.
func (t *trial) judgeRoom(answers [][]consumerAnswer, opened int64) (string, error) {
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	ran := map[string]string{}
	for _, r := range runs {
		t.record.add("%s %s: %s %s %s", r.Backend, r.What, r.ID, r.Method, r.Target)
		if r.What == "run" {
			ran[r.ID] = r.Backend
		}
	}
	sent, whole, refused, lost := 0, 0, 0, 0
	for _, of := range answers {
		for _, a := range of {
			t.record.add("sent %s", a.line())
			sent++
			switch {
			case a.Whole && a.Status == 200:
				whole++
			case a.Whole:
				refused++
			case a.Kept && a.Status == 0 && ran[a.ID] != "" && a.EndedAt.Sub(a.SentAt) < a.Request.Budget:
				lost++
				t.record.add("LOST: %s was run by %s, and its kept connection was closed without an answer after %s", a.ID, ran[a.ID], a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
			}
		}
	}
	t.mu.Lock()
	for _, text := range t.ended {
		t.record.add("%s", text)
	}
	t.mu.Unlock()
	t.record.add("%d ordinary requests, %d served, %d answered otherwise, %d run and closed without an answer on kept connections; %d connections of other clients", sent, whole, refused, lost, opened)
	if whole < sent/4 {
		return "", fmt.Errorf("only %d of %d ordinary requests were served", whole, sent)
	}
	if lost > 3 {
		return fmt.Sprintf("%d ordinary requests were run and their kept connections closed without an answer", lost), nil
	}
	return "", nil
}
