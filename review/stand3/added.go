package main

// This file is the cases of a route that is added and hardly served: one whose backends compress
// their answers when they are asked to, and one whose consumers send many short fields.

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["11"] = addedEncoding
	cases["15"] = manyFields
}

const (
	addedFirst    = 8 // machines of the service of the first route
	addedMachines = 2 // machines of the service of the route that is added
	addedEach     = 20
	addedSettle   = 5 * time.Second // after the confirmation; configS is 2 s
	addedSpacing  = 15 * time.Millisecond
	addedHost     = "invoice.example"
)

// manyFieldsCount is the number of short fields of a request; with them its header has some 11 kB,
// of the 16 KiB that the configuration allows.
const manyFieldsCount = 1950

// addedEncoding adds a route to a service whose backends compress their answers to requests that
// say they accept it. No consumer says so.
func addedEncoding(t *trial) (string, error) { return t.addRoute(t.trouble, "") }

// manyFields adds a route whose consumers send many short fields.
func manyFields(t *trial) (string, error) {
	count := 10
	if t.trouble {
		count = manyFieldsCount
	}
	var fields strings.Builder
	for n := range count {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	t.record.add("each request of the added route has %d short fields of %d bytes together", count, fields.Len())
	return t.addRoute(false, fields.String())
}

// addRoute adds a route, whose backends compress their answers if compress is set and whose
// requests have some more fields, and compares how often it is served with the first one.
func (t *trial) addRoute(compress bool, fields string) (string, error) {
	services := []string{"uplift-quote", "fuel-invoice"}
	for n := range addedFirst + addedMachines {
		config := backendConfig{Service: services[0], Slots: 12, WorkMS: 20, BodyBytes: 2000}
		if n >= addedFirst {
			config.Service, config.Gzip = services[1], compress
		}
		if _, err := t.addMachine(config); err != nil {
			return "", err
		}
	}
	first := route{name: "r-quote", host: addedHost, prefix: "/quote/", kind: "unsafe", service: services[0], timeoutS: 2.5, attempts: 2}
	added := route{name: "r-bill", host: addedHost, prefix: "/bill/", kind: "unsafe", service: services[1], timeoutS: 2.5, attempts: 2}
	t.operatorWrites(configuration("r7", services, []route{first}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	t.operatorWrites(configuration("r9", services, []route{first, added}))
	time.Sleep(addedSettle)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string][]consumerAnswer{} // by prefix
	for n := range addedEach * len(t.machines) {
		for _, r := range []route{first, added} {
			request := consumerRequest{
				Machine: t.machines[n%len(t.machines)], Method: "POST", Host: r.host, Target: fmt.Sprintf("%s%d", r.prefix, n), Body: "{}", Budget: 4 * time.Second,
			}
			if r.prefix == added.prefix {
				request.Fields = fields
			}
			wg.Go(func() {
				a := send(request)
				mu.Lock()
				defer mu.Unlock()
				answers[r.prefix] = append(answers[r.prefix], a)
			})
		}
		time.Sleep(addedSpacing)
	}
	wg.Wait()
	return t.judgeAdded(answers[first.prefix], answers[added.prefix])
}

// judgeAdded compares how often the requests of the first and of the added route are served.
func (t *trial) judgeAdded(first, added []consumerAnswer) (string, error) {
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	ran := map[string]int{}
	for _, r := range runs {
		t.record.add("%s %s: %s %s %s", r.Backend, r.What, r.ID, r.Method, r.Target)
		if r.What == "run" {
			ran[r.ID]++
		}
	}
	served := func(answers []consumerAnswer) (share float64, lost int) {
		count := 0
		for _, a := range answers {
			t.record.add("sent %s", a.line())
			switch {
			case a.Status == 200 && a.Whole && matchesBackend(t.machines, a):
				count++
			case ran[a.ID] > 0:
				lost++
			}
		}
		return float64(count) / float64(len(answers)), lost
	}
	firstShare, _ := served(first)
	addedShare, lost := served(added)
	t.record.add("first route: %d requests, %.3f served; added route: %d requests, %.3f served; %d of these were run and got no success", len(first), firstShare, len(added), addedShare, lost)
	if firstShare < 0.5 {
		return "", fmt.Errorf("only %.3f of the requests of the first route were served", firstShare)
	}
	if addedShare < firstShare/4 {
		return fmt.Sprintf("the added route is served %.3f of the time and the first one %.3f; %d bookings ran and got no success", addedShare, firstShare, lost), nil
	}
	return "", nil
}
