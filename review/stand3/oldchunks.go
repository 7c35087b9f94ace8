package main

// This file is the case of faulty backends whose answers name an old version beside chunks, and
// the check of answers against what backends send.

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["13"] = oldChunks }

const (
	oldBackends = 7
	oldFaulty   = 2  // of 7 backends: a share of 0.29
	oldEvery    = 50 // one of so many of their answers: x = 0.02
	oldRequests = 1000
	oldSpacing  = 5 * time.Millisecond // 1000 requests in 5.3 s
	oldHost     = "quote.example"
)

// oldChunks lets backends spoil some answers: they have the version 1.0, which knows no chunks,
// and a body in chunks.
func oldChunks(t *trial) (string, error) {
	for n := range oldBackends {
		config := backendConfig{Service: "orderdesk", Slots: 12, WorkMS: 20, BodyBytes: 1500}
		if t.trouble && n < oldFaulty {
			config.OldEvery = oldEvery
		}
		if _, err := t.addMachine(config); err != nil {
			return "", err
		}
	}
	t.operatorWrites(configuration("r7", []string{"orderdesk"}, []route{
		{name: "r-quote", host: oldHost, prefix: "/quote/", kind: "safe", service: "orderdesk", timeoutS: 2, attempts: 2},
	}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	answers := make([]consumerAnswer, oldRequests)
	var wg sync.WaitGroup
	for n := range oldRequests {
		wg.Go(func() {
			answers[n] = send(consumerRequest{
				Machine: t.machines[n%len(t.machines)], Method: "GET", Host: oldHost, Target: fmt.Sprintf("/quote/%d", n), Budget: 4 * time.Second,
			})
		})
		time.Sleep(oldSpacing)
	}
	wg.Wait()
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	for _, r := range runs {
		t.record.add("%s %s: %s %s %s", r.Backend, r.What, r.ID, r.Method, r.Target)
	}
	whole, mixed := 0, 0
	for _, a := range answers {
		t.record.add("sent %s", a.line())
		switch {
		case a.Status/100 != 2 || !a.Whole:
		case matchesBackend(t.machines, a):
			whole++
		default:
			mixed++
			t.record.add("MIXED: %s got %d bytes as a whole answer with status %d, which begin with %q", a.ID, len(a.Body), a.Status, a.Body[:min(len(a.Body), 40)])
		}
	}
	t.record.add("%d requests, %d whole answers, %d successes with another body", len(answers), whole, mixed)
	if whole < oldRequests/2 {
		return "", fmt.Errorf("only %d of %d requests had a whole answer", whole, oldRequests)
	}
	if mixed > 0 {
		return fmt.Sprintf("%d consumers got a success whose body isn't the backend's", mixed), nil
	}
	return "", nil
}

// matchesBackend reports whether an answer is the whole one of a backend, with its stamp.
func matchesBackend(machines []*machine, a consumerAnswer) bool {
	for _, m := range machines {
		if a.Stamp == stampOf(m.backend.ID, a.ID) && bytes.Equal(a.Body, answerBody(m.backend.ID, a.ID, m.backend.BodyBytes)) {
			return true
		}
	}
	return false
}
