package main

// This file is the case of a configuration whose weights are written with a decimal point.

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["14"] = decimalWeights }

const (
	weightsHost    = "treads.example"
	weightsSettle  = 3 * time.Second // configS is 2 s
	weightsPerPart = 60              // requests before and after the change
	weightsSpacing = 25 * time.Millisecond
)

// decimalWeights changes a route from one service to a split between two others, whose weights
// are written with a decimal point. With FRACTIONS=1 they are fractions. With KILL=1 all nodes are
// killed afterwards and started again, which only the record tells of.
func decimalWeights(t *trial) (string, error) {
	services := []string{"uplift-old", "uplift-a", "uplift-b"}
	for n := range 6 {
		if _, err := t.addMachine(backendConfig{Service: services[n%3], Slots: 6, WorkMS: 20, BodyBytes: 400}); err != nil {
			return "", err
		}
	}
	t.operatorWrites(configuration("r7", services, []route{
		{name: "r-tread", host: weightsHost, prefix: "/tread/", kind: "safe", service: "uplift-old", timeoutS: 2.5, attempts: 2},
	}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	if err := t.sendTreads(); err != nil {
		return "", err
	}
	weights := []any{75, 25}
	if t.trouble {
		weights = []any{json.Number("75.0"), json.Number("25.0")}
	}
	if t.trouble && os.Getenv("FRACTIONS") != "" {
		weights = []any{json.Number("0.75"), json.Number("0.25")}
	}
	t.record.add("weights of r9: %v", weights)
	t.operatorWrites(configuration("r9", services, []route{
		{name: "r-tread", host: weightsHost, prefix: "/tread/", kind: "safe", timeoutS: 2.5, attempts: 2, split: []map[string]any{
			{"service": "uplift-a", "weight": weights[0]}, {"service": "uplift-b", "weight": weights[1]},
		}},
	}))
	time.Sleep(weightsSettle)
	changed := time.Now()
	if err := t.sendTreads(); err != nil {
		return "", err
	}
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	before, old, next := 0, 0, 0
	for _, r := range runs {
		t.record.add("%s %s: %s %s %s", r.Service, r.What, r.ID, r.Method, r.Target)
		switch {
		case r.What != "run":
		case r.At < changed.UnixMicro():
			before++
		case r.Service == "uplift-old":
			old++
		default:
			next++
		}
	}
	t.record.add("%d runs before the change; %d runs by the old service and %d by the new ones of requests sent %s or more after its confirmation", before, old, next, weightsSettle)
	if os.Getenv("KILL") != "" {
		t.restartAll()
	}
	if before < weightsPerPart/2 || old+next < weightsPerPart/2 {
		return "", fmt.Errorf("too few requests ran")
	}
	if old > 0 {
		return fmt.Sprintf("%d requests sent later than configS after the confirmation of r9 were run by the service of r7", old), nil
	}
	return "", nil
}

func (t *trial) sendTreads() error {
	var wg sync.WaitGroup
	answers := make([]consumerAnswer, weightsPerPart)
	for n := range weightsPerPart {
		wg.Go(func() {
			answers[n] = send(consumerRequest{
				Machine: t.machines[n%len(t.machines)], Method: "GET", Host: weightsHost, Target: fmt.Sprintf("/tread/%d", n), Budget: 4 * time.Second,
			})
		})
		time.Sleep(weightsSpacing)
	}
	wg.Wait()
	for _, a := range answers {
		t.record.add("sent %s", a.line())
	}
	return nil
}

// restartAll kills all nodes, starts them again, and records which of them become ready.
func (t *trial) restartAll() {
	for _, m := range t.machines {
		t.signal(m.node, syscall.SIGKILL, true)
	}
	time.Sleep(time.Second)
	for _, m := range t.machines {
		if err := t.startNode(m); err != nil {
			t.record.add("node %d did not start: %s", m.number, err)
		}
	}
	time.Sleep(15 * time.Second)
	for _, m := range t.machines {
		t.record.add("node %d, 15 s after all were killed: %v", m.number, t.waitReady(m, time.Second))
	}
}
