package main

// This file starts a small deployment: the store, backend servers, and the program under
// review as one process beside each backend server.

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesFile []byte

//go:embed settings.txt
var settingsFile string

//go:embed config.json
var configFile []byte

//go:embed config-many.json
var manyConfigFile []byte

// names holds the names of the users' platform.
var names struct {
	RequestID, Timeout, Stamp, Expect, NotExecuted, CallerService, InstanceID, ServerLeaving string
	ReadyPath, ObjectsPath, HeartbeatPath, DeregisterPath, SettingsVariable                  string
	CurrentRevision, ColdField                                                               string
}

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}

// program is the program under review, as the deploy file builds it.
var program = "target/caroblift"

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// undo holds what must be undone of a case that is broken off.
type undo struct {
	mu    sync.Mutex
	steps []func()
	ended bool
}

var started undo

// add adds a step. If the case has been broken off, it is done at once.
func (u *undo) add(step func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		step()
		return
	}
	u.steps = append(u.steps, step)
}

// abandon ends all processes that the case has started and removes its folder.
func abandon() {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.ended = true
	for n := len(started.steps) - 1; n >= 0; n-- { // the processes first
		started.steps[n]()
	}
}

// machine is one machine: a node, and the backend server beside it.
type machine struct {
	d       *deployment
	name    string
	ip      string
	zone    string
	service string
	server  *server

	path, logPath string
	process       *exec.Cmd
	ended         chan struct{} // closed when the process has ended
}

// deployment is a set of machines with their store.
type deployment struct {
	record   *record
	dir      string
	prefix   string // of the addresses
	store    *store
	machines []*machine
}

// newDeployment starts the store and the machines of the given services, and waits until
// all nodes are ready and their servers are known.
func newDeployment(r *record, services []string, configure func(*server)) (*deployment, error) {
	d, err := newStoreOnly(r, configFile, len(services))
	if err != nil {
		return d, err
	}
	if err := d.add("sidecar", services, configure); err != nil {
		return d, err
	}
	time.Sleep(4 * time.Second) // heartbeats, and the nodes hear of each other
	return d, nil
}

// newStoreOnly starts the store with a configuration, on a part of the loopback network that
// has addresses for the given number of machines.
func newStoreOnly(r *record, config []byte, machines int) (*deployment, error) {
	d := &deployment{record: r}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return d, err
	}
	started.add(func() { _ = os.RemoveAll(d.dir) })
	if d.prefix, err = freePrefix(machines); err != nil {
		return d, err
	}
	if d.store, err = newStore(d.prefix + "250"); err != nil {
		return d, err
	}
	d.store.put("config", "main", json.RawMessage(config))
	return d, nil
}

// add starts a machine for each of the given services, at addresses that were not used
// before, and waits until all nodes are ready.
func (d *deployment) add(name string, services []string, configure func(*server)) error {
	var added []*machine
	for n, service := range services {
		number := len(d.machines) + 1
		m := &machine{d: d, name: fmt.Sprintf("%s-%d", name, n+1), ip: fmt.Sprintf("%s%d", d.prefix, number), zone: []string{"zone-a", "zone-b"}[n%2], service: service}
		m.path, m.logPath = filepath.Join(d.dir, m.name+".conf"), filepath.Join(d.dir, m.name+".log")
		text := strings.NewReplacer("@NAME@", m.name, "@IP@", m.ip, "@ZONE@", m.zone, "@SERVICE@", service, "@STORE@", d.store.address).Replace(settingsFile)
		if err := os.WriteFile(m.path, []byte(text), 0o600); err != nil {
			return err
		}
		m.server = &server{machine: m, id: fmt.Sprintf("i-%d-%d", number, os.Getpid()), slots: 9, work: 20 * time.Millisecond}
		if configure != nil {
			configure(m.server)
		}
		if err := m.server.start(); err != nil {
			return err
		}
		d.machines, added = append(d.machines, m), append(added, m)
	}
	for _, m := range added {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range added {
		if err := m.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// freePrefix returns a part of the loopback network whose first addresses have free ports.
func freePrefix(count int) (string, error) {
	for try := range 50 {
		n := (os.Getpid() + 7919*try) % (200 * 250)
		prefix := fmt.Sprintf("127.%d.%d.", 20+n/250, 1+n%250)
		free := true
		for k := 1; k <= count && free; k++ {
			for _, port := range []int{7660, 8140, 8141, 8145, 8146, 8147, 9100} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, k, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// start starts the node's process.
func (m *machine) start() error {
	out, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.process = exec.Command(program)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + m.path}
	m.process.Stdout, m.process.Stderr = out, out
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	process, ended := m.process, make(chan struct{})
	m.ended = ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	started.add(func() { _ = process.Process.Kill(); <-ended })
	m.d.record.line("started %s, process %d at %s", m.name, process.Process.Pid, m.ip)
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.d.record.line("%s gets signal %q", m.name, s)
	_ = m.process.Process.Signal(s)
}

// running reports whether the node's process has not ended.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// ready reports whether the node answers the readiness check with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ip + ":8140" + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) waitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, limit)
}

// close ends all processes and removes the temporary folder. The logs are kept where
// KEEP_LOGS names a folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Kill()
			<-m.ended
		}
		m.server.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range d.machines {
			data, _ := os.ReadFile(m.logPath)
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(d.dir)
}
