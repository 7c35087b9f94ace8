// Package fleet runs a stand-in for the platform, nodes, and stand-ins for
// backend servers on loopback ports of one process, for measurements.
//
// # Usage
//
//	f, err := fleet.New(fleet.Config{Log: log})
//	defer f.Close()
//	_, err = f.Add(fleet.InstanceConfig{Name: "quotes-1", Domain: "xitun", Service: "quotes", Slots: 6})
package fleet

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// The rates that the platform accepts.
const (
	platformReads  = 2000 // per second
	platformWrites = 400  // per second
)

// Config configures a Fleet.
type Config struct {
	Log    *slog.Logger
	Adjust func(*wire.Settings) // modifies the settings of every node before it starts; may be nil
}

// InstanceConfig describes an instance: its location and its backend server.
type InstanceConfig struct {
	Name     string
	Domain   string
	Region   string
	Service  string // empty for a node without a backend server
	Slots    int
	CallTime time.Duration // time that one call takes
}

// Instance is a node and its backend server.
type Instance struct {
	Config InstanceConfig
	Node   *node.Node
	Server *backendtest.Server // nil if the config names no service

	stop context.CancelFunc // ends the announcements
}

// Fleet is a platform and its instances. It is safe for concurrent use.
type Fleet struct {
	// Store is the platform, through which faults are injected.
	Store *storetest.Store

	// PlatformBytes counts the bytes of every connection to the platform.
	PlatformBytes peer.ByteCounter

	config   Config
	platform *http.Server
	accepted *acceptTimes
	address  string

	mu        sync.Mutex
	instances []*Instance
}

// New starts the platform, without instances.
func New(config Config) (*Fleet, error) {
	f := &Fleet{Store: storetest.New(), config: config, accepted: &acceptTimes{times: map[uint64]time.Time{}}}
	f.Store.Reads = rate.NewLimiter(platformReads, platformReads)
	f.Store.Writes = rate.NewLimiter(platformWrites, platformWrites)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	f.address = l.Addr().String()
	f.platform = &http.Server{Handler: f.accepted.handler(f.Store), ConnContext: f.Store.ConnContext, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug)}
	go func() { _ = f.platform.Serve(&peer.CountedListener{Listener: l, Counter: &f.PlatformBytes}) }()
	return f, nil
}

// PlatformAddress returns the platform's address.
func (f *Fleet) PlatformAddress() string { return f.address }

// Instances returns all instances that were added, in that order, including
// stopped ones.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// Settings returns the settings of the node of an instance, with the first three
// instances as seeds and free ports.
func (f *Fleet) Settings(config InstanceConfig) *wire.Settings {
	s := proto.CloneOf(settings.Defaults())
	s.Instance = &wire.Instance{Name: config.Name, Domain: config.Domain, Region: config.Region}
	const freePort = "127.0.0.1:0"
	s.Listen = &wire.Listen{Caller: freePort, Hop: freePort, Peer: freePort, Backend: freePort, Operator: freePort}
	s.Platform.Addresses = []string{f.address}
	for _, instance := range f.Instances() {
		if len(s.Peers.Seeds) < 3 {
			s.Peers.Seeds = append(s.Peers.Seeds, instance.Node.Addresses().Peer)
		}
	}
	if f.config.Adjust != nil {
		f.config.Adjust(s)
	}
	return s
}

// Add starts an instance. It does not wait until the node is ready.
func (f *Fleet) Add(config InstanceConfig) (*Instance, error) {
	n, err := node.New(f.Settings(config), telemetry.Sinks{Log: f.config.Log})
	if err != nil {
		return nil, err
	}
	n.Start()
	instance := &Instance{Config: config, Node: n}
	if config.Service != "" {
		if err := instance.serve(); err != nil {
			n.Kill()
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, instance)
	return instance, nil
}

// serve starts the backend server of the instance and announces it to the node.
func (i *Instance) serve() error {
	i.Server = backendtest.New(backendtest.Config{
		Service: i.Config.Service, Name: i.Config.Name, Slots: i.Config.Slots, CallTime: i.Config.CallTime,
		Epoch: uint64(time.Now().UnixMilli()),
	})
	if _, err := i.Server.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go i.Server.Announce(ctx, "http://"+i.Node.Addresses().Backend+"/announce")
	return nil
}

// Kill stops the node and its backend server at once, without draining.
func (i *Instance) Kill() {
	i.Node.Kill()
	i.stopServer()
}

// Drain stops the node gracefully and then closes its backend server.
func (i *Instance) Drain(ctx context.Context) error {
	err := i.Node.Stop(ctx)
	i.stopServer()
	return err
}

func (i *Instance) stopServer() {
	if i.Server != nil {
		i.stop()
		i.Server.Close()
	}
}

// Close kills all instances and stops the platform.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, instance := range f.Instances() {
		wg.Go(instance.Kill)
	}
	wg.Wait()
	_ = f.platform.Close()
}

// Await polls condition until it holds or bound has passed, and reports whether
// it held in time.
func Await(bound time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return true
}

// Running reports whether the node is running.
func (i *Instance) Running() bool {
	select {
	case <-i.Node.Dead():
		return false
	default:
		return true
	}
}

// Running returns the instances whose nodes are running.
func (f *Fleet) Running() []*Instance {
	var out []*Instance
	for _, instance := range f.Instances() {
		if instance.Running() {
			out = append(out, instance)
		}
	}
	return out
}

// Converged reports whether every running node holds the given revision or a
// newer one.
func (f *Fleet) Converged(number uint64) bool {
	for _, instance := range f.Running() {
		if instance.Node.Holder.Table().Number < number {
			return false
		}
	}
	return true
}
