package main

// This file starts a small deployment on loopback addresses: a store, and nodes with their
// backend servers as processes.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine: a node and the backend server beside it.
type machine struct {
	index             int
	name, ip          string
	service, zone     string
	slots             int
	node, server      *process
	incarnation       int
	settings, ledger  string
	nodeLog, errorLog string
	deadly            string
	lossy             bool
}

// process is a process that was started here.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // valid when ended is closed
}

// site is a deployment.
type site struct {
	dir      string
	store    *platformStore
	address  string // of the store
	machines []*machine
	record   *recorder
	stop     chan struct{}
	mu       sync.Mutex // guards the processes of machines
	program  string
	links    []*link // between machines and the store; empty if there are none
	ending   sync.Once
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", time.Now().UTC().Format(clockLayout), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// newSite prepares a deployment with the given machines by service, in turn in three zones.
func newSite(record *recorder, services ...string) (*site, error) {
	dir, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: newPlatformStore(), record: record, stop: make(chan struct{}), program: "target/caroblift"}
	net1, net2 := 0, 0
	for range 5 { // until the address is free
		net1, net2 = 16+rand.IntN(200), 1+rand.IntN(250)
		s.address = fmt.Sprintf("127.%d.%d.250:8142", net1, net2)
		if err = s.store.serve(s.address); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go s.endOnSignal()
	template, err := os.ReadFile(filepath.Join(dataDir(), "settings.txt"))
	if err != nil {
		return nil, err
	}
	zones := []string{"bilbao", "santander", "asturias"}
	for i, service := range services {
		m := &machine{index: i, name: fmt.Sprintf("machine-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", net1, net2, i+1), service: service, zone: zones[i%3], slots: 6}
		m.settings, m.ledger, m.nodeLog = filepath.Join(dir, m.name+".conf"), filepath.Join(dir, m.name+".ledger"), filepath.Join(dir, m.name+".log")
		text := strings.NewReplacer("{{NAME}}", m.name, "{{IP}}", m.ip, "{{ZONE}}", m.zone, "{{SERVICE}}", service, "{{STORE}}", s.address).Replace(string(template))
		if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
			return nil, err
		}
		s.machines = append(s.machines, m)
	}
	return s, nil
}

// slowLinks puts a link of the given rate between each machine and the store.
func (s *site) slowLinks(mbps float64) error {
	for _, m := range s.machines {
		address := net.JoinHostPort(m.ip, "8142")
		l := &link{bytesPerS: mbps * 1e6 / 8}
		s.links = append(s.links, l)
		if err := l.serve(address, s.address); err != nil {
			return err
		}
		data, err := os.ReadFile(m.settings)
		if err != nil {
			return err
		}
		text := strings.Replace(string(data), "="+s.address+"\n", "="+address+"\n", 1)
		text = strings.Replace(text, "linkMbps=1000.0", fmt.Sprintf("linkMbps=%.1f", mbps), 1)
		if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// endOnSignal ends all processes when this one is asked to end, and then this one.
func (s *site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.end()
	os.Exit(2)
}

// start starts a program whose output is appended to a file.
func start(output string, env []string, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = out, out, env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() { // in a thread that lasts as long as the process, which is ended with its parent thread
		runtime.LockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			p.err = p.cmd.Wait()
			close(p.ended)
		}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (s *site) startNode(m *machine) error {
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, name("settingsVariable") + "=" + m.settings}
	p, err := start(m.nodeLog, env, s.program)
	if err != nil {
		return err
	}
	s.mu.Lock()
	m.node = p
	s.mu.Unlock()
	return nil
}

func (s *site) startServer(m *machine) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return errors.New("the deployment has ended")
	default:
	}
	m.incarnation++
	args := []string{
		"server", "-id", fmt.Sprintf("i-%s-%d", m.name, m.incarnation), "-service", m.service, "-zone", m.zone,
		"-address", m.ip + ":8147", "-control", m.ip + ":8146", "-slots", fmt.Sprint(m.slots), "-ledger", m.ledger, "-deadly", m.deadly, fmt.Sprintf("-lossy=%v", m.lossy),
	}
	m.server, err = start(m.ledger+".out", append(os.Environ(), "STAND_DATA="+dataDir()), self, args...)
	return err
}

// keepServer starts the server of a machine again, some time after it has ended, until the
// site stops.
func (s *site) keepServer(m *machine, after time.Duration) {
	for {
		s.mu.Lock()
		p := m.server
		s.mu.Unlock()
		select {
		case <-p.ended:
		case <-s.stop:
			return
		}
		select {
		case <-time.After(after):
		case <-s.stop:
			return
		}
		s.record.note("server of %s starts again", m.name)
		if err := s.startServer(m); err != nil {
			return
		}
	}
}

// startAll starts all nodes and servers and waits until the nodes are ready.
func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := s.startNode(m); err != nil {
			return err
		}
		if err := s.startServer(m); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := s.awaitReady(m, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // traffic starts some seconds after the machines
	return nil
}

// awaitReady waits until a node answers that it is ready.
func (s *site) awaitReady(m *machine, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if resp, err := http.Get("http://" + m.ip + ":8140" + name("ready")); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// end ends all processes and adds the ledgers to the record. Only the first call has an effect.
func (s *site) end() { s.ending.Do(s.endAll) }

func (s *site) endAll() {
	close(s.stop)
	s.mu.Lock()
	for _, m := range s.machines {
		m.node.kill()
		m.server.kill()
	}
	s.mu.Unlock()
	for _, m := range s.machines {
		data, _ := os.ReadFile(m.ledger)
		s.record.mu.Lock()
		fmt.Fprintf(s.record.file, "== runs beside %s, service %s\n%s", m.name, m.service, data)
		s.record.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	split                       map[string]int
	timeoutS                    float64
	attempts                    int
	sloS                        float64
	priority                    int
}

const host = "ficu95.example"

// configure writes a configuration as the operator does.
func (s *site) configure(version int, services []string, routes ...route) {
	var rules, clusters []any
	for _, r := range routes {
		action := map[string]any{"timeoutS": r.timeoutS, "maxAttempts": r.attempts}
		if len(r.split) > 0 {
			var parts []any
			for _, service := range services {
				if w := r.split[service]; w > 0 {
					parts = append(parts, map[string]any{"service": service, "weight": w})
				}
			}
			action["split"] = parts
		} else {
			action["service"] = r.service
		}
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "sloS": r.sloS, "priority": r.priority,
			"match": map[string]any{name("prefix"): r.prefix}, "action": action,
		})
	}
	for _, service := range services {
		clusters = append(clusters, map[string]any{"name": service, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false})
	}
	s.store.put("config", "main", map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
}

// clockLayout is the form of the times in ledgers and records.
const clockLayout = "15:04:05.000"

// runs returns the lines of the ledger of the machine's servers, split into fields: the time, the
// ID of the incarnation, what was done, the ID of the request, and more.
func (m *machine) runs() [][]string {
	data, _ := os.ReadFile(m.ledger)
	var lines [][]string
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 3 {
			lines = append(lines, fields)
		}
	}
	return lines
}

// sortTimes sorts times in place.
func sortTimes(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}
