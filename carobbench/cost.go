package main

// This file measures the cost of a call: allocations and processor time per call,
// and memory per call in progress.

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"caroblift.dev/carobbench/fleet"
	"caroblift.dev/mesh/backendtest"
)

const (
	costCalls = 20000 // calls per measurement of allocations and processor time
	heldCalls = 90    // calls in progress at once; a gate opens at most 100 connections
)

// cost is the cost per call to the whole process, including callers and servers.
type cost struct {
	allocs, bytes float64
	cpu           time.Duration
}

// printCosts prints the cost of a direct call and of calls through nodes, and the
// memory of a call in progress. "mostly two nodes" enters at a node that has a
// backend server itself.
func (c *callCommand) printCosts(f *callFleet, direct []string) {
	costs := map[string]cost{}
	own := []string{"http://" + f.servers[0].Node.Addresses().Caller + "/quotes"}
	for _, path := range []struct {
		name string
		urls []string
	}{{"direct", direct[:1]}, {"two nodes", urls(f.entries)[:1]}, {"mostly two nodes", own}} {
		measureCost(path.urls[0], costCalls/10)
		costs[path.name] = measureCost(path.urls[0], costCalls)
		fmt.Printf("%s: %.0f allocations, %.0f bytes, %d us of processor time for each call\n",
			path.name, costs[path.name].allocs, costs[path.name].bytes, costs[path.name].cpu.Microseconds())
	}
	a, b := costs["direct"], costs["two nodes"]
	fmt.Printf("two nodes add %.0f allocations, %.0f bytes, %d us of processor time to a call\n",
		b.allocs-a.allocs, b.bytes-a.bytes, (b.cpu - a.cpu).Microseconds())
	if err := printHeldMemory(); err != nil {
		fmt.Println("memory of calls in progress:", err)
	}
}

// measureCost sends calls one after another and returns the cost of one. Failed
// calls count as calls.
func measureCost(url string, calls int) cost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	for range calls {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	spent := processorTime() - cpu
	runtime.ReadMemStats(&after)
	n := float64(calls)
	return cost{
		allocs: float64(after.Mallocs-before.Mallocs) / n,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / n,
		cpu:    spent / time.Duration(calls),
	}
}

// processorTime returns the user and system time of this process, or 0 if it
// cannot be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// printHeldMemory prints the memory of the whole process per call in progress,
// for direct and for proxied calls.
func printHeldMemory() error {
	f, err := newCallFleet(1, 1, fleet.InstanceConfig{Slots: heldCalls}, `{}`)
	if err != nil {
		return err
	}
	defer f.Close()
	measureCost(urls(f.entries)[0], 100)
	direct := heldMemory(f, "http://"+f.servers[0].Server.Address()+"/quotes")
	proxied := heldMemory(f, urls(f.entries)[0])
	fmt.Printf("memory of a call in progress: %.1f KB direct, %.1f KB through two nodes\n", direct, proxied)
	return nil
}

// heldMemory keeps heldCalls calls to url in progress and returns the memory of
// one in KB.
func heldMemory(f *callFleet, url string) float64 {
	server := f.servers[0].Server
	server.SetFaults(backendtest.Faults{Slow: 700 * time.Millisecond})
	defer server.SetFaults(backendtest.Faults{})
	before := memoryInUse()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for range heldCalls {
		wg.Go(func() {
			resp, err := client.Get(url)
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	fleet.Await(time.Second, func() bool { return server.InFlight() >= heldCalls })
	used, n := memoryInUse()-before, server.InFlight()
	wg.Wait()
	return used / float64(max(1, n)) / 1024
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
