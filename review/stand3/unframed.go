package main

// This file is the case of a backend that crashes in the middle of an answer without a length.

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["13"] = unframedCrash }

const (
	unframedBackends = 7
	unframedRequests = 90
	unframedSpacing  = 25 * time.Millisecond
	unframedCrashAt  = 900 * time.Millisecond
	unframedDown     = 3 * time.Second
	unframedBytes    = 90000 // of an answer, the mean of the site's drawings
	unframedSending  = 600   // ms in which an answer is sent
	unframedHost     = "drawings.example"
)

// unframedCrash lets one backend crash while it sends answers that end with their connections.
func unframedCrash(t *trial) (string, error) {
	for range unframedBackends {
		config := backendConfig{Service: "drawvault", Slots: 6, WorkMS: 20, BodyBytes: unframedBytes, BodyMS: unframedSending, Unframed: true}
		if _, err := t.addMachine(config); err != nil {
			return "", err
		}
	}
	t.operatorWrites(configuration("r7", []string{"drawvault"}, []route{
		{name: "r-pull", host: unframedHost, prefix: "/drawing/", kind: "download", service: "drawvault", timeoutS: 4, attempts: 2},
	}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	crashed, start := t.machines[2], time.Now()
	var wg sync.WaitGroup
	if t.trouble {
		wg.Go(func() {
			time.Sleep(unframedCrashAt)
			t.signal(crashed.server, syscall.SIGKILL, true)
			t.record.add("%s: the backend %s is killed", time.Since(start).Round(time.Millisecond), crashed.backend.ID)
			time.Sleep(unframedDown)
			if err := t.startBackend(crashed); err != nil {
				t.record.add("the backend %s did not start again: %s", crashed.backend.ID, err)
			}
		})
	}
	answers := make([]consumerAnswer, unframedRequests)
	for n := range unframedRequests {
		wg.Go(func() {
			answers[n] = send(consumerRequest{
				Machine: t.machines[n%len(t.machines)], Method: "GET", Host: unframedHost, Target: fmt.Sprintf("/drawing/%d", n), Budget: 4 * time.Second,
			})
		})
		time.Sleep(unframedSpacing)
	}
	wg.Wait()
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	ran := map[string]string{} // the backend of the last run, by request
	for _, r := range runs {
		t.record.add("%s %s: %s %s %s", r.Backend, r.What, r.ID, r.Method, r.Target)
		if r.What == "run" {
			ran[r.ID] = r.Backend
		}
	}
	whole, mixed := 0, 0
	for _, a := range answers {
		t.record.add("sent %s", a.line())
		if a.Status/100 != 2 || !a.Whole {
			continue
		}
		if matchesBackend(t.machines, a) {
			whole++
			continue
		}
		mixed++
		t.record.add("MIXED: %s got %d of %d bytes as a whole answer with status %d", a.ID, len(a.Body), len(answerBody(ran[a.ID], a.ID, unframedBytes)), a.Status)
	}
	t.record.add("%d requests, %d whole answers, %d answers that are not whole and look so", len(answers), whole, mixed)
	if whole < unframedRequests/2 {
		return "", fmt.Errorf("only %d of %d requests had a whole answer", whole, unframedRequests)
	}
	if mixed > 0 {
		return fmt.Sprintf("%d consumers got a success whose body isn't the backend's whole body", mixed), nil
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
