package main

// This file starts a small deployment on loopback addresses: the stand-in for the store in this
// process, and the project's own program and the backends as processes.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the run of a rig.
const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second // of a node after SIGTERM
)

// zones are the places of the machines.
var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// machine is one machine: a node and the backend beside it.
type machine struct {
	number  int
	ip      string
	service string
	ports   map[string]int
	backend backendConfig
	node    *exec.Cmd
	server  *exec.Cmd
	logPath string
}

func (m *machine) address(port string) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[port]) }

// rig is a small deployment.
type rig struct {
	root     string // of the repository
	dir      string // for files
	record   *record
	store    *platformStore
	storeAt  string
	server   *http.Server
	machines []*machine
	command  []string // of a node
	subnet   string
	mu       sync.Mutex
	started  []*exec.Cmd
	expected map[*exec.Cmd]bool // processes that the rig has ended
	ended    []string           // nodes that ended by themselves
	nodeOf   map[*exec.Cmd]*machine
}

// newRig prepares a deployment; its store runs, and nothing else.
func newRig(root, dir string, rec *record) (*rig, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run line")
	}
	g := &rig{
		root: root, dir: dir, record: rec, store: newPlatformStore(), command: strings.Fields(string(run[1])),
		subnet: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)), expected: map[*exec.Cmd]bool{}, nodeOf: map[*exec.Cmd]*machine{},
	}
	l, err := net.Listen("tcp", g.subnet+".200:0")
	if err != nil {
		return nil, err
	}
	g.storeAt, g.server = l.Addr().String(), &http.Server{Handler: g.store}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

// addMachine adds a machine that is not started yet.
func (g *rig) addMachine(config backendConfig) (*machine, error) {
	m := &machine{number: len(g.machines) + 1, service: config.Service, ports: map[string]int{}}
	m.ip = fmt.Sprintf("%s.%d", g.subnet, m.number)
	m.logPath = filepath.Join(g.dir, fmt.Sprintf("node-%d.log", m.number))
	for _, port := range []string{"inbound", "outbound", "ready", "control", "app", "internal"} {
		l, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return nil, err
		}
		m.ports[port] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	config.ID = fmt.Sprintf("i-%s-%d", config.Service, m.number)
	config.Address, config.Control = m.address("app"), m.address("control")
	config.Zone = zones[(m.number-1)%len(zones)]
	config.Log = filepath.Join(g.dir, fmt.Sprintf("backend-%d.jsonl", m.number))
	m.backend = config
	g.machines = append(g.machines, m)
	return m, nil
}

// settings returns the settings file of a machine's node, like that of a small deployment.
func (g *rig) settings(m *machine) string {
	lines := []string{
		name("settingsName") + "=sidecar-" + m.backend.Zone + fmt.Sprintf("-%d", m.number),
		"self.role=node", "self.machineClass=sidecar", "self.serves=sidecar", "self.ip=" + m.ip, "self.zone=" + m.backend.Zone,
		"self.region=taichung", "self.lossCounts=false", "self.bootstrap=true", "self.limits.cpuShare=0.32", "self.limits.cores=1",
		"self.limits.memoryMb=284", "self.limits.maxFds=4100", "self.limits.linkMbps=1000.0", "self.limits.diskMb=0",
		"self.appAddr=" + m.address("app"), "self.service=" + m.service,
		"network.listen.inbound=" + m.address("inbound"), "network.listen.outbound=" + m.address("outbound"),
		"network.listen.ready=" + m.address("ready"), "network.listen.control=" + m.address("control"),
		fmt.Sprintf("network.internalPorts=%d,%d", m.ports["internal"], m.ports["internal"]+15), "network.seeds=",
		"platform.discovery=static", "platform.entry=static", "platform.heartbeatIntervalS=0.87",
		"platform.platform.address=" + g.storeAt, "platform.platform.form=objects", "platform.platform.writesPerS=400",
		"platform.platform.readsPerS=2000", "platform.platform.historyS=20", "platform.platform.valueBytes=1048576", "platform.platform.ttlMinS=1",
		"terms.contracts=base,drain,config,cost,retry,recover,platform", "terms.tolerate.machines=2",
		"terms.bounds.seedLagS=3", "terms.bounds.reuseAfterS=2", "terms.bounds.stabilityWindowS=3", "terms.bounds.ackS=4",
		"terms.bounds.catchUpS=4", "terms.bounds.drainS=2", "terms.bounds.graceS=6", "terms.bounds.lossSlackS=0.2", "terms.bounds.configS=2",
		"terms.bounds.rollbackSlackS=0.25", "terms.bounds.maxStretchS=5", "terms.bounds.budgetRatio=0.2", "terms.bounds.budgetWindowS=10",
		"terms.bounds.budgetSlack=56", "terms.bounds.recoverS=15",
	}
	for _, zone := range zones {
		lines = append(lines, "network.zones."+zone+"=taichung")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts a process and keeps it to be ended.
func (g *rig) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	g.started = append(g.started, cmd)
	g.mu.Unlock()
	return nil
}

// startNode starts the node of a machine by the command of the deploy file.
func (g *rig) startNode(m *machine) error {
	path := filepath.Join(g.dir, fmt.Sprintf("node-%d.conf", m.number))
	if err := os.WriteFile(path, []byte(g.settings(m)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(m.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(g.root, g.command[0]), g.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = g.root, out, out
	cmd.Env = append(os.Environ(), name("settingsVariable")+"="+path)
	if err := g.start(cmd); err != nil {
		return err
	}
	m.node = cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.expected[cmd] {
			g.ended = append(g.ended, fmt.Sprintf("node %d ended by itself: %s", m.number, cmd.ProcessState))
		}
	}()
	return nil
}

// startBackend starts the backend of a machine.
func (g *rig) startBackend(m *machine) error {
	text, err := json.Marshal(m.backend)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "backend", string(text))
	cmd.Stderr = os.Stderr
	if err := g.start(cmd); err != nil {
		return err
	}
	m.server = cmd
	go func() { _ = cmd.Wait() }()
	return nil
}

// signal sends a signal to a process that the rig started, whose end it then expects if ends
// is set.
func (g *rig) signal(cmd *exec.Cmd, s syscall.Signal, ends bool) {
	g.mu.Lock()
	g.expected[cmd] = g.expected[cmd] || ends
	g.mu.Unlock()
	_ = cmd.Process.Signal(s)
}

// startAll starts all machines and waits until each is ready and its backend is in use.
func (g *rig) startAll() error {
	for _, m := range g.machines {
		if err := g.startBackend(m); err != nil {
			return err
		}
	}
	for _, m := range g.machines {
		if err := g.startNode(m); err != nil {
			return err
		}
	}
	for _, m := range g.machines {
		if err := g.waitReady(m, readyTimeout); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second) // the machines know one another, and are in touch (3 s)
	return nil
}

// waitReady waits until a node says that it is ready.
func (g *rig) waitReady(m *machine, limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.address("ready") + name("readyPath"))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %d is not ready after %s", m.number, limit)
}

// close ends all processes that the rig started.
func (g *rig) close() {
	g.mu.Lock()
	started := slices.Clone(g.started)
	for _, cmd := range started {
		g.expected[cmd] = true
	}
	g.mu.Unlock()
	for _, cmd := range started {
		_ = cmd.Process.Kill()
	}
	_ = g.server.Close()
}

// runs returns what all backends have logged.
func (g *rig) runs() ([]runRecord, error) {
	l := &runLog{}
	for _, m := range g.machines {
		if err := l.read(m.backend.Log); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
	}
	return l.records, nil
}
