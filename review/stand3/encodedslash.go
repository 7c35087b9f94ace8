package main

// This file is the case of a request with an encoded slash in its path whose answer is lost.

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["11"] = encodedSlash }

// Traffic of the case, at about the rate of the site's bookings.
const (
	slashBackends = 7
	slashLossy    = 3 // of 7 backends: a share of 0.43
	slashRequests = 240
	slashSpacing  = 22 * time.Millisecond // 240 requests in 5.3 s
	slashLost     = 20                    // one of so many answers: x = 0.05
	slashHost     = "jieming.example"
)

// encodedSlash sends bookings below the prefix of an unsafe route, with a slash in a segment of
// the path that is encoded, while backends lose answers. The decoded path would begin with the
// prefix of a safe route.
func encodedSlash(t *trial) (string, error) {
	for n := range slashBackends {
		config := backendConfig{Service: "orderdesk", Slots: 6, WorkMS: 40, BodyBytes: 400}
		if t.trouble && n%2 == 1 && n/2 < slashLossy {
			config.LoseEvery = slashLost
		}
		if _, err := t.addMachine(config); err != nil {
			return "", err
		}
	}
	t.operatorWrites(configuration("r7", []string{"orderdesk"}, []route{
		{name: "r-book", host: slashHost, prefix: "/deposit/", kind: "unsafe", service: "orderdesk", timeoutS: 2.5, attempts: 2},
		{name: "r-quote", host: slashHost, prefix: "/deposit/quote/", kind: "safe", service: "orderdesk", timeoutS: 2.5, attempts: 2},
	}))
	if err := t.startAll(); err != nil {
		return "", err
	}
	answers := make([]consumerAnswer, slashRequests)
	var wg sync.WaitGroup
	for n := range slashRequests {
		wg.Go(func() {
			answers[n] = send(consumerRequest{
				Machine: t.machines[n%len(t.machines)], Method: "POST", Host: slashHost, Target: fmt.Sprintf("/deposit/quote%%2F%d", 1000+n),
				Body: fmt.Sprintf(`{"deposit":%d}`, n), Budget: 5 * time.Second,
			})
		})
		time.Sleep(slashSpacing)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, a := range answers {
		t.record.add("sent %s", a.line())
	}
	runs, err := t.runs()
	if err != nil {
		return "", err
	}
	count, lost := map[string]int{}, 0
	for _, r := range runs {
		t.record.add("%s %s: %s %s %s", r.Backend, r.What, r.ID, r.Method, r.Target)
		switch r.What {
		case "run":
			count[r.ID]++
		case "answer lost":
			lost++
		}
	}
	twice := 0
	for _, a := range answers {
		if count[a.ID] > 1 {
			twice++
			t.record.add("TWICE: %s ran %d times", a.ID, count[a.ID])
		}
	}
	t.record.add("%d requests, %d runs of them, %d answers lost, %d requests ran more than once", len(answers), len(count), lost, twice)
	if len(count) < slashRequests/2 {
		return "", fmt.Errorf("only %d of %d requests ran", len(count), slashRequests)
	}
	if twice > 0 {
		return fmt.Sprintf("%d bookings ran more than once; %d answers were lost", twice, lost), nil
	}
	return "", nil
}
