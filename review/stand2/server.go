package main

// This file is a stand-in for a backend server, which runs as a process of its own: it
// announces itself to the node beside it, answers health checks and runs requests.

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// backendServer is one incarnation of a backend server.
type backendServer struct {
	id, service, zone, address, control string
	slots                               int
	born                                int64
	deadly                              string // a body or path that holds this ends the process once its run has begun
	lossy                               bool   // some requests are rejected, and some answers lost
	ledger                              *os.File
	ledgerMu                            sync.Mutex
	running                             chan struct{}
	queued                              atomic.Int32
	leaving                             atomic.Bool
	seq                                 atomic.Int64
}

// runServer is the command "server".
func runServer(args []string) error {
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	s := &backendServer{}
	flags.StringVar(&s.id, "id", "", "ID of this incarnation")
	flags.StringVar(&s.service, "service", "", "service")
	flags.StringVar(&s.zone, "zone", "", "zone")
	flags.StringVar(&s.address, "address", "", "address to serve")
	flags.StringVar(&s.control, "control", "", "address of the node beside it")
	flags.IntVar(&s.slots, "slots", 6, "slots")
	flags.StringVar(&s.deadly, "deadly", "", "text in a path or body that ends the process")
	flags.BoolVar(&s.lossy, "lossy", false, "reject some requests and lose some answers")
	path := flags.String("ledger", "", "file to which runs are appended")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s.born, s.running = time.Now().UnixMilli(), make(chan struct{}, s.slots)
	var err error
	if s.ledger, err = os.OpenFile(*path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go s.announce()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	server := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	<-term
	s.leaving.Store(true)
	s.beat()
	time.Sleep(2500 * time.Millisecond) // drainS and a little longer
	s.post(name("deregister")+s.id, nil)
	return nil
}

// note appends a line to the ledger.
func (s *backendServer) note(format string, args ...any) {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	fmt.Fprintf(s.ledger, "%s %s %s\n", time.Now().UTC().Format(clockLayout), s.id, fmt.Sprintf(format, args...))
}

// announce sends heartbeats until the process ends.
func (s *backendServer) announce() {
	for {
		s.beat()
		time.Sleep(1500 * time.Millisecond)
	}
}

func (s *backendServer) beat() {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": s.seq.Add(1), name("cold"): 0},
	})
	s.post(name("heartbeat")+s.id, body)
}

func (s *backendServer) post(path string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.control+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// ServeHTTP runs a request or rejects it. Segments of its path such as "w50" and "b1000" give
// the work in ms and the length of the answer.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(name("instance"), s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(name("requestID"))
	w.Header().Set(name("requestID"), id)
	reject := func(status int, why string) {
		s.note("reject %s %d %s", id, status, why)
		w.Header().Set(name("notExecuted"), "1")
		w.WriteHeader(status)
	}
	if id == "" {
		reject(http.StatusBadRequest, "no ID")
		return
	}
	if expected := r.Header.Get(name("expect")); expected != "" && expected != s.id {
		w.Header().Set(name("instance"), s.id)
		reject(http.StatusMisdirectedRequest, "expects "+expected)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.note("cut %s %v", id, err)
		return
	}
	if s.queued.Add(1) > int32(s.slots*5) {
		s.queued.Add(-1)
		reject(http.StatusServiceUnavailable, "full")
		return
	}
	defer s.queued.Add(-1)
	if s.lossy && rand.IntN(12) == 0 {
		reject(http.StatusServiceUnavailable, "at random")
		return
	}
	select {
	case s.running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.running }()
	target := r.RequestURI
	s.note("run %s %s %s body=%d caller=%s timeout=%s", id, r.Method, target, len(body), r.Header.Get(name("callerService")), r.Header.Get(name("timeout")))
	s.run(w, r, id, target, body)
}

// run does the work of a request and answers it.
func (s *backendServer) run(w http.ResponseWriter, r *http.Request, id, target string, body []byte) {
	work, length := 20, 200
	for _, segment := range strings.Split(strings.SplitN(target, "?", 2)[0], "/") {
		if len(segment) < 2 {
			continue
		}
		if n, err := strconv.Atoi(segment[1:]); err == nil && segment[0] == 'w' {
			work = n
		} else if err == nil && segment[0] == 'b' {
			length = n
		}
	}
	if s.deadly != "" && (strings.Contains(target, s.deadly) || bytes.Contains(body, []byte(s.deadly))) {
		time.Sleep(time.Duration(work) * time.Millisecond)
		s.note("crash %s", id)
		os.Exit(70)
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		s.note("stopped %s", id)
		return
	}
	if s.lossy && rand.IntN(30) == 0 {
		s.note("lost %s", id)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	if strings.Contains(target, "/unframed") {
		s.answerUnframed(w, id, length)
		return
	}
	w.Header().Set(name("stamp"), "stamp."+id+"."+strconv.Itoa(length))
	w.Header().Set("Content-Type", "application/octet-stream")
	if strings.Contains(target, "/chunked") {
		_ = http.NewResponseController(w).Flush() // the answer has no length
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	_, err := w.Write(bytes.Repeat([]byte{'a'}, length))
	s.note("answered %s 200 %d error=%v", id, length, err)
}

// answerUnframed writes an answer without a length, which ends with its connection, in eight parts
// of which one comes every 100 ms.
func (s *backendServer) answerUnframed(w http.ResponseWriter, id string, length int) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n%s: stamp.%s.%d\r\n\r\n", name("requestID"), id, name("stamp"), id, length)
	for range 8 {
		_, _ = out.Write(bytes.Repeat([]byte{'a'}, length/8))
		_ = out.Flush()
		time.Sleep(100 * time.Millisecond)
	}
	s.note("answered %s 200 %d without a length", id, length)
}
