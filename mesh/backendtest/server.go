// Package backendtest provides a small stand-in for a backend server, with
// fault injection.
//
// # Usage
//
//	server := backendtest.New(backendtest.Config{Service: "quotes", Slots: 6})
//	addr, err := server.Listen("127.0.0.1:0")
//	go server.Announce(ctx, "http://127.0.0.1:7104/announce")
package backendtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/backend"
)

// Config configures a Server.
type Config struct {
	Service  string
	Name     string
	Slots    int           // announced; calls above it are not refused
	CallTime time.Duration // time that one call takes
	Epoch    uint64        // of the announcements
}

// Faults selects the faults of a Server. The zero value is a healthy server.
type Faults struct {
	Slow     time.Duration `json:"slow"`   // added to every call
	Cold     bool          `json:"cold"`   // announces itself cold
	Shed     bool          `json:"shed"`   // answers 503 to every call, without running it
	Fail     bool          `json:"fail"`   // answers 500 to every call, without running it
	Silent   bool          `json:"silent"` // runs a call and never answers it
	Drop     bool          `json:"drop"`   // runs a call and closes the connection without an answer
	Truncate bool          `json:"cut"`    // sends half of the body and closes the connection

	Hold <-chan struct{} `json:"-"` // runs a call and answers it once the channel is closed; nil answers at once
}

// Server answers each call with the name of its service, the call's key and the
// request body, and counts how often it ran each key. The caller sends the key
// in the header Key; the answer carries the server's name in the header
// Server-Name.
type Server struct {
	config   Config
	faults   atomic.Pointer[Faults]
	leaving  atomic.Bool
	inFlight atomic.Int64
	peak     atomic.Int64
	http     *http.Server
	listener *Listener
	addr     string

	mu   sync.Mutex
	runs map[string]int
}

// New returns a server without faults. It serves nothing until Listen is
// called.
func New(config Config) *Server {
	s := &Server{config: config, runs: map[string]int{}}
	s.faults.Store(&Faults{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Listen starts to serve at addr in the background and returns the address that
// it is bound to.
func (s *Server) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrapf(err, "listen at %s", addr)
	}
	s.addr = l.Addr().String()
	s.listener = NewListener(l)
	go func() { _ = s.http.Serve(s.listener) }()
	return s.addr, nil
}

// Address returns the address that the server is bound to, or "" before Listen.
func (s *Server) Address() string { return s.addr }

// Connections returns the listener, through which connection faults are
// injected. It is nil before Listen.
func (s *Server) Connections() *Listener { return s.listener }

// SetFaults replaces the faults. Calls in progress keep the faults that they
// started with.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// SetLeaving marks the server as leaving in every later announcement.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Close closes the listener and all connections without waiting for calls in
// progress.
func (s *Server) Close() { _ = s.http.Close() }

// RunCounts returns a copy of the number of runs by key. Calls without a key are
// not counted.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// PeakInFlight returns the highest number of calls that were in progress at once.
func (s *Server) PeakInFlight() int { return int(s.peak.Load()) }

// InFlight returns the number of calls in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP runs one call, subject to the faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	for p := s.peak.Load(); n > p && !s.peak.CompareAndSwap(p, n); p = s.peak.Load() {
		continue
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.faults.Load()
	switch {
	case f.Shed:
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	case f.Fail:
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	key := r.Header.Get("Key")
	s.countRun(key)
	if !s.simulateWork(r.Context(), f, n) {
		return
	}
	w.Header().Set("Server-Name", s.config.Name)
	answer := fmt.Sprintf("%s %s %s", s.config.Service, key, body)
	switch {
	case f.Drop:
		panic(http.ErrAbortHandler)
	case f.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

// coldSlowdown is the extra time of a call on a cold server for each call in
// progress, as a multiple of the time of a call.
const coldSlowdown = 3

// simulateWork waits for the duration of one call, given the number of calls in
// progress. It reports false if ctx ended first.
func (s *Server) simulateWork(ctx context.Context, f *Faults, inFlight int64) bool {
	wait := s.config.CallTime + f.Slow
	if f.Cold {
		wait += coldSlowdown * time.Duration(inFlight) * s.config.CallTime
	}
	if f.Silent {
		<-ctx.Done()
		return false
	}
	if f.Hold != nil {
		select {
		case <-ctx.Done():
			return false
		case <-f.Hold:
		}
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) countRun(key string) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

// announceInterval is the interval at which Announce repeats the announcement.
const announceInterval = 500 * time.Millisecond

// Announce sends announcements to the node's announce URL until ctx ends. It
// ignores failures, since the next announcement follows shortly.
func (s *Server) Announce(ctx context.Context, url string) {
	for ctx.Err() == nil {
		_ = s.AnnounceOnce(ctx, url)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// AnnounceOnce sends one announcement. It returns an error if the node cannot be
// reached or answers with a status of 300 or more.
func (s *Server) AnnounceOnce(ctx context.Context, url string) error {
	data, err := json.Marshal(backend.Announcement{
		Service: s.config.Service, Address: s.addr, Slots: s.config.Slots,
		Cold: s.faults.Load().Cold, Leaving: s.leaving.Load(), Epoch: s.config.Epoch,
	})
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("announce: %s: %s", resp.Status, text)
	}
	return nil
}
