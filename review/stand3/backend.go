package main

// This file is a stand-in for a backend, which runs as a process of its own.

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
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

// backendConfig configures a backend; it is passed as JSON.
type backendConfig struct {
	ID        string
	Service   string
	Zone      string
	Address   string // IP:port that it listens at
	Control   string // IP:port of the node's port for heartbeats
	Slots     int
	Log       string // file to which its runs are appended, one JSON object a line
	WorkMS    int    // of one request
	LoseEvery int    // of the requests that it ran, every so many loses its answer; zero for none
	Unframed  bool   // its answers have no length and end with their connections
	BodyBytes int    // of one answer
	BodyMS    int    // in which an answer is sent, in pieces
	Gzip      bool   // it compresses answers to requests that say they accept it
	OldEvery  int    // of its answers, every so many has the version 1.0 and chunks; zero for none
	LeaveMS   int    // after SIGUSR1 it deregisters, serves on for so long, and exits
}

// runRecord is one line of a backend's log.
type runRecord struct {
	At      int64 // Unix us
	What    string
	Backend string
	Service string
	ID      string
	Method  string
	Target  string
	Caller  string
	Body    string // hash of the body
}

type backend struct {
	config  backendConfig
	log     *os.File
	seq     atomic.Int64
	runs    atomic.Int64
	born    int64
	slots   chan struct{}
	leaving atomic.Bool
}

// runBackend serves until the process ends.
func runBackend(text string) error {
	b := &backend{born: time.Now().UnixMilli()}
	if err := json.Unmarshal([]byte(text), &b.config); err != nil {
		return err
	}
	var err error
	if b.log, err = os.OpenFile(b.config.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	b.slots = make(chan struct{}, b.config.Slots)
	l, err := net.Listen("tcp", b.config.Address)
	if err != nil {
		return err
	}
	go b.beat()
	go b.leave()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go b.serve(c)
	}
}

// beat sends a heartbeat about every 0.87 s.
func (b *backend) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for next := time.Now(); !b.leaving.Load(); time.Sleep(time.Until(next)) {
		next = next.Add(870 * time.Millisecond)
		body, _ := json.Marshal(map[string]any{
			"address": b.config.Address, "born": b.born,
			"info":   map[string]any{"service": b.config.Service, "version": "v1", "zone": b.config.Zone, "slots": b.config.Slots},
			"status": map[string]any{"state": "ready", "seq": b.seq.Add(1), name("coldLeft"): 0},
		})
		go b.post(client, "heartbeatPath", body)
	}
}

// post makes one call to the node and reports whether it was confirmed.
func (b *backend) post(client *http.Client, path string, body []byte) (confirmed bool) {
	resp, err := client.Post("http://"+b.config.Control+name(path)+b.config.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10))
	return resp.StatusCode/100 == 2
}

// leave waits for SIGUSR1. The backend then deregisters without having said that it drains,
// serves on for some time, and exits.
func (b *backend) leave() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGUSR1)
	<-told
	b.leaving.Store(true)
	body, _ := json.Marshal(map[string]any{"born": b.born})
	if b.post(&http.Client{Timeout: time.Second}, "deregisterPath", body) {
		b.record("leaving confirmed", &http.Request{}, nil)
	}
	time.Sleep(time.Duration(b.config.LeaveMS) * time.Millisecond)
	b.record("exits", &http.Request{}, nil)
	os.Exit(0)
}

func (b *backend) record(what string, r *http.Request, body []byte) {
	sum := sha256.Sum256(body)
	line, _ := json.Marshal(runRecord{
		At: time.Now().UnixMicro(), What: what, Backend: b.config.ID, Service: b.config.Service, ID: r.Header.Get(name("requestID")),
		Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get(name("callerService")), Body: hex.EncodeToString(sum[:8]),
	})
	_, _ = b.log.Write(append(line, '\n'))
}

// serve answers the requests of one connection, one after the other.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if keep := b.answer(c, r, body); !keep {
			return
		}
	}
}

// answer answers one request and reports whether the connection is kept.
func (b *backend) answer(c net.Conn, r *http.Request, body []byte) (keep bool) {
	id := r.Header.Get(name("requestID"))
	if r.URL.Path == "/health" && b.leaving.Load() {
		b.record("health 503", r, nil)
		return b.write(c, "503 Service Unavailable", id, nil, "", false)
	}
	if r.URL.Path == "/health" {
		return b.write(c, "200 OK", "", nil, "", false)
	}
	if expected := r.Header.Get(name("expectInstance")); expected != "" && expected != b.config.ID {
		return b.write(c, "421 Misdirected Request", id, nil, "", false)
	}
	if id == "" {
		return b.write(c, "400 Bad Request", id, nil, "", true)
	}
	select {
	case b.slots <- struct{}{}:
	default:
		return b.write(c, "503 Service Unavailable", id, nil, "", true)
	}
	defer func() { <-b.slots }()
	b.record("run", r, body)
	run := b.runs.Add(1)
	time.Sleep(time.Duration(b.config.WorkMS) * time.Millisecond)
	if b.config.LoseEvery > 0 && run%int64(b.config.LoseEvery) == 0 {
		b.record("answer lost", r, body)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is reset
		}
		return false
	}
	whole, stamp := answerBody(b.config.ID, id, b.config.BodyBytes), stampOf(b.config.ID, id)
	if b.config.Gzip && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		b.record("answered in gzip", r, body)
		return b.writeCoded(c, "HTTP/1.1", id, stamp, "Content-Encoding: gzip", compress(whole), true)
	}
	if b.config.OldEvery > 0 && run%int64(b.config.OldEvery) == 0 {
		b.record("answered with version 1.0 in chunks", r, body)
		return b.writeCoded(c, "HTTP/1.0", id, stamp, "Transfer-Encoding: chunked", chunk(whole), false)
	}
	kept := b.write(c, "200 OK", id, whole, stamp, false)
	b.record("answered", r, body)
	return kept
}

// writeCoded writes an answer whose body is coded, with the field that says so, and reports
// whether the connection is kept. Without a length the answer ends with its connection.
func (b *backend) writeCoded(c net.Conn, version, id, stamp, field string, coded []byte, length bool) (keep bool) {
	end := "Connection: close"
	if length {
		end = "Content-Length: " + strconv.Itoa(len(coded))
	}
	_, err := fmt.Fprintf(c, "%s 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s\r\n\r\n%s", version,
		name("instanceID"), b.config.ID, name("requestID"), id, name("stamp"), stamp, field, end, coded)
	return err == nil && length
}

func compress(body []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(body) // a bytes.Buffer returns no error
	_ = w.Close()
	return out.Bytes()
}

// chunk returns a body in chunks.
func chunk(body []byte) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(len(body), 200)
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}

// stampOf returns the stamp of a backend's answer to a request.
func stampOf(backend, id string) string {
	sum := sha256.Sum256([]byte(backend + "/" + id))
	return hex.EncodeToString(sum[:12])
}

// answerBody returns the bytes of a backend's answer to a request, of which the receiver can
// compute what they have to be.
func answerBody(backend, id string, size int) []byte {
	line := fmt.Sprintf("%s answers %s.\n", backend, id)
	return bytes.Repeat([]byte(line), max(1, size/len(line)))
}

// pieces is the number of pieces in which a body is sent.
const pieces = 20

// write writes one answer and reports whether the connection is kept.
func (b *backend) write(c net.Conn, status, id string, body []byte, stamp string, notExecuted bool) (keep bool) {
	var head strings.Builder
	unframed := b.config.Unframed && stamp != ""
	fmt.Fprintf(&head, "HTTP/1.1 %s\r\n%s: %s\r\n", status, name("instanceID"), b.config.ID)
	if id != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", name("requestID"), id)
	}
	if stamp != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", name("stamp"), stamp)
	}
	if notExecuted {
		fmt.Fprintf(&head, "%s: 1\r\n", name("notExecuted"))
	}
	if unframed {
		head.WriteString("Connection: close\r\n\r\n")
	} else {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	}
	if _, err := io.WriteString(c, head.String()); err != nil {
		return false
	}
	pause, step := time.Duration(b.config.BodyMS)*time.Millisecond/pieces, len(body)/pieces+1
	for len(body) > 0 {
		n := min(step, len(body))
		if _, err := c.Write(body[:n]); err != nil {
			return false
		}
		body = body[n:]
		if pause > 0 && len(body) > 0 {
			time.Sleep(pause)
		}
	}
	return !unframed
}

// runLog reads the log of one or more backends.
type runLog struct {
	mu      sync.Mutex
	records []runRecord
}

func (l *runLog) read(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(data) {
		var r runRecord
		if json.Unmarshal(line, &r) == nil {
			l.records = append(l.records, r)
		}
	}
	return nil
}
