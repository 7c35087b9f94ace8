// Package backendtest is a small stand-in for a backend server, with switches
// for its faults.
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
	Service string
	Name    string
	Slots   int
	Work    time.Duration // of one call
	Epoch   uint64
}

// Faults are the switches. The zero value is a healthy server.
type Faults struct {
	Slow   time.Duration `json:"slow"`   // added to every call
	Cold   bool          `json:"cold"`   // announces itself cold
	Shed   bool          `json:"shed"`   // answers 503 to every call, without running it
	Fail   bool          `json:"fail"`   // answers 500 to every call, without running it
	Silent bool          `json:"silent"` // takes calls and never answers
	Drop   bool          `json:"drop"`   // runs a call and closes the connection
	Cut    bool          `json:"cut"`    // breaks an answer off in its body
}

// Server answers each call with its own name and the call's key, and counts
// how often it ran each key. A call names its key in the header Key.
type Server struct {
	config   Config
	faults   atomic.Pointer[Faults]
	leaving  atomic.Bool
	progress atomic.Int64
	peak     atomic.Int64
	http     *http.Server
	listener *Listener
	addr     string

	mu   sync.Mutex
	runs map[string]int
}

// New returns a server that does not listen yet.
func New(config Config) *Server {
	s := &Server{config: config, runs: map[string]int{}}
	s.faults.Store(&Faults{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Listen serves at an address and returns the one it got.
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

// Address returns the address that the server listens at.
func (s *Server) Address() string { return s.addr }

// Connections returns the listener, whose connections can be made to fail.
func (s *Server) Connections() *Listener { return s.listener }

// Set replaces the switches.
func (s *Server) Set(f Faults) { s.faults.Store(&f) }

// Leave makes the next announcement say that the server is leaving.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close stops the server at once.
func (s *Server) Close() { _ = s.http.Close() }

// Runs returns how often each key was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Peak returns the most calls that were in progress at one time.
func (s *Server) Peak() int { return int(s.peak.Load()) }

// Progress returns the calls in progress.
func (s *Server) Progress() int { return int(s.progress.Load()) }

// ServeHTTP runs one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := s.progress.Add(1)
	defer s.progress.Add(-1)
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
	s.count(key)
	if !s.work(r.Context(), f, n) {
		return
	}
	w.Header().Set("Server-Name", s.config.Name)
	answer := fmt.Sprintf("%s %s %s", s.config.Service, key, body)
	switch {
	case f.Drop:
		panic(http.ErrAbortHandler)
	case f.Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

// coldWork is how much longer a call takes on a cold server, for each call in
// progress.
const coldWork = 3

// work takes the time of one call and tells whether it was finished.
func (s *Server) work(ctx context.Context, f *Faults, progress int64) bool {
	wait := s.config.Work + f.Slow
	if f.Cold {
		wait += coldWork * time.Duration(progress) * s.config.Work
	}
	if f.Silent {
		<-ctx.Done()
		return false
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

func (s *Server) count(key string) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

// announceInterval is how often a server renews its announcement.
const announceInterval = 500 * time.Millisecond

// Announce announces the server to a node until the context ends.
func (s *Server) Announce(ctx context.Context, url string) {
	for ctx.Err() == nil {
		_ = s.AnnounceOnce(ctx, url)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// AnnounceOnce sends one announcement.
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
