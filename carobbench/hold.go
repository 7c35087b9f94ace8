package main

// This file measures one real node that holds a large member table. A feeder
// simulates all other members over the peer protocol.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/carobbench/feeder"
)

type holdCommand struct {
	Dir      string        `long:"dir" required:"true" description:"folder for settings and process ids; see carobbench/hold.sh"`
	Servers  []int         `long:"servers" default:"100" default:"1000" default:"3500" default:"7000" description:"sizes of the fleet"`
	Services int           `long:"services" default:"190" description:"services of the fleet"`
	Time     time.Duration `long:"time" default:"20s" description:"duration of each phase"`
	Fast     float64       `long:"fast" default:"5" description:"events a second of the second phase"`
}

// targetEventRate is the rate of membership events in the target fleet: 1,600
// restarts and 13 failures a day, each with four events (leaving, dead, joined
// cold, warm).
const targetEventRate = 1613.0 * 4 / 86400 // events/s

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// holdPhase is the resource use of a node in one phase.
type holdPhase struct {
	Servers  int     `json:"servers"`
	Services int     `json:"services"`
	RSS      float64 `json:"rss"`   // MB
	Core     float64 `json:"core"`  // percent of one core
	Bytes    float64 `json:"bytes"` // bytes/s, both directions
	events   float64 // membership events/s
}

// holdSlopes holds the growth of memory per server, and of traffic and processor
// time per membership event.
type holdSlopes struct {
	RSS   float64 `json:"rss"`   // bytes/server
	Bytes float64 `json:"bytes"` // bytes/event
	Core  float64 `json:"core"`  // us/event
}

// Execute measures a node with a member table of each size. The script starts the
// node as a separate process, so that its memory can be measured alone.
func (c *holdCommand) Execute([]string) error {
	var idle, fast []holdPhase
	for _, n := range c.Servers {
		a, b, err := c.measure(n)
		if err != nil {
			return errors.Wrapf(err, "%d servers", n)
		}
		idle, fast = append(idle, a), append(fast, b)
		printLine(a)
	}
	first, last, busy := idle[0], idle[len(idle)-1], fast[len(fast)-1]
	out := struct {
		holdPhase
		Slopes holdSlopes `json:"slopes"`
	}{holdPhase: last}
	if n := last.Servers - first.Servers; n > 0 {
		out.Slopes.RSS = truncateTenths((last.RSS - first.RSS) * (1 << 20) / float64(n))
	}
	if e := busy.events - last.events; e > 0 {
		out.Slopes.Bytes = truncateTenths((busy.Bytes - last.Bytes) / e)
		out.Slopes.Core = truncateTenths((busy.Core - last.Core) / 100 * 1e6 / e)
	}
	printLine(out)
	return nil
}

// printLine prints v as one line of JSON.
func printLine(v any) {
	line, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs of finite numbers always encode
	}
	fmt.Println(string(line))
}

// truncateTenths truncates v to one decimal.
func truncateTenths(v float64) float64 { return float64(int64(v*10)) / 10 }

// measure runs both phases against one node with n other members.
func (c *holdCommand) measure(n int) (idle, fast holdPhase, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := feeder.New(feeder.Config{Servers: n, Services: c.Services})
	if err != nil {
		return idle, fast, err
	}
	defer f.Close()
	pid := ""
	defer func() { awaitExit(pid) }() // else the script takes the next size's settings for this one's
	ini := filepath.Join(c.Dir, "node.ini")
	if err := os.WriteFile(ini, []byte(f.Settings()), 0o600); err != nil {
		return idle, fast, errors.Wrap(err, "write settings")
	}
	defer os.Remove(ini)
	pid, err = c.awaitPID(ctx)
	if err != nil {
		return idle, fast, err
	}
	defer os.Remove(filepath.Join(c.Dir, "pid"))
	if err := f.AwaitJoin(30 * time.Second); err != nil {
		return idle, fast, err
	}
	go f.Run(ctx)
	time.Sleep(5 * time.Second) // let the node finish joining
	if idle, err = c.measurePhase(f, pid, targetEventRate); err != nil {
		return idle, fast, err
	}
	fast, err = c.measurePhase(f, pid, c.Fast)
	return idle, fast, err
}

// awaitPID waits up to 30 s for the script to write the process id of the node.
func (c *holdCommand) awaitPID(ctx context.Context) (string, error) {
	for range 300 {
		if data, err := os.ReadFile(filepath.Join(c.Dir, "pid")); err == nil && strings.HasSuffix(string(data), "\n") {
			return strings.TrimSpace(string(data)), nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return "", errors.Errorf("no process id in %s/pid within 30 s", c.Dir)
}

// awaitExit waits up to 10 s for a process to end, unless pid is empty. The script
// ends it when the settings are removed.
func awaitExit(pid string) {
	for range 100 {
		if _, err := os.Stat("/proc/" + pid + "/stat"); pid == "" || err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// measurePhase measures the node for c.Time at a rate of membership events per
// second.
func (c *holdCommand) measurePhase(f *feeder.Feeder, pid string, rate float64) (holdPhase, error) {
	f.SetEventRate(rate)
	before, err := processorUse(pid)
	if err != nil {
		return holdPhase{}, err
	}
	start, bytes, events := time.Now(), f.Bytes(), f.Events()
	time.Sleep(c.Time)
	after, err := processorUse(pid)
	if err != nil {
		return holdPhase{}, err
	}
	took := time.Since(start).Seconds()
	rss, err := residentMemory(pid)
	return holdPhase{
		Servers: f.Size(), Services: c.Services, RSS: truncateTenths(rss), Core: truncateTenths(100 * (after - before).Seconds() / took),
		Bytes: truncateTenths(float64(f.Bytes()-bytes) / took), events: float64(f.Events()-events) / took,
	}, err
}

// processorUse returns the user and system time of a process so far.
func processorUse(pid string) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, errors.Wrap(err, "processor time")
}

// residentMemory returns the resident memory of a process in MB.
func residentMemory(pid string) (float64, error) {
	data, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024, errors.Wrap(err, "memory")
		}
	}
	return 0, errors.Errorf("no VmRSS of process %s", pid)
}
