package main

// This file is a stand-in for a backend server: slots and a queue, answers with the ID and
// a stamp, a health path, and heartbeats to the node beside it.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const queueLength = 24 // calls that wait for a slot

// run is one request that a server has begun to work on.
type run struct {
	ID, Method, Target, Caller, Server, Service string
	At                                          time.Time
	Length                                      int
	Sent                                        bool // the whole answer was written
}

type server struct {
	machine *machine
	id      string
	slots   int
	work    time.Duration
	size    func(r *http.Request) int // bytes of an answer; nil for 200
	loses   int                       // one in so many answers to bookings is lost; 0 for none
	deadly  func(*http.Request) int   // bytes of the answer to a request after which the server crashes; negative for none; nil for no such request

	mu      sync.Mutex
	runs    []*run
	booked  int
	waiting int
	leaving bool
	seq     int
	sem     chan struct{}
	down    bool
	starts  int
	crashes []time.Time
	http    *http.Server
	done    chan struct{}
	ended   sync.Once
	born    int64
}

func (s *server) start() error {
	s.done = make(chan struct{})
	if err := s.listen(); err != nil {
		return err
	}
	go s.beat()
	return nil
}

// listen starts an incarnation of the server.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.machine.ip+":8147")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts++; s.starts > 1 {
		s.id = fmt.Sprintf("%s-%d", s.id, s.starts)
	}
	s.sem, s.born, s.seq, s.down, s.waiting = make(chan struct{}, s.slots), time.Now().UnixMilli(), 0, false, 0
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	h := s.http
	go func() { _ = h.Serve(l) }()
	return nil
}

// crash ends the incarnation of the server. It is back after crashTime.
func (s *server) crash(why string) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.crashes = append(s.crashes, time.Now())
	h := s.http
	s.mu.Unlock()
	s.machine.d.record.line("crash of %s by %s", s.id, why)
	_ = h.Close()
	time.AfterFunc(crashTime, func() {
		select {
		case <-s.done:
		default:
			if err := s.listen(); err != nil {
				s.machine.d.record.line("%s is not back: %v", s.id, err)
				return
			}
			s.announce()
		}
	})
}

// crashTime is how long a server that has crashed is away.
const crashTime = 2 * time.Second

func (s *server) stop() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	if h != nil {
		s.ended.Do(func() { close(s.done) })
		_ = h.Close()
	}
}

// beat sends heartbeats until the server stops.
func (s *server) beat() {
	for {
		s.announce()
		select {
		case <-s.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// announce sends one heartbeat and returns whether it was confirmed.
func (s *server) announce() bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return false
	}
	s.seq++
	id, state := s.id, "ready"
	if s.leaving {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": s.machine.ip + ":8147", "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": s.seq, names.ColdField: 0},
	})
	s.mu.Unlock()
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+s.machine.ip+":8146"+names.HeartbeatPath+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < 300
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.health(w)
		return
	}
	id := r.Header.Get(names.RequestID)
	h := w.Header()
	if id == "" {
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set(names.RequestID, id)
	if expect := r.Header.Get(names.Expect); expect != "" && expect != s.id {
		h.Set(names.InstanceID, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sem, ok := s.enter(r)
	if !ok {
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-sem }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ran := &run{ID: id, Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get(names.CallerService), Server: s.id, Service: s.machine.service, At: time.Now(), Length: len(body)}
	s.mu.Lock()
	s.runs = append(s.runs, ran)
	s.mu.Unlock()
	s.machine.d.record.line("ran %s %s %s at %s of %s, %d bytes of body", id, r.Method, r.RequestURI, s.id, s.machine.service, len(body))
	select {
	case <-time.After(s.workOf(r)):
	case <-r.Context().Done():
		return
	}
	if s.losesAnswer(r) {
		s.machine.d.record.line("lost the answer of %s to %s", s.id, id)
		panic(http.ErrAbortHandler) // the connection ends
	}
	size := 200
	if s.size != nil {
		size = s.size(r)
	}
	h.Set(names.Stamp, "3e1b."+s.id+"."+strconv.Itoa(size))
	h.Set("Content-Length", strconv.Itoa(size))
	if s.deadly != nil {
		if n := s.deadly(r); n >= 0 {
			s.answerAndCrash(w, n, id)
			return
		}
	}
	if _, err := io.Copy(w, io.LimitReader(pattern{}, int64(size))); err == nil {
		s.mu.Lock()
		ran.Sent = true
		s.mu.Unlock()
	}
}

// answerAndCrash writes the first bytes of an answer, and its header if there are any, and
// ends the server.
func (s *server) answerAndCrash(w http.ResponseWriter, n int, id string) {
	if n > 0 {
		_, _ = io.Copy(w, io.LimitReader(pattern{}, int64(n)))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	s.crash(id)
	panic(http.ErrAbortHandler)
}

// losesAnswer reports whether the answer to a request that has run is lost.
func (s *server) losesAnswer(r *http.Request) bool {
	if s.loses == 0 || r.Method != http.MethodPost {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.booked++
	return s.booked%s.loses == 0
}

// workOf returns how long the server works on a request. A request may state it in its
// query.
func (s *server) workOf(r *http.Request) time.Duration {
	if v, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		return time.Duration(v) * time.Millisecond
	}
	return s.work
}

// pattern is an endless body.
type pattern struct{}

func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte(i%23)
	}
	return len(p), nil
}

// enter takes a slot, or waits for one in the queue until the time budget has passed.
func (s *server) enter(r *http.Request) (chan struct{}, bool) {
	s.mu.Lock()
	sem := s.sem
	select {
	case sem <- struct{}{}:
		s.mu.Unlock()
		return sem, true
	default:
	}
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return nil, false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting = max(0, s.waiting-1)
		s.mu.Unlock()
	}()
	left, err := strconv.ParseFloat(r.Header.Get(names.Timeout), 64)
	if err != nil {
		left = 60000
	}
	select {
	case sem <- struct{}{}:
		return sem, true
	case <-time.After(time.Duration(left) * time.Millisecond):
		return nil, false
	case <-r.Context().Done():
		return nil, false
	}
}

func (s *server) health(w http.ResponseWriter) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	w.Header().Set(names.InstanceID, s.id)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// runsOf returns the runs of all servers, by request.
func (d *deployment) runsOf() map[string][]run {
	out := map[string][]run{}
	for _, m := range d.machines {
		m.server.mu.Lock()
		for _, r := range m.server.runs {
			out[r.ID] = append(out[r.ID], *r)
		}
		m.server.mu.Unlock()
	}
	return out
}

// requestText returns the head of a request.
func requestText(method, target, id string, timeoutMS int, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, target, names.RequestID, id, names.Timeout, timeoutMS, strings.Join(fields, ""))
}
